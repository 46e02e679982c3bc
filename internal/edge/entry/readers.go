package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/clementinewind/clementinewind/internal/fleet/gossip"
	"github.com/clementinewind/clementinewind/internal/store/feed"
	"github.com/clementinewind/clementinewind/internal/store/view"
	"github.com/clementinewind/clementinewind/internal/wire/fleetv1"
	"github.com/clementinewind/clementinewind/platform"
)

const (
	// operatorWait is how long a read waits for the operator. It also bounds how long a connection that went silent hides a
	// change, which has to be in force within 2 s.
	operatorWait = time.Second
	// upstreamInterval is the pause between reads of the entries of upstreams, which change with each of their heartbeats.
	// An upstream that leaves gets no requests 2 s later.
	upstreamInterval = 500 * time.Millisecond
	// aheadTime is how long another router may be ahead before the store is read directly.
	aheadTime = 300 * time.Millisecond
	// directTime is how long a router reads the store itself after the router that it read from failed.
	directTime = 5 * time.Second
	// announceRetry is the pause after a failed announcement.
	announceRetry = 500 * time.Millisecond
	// lonelyInterval is how often a router that hears no other one looks them up again.
	lonelyInterval = 3 * time.Second
)

// readers follow the topics of the store.
type readers struct {
	entry           *Entry
	operatorMirror  *feed.Mirror
	upstreamsMirror *feed.Mirror
	operator        *feed.Follower
	upstreams       *feed.Follower
	client          *http.Client
	state           *readerState
}

// readerState decides where the next read goes.
type readerState struct {
	mutex       sync.Mutex
	aheadSince  time.Time
	directUntil time.Time
	storeFailed bool
}

func newReaders(entry *Entry) readers {
	logger := entry.config.Logger
	built := readers{
		entry:           entry,
		operatorMirror:  feed.NewMirror(feed.MirrorConfig{}),
		upstreamsMirror: feed.NewMirror(feed.MirrorConfig{Same: view.SameUpstream}),
		client:          &http.Client{Transport: &http.Transport{DialContext: dialer().DialContext}},
		state:           &readerState{},
	}
	built.operator = feed.NewFollower(feed.FollowerConfig{
		Topic: platform.TopicOperator, Mirror: built.operatorMirror, Source: built.source, Wait: operatorWait,
		Apply: entry.view.ApplyOperator, Reached: built.reached, ReachedElsewhere: entry.roster.StoreReached, Logger: logger,
	})
	built.upstreams = feed.NewFollower(feed.FollowerConfig{
		Topic: platform.TopicUpstreams, Mirror: built.upstreamsMirror, Source: built.source, Interval: upstreamInterval,
		Apply: entry.view.ApplyUpstreams, Reached: built.reached, ReachedElsewhere: entry.roster.StoreReached, Logger: logger,
	})
	return built
}

func (readers readers) mirrors() map[string]*feed.Mirror {
	return map[string]*feed.Mirror{
		platform.TopicOperator: readers.operatorMirror, platform.TopicUpstreams: readers.upstreamsMirror,
	}
}

func (readers readers) offsets() gossip.Offsets {
	return gossip.Offsets{Operator: readers.operatorMirror.Last(), Upstreams: readers.upstreamsMirror.Last()}
}

// source returns where to read next: at another router of the zone that reads the store, or at the store.
func (readers readers) source() feed.Source {
	return readers.entry.store
}

// reached is told how the last read ended.
func (readers readers) reached(err error) {
	readers.state.mutex.Lock()
	defer readers.state.mutex.Unlock()
	readers.state.storeFailed = err != nil
}

// healthy reports whether the last read succeeded.
func (readers readers) healthy() bool {
	readers.state.mutex.Lock()
	defer readers.state.mutex.Unlock()
	return !readers.state.storeFailed
}

// ahead is told that another router has read further than this one.
func (readers readers) ahead(offsets gossip.Offsets) {
	if next, _ := readers.operatorMirror.Next(); offsets.Operator >= next {
		readers.operator.Nudge()
	}
	if next, _ := readers.upstreamsMirror.Next(); offsets.Upstreams >= next {
		readers.upstreams.Nudge()
	}
}

// announce lists this router in the store and learns of the others. Each router writes before it reads, so that of two that
// start at the same time at least one learns of the other, and its beats tell the other one.
func (entry *Entry) announce(ctx context.Context) error {
	value, err := proto.Marshal(gossip.Describe(entry.roster.Self()))
	if err != nil {
		return err
	}
	written := false
	for {
		pause := lonelyInterval
		if !written {
			if err := entry.store.Append(ctx, platform.TopicInstances, string(entry.roster.Self().Instance), value); err != nil {
				entry.config.Logger.Warn("router not listed yet", "Error", err)
				pause = announceRetry
			} else {
				written = true
			}
		}
		if len(entry.roster.Alive(time.Now())) == 1 {
			if err := entry.list(ctx); err != nil {
				entry.config.Logger.Warn("routers not looked up", "Error", err)
				pause = announceRetry
			}
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
	}
}

func (entry *Entry) list(ctx context.Context) error {
	batch, err := entry.store.Newest(ctx, platform.TopicInstances)
	if err != nil {
		return err
	}
	for _, record := range batch.Records {
		var beat fleetv1.Beat
		if err := proto.Unmarshal(record.Value, &beat); err != nil || beat.Instance == "" {
			entry.config.Logger.Warn("entry of a router dropped", "Key", record.Key, "Error", err)
			continue
		}
		entry.roster.List(gossip.MemberOf(&beat), time.Now())
	}
	return nil
}
