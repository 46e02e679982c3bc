package entry

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/clementinewind/clementinewind/internal/fleet/gossip"
	"github.com/clementinewind/clementinewind/internal/share/pause"
	"github.com/clementinewind/clementinewind/internal/wire/fleetv1"
	"github.com/clementinewind/clementinewind/platform"
)

const (
	// announceRetry is the pause after a failed announcement.
	announceRetry = 500 * time.Millisecond
	// lonelyInterval is how often a router that hears no other one looks them up again.
	lonelyInterval = 3 * time.Second
)

// announce lists this router in the store and learns of the others. It reads first, because in a large fleet the writes of all routers
// that start wait for each other. Unless it finds a large fleet, in which its beats tell the others, it reads again after its write, so
// that of two routers that start at the same time at least one learns of the other.
func (entry *Entry) announce(ctx context.Context) error {
	value, err := proto.Marshal(gossip.EncodeMember(entry.roster.Self()))
	if err != nil {
		return err
	}
	entry.lookUp(ctx)
	entry.lookedUp.Store(true)
	written, listed := false, entry.readers.large()
	for {
		wait := lonelyInterval
		if !written {
			if err := entry.store.Append(ctx, platform.TopicInstances, string(entry.roster.Self().Instance), value); err != nil {
				entry.config.Logger.Warn("router not listed yet", "Error", err)
				wait = announceRetry
			} else {
				written = true
			}
		}
		if !listed || len(entry.roster.Alive(time.Now())) == 1 {
			if entry.lookUp(ctx) {
				listed = true
			} else {
				wait = announceRetry
			}
		}
		if err := pause.For(ctx, wait); err != nil {
			return err
		}
	}
}

// lookUp learns of the routers that are listed in the store. It reports whether the store answered.
func (entry *Entry) lookUp(ctx context.Context) bool {
	batch, err := entry.store.Newest(ctx, platform.TopicInstances)
	if err != nil {
		entry.config.Logger.Warn("routers not looked up", "Error", err)
		return false
	}
	for _, record := range batch.Records {
		var beat fleetv1.Beat
		if err := proto.Unmarshal(record.Value, &beat); err != nil || beat.Instance == "" {
			entry.config.Logger.Warn("entry of a router dropped", "Key", record.Key, "Error", err)
			continue
		}
		entry.roster.AddFromStore(gossip.DecodeMember(&beat), time.Now())
	}
	return true
}
