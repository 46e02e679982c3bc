package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/fleet/gossip"
	"github.com/clementinewind/clementinewind/internal/fleet/roster"
	"github.com/clementinewind/clementinewind/internal/share/boot"
	"github.com/clementinewind/clementinewind/internal/share/pause"
	"github.com/clementinewind/clementinewind/internal/store/feed"
	"github.com/clementinewind/clementinewind/internal/store/view"
	"github.com/clementinewind/clementinewind/platform"
)

const (
	// longPollWait is how long a read waits for new records. It also bounds how long a silently broken connection delays
	// a change, which must be in force within 2 s.
	longPollWait = time.Second
	// upstreamPollInterval is the pause between reads of the upstream records from the store. They are polled because a
	// long poll would end at each heartbeat of an upstream. An upstream that leaves must get no requests after 2 s.
	upstreamPollInterval = 500 * time.Millisecond
	// peerLagTolerance is how long this router may lack a record that its peers have read before it reads the store
	// itself. peerLagToleranceLarge replaces it for the upstream records of a large fleet, in which a change may take
	// longer. It is above upstreamPollInterval: otherwise all routers of a zone would read the store whenever the reader
	// of another zone was first.
	peerLagTolerance      = 300 * time.Millisecond
	peerLagToleranceLarge = 800 * time.Millisecond
	// largeFleetSize is the number of routers from which gossip goes through the heads of the zones.
	largeFleetSize = 18
	// peerFailureBackoff is how long this router reads the store itself, or skips a peer, after a read from that peer
	// failed.
	peerFailureBackoff = 3 * time.Second
	// catchUpTime is how long a router of a large fleet reads the store itself because peers have read further. A reader
	// that still lags afterwards is detected again.
	catchUpTime = time.Second
	// shortPollWait is how long a read waits while this router is overloaded or a peer has failed. staleAfter is the age
	// at which a topic is too old for an overloaded router to route by: in large deployments an upstream that leaves
	// must get no requests after 3 s, and the router that reads the store may need 1 s of that.
	shortPollWait = 300 * time.Millisecond
	staleAfter    = 1500 * time.Millisecond
	// startupTime is how long a starting router of a large fleet loads the topics from peers of which it does not know
	// yet whether they reach the store; gossip tells it within that time. startupPollInterval is how often it checks
	// whether peers are known.
	startupTime         = 3 * time.Second
	startupPollInterval = 10 * time.Millisecond
	// discoveryTimeout is how long a starting router waits for its first discovery of peers, which takes one call to the
	// store.
	discoveryTimeout = 200 * time.Millisecond
	// parentStartupTime is how long after its start a router retries the peer from which it loads the topics, its parent
	// in the tree of starting routers, if that does not answer: it may be starting too. The routers of a fleet start
	// within 0.3 s of each other.
	parentStartupTime = 500 * time.Millisecond
	// rewriteTime is how long operators may take to write again what the store lost when it came back from a copy. Together with the time of a
	// read it is below the 5 s within which a zone must get no more requests.
	rewriteTime = 3 * time.Second
	// storeRetryInterval is how often a router that reads from a peer retries a store that did not answer.
	storeRetryInterval = time.Second
)

// topics follows the topics of the store.
type topics struct {
	router    *Router
	store     *storeSource
	operator  *topic
	upstreams *topic
	// status is followed only while there are roll-outs without a result.
	status *topic
	client *http.Client
}

// topic is the state of one topic of the store.
type topic struct {
	mirror   *feed.Mirror
	follower *feed.Follower

	mutex          sync.Mutex
	peerLag        feed.LagDetector
	readStoreUntil time.Time
	// skipped is the peer whose last read failed; it is skipped until skippedUntil.
	skipped      clementinewind.Instance
	skippedUntil time.Time
	// readStart is when the current read was sent, and asOf is the time up to which the topic was read, both on the
	// clock of boot.Now.
	readStart, asOf time.Duration
	// failing is set while reads fail. The router then continues with the data it has.
	failing bool
	// lastLoadFromPeer is set if the last attempt to load the topic was made at a peer.
	lastLoadFromPeer bool
	// sourceName names where the topic was read last.
	sourceName string
}

// sourceStore is the name of the store as a source of topics; peers go by the names of their instances.
const sourceStore = "store"

