package entry

import (
	"fmt"
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/admin/conf"
	"github.com/clementinewind/clementinewind/internal/admin/telem"
	"github.com/clementinewind/clementinewind/internal/fleet/gossip"
	"github.com/clementinewind/clementinewind/internal/fleet/roster"
	"github.com/clementinewind/clementinewind/internal/store/feed"
)

// newZoneRouter returns a router that has read both topics and has heard the given number of routers in its zone. Its
// name sorts last.
func newZoneRouter(t *testing.T, routers int) *Router {
	t.Helper()
	settings := conf.DefaultEntry()
	settings.Name, settings.Zone, settings.CoreShare = "router-z", "a", 1
	meter, err := telem.NewEntry(telem.EntryConfig{})
	quicktest.Assert(t, err, quicktest.IsNil)
	router := New(Config{Settings: settings, Meter: meter, Logger: hclog.New(&hclog.LoggerOptions{Output: io.Discard})})
	for number := range routers {
		router.roster.RecordHeartbeat(roster.Member{
			Instance: clementinewind.Instance(fmt.Sprintf("router-%02d", number)), Zone: "a", Incarnation: 1, Ready: true, Cores: 1,
			StoreReachable: true, PeerAddress: fmt.Sprintf("10.0.0.%d:1", number), CallerAddress: fmt.Sprintf("10.0.0.%d:2", number),
		}, time.Now())
	}
	router.roster.UpdateSelf(true, false, true, 0)
	router.discovered.Store(true)
	router.started = router.started.Add(-startupTime)
	for _, topic := range []*topic{router.topics.operator, router.topics.upstreams} {
		topic.mirror.Replace(feed.Batch{Next: 1})
	}
	return router
}

func (router *Router) sourceAt(now time.Time) string {
	poll := router.topics.nextPoll(router.topics.upstreams, feed.PollOptions{Source: router.topics.store}, now)
	if peer, ok := poll.Source.(peerSource); ok {
		return string(peer.instance)
	}
	return "store"
}

// The reader of a large zone dies. Guards against its sixty routers calling the store three times a second: they try the
// next reader first.
func TestSilentReaderIsSkipped(t *testing.T) {
	router, now := newZoneRouter(t, largeFleetSize), time.Now()
	topic := router.topics.upstreams
	quicktest.Check(t, router.sourceAt(now), quicktest.Equals, "router-00")
	topic.recordPeerFailure("router-00", true, now)
	quicktest.Check(t, router.sourceAt(now), quicktest.Equals, "router-01")
	topic.recordPeerFailure("router-01", true, now)
	quicktest.Check(t, router.sourceAt(now), quicktest.Equals, "store")
}

// Guards against a reader that is skipped for good, and against a small fleet that spends time on a second failed peer.
func TestSkippedReaderIsRetried(t *testing.T) {
	router, now := newZoneRouter(t, largeFleetSize), time.Now()
	router.topics.upstreams.recordPeerFailure("router-00", true, now)
	quicktest.Check(t, router.topics.upstreams.skippedPeer(now), quicktest.Equals, clementinewind.Instance("router-00"))
	quicktest.Check(t, router.topics.upstreams.skippedPeer(now.Add(peerFailureBackoff)), quicktest.Equals, clementinewind.Instance(""))
	small := newZoneRouter(t, 5)
	small.topics.upstreams.recordPeerFailure("router-00", small.topics.largeFleet(), now)
	quicktest.Check(t, small.sourceAt(now), quicktest.Equals, "store")
	quicktest.Check(t, small.topics.upstreams.readsStore(now.Add(peerFailureBackoff)), quicktest.IsFalse)
}

// Guards against a router that turns to the store because a peer has restarted and no longer has the history that it asked for. The peer
// answers, and the whole topic is read from it.
func TestTruncatedPeerIsNotSkipped(t *testing.T) {
	router := newZoneRouter(t, 5)
	mirror := feed.NewMirror(feed.MirrorConfig{})
	mirror.Replace(feed.Batch{Next: 9})
	server := httptest.NewServer(gossip.FeedHandler(map[string]*feed.Mirror{"topic": mirror}, hclog.NewNullLogger()))
	defer server.Close()
	member := roster.Member{Instance: "router-00", PeerAddress: server.Listener.Addr().String()}
	source := router.topics.newPeerSource(router.topics.upstreams, member)
	_, err := source.Read(t.Context(), "topic", 1, 0)
	quicktest.Check(t, err, quicktest.ErrorIs, feed.ErrTruncated)
	quicktest.Check(t, router.topics.upstreams.readsStore(time.Now()), quicktest.IsFalse)
	batch, err := source.Newest(t.Context(), "topic")
	quicktest.Check(t, err, quicktest.IsNil)
	quicktest.Check(t, batch.Next, quicktest.Equals, feed.Position(9))
}

