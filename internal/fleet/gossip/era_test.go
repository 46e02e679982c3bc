package gossip_test

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/clementinewind/clementinewind/internal/store/feed"
)

// comeBack loses the records from an offset on and begins a new era. It returns the newest lost record of each key, in their order.
func (log *topicLog) comeBack(offset int) (lost []feed.Record) {
	for _, record := range slices.Backward(log.records[offset:]) {
		if !slices.ContainsFunc(lost, func(later feed.Record) bool { return later.Key == record.Key }) {
			lost = append(lost, record)
		}
	}
	slices.Reverse(lost)
	// A copy of it, because readers hold parts of the earlier records.
	log.records = slices.Clone(log.records[:offset])
	for i, record := range log.records {
		log.records[i].Position = feed.NewPosition(log.era+1, record.Position.Offset())
	}
	log.era++
	log.first = feed.NewPosition(log.era, min(log.first.Offset(), int64(offset)))
	return lost
}

// sequenceOf returns the number after the slash of a value.
func sequenceOf(value []byte) int {
	_, text, _ := bytes.Cut(value, []byte("/"))
	sequence, _ := strconv.Atoi(string(text))
	return sequence
}

// Guards against a router that holds something else than the store after the store came back from a copy, or that takes an older value for a newer
// one: readers change, restart, and read between the return and the moment when the lost records are written again.
func TestStoreComesBackAroundReaders(t *testing.T) {
	newer := func(older, newer []byte) bool { return len(older) > 0 && sequenceOf(newer) > sequenceOf(older) }
	for name, config := range map[string]feed.MirrorConfig{
		"values with an order of their own": {Unchanged: sameState, Newer: newer},
		"values without":                    {DisputeTime: time.Nanosecond},
	} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(test *rapid.T) {
				log := &topicLog{}
				sequence := 0
				keys := []string{"a", "b", "c"}
				write := func(key string) {
					sequence++
					log.write(key, fmt.Sprintf("%s/%d", rapid.SampledFrom([]string{"ready", "leaving"}).Draw(test, "state"), sequence))
				}
				readers := newFeedReaders(test, log, 3)
				for _, reader := range readers {
					reader.config = config
					reader.restart()
				}
				reader := func(label string) *feedReader { return readers[rapid.IntRange(0, len(readers)-1).Draw(test, label)] }
				var lost []feed.Record
				rewrite := func() {
					for _, record := range lost {
						log.write(record.Key, string(record.Value))
					}
					lost = nil
				}
				for range 80 {
					switch rapid.SampledFrom([]string{"write", "write", "write", "read store", "read store", "read peer", "read peer", "restart", "come back", "rewrite"}).Draw(test, "action") {
					case "write":
						// Whoever writes has written again what was lost before.
						rewrite()
						write(rapid.SampledFrom(keys).Draw(test, "key"))
					case "read store":
						reader("reading").read(log)
					case "read peer":
						if reading, peer := reader("reading"), reader("peer"); reading != peer {
							reading.readPeer(peer)
						}
					case "restart":
						reader("restarting").restart()
					case "come back":
						rewrite()
						lost = log.comeBack(rapid.IntRange(max(0, len(log.records)-6), len(log.records)).Draw(test, "copy"))
					case "rewrite":
						rewrite()
					}
				}
				rewrite()
				// Upstreams write their entries again and again; the next read after the end of the disputes settles them for operators.
				for range 3 {
					for _, reader := range readers {
						reader.read(log)
					}
					if config.DisputeTime == 0 {
						newest := log.newest()
						for _, key := range slices.Sorted(maps.Keys(newest)) {
							sequence++
							log.write(key, fmt.Sprintf("%s/%d", withoutSequence(newest[key].Value), sequence))
						}
					}
					time.Sleep(time.Nanosecond)
				}
				for _, reader := range readers {
					reader.read(log)
					reader.checkView()
				}
			})
		})
	}
}

// Guards against an upstream that has left and returns with the older copy of the store, and against orders that are undone by it.
func TestCopyDoesNotUndoKnownRecords(t *testing.T) {
	tests := map[string]struct {
		config feed.MirrorConfig
		// before are the records that are lost, after those that are written in the new era before the router reads it.
		before, after [][2]string
		want          map[string]string
	}{
		"upstream left":                      {before: [][2]string{{"a", ""}}, want: map[string]string{"b": "ready"}},
		"upstream changed":                   {before: [][2]string{{"a", "leaving/3"}}, want: map[string]string{"a": "leaving", "b": "ready"}},
		"order that is not written again":    {config: feed.MirrorConfig{DisputeTime: time.Hour}, before: [][2]string{{"c", "out/3"}}, want: map[string]string{"a": "ready", "b": "ready", "c": "out"}},
		"withdrawal that is not, either":     {config: feed.MirrorConfig{DisputeTime: time.Hour}, before: [][2]string{{"a", ""}}, want: map[string]string{"b": "ready"}},
		"order for which the time has ended": {config: feed.MirrorConfig{DisputeTime: time.Nanosecond}, before: [][2]string{{"c", "out/3"}}, want: map[string]string{"a": "ready", "b": "ready"}},
		"newer value at a lower offset": {
			config: feed.MirrorConfig{Newer: func(older, newer []byte) bool { return sequenceOf(newer) > sequenceOf(older) }},
			before: [][2]string{{"b", "ready/3"}, {"a", "ready/4"}}, after: [][2]string{{"a", "leaving/5"}, {"b", "ready/3"}},
			want: map[string]string{"a": "leaving", "b": "ready"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			log := &topicLog{}
			log.write("a", "ready/1")
			log.write("b", "ready/2")
			readers := newFeedReaders(t, log, 2)
			for _, reader := range readers {
				reader.config = test.config
				reader.restart()
			}
			for _, written := range test.before {
				log.write(written[0], written[1])
			}
			for _, reader := range readers {
				reader.read(log)
			}
			log.comeBack(2)
			for _, written := range test.after {
				log.write(written[0], written[1])
			}
			readers[0].read(log)
			// A router that reads from a peer sees the new era there.
			readers[1].readPeer(readers[0])
			for _, reader := range readers {
				time.Sleep(time.Microsecond)
				reader.read(log)
				quicktest.Check(t, reader.view, quicktest.DeepEquals, test.want, quicktest.Commentf("%s", reader.name))
			}
		})
	}
}
