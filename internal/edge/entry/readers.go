package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/fleet/gossip"
	"github.com/clementinewind/clementinewind/internal/fleet/roster"
	"github.com/clementinewind/clementinewind/internal/share/boot"
	"github.com/clementinewind/clementinewind/internal/store/feed"
	"github.com/clementinewind/clementinewind/internal/store/view"
	"github.com/clementinewind/clementinewind/platform"
)

const (
	// followWait is how long a read waits for new records. It also bounds how long a connection that went silent hides a
	// change, which has to be in force within 2 s.
	followWait = time.Second
	// upstreamInterval is the pause between reads of the entries of upstreams at the store, where a read that waits ends at
	// each of their heartbeats. An upstream that leaves must get no requests 2 s later.
	upstreamInterval = 500 * time.Millisecond
	// aheadTime is how long a record that other routers have read may be missing before a router reads the store at once. In a
	// large fleet, whose users allow more time, it is above upstreamInterval: otherwise all routers of a zone read the store
	// whenever the reader of another zone was first.
	aheadTime      = 300 * time.Millisecond
	aheadTimeLarge = 800 * time.Millisecond
	// largeFleet is the number of routers from which the state of each one goes through heads of zones.
	largeFleet = 18
	// directTime is how long a router reads the store itself, or passes over another router, after a read from that one failed.
	directTime = 3 * time.Second
	// aheadDirectTime is how long a router of a large fleet reads the store itself because others are ahead. If its reader is still
	// behind then, it notices that anew.
	aheadDirectTime = time.Second
	// busyWait is how long a read of a router waits that refuses requests, and behindTime the age from which the state of a topic is
	// too old there to send requests by. An upstream that leaves must get no requests 3 s later in the users' large deployments, of
	// which the router that reads the store may need one.
	busyWait   = 300 * time.Millisecond
	behindTime = 1500 * time.Millisecond
	// startTime is how long a router of a large fleet that has just started loads the topics from the others, before any of them was
	// heard to reach the store; the state of all routers is heard within it. startPoll is how often it looks whether others are known.
	startTime = 3 * time.Second
	startPoll = 10 * time.Millisecond
	// lookUpTime is how long a router that starts waits until the others are looked up, which takes one call to the store.
	lookUpTime = 200 * time.Millisecond
	// parentTime is how long after the start the router above that does not answer yet is tried again, because it starts too. All
	// start within 0.3 s of each other.
	parentTime = 500 * time.Millisecond
	// storeRetry is the pause between tries of a store that does not answer this router while it reads from another one.
	storeRetry = time.Second
)

// readers follow the topics of the store.
type readers struct {
	entry     *Entry
	store     *storeSource
	operator  *topic
	upstreams *topic
	client    *http.Client
}

// topic is one topic of the store.
type topic struct {
	mirror   *feed.Mirror
	follower *feed.Follower

	mutex       sync.Mutex
	lag         feed.LagDetector
	directUntil time.Time
	// passed is the router whose last answer failed; it is passed over until passedUntil.
	passed      clementinewind.Instance
	passedUntil time.Time
	// began is when the current read was sent, and known the moment up to which the topic was read, both on the clock that counts
	// pauses.
	began, known time.Duration
	// failing is set while reads fail, so that nobody tells the router anything.
	failing bool
	// atPeer is set if the last try to load the topic was at another router.
	atPeer bool
}

func newReaders(entry *Entry) readers {
	built := readers{
		entry:     entry,
		store:     &storeSource{store: entry.store},
		operator:  &topic{mirror: feed.NewMirror(feed.MirrorConfig{})},
		upstreams: &topic{mirror: feed.NewMirror(feed.MirrorConfig{Unchanged: view.UpstreamUnchanged})},
		client:    gossip.NewFeedClient(dialer().DialContext),
	}
	follow := func(topic *topic, name string, atStore feed.PollOptions, apply func([]feed.Record, time.Time)) {
		topic.follower = feed.NewFollower(feed.FollowerConfig{
			Topic: name, Mirror: topic.mirror, Apply: apply, Logger: entry.config.Logger,
			NextPoll:          func() feed.PollOptions { return built.plan(topic, atStore, time.Now()) },
			LastReachedByPeer: entry.roster.PeerReachedStoreAt, OnRead: topic.reached,
		})
	}
	follow(built.operator, platform.TopicOperator, feed.PollOptions{Source: built.store, Wait: followWait}, entry.view.ApplyOperator)
	follow(built.upstreams, platform.TopicUpstreams, feed.PollOptions{Source: built.store, Interval: upstreamInterval}, entry.view.ApplyUpstreams)
	return built
}