func newTopics(router *Router) topics {
	built := topics{
		router:    router,
		store:     &storeSource{store: router.store},
		operator:  &topic{mirror: feed.NewMirror(feed.MirrorConfig{Newer: view.ConfigurationNewer, DisputeTime: rewriteTime})},
		upstreams: &topic{mirror: feed.NewMirror(feed.MirrorConfig{Unchanged: view.UpstreamUnchanged, Newer: view.UpstreamNewer})},
		status:    &topic{mirror: feed.NewMirror(feed.MirrorConfig{DisputeTime: rewriteTime})},
		client:    gossip.NewFeedClient(dialer(0).DialContext),
	}
	follow := func(topic *topic, name string, storePoll feed.PollOptions, apply func([]feed.Record, time.Time)) {
		topic.follower = feed.NewFollower(feed.FollowerConfig{
			Topic: name, Mirror: topic.mirror, Apply: apply, Logger: router.config.Logger,
			NextPoll: func() feed.PollOptions {
				options := built.nextPoll(topic, storePoll, time.Now())
				built.logSource(topic, name, options.Source)
				return options
			},
			LastReachedByPeer: router.roster.PeerReachedStoreAt, OnRead: topic.finishRead, OnEra: router.beginEra,
		})
	}
	follow(built.operator, platform.TopicOperator, feed.PollOptions{Source: built.store, Wait: longPollWait}, router.rollouts.applyOperator)
	follow(built.upstreams, platform.TopicUpstreams, feed.PollOptions{Source: built.store, Interval: upstreamPollInterval}, router.view.ApplyUpstreams)
	follow(built.status, platform.TopicStatus, feed.PollOptions{Source: built.store, Wait: longPollWait}, router.rollouts.applyStatus)
	return built
}

func (topics topics) mirrors() map[string]*feed.Mirror {
	return map[string]*feed.Mirror{
		platform.TopicOperator: topics.operator.mirror, platform.TopicUpstreams: topics.upstreams.mirror,
		platform.TopicStatus: topics.status.mirror,
	}
}

func (topics topics) offsets() gossip.Offsets {
	return gossip.Offsets{Operator: topics.operator.mirror.LastChange(), Upstreams: topics.upstreams.mirror.LastChange()}
}

// nextPoll returns how to read a topic next. One router of each zone reads the store and the others read from it, so that
// the load on the store does not grow with the fleet: otherwise each router would read the heartbeats of all upstreams.
// While a large fleet starts as a whole and it is not known yet who reaches the store, routers load the topics along a
// tree.
func (topics topics) nextPoll(topic *topic, storePoll feed.PollOptions, now time.Time) feed.PollOptions {
	topic.beginRead()
	wait := longPollWait
	if topics.router.cpu.overloaded() {
		wait = shortPollWait
		storePoll.Wait = min(storePoll.Wait, shortPollWait)
	}
	if topic.alternateToPeer(topics.store.failing()) {
		// Peers may have dropped this router before its restart, so it may not have heard any of them yet.
		if servingPeer, ok := topics.router.roster.ServingPeer(now); ok {
			return feed.PollOptions{Source: topics.newPeerSource(topic, servingPeer)}
		}
	}
	uptime := now.Sub(topics.router.started)
	starting := uptime < startupTime
	if uptime < discoveryTimeout && !topics.router.discovered.Load() {
		return feed.PollOptions{Interval: startupPollInterval}
	}
	skipped, large := topic.skippedPeer(now), topics.largeFleet()
	reader, ok := topics.storeReader(skipped, now)
	_, loaded := topic.mirror.Next()
	if starting && large && !(loaded && ok) {
		reader, ok = topics.router.roster.StartupParent(now, skipped)
	}
	switch {
	case !ok, !loaded && !large, topic.readsStore(now) && !topics.store.failing():
		return storePoll
	}
	if skipped != "" {
		// If this peer fails too, little time is left to try another source.
		wait = shortPollWait
	}
	peerPoll := feed.PollOptions{Source: topics.newPeerSource(topic, reader), Wait: wait}
	if starting && !loaded {
		peerPoll.RetryDelay = startupPollInterval
	}
	return peerPoll
}

// storeReader returns the peer that reads the store for this router, if there is one. A router that the store does not answer reads from the peer
// that is to be skipped rather than from nobody.
func (topics topics) storeReader(skipped clementinewind.Instance, now time.Time) (roster.Member, bool) {
	reader, ok := topics.router.roster.StoreReader(now, skipped)
	if !ok && skipped != "" && topics.store.failing() {
		return topics.router.roster.StoreReader(now, "")
	}
	return reader, ok
}

