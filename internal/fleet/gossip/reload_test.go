package gossip_test

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"pgregory.net/rapid"

	"github.com/clementinewind/clementinewind/internal/fleet/gossip"
	"github.com/clementinewind/clementinewind/internal/store/feed"
)

const reloadTopic = "topic"

// topicLog is a compacted topic of the store. It implements feed.Source.
type topicLog struct {
	records []feed.Record
	// first is the position of the oldest retained record.
	first feed.Position
	// era counts the returns of the store from a copy.
	era int64
	// betweenPages is called once in the middle of a full read.
	betweenPages func()
}

func (log *topicLog) write(key, value string) {
	log.records = append(log.records, feed.Record{Key: key, Value: []byte(value), Position: log.end()})
}

func (log *topicLog) end() feed.Position { return feed.NewPosition(log.era, int64(len(log.records))) }

func (log *topicLog) newest() map[string]feed.Record {
	newest := map[string]feed.Record{}
	for _, record := range log.records {
		newest[record.Key] = record
	}
	maps.DeleteFunc(newest, func(_ string, record feed.Record) bool { return record.Deleted() })
	return newest
}

func (log *topicLog) Newest(context.Context, string) (feed.Batch, error) {
	batch := feed.Batch{Next: log.end()}
	page := func(includes func(key string) bool) {
		newest := log.newest()
		for _, key := range slices.Sorted(maps.Keys(newest)) {
			if includes(key) {
				batch.Records = append(batch.Records, newest[key])
			}
		}
	}
	page(func(key string) bool { return key < "c" })
	if interrupt := log.betweenPages; interrupt != nil {
		log.betweenPages = nil
		interrupt()
	}
	page(func(key string) bool { return key >= "c" })
	return batch, nil
}

func (log *topicLog) Read(_ context.Context, _ string, from feed.Position, _ time.Duration) (feed.Batch, error) {
	if from < log.first || from.Era() < log.era {
		return feed.Batch{}, feed.ErrTruncated
	}
	return feed.Batch{Records: slices.Clone(log.records[from.Offset():]), Next: log.end()}, nil
}

// reporter is the common part of testing.T and rapid.T.
type reporter interface {
	Errorf(format string, args ...any)
}

// feedReader is the part of a router that follows the topic.
type feedReader struct {
	test reporter
	log  *topicLog
	name string

	config   feed.MirrorConfig
	mirror   *feed.Mirror
	follower *feed.Follower
	handler  http.Handler
	next     feed.Source
	stop     context.CancelFunc
	// view holds the current value of each key, applied the offset of the record that was applied last for it.
	view    map[string]string
	applied map[string]feed.Position
}

// withoutSequence cuts the heartbeat number off a value.
func withoutSequence(value []byte) []byte { return value[:bytes.IndexByte(value, '/')] }

// sameState reports whether two values differ in their heartbeat number only.
func sameState(older, newer []byte) bool {
	return bytes.Equal(withoutSequence(older), withoutSequence(newer))
}

func (reader *feedReader) restart() {
	reader.view, reader.applied = map[string]string{}, map[string]feed.Position{}
	reader.mirror = feed.NewMirror(reader.config)
	reader.handler = gossip.FeedHandler(map[string]*feed.Mirror{reloadTopic: reader.mirror}, hclog.NewNullLogger())
	reader.follower = feed.NewFollower(feed.FollowerConfig{
		Topic: reloadTopic, Mirror: reader.mirror, Logger: hclog.NewNullLogger(),
		NextPoll: func() feed.PollOptions {
			source := reader.next
			if reader.next = nil; source == nil {
				reader.stop()
			}
			return feed.PollOptions{Source: source, RetryDelay: time.Nanosecond}
		},
		Apply: func(records []feed.Record, _ time.Time) { reader.apply(records) },
	})
}

func (reader *feedReader) apply(records []feed.Record) {
	for _, record := range records {
		last, known := reader.applied[record.Key]
		if known && record.Position < last {
			reader.test.Errorf("%s: record %v of %s was applied after record %v", reader.name, record.Position, record.Key, last)
		}
		reader.applied[record.Key] = record.Position
		if !record.Deleted() {
			reader.view[record.Key] = string(withoutSequence(record.Value))
			continue
		}
		delete(reader.view, record.Key)
		// A store that came back from a copy has lost records, and tombstones of keys that it has again.
		if reader.log.era == 0 && !slices.ContainsFunc(reader.log.records, func(written feed.Record) bool { return written.Key == record.Key && written.Deleted() }) {
			reader.test.Errorf("%s: %s was removed and was never deleted", reader.name, record.Key)
		}
	}
}

// newFeedReaders returns routers that have read nothing yet.
func newFeedReaders(test reporter, log *topicLog, count int) []*feedReader {
	readers := make([]*feedReader, count)
	for i := range readers {
		readers[i] = &feedReader{test: test, log: log, name: fmt.Sprintf("router %d", i), config: feed.MirrorConfig{Unchanged: sameState}}
		readers[i].restart()
	}
	return readers
}

// read lets the follower read once.
func (reader *feedReader) read(source feed.Source) {
	var ctx context.Context
	ctx, reader.stop = context.WithCancel(context.Background())
	defer reader.stop()
	reader.next = source
	_ = reader.follower.Run(ctx)
}