func (readers readers) mirrors() map[string]*feed.Mirror {
	return map[string]*feed.Mirror{
		platform.TopicOperator: readers.operator.mirror, platform.TopicUpstreams: readers.upstreams.mirror,
	}
}

func (readers readers) offsets() gossip.Offsets {
	return gossip.Offsets{Operator: readers.operator.mirror.LastChange(), Upstreams: readers.upstreams.mirror.LastChange()}
}

// plan returns how to read a topic next. One router of each zone reads the store and the others read from it, so that the
// calls to the store do not grow with the fleet. The load it answers: many routers, and many upstreams whose heartbeats
// each of them would read; and a large fleet that starts as a whole, when nobody knows yet who reaches the store.
func (readers readers) plan(topic *topic, atStore feed.PollOptions, now time.Time) feed.PollOptions {
	topic.begin()
	wait := followWait
	if readers.entry.lag.overloaded() {
		wait = busyWait
		atStore.Wait = min(atStore.Wait, busyWait)
	}
	if topic.turnsToPeer(readers.store.failing()) {
		// The others may have forgotten the router that ran here before, so that none is heard yet.
		if informed, ok := readers.entry.roster.ServingPeer(now); ok {
			return feed.PollOptions{Source: readers.peer(topic, informed)}
		}
	}
	running := now.Sub(readers.entry.started)
	starting := running < startTime
	if running < lookUpTime && !readers.entry.lookedUp.Load() {
		return feed.PollOptions{Interval: startPoll}
	}
	passed, large := topic.passedOver(now), readers.large()
	reader, ok := readers.entry.roster.StoreReader(now, passed)
	_, loaded := topic.mirror.Next()
	if starting && large && !(loaded && ok) {
		reader, ok = readers.entry.roster.StartupParent(now, passed)
	}
	switch {
	case !ok, !loaded && !large, topic.direct(now), readers.store.retry(now):
		return atStore
	}
	if passed != "" {
		// If this one is silent too, little time is left.
		wait = busyWait
	}
	plan := feed.PollOptions{Source: readers.peer(topic, reader), Wait: wait}
	if starting && !loaded {
		plan.RetryDelay = startPoll
	}
	return plan
}

// mayStart reports whether a router that does not answer may have to start first, as this one did.
func (readers readers) mayStart(topic *topic) bool {
	_, loaded := topic.mirror.Next()
	return !loaded && time.Since(readers.entry.started) < parentTime
}

func (readers readers) peer(topic *topic, member roster.Member) peerSource {
	return peerSource{
		Source: gossip.Source{Address: member.PeerAddress, Client: readers.client}, readers: readers, topic: topic, instance: member.Instance,
	}
}

// large reports whether the calls of all routers to the store at once would be too many.
func (readers readers) large() bool { return readers.entry.roster.Count() >= largeFleet }

// begin records that a read is sent.
func (topic *topic) begin() {
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	topic.began = boot.Now()
}

// reached records the result of a read. What it brought is as old as its beginning, at most, and as the end of the time for which the
// source had nothing new: the reads of a quiet topic last longer than behindTime allows for one that is not read.
func (topic *topic) reached(held time.Duration, err error) {
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	topic.failing = err != nil
	if err == nil {
		topic.known = topic.began + held
	}
}

// behind reports whether the topic is known only up to a moment that is too long ago, although reads do not fail.
func (topic *topic) behind(now time.Duration) bool {
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	return !topic.failing && topic.known > 0 && now-topic.known > behindTime
}

func (topic *topic) knownAt() time.Duration {
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	return topic.known
}

// knownAt returns the moment up to which all topics are known.
func (readers readers) knownAt() time.Duration {
	return min(readers.operator.knownAt(), readers.upstreams.knownAt())
}

// behind reports whether this router does not come to reading what it could read.
func (readers readers) behind() bool {
	now := boot.Now()
	return readers.operator.behind(now) || readers.upstreams.behind(now)
}

