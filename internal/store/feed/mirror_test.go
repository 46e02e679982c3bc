package feed_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/store/feed"
)

func record(key, value string, offset int64) feed.Record {
	return feed.Record{Key: key, Value: []byte(value), Position: feed.Position(offset)}
}

func ExampleMirror() {
	mirror := feed.NewMirror(feed.MirrorConfig{})
	mirror.Apply(feed.Batch{Records: []feed.Record{record("config", "new", 7)}, Next: 8})
	// A stale read arrives late.
	mirror.Apply(feed.Batch{Records: []feed.Record{record("config", "old", 4)}, Next: 5})
	batch, _ := mirror.Since(0)
	fmt.Println(string(batch.Records[0].Value))
	// Output: new
}

// Guards against a full read from a stale replica of the store that undoes a newer write or deletes a key written
// later.
func TestReplaceKeepsNewerRecords(t *testing.T) {
	mirror := feed.NewMirror(feed.MirrorConfig{})
	mirror.Replace(feed.Batch{Records: []feed.Record{record("a", "1", 1), record("b", "1", 2)}, Next: 3})
	mirror.Apply(feed.Batch{Records: []feed.Record{record("c", "1", 5)}, Next: 6})
	changes := mirror.Replace(feed.Batch{Records: []feed.Record{record("a", "1", 1)}, Next: 3})
	quicktest.Check(t, changes, quicktest.HasLen, 1)
	quicktest.Check(t, changes[0].Key, quicktest.Equals, "b")
	quicktest.Check(t, changes[0].Deleted(), quicktest.IsTrue)
	next, _ := mirror.Next()
	quicktest.Check(t, next, quicktest.Equals, feed.Position(6))
}

// Guards against heartbeats that are sent to every router although they change nothing.
func TestUnchangedRecordsAreNotPassedOn(t *testing.T) {
	mirror := feed.NewMirror(feed.MirrorConfig{Unchanged: bytes.Equal})
	mirror.Apply(feed.Batch{Records: []feed.Record{record("a", "1", 1)}, Next: 2})
	quicktest.Check(t, mirror.Apply(feed.Batch{Records: []feed.Record{record("a", "1", 9)}, Next: 10}), quicktest.HasLen, 0)
	batch, err := mirror.Since(2)
	quicktest.Check(t, err, quicktest.IsNil)
	quicktest.Check(t, batch.Records, quicktest.HasLen, 0)
	quicktest.Check(t, mirror.LastChange(), quicktest.Equals, feed.Position(1))
	// An older record still does not replace the current one.
	quicktest.Check(t, mirror.Apply(feed.Batch{Records: []feed.Record{record("a", "0", 5)}, Next: 6}), quicktest.HasLen, 0)
}