// retryStore calls the store from time to time while it does not answer this router and a peer reads it, until the context ends. Topics are read from
// the peer meanwhile, and do not wait for the store.
func (topics topics) retryStore(ctx context.Context) error {
	for {
		if err := pause.For(ctx, storeRetryInterval); err != nil {
			return err
		}
		now := time.Now()
		next, loaded := topics.operator.mirror.Next()
		if _, ok := topics.storeReader("", now); !ok || !loaded || !topics.store.retryDue(now) {
			continue
		}
		// Only whether it answers matters here, which Read records.
		_, _ = topics.store.Read(ctx, platform.TopicOperator, next, 0)
	}
}

// logSource logs where a topic is read if that has changed.
func (topics topics) logSource(topic *topic, name string, source feed.Source) {
	sourceName := sourceStore
	switch source := source.(type) {
	case nil:
		return
	case peerSource:
		sourceName = string(source.instance)
	}
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	if sourceName != topic.sourceName {
		topics.router.config.Logger.Info("topic source changed", "Topic", name, "Source", sourceName, "Before", topic.sourceName)
		topic.sourceName = sourceName
	}
}

// peerMayBeStarting reports whether a peer that does not answer may still be starting, as this router is.
func (topics topics) peerMayBeStarting(topic *topic) bool {
	_, loaded := topic.mirror.Next()
	return !loaded && time.Since(topics.router.started) < parentStartupTime
}

func (topics topics) newPeerSource(topic *topic, member roster.Member) peerSource {
	return peerSource{
		Source: gossip.Source{Address: member.PeerAddress, Client: topics.client}, topics: topics, topic: topic, instance: member.Instance,
	}
}

// largeFleet reports whether the fleet is too large for all routers to call the store at once.
func (topics topics) largeFleet() bool { return topics.router.roster.Count() >= largeFleetSize }

// beginRead records that a read is sent.
func (topic *topic) beginRead() {
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	topic.readStart = boot.Now()
}

// finishRead records the result of a read. The topic is then known up to the start of the read, plus the time for which
// the source had no new records. Without that time an idle topic would look stale near the end of each long poll.
func (topic *topic) finishRead(idle time.Duration, err error) {
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	topic.failing = err != nil
	if err == nil {
		topic.asOf = topic.readStart + idle
	}
}

// stale reports whether the topic was last read more than staleAfter ago although reads do not fail.
func (topic *topic) stale(now time.Duration) bool {
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	return !topic.failing && topic.asOf > 0 && now-topic.asOf > staleAfter
}

func (topic *topic) currentAsOf() time.Duration {
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	return topic.asOf
}

// currentAsOf returns the time up to which all topics that matter now were read.
func (topics topics) currentAsOf() time.Duration {
	asOf := min(topics.operator.currentAsOf(), topics.upstreams.currentAsOf())
	if topics.router.rollouts.registry.Undecided() {
		asOf = min(asOf, topics.status.currentAsOf())
	}
	return asOf
}

// stale reports whether this router has fallen behind on a topic although it can be read.
func (topics topics) stale() bool {
	now := boot.Now()
	return topics.operator.stale(now) || topics.upstreams.stale(now)
}

// readNow reads all topics without waiting for the next poll.
func (topics topics) readNow() {
	topics.operator.follower.TriggerRead()
	topics.upstreams.follower.TriggerRead()
	topics.status.follower.TriggerRead()
}

// alternateToPeer reports whether a topic that was never loaded is loaded from a peer: at every second attempt while the
// store fails. It serves routers that restart without state during an outage of the store.
func (topic *topic) alternateToPeer(storeFailing bool) bool {
	_, loaded := topic.mirror.Next()
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	topic.lastLoadFromPeer = storeFailing && !loaded && !topic.lastLoadFromPeer
	return topic.lastLoadFromPeer
}

// readsStore reports whether the store is read even though a peer reads it.
func (topic *topic) readsStore(now time.Time) bool {
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	return now.Before(topic.readStoreUntil)
}

// skippedPeer returns the peer that is skipped because a read from it failed, or "".
func (topic *topic) skippedPeer(now time.Time) clementinewind.Instance {
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	if now.Before(topic.skippedUntil) {
		return topic.skipped
	}
	return ""
}

// recordPeerFailure records that a read from a peer failed. If peersFirst is set, the next reader is tried first, and the store only if that one
// fails too: otherwise the sixty routers of a large zone would call the store at once when its reader dies, and a router that the store does
// not answer would wait for it.
func (topic *topic) recordPeerFailure(peer clementinewind.Instance, peersFirst bool, now time.Time) {
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	if peersFirst && !now.Before(topic.skippedUntil) {
		topic.skipped, topic.skippedUntil = peer, now.Add(peerFailureBackoff)
		return
	}
	topic.readStoreUntil = now.Add(peerFailureBackoff)
}

