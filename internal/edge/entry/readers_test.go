package entry

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/admin/conf"
	"github.com/clementinewind/clementinewind/internal/admin/telem"
	"github.com/clementinewind/clementinewind/internal/fleet/roster"
	"github.com/clementinewind/clementinewind/internal/store/feed"
)

// zoned returns an entry that has read both topics and hears the given number of routers of its zone. It is the last one by name.
func zoned(t *testing.T, routers int) *Entry {
	t.Helper()
	settings := conf.DefaultEntry()
	settings.Name, settings.Zone, settings.CoreShare = "router-z", "a", 1
	meter, err := telem.NewEntry(telem.EntryConfig{})
	quicktest.Assert(t, err, quicktest.IsNil)
	entry := New(Config{Settings: settings, Meter: meter, Logger: hclog.New(&hclog.LoggerOptions{Output: io.Discard})})
	for number := range routers {
		entry.roster.RecordHeartbeat(roster.Member{
			Instance: clementinewind.Instance(fmt.Sprintf("router-%02d", number)), Zone: "a", Incarnation: 1, Ready: true, Cores: 1,
			StoreReachable: true, PeerAddress: fmt.Sprintf("10.0.0.%d:1", number), CallerAddress: fmt.Sprintf("10.0.0.%d:2", number),
		}, time.Now())
	}
	entry.roster.UpdateSelf(true, false, true, 0)
	entry.lookedUp.Store(true)
	entry.started = entry.started.Add(-startTime)
	for _, topic := range []*topic{entry.readers.operator, entry.readers.upstreams} {
		topic.mirror.Replace(feed.Batch{Next: 1})
	}
	return entry
}

func (entry *Entry) sourceAt(now time.Time) string {
	plan := entry.readers.plan(entry.readers.upstreams, feed.PollOptions{Source: entry.readers.store}, now)
	if peer, ok := plan.Source.(peerSource); ok {
		return string(peer.instance)
	}
	return "store"
}

// Replays a large zone whose reader dies: its routers turn to the next reader, and to the store only if that one is silent too.
// Guards against sixty routers that call the store three times a second because of one.
func TestSilentReaderIsPassedOver(t *testing.T) {
	entry, now := zoned(t, largeFleet), time.Now()
	topic := entry.readers.upstreams
	quicktest.Check(t, entry.sourceAt(now), quicktest.Equals, "router-00")
	topic.unanswered("router-00", true, now)
	quicktest.Check(t, entry.sourceAt(now), quicktest.Equals, "router-01")
	topic.unanswered("router-01", true, now)
	quicktest.Check(t, entry.sourceAt(now), quicktest.Equals, "store")
}

// Guards against a reader that is passed over for good, and against a small fleet that loses the time of a second silent router.
func TestReaderIsTriedAgain(t *testing.T) {
	entry, now := zoned(t, largeFleet), time.Now()
	entry.readers.upstreams.unanswered("router-00", true, now)
	quicktest.Check(t, entry.readers.upstreams.passedOver(now), quicktest.Equals, clementinewind.Instance("router-00"))
	quicktest.Check(t, entry.readers.upstreams.passedOver(now.Add(directTime)), quicktest.Equals, clementinewind.Instance(""))
	small := zoned(t, 5)
	small.readers.upstreams.unanswered("router-00", small.readers.large(), now)
	quicktest.Check(t, small.sourceAt(now), quicktest.Equals, "store")
	quicktest.Check(t, small.readers.upstreams.direct(now.Add(directTime)), quicktest.IsFalse)
}

// Replays the first moments of a router of a large fleet that starts as a whole: the others are listed, and none was heard yet. Guards
// against three hundred routers that each load all topics from the store, and against one that waits for routers that are not there.
func TestStartingRouterReadsFromOthers(t *testing.T) {
	entry, now := zoned(t, 0), time.Now()
	entry.started, entry.readers.upstreams.mirror = now, feed.NewMirror(feed.MirrorConfig{})
	entry.lookedUp.Store(false)
	plan := entry.readers.plan(entry.readers.upstreams, feed.PollOptions{Source: entry.readers.store}, now)
	quicktest.Check(t, plan.Source, quicktest.IsNil)
	quicktest.Check(t, entry.sourceAt(now.Add(lookUpTime)), quicktest.Equals, "store")
	entry.lookedUp.Store(true)
	quicktest.Check(t, entry.sourceAt(now), quicktest.Equals, "store")
	for number := range largeFleet {
		entry.roster.AddFromStore(roster.Member{
			Instance: clementinewind.Instance(fmt.Sprintf("router-%02d", number)), Zone: clementinewind.Zone([]string{"b", "a"}[number%2]),
			Incarnation: 1, PeerAddress: fmt.Sprintf("10.0.0.%d:1", number),
		}, now)
	}
	quicktest.Check(t, entry.sourceAt(now), quicktest.Equals, "router-05")
	entry.readers.upstreams.unanswered("router-05", true, now)
	quicktest.Check(t, entry.sourceAt(now), quicktest.Equals, "router-01")
	entry.readers.upstreams.unanswered("router-01", true, now)
	quicktest.Check(t, entry.sourceAt(now), quicktest.Equals, "store")
}

// Replays a router that becomes overloaded in the middle of a read which waits for news. Guards against one that takes the usual age of a
// quiet topic for its own delay and refuses all requests until the read ends.
func TestQuietTopicIsNotBehind(t *testing.T) {
	entry := zoned(t, largeFleet)
	read := func(topic *topic, held time.Duration, err error) time.Duration {
		topic.begin()
		topic.reached(held, err)
		return topic.began
	}
	topic := entry.readers.operator
	began := read(topic, followWait, nil)
	middle := began + followWait + 9*followWait/10
	quicktest.Check(t, topic.behind(middle), quicktest.IsFalse)
	quicktest.Check(t, topic.behind(began+followWait+behindTime), quicktest.IsFalse)
	// The read that is under way should have ended by then.
	quicktest.Check(t, topic.behind(began+followWait+behindTime+time.Millisecond), quicktest.IsTrue)
	// News end a read before its wait does, so that the topic is known up to the beginning of the read only.
	began = read(topic, 0, nil)
	quicktest.Check(t, topic.behind(began+behindTime+time.Millisecond), quicktest.IsTrue)
}