// refresh reads all topics at once.
func (readers readers) refresh() {
	readers.operator.follower.TriggerRead()
	readers.upstreams.follower.TriggerRead()
}

// turnsToPeer reports whether a router that has not read the topic yet asks another one: each second time while the store
// fails. The load it answers: routers that restart without state while the store is down.
func (topic *topic) turnsToPeer(storeFails bool) bool {
	_, loaded := topic.mirror.Next()
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	topic.atPeer = storeFails && !loaded && !topic.atPeer
	return topic.atPeer
}

// direct reports whether the store is to be read although another router reads it.
func (topic *topic) direct(now time.Time) bool {
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	return now.Before(topic.directUntil)
}

// passedOver returns the router that does not answer, or "".
func (topic *topic) passedOver(now time.Time) clementinewind.Instance {
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	if now.Before(topic.passedUntil) {
		return topic.passed
	}
	return ""
}

// unanswered records that a read from another router failed. In a large fleet the next reader is tried first, and the store if that
// one fails too. The load it answers: the reader of a zone dies, and sixty routers turn to the store.
func (topic *topic) unanswered(reader clementinewind.Instance, large bool, now time.Time) {
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	if large && !now.Before(topic.passedUntil) {
		topic.passed, topic.passedUntil = reader, now.Add(directTime)
		return
	}
	topic.directUntil = now.Add(directTime)
}

// ahead is told how far another router has read.
func (topic *topic) ahead(offset int64, allowed, direct time.Duration, now time.Time) {
	next, _ := topic.mirror.Next()
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	if topic.lag.Behind(offset, next, allowed, now) {
		topic.directUntil = now.Add(direct)
		topic.follower.TriggerRead()
	}
}

// ahead is told how far another router has read.
func (readers readers) ahead(offsets gossip.Offsets) {
	now := time.Now()
	allowed, direct := aheadTime, directTime
	if readers.large() {
		allowed, direct = aheadTimeLarge, aheadDirectTime
	}
	readers.operator.ahead(offsets.Operator, aheadTime, direct, now)
	readers.upstreams.ahead(offsets.Upstreams, allowed, direct, now)
}

// peerSource reads from another router and has the next read go elsewhere when that fails.
type peerSource struct {
	gossip.Source
	readers  readers
	topic    *topic
	instance clementinewind.Instance
}

// Newest implements feed.Source.
func (source peerSource) Newest(ctx context.Context, topic string) (feed.Batch, error) {
	return source.Read(ctx, topic, 0, busyWait)
}

// Read implements feed.Source.
func (source peerSource) Read(ctx context.Context, topic string, from int64, wait time.Duration) (feed.Batch, error) {
	batch, err := source.Source.Read(ctx, topic, from, wait)
	if err != nil && ctx.Err() == nil && !source.readers.mayStart(source.topic) {
		source.topic.unanswered(source.instance, source.readers.large(), time.Now())
	}
	return batch, err
}

// storeSource reads the store and keeps whether it answers this router.
type storeSource struct {
	store *platform.Store

	mutex  sync.Mutex
	failed bool
	tried  time.Time
}

// Newest implements feed.Source.
func (source *storeSource) Newest(ctx context.Context, topic string) (feed.Batch, error) {
	batch, err := source.store.Newest(ctx, topic)
	source.observe(ctx, err)
	return batch, err
}

// Read implements feed.Source.
func (source *storeSource) Read(ctx context.Context, topic string, from int64, wait time.Duration) (feed.Batch, error) {
	batch, err := source.store.Read(ctx, topic, from, wait)
	source.observe(ctx, err)
	return batch, err
}

func (source *storeSource) observe(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	source.mutex.Lock()
	defer source.mutex.Unlock()
	source.failed, source.tried = err != nil, time.Now()
}

// reachable reports whether the last call succeeded.
func (source *storeSource) reachable() bool {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	return !source.failed && !source.tried.IsZero()
}

// failing reports whether the last call failed.
func (source *storeSource) failing() bool {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	return source.failed
}

// retry reports whether a store that did not answer should be tried again.
func (source *storeSource) retry(now time.Time) bool {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	return source.failed && now.Sub(source.tried) > storeRetry
}