// readPeer lets the follower read once from another router.
func (reader *feedReader) readPeer(peer *feedReader) {
	reader.read(gossip.Source{Address: "peer:1", Client: &http.Client{Transport: peer}})
}

// checkView compares what the router knows with the store.
func (reader *feedReader) checkView() {
	want := map[string]string{}
	for key, record := range reader.log.newest() {
		want[key] = string(withoutSequence(record.Value))
	}
	if !maps.Equal(reader.view, want) {
		reader.test.Errorf("%s holds %v, the store %v", reader.name, reader.view, want)
	}
}

// RoundTrip implements http.RoundTripper: it answers the reads of other routers.
func (reader *feedReader) RoundTrip(request *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	reader.handler.ServeHTTP(recorder, request)
	return recorder.Result(), nil
}

// Guards against a router that never learns of a deletion: the router from which it reads was down at the time of the deletion, and
// loaded the topic after it. An upstream that left goes on getting requests, a zone that returned stays out of service.
func TestDeletionBeforeRestartOfReader(t *testing.T) {
	log := &topicLog{}
	log.write("a", "ready/1")
	log.write("b", "ready/2")
	readers := newFeedReaders(t, log, 3)
	for _, reader := range readers {
		reader.read(log)
	}
	log.write("a", "")
	readers[0].restart()
	readers[0].read(log)
	readers[1].readPeer(readers[0])
	readers[1].checkView()
	// A router that reloaded from a peer has the same history as the peer.
	readers[2].readPeer(readers[1])
	readers[2].checkView()
}

// Guards against a reload that keeps an upstream that has left, because the peer remembers only that it left once before.
func TestReloadAfterSecondDeletion(t *testing.T) {
	log := &topicLog{}
	log.write("a", "ready/1")
	readers := newFeedReaders(t, log, 2)
	readers[0].read(log)
	log.write("a", "")
	readers[0].read(log)
	log.write("a", "ready/1")
	readers[1].read(log)
	log.write("a", "")
	log.write("b", "ready/1")
	log.first = log.end()
	readers[0].read(log)
	readers[1].readPeer(readers[0])
	readers[1].checkView()
}

// Guards against a router that loaded an empty topic, and takes each later read from a peer for a full one, in which deleted keys do not
// occur.
func TestDeletionAfterReadOfEmptyTopic(t *testing.T) {
	log := &topicLog{}
	log.betweenPages = func() { log.write("c", "ready/1") }
	readers := newFeedReaders(t, log, 2)
	readers[1].read(log)
	log.write("c", "")
	readers[0].read(log)
	readers[1].readPeer(readers[0])
	readers[1].checkView()
}

// Guards against a router that never learns that an upstream is back: it saw the deletion of the entry, but its peer read the entry before
// and after it only, and took the new one for a heartbeat.
func TestUnchangedRecordAfterUnseenDeletion(t *testing.T) {
	for name, catchUp := range map[string]func(log *topicLog, peer, other *feedReader){
		"full read of the store": func(log *topicLog, peer, _ *feedReader) {
			log.first = log.end()
			peer.read(log)
		},
		"read of a peer": func(log *topicLog, peer, other *feedReader) {
			other.read(log)
			peer.readPeer(other)
		},
	} {
		t.Run(name, func(t *testing.T) {
			log := &topicLog{}
			log.write("a", "ready/1")
			readers := newFeedReaders(t, log, 3)
			for _, reader := range readers {
				reader.read(log)
			}
			log.write("a", "")
			readers[1].read(log)
			log.write("a", "ready/1")
			catchUp(log, readers[0], readers[2])
			readers[1].readPeer(readers[0])
			readers[1].checkView()
		})
	}
}

// Guards against a change that a router never learns of because the router from which it reads has restarted, or has lost a part of the
// history itself: an upstream that left goes on getting requests, a zone stays out of service.
func TestReadersChangeAroundDeletions(t *testing.T) {
	rapid.Check(t, func(test *rapid.T) {
		log := &topicLog{}
		sequence := 0
		write := func() {
			key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(test, "key")
			if rapid.Bool().Draw(test, "delete") {
				log.write(key, "")
				return
			}
			sequence++
			log.write(key, fmt.Sprintf("%s/%d", rapid.SampledFrom([]string{"ready", "leaving"}).Draw(test, "state"), sequence))
		}
		readers := newFeedReaders(test, log, 3)
		reader := func(label string) *feedReader { return readers[rapid.IntRange(0, len(readers)-1).Draw(test, label)] }
		actions := []string{"write", "write", "write", "read store", "read store", "read peer", "read peer", "read peer", "restart", "forget history", "write between pages"}
		for range 80 {
			switch rapid.SampledFrom(actions).Draw(test, "action") {
			case "write":
				write()
			case "read store":
				reader("reading").read(log)
			case "read peer":
				if reading, peer := reader("reading"), reader("peer"); reading != peer {
					reading.readPeer(peer)
				}
			case "restart":
				reader("restarting").restart()
			case "forget history":
				log.first = log.end()
			case "write between pages":
				log.betweenPages = write
			}
		}
		log.betweenPages = nil
		for _, reader := range readers {
			reader.read(log)
			reader.checkView()
		}
	})
}
