package entry

import "context"

// beginEra records that the store came back from a copy, as a response of the store or of another router shows. It does not wait for what follows.
func (router *Router) beginEra(era int64) {
	for known := router.era.Load(); era > known; known = router.era.Load() {
		if router.era.CompareAndSwap(known, era) {
			notify(router.eraBegan)
			return
		}
	}
}

// followEras reads all topics again when the store has come back from a copy, and has what this router wrote written again, until the context ends.
func (router *Router) followEras(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-router.eraBegan:
		}
		router.config.Logger.Warn("new era of the store, reading all topics", "Era", router.era.Load())
		router.topics.readNow()
		router.registrationLost.Store(true)
		notify(router.registrationWanted)
		router.quarantines.storeAgain()
		router.origins.storeAgain()
	}
}