// A large fleet starts as a whole: its routers are registered, but none has been heard yet. Guards against three
// hundred routers loading the topics from the store, and against a router that waits for peers that do not exist.
func TestStartingRouterReadsFromPeers(t *testing.T) {
	router, now := newZoneRouter(t, 0), time.Now()
	router.started, router.topics.upstreams.mirror = now, feed.NewMirror(feed.MirrorConfig{})
	router.discovered.Store(false)
	poll := router.topics.nextPoll(router.topics.upstreams, feed.PollOptions{Source: router.topics.store}, now)
	quicktest.Check(t, poll.Source, quicktest.IsNil)
	quicktest.Check(t, router.sourceAt(now.Add(discoveryTimeout)), quicktest.Equals, "store")
	router.discovered.Store(true)
	quicktest.Check(t, router.sourceAt(now), quicktest.Equals, "store")
	for number := range largeFleetSize {
		router.roster.AddFromStore(roster.Member{
			Instance: clementinewind.Instance(fmt.Sprintf("router-%02d", number)), Zone: clementinewind.Zone([]string{"b", "a"}[number%2]),
			Incarnation: 1, PeerAddress: fmt.Sprintf("10.0.0.%d:1", number),
		}, now)
	}
	quicktest.Check(t, router.sourceAt(now), quicktest.Equals, "router-05")
	router.topics.upstreams.recordPeerFailure("router-05", true, now)
	quicktest.Check(t, router.sourceAt(now), quicktest.Equals, "router-01")
	router.topics.upstreams.recordPeerFailure("router-01", true, now)
	quicktest.Check(t, router.sourceAt(now), quicktest.Equals, "store")
}

// A router becomes overloaded in the middle of a long poll. Guards against taking the normal age of an idle topic for a
// lag, which would refuse all requests until the read ends.
func TestIdleTopicIsNotStale(t *testing.T) {
	router := newZoneRouter(t, largeFleetSize)
	read := func(topic *topic, idle time.Duration, err error) time.Duration {
		topic.beginRead()
		topic.finishRead(idle, err)
		return topic.readStart
	}
	topic := router.topics.operator
	began := read(topic, longPollWait, nil)
	middle := began + longPollWait + 9*longPollWait/10
	quicktest.Check(t, topic.stale(middle), quicktest.IsFalse)
	quicktest.Check(t, topic.stale(began+longPollWait+staleAfter), quicktest.IsFalse)
	// The current read should have ended by then.
	quicktest.Check(t, topic.stale(began+longPollWait+staleAfter+time.Millisecond), quicktest.IsTrue)
	// New records end a read early, so that the topic is known only up to the start of the read.
	began = read(topic, 0, nil)
	quicktest.Check(t, topic.stale(began+staleAfter+time.Millisecond), quicktest.IsTrue)
}

// Guards against a router that the store does not answer and that reads nothing but the store, because its peers are ahead.
func TestLaggingRouterWithoutStoreReadsFromPeers(t *testing.T) {
	router, now := newZoneRouter(t, 2), time.Now()
	topic := router.topics.upstreams
	router.topics.store.recordResult(t.Context(), errors.New("no response"))
	router.roster.UpdateSelf(true, false, router.topics.store.reachable(), 0)
	quicktest.Check(t, router.sourceAt(now), quicktest.Equals, "router-00")
	// A second later the store may be tried again, but not instead of the peer.
	now = now.Add(storeRetryInterval + time.Millisecond)
	quicktest.Check(t, router.topics.store.retryDue(now), quicktest.IsTrue)
	quicktest.Check(t, router.sourceAt(now), quicktest.Equals, "router-00")
	topic.sourceName = "router-00"
	for _, want := range []string{"router-01", "router-01"} {
		topic.observePeerOffset(7, true, peerLagTolerance, peerFailureBackoff, now)
		now = now.Add(peerLagTolerance + time.Millisecond)
		topic.observePeerOffset(7, true, peerLagTolerance, peerFailureBackoff, now)
		quicktest.Check(t, topic.readsStore(now), quicktest.IsFalse)
		quicktest.Check(t, router.sourceAt(now), quicktest.Equals, want)
	}
	// With one peer left, that one is read although it lags.
	router.roster.RecordHeartbeat(roster.Member{Instance: "router-01", Zone: "a", Incarnation: 2, PeerAddress: "10.0.0.1:1"}, now)
	quicktest.Check(t, router.sourceAt(now), quicktest.Equals, "router-00")
}
