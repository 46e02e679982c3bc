package entry

import (
	"context"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/clementinewind/clementinewind/internal/fleet/gossip"
	"github.com/clementinewind/clementinewind/internal/wire/fleetv1"
	"github.com/clementinewind/clementinewind/platform"
)

const (
	// registerRetryInterval is the delay after a failed registration or discovery.
	registerRetryInterval = 500 * time.Millisecond
	// aloneDiscoveryInterval is how often a router that hears no peers looks them up again.
	aloneDiscoveryInterval = 3 * time.Second
)

// joinFleet registers this router in the store and discovers its peers. It discovers them first, because registrations
// queue at the store while a large fleet starts. In a small fleet it discovers them again after it has registered, so
// that of two routers that start at the same time at least one finds the other; in a large fleet gossip does that. It registers again when the store
// may have lost the registration.
func (router *Router) joinFleet(ctx context.Context) error {
	value, err := proto.Marshal(gossip.EncodeMember(router.roster.Self()))
	if err != nil {
		return err
	}
	router.discoverPeers(ctx)
	router.discovered.Store(true)
	registered, discovered := false, router.topics.largeFleet()
	for {
		wait := aloneDiscoveryInterval
		if router.registrationLost.Swap(false) {
			// All routers learn of it at about the same time.
			if err := router.origins.spreadWrites(ctx); err != nil {
				return err
			}
			registered = false
		}
		if !registered {
			if err := router.store.Append(ctx, platform.TopicInstances, string(router.roster.Self().Instance), value); err != nil {
				router.config.Logger.Warn("registration in store failed, retrying", "Error", err)
				wait = registerRetryInterval
			} else {
				registered = true
			}
		}
		if !discovered || len(router.roster.Alive(time.Now())) == 1 {
			if router.discoverPeers(ctx) {
				discovered = true
			} else {
				wait = registerRetryInterval
			}
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-router.registrationWanted:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// discoverPeers adds the routers that are registered in the store to the roster. It reports whether the store answered.
func (router *Router) discoverPeers(ctx context.Context) bool {
	batch, err := router.store.Newest(ctx, platform.TopicInstances)
	if err != nil {
		router.config.Logger.Warn("discovery of routers failed", "Error", err)
		return false
	}
	router.origins.load(batch)
	for _, record := range batch.Records {
		if strings.HasPrefix(record.Key, versionKeyPrefix) || router.quarantines.load(record.Key, record.Value, time.Now()) {
			continue
		}
		var beat fleetv1.Beat
		if err := proto.Unmarshal(record.Value, &beat); err != nil || beat.Instance == "" {
			router.config.Logger.Warn("invalid router record ignored", "Key", record.Key, "Error", err)
			continue
		}
		router.roster.AddFromStore(gossip.DecodeMember(&beat), time.Now())
	}
	return true
}