// observePeerOffset compares how far a peer has read with this router. If this router has lagged for longer than tolerance, it reads at once: from
// the store for a while, or from another peer if the store does not answer. It reports whether it does.
func (topic *topic) observePeerOffset(peerOffset feed.Position, storeFailing bool, tolerance, readStoreFor time.Duration, now time.Time) (behind bool) {
	next, _ := topic.mirror.Next()
	topic.mutex.Lock()
	defer topic.mutex.Unlock()
	if !topic.peerLag.Behind(peerOffset, next, tolerance, now) {
		return false
	}
	if !storeFailing {
		topic.readStoreUntil = now.Add(readStoreFor)
	} else if topic.sourceName != sourceStore {
		topic.skipped, topic.skippedUntil = clementinewind.Instance(topic.sourceName), now.Add(peerFailureBackoff)
	}
	topic.follower.TriggerRead()
	return true
}

// observePeerOffsets compares how far a peer has read each topic with this router.
func (topics topics) observePeerOffsets(offsets gossip.Offsets) {
	now := time.Now()
	tolerance, readStoreFor := peerLagTolerance, peerFailureBackoff
	if topics.largeFleet() {
		tolerance, readStoreFor = peerLagToleranceLarge, catchUpTime
	}
	failing := topics.store.failing()
	if topics.operator.observePeerOffset(offsets.Operator, failing, peerLagTolerance, readStoreFor, now) {
		next, _ := topics.operator.mirror.Next()
		topics.router.config.Logger.Warn("orders of operators arrive later than at other routers, reading at once",
			"Read", next, "Peer", offsets.Operator, "StoreFailing", failing)
	}
	topics.upstreams.observePeerOffset(offsets.Upstreams, failing, tolerance, readStoreFor, now)
}

// peerSource reads from a peer. A failed read makes the next one use another source.
type peerSource struct {
	gossip.Source
	topics   topics
	topic    *topic
	instance clementinewind.Instance
}

// Newest implements feed.Source.
func (source peerSource) Newest(ctx context.Context, topic string) (feed.Batch, error) {
	return source.Read(ctx, topic, feed.FullRead, shortPollWait)
}

// Read implements feed.Source.
func (source peerSource) Read(ctx context.Context, topic string, from feed.Position, wait time.Duration) (feed.Batch, error) {
	batch, err := source.Source.Read(ctx, topic, from, wait)
	if err != nil && !errors.Is(err, feed.ErrTruncated) && ctx.Err() == nil && !source.topics.peerMayBeStarting(source.topic) {
		source.topic.recordPeerFailure(source.instance, source.topics.largeFleet() || source.topics.store.failing(), time.Now())
	}
	return batch, err
}

// storeSource reads the store and records whether the store answers this router.
type storeSource struct {
	store *platform.Store

	mutex      sync.Mutex
	lastFailed bool
	// triedAt is when the last call ended, reachedAt when the last one that succeeded did.
	triedAt, reachedAt time.Time
}

// Newest implements feed.Source.
func (source *storeSource) Newest(ctx context.Context, topic string) (feed.Batch, error) {
	batch, err := source.store.Newest(ctx, topic)
	source.recordResult(ctx, err)
	return batch, err
}

// Read implements feed.Source.
func (source *storeSource) Read(ctx context.Context, topic string, from feed.Position, wait time.Duration) (feed.Batch, error) {
	batch, err := source.store.Read(ctx, topic, from, wait)
	source.recordResult(ctx, err)
	return batch, err
}

func (source *storeSource) recordResult(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	source.mutex.Lock()
	defer source.mutex.Unlock()
	source.lastFailed, source.triedAt = err != nil, time.Now()
	if err == nil {
		source.reachedAt = source.triedAt
	}
}

// lastReachedAt returns when the last call that succeeded ended; zero if there was none.
func (source *storeSource) lastReachedAt() time.Time {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	return source.reachedAt
}

// reachable reports whether the last call succeeded.
func (source *storeSource) reachable() bool {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	return !source.lastFailed && !source.triedAt.IsZero()
}

// failing reports whether the last call failed.
func (source *storeSource) failing() bool {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	return source.lastFailed
}

// retryDue reports whether a store that did not answer should be tried again.
func (source *storeSource) retryDue(now time.Time) bool {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	return source.lastFailed && now.Sub(source.triedAt) > storeRetryInterval
}
