package feed_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/store/feed"
)

func record(key, value string, offset int64) feed.Record {
	return feed.Record{Key: key, Value: []byte(value), Offset: offset}
}

func ExampleMirror() {
	mirror := feed.NewMirror(feed.MirrorConfig{})
	mirror.Apply(feed.Batch{Records: []feed.Record{record("config", "new", 7)}, Next: 8})
	// A read that is behind arrives late.
	mirror.Apply(feed.Batch{Records: []feed.Record{record("config", "old", 4)}, Next: 5})
	fmt.Println(string(mirror.Since(0).Records[0].Value))
	// Output: new
}

// Guards against a full read of a store that answers from the past: it must neither undo a newer write nor delete a key
// that was written after it.
func TestReplaceKeepsNewer(t *testing.T) {
	mirror := feed.NewMirror(feed.MirrorConfig{})
	mirror.Replace(feed.Batch{Records: []feed.Record{record("a", "1", 1), record("b", "1", 2)}, Next: 3})
	mirror.Apply(feed.Batch{Records: []feed.Record{record("c", "1", 5)}, Next: 6})
	fresh := mirror.Replace(feed.Batch{Records: []feed.Record{record("a", "1", 1)}, Next: 3})
	quicktest.Check(t, fresh, quicktest.HasLen, 1)
	quicktest.Check(t, fresh[0].Key, quicktest.Equals, "b")
	quicktest.Check(t, fresh[0].Deleted(), quicktest.IsTrue)
	next, _ := mirror.Next()
	quicktest.Check(t, next, quicktest.Equals, int64(6))
}

// Guards against heartbeats that are passed on to every router although they say nothing new.
func TestSameRecordsAreNotPassedOn(t *testing.T) {
	mirror := feed.NewMirror(feed.MirrorConfig{Unchanged: bytes.Equal})
	mirror.Apply(feed.Batch{Records: []feed.Record{record("a", "1", 1)}, Next: 2})
	quicktest.Check(t, mirror.Apply(feed.Batch{Records: []feed.Record{record("a", "1", 9)}, Next: 10}), quicktest.HasLen, 0)
	quicktest.Check(t, mirror.Since(2).Records, quicktest.HasLen, 0)
	quicktest.Check(t, mirror.LastChange(), quicktest.Equals, int64(1))
	// An older record still does not replace it.
	quicktest.Check(t, mirror.Apply(feed.Batch{Records: []feed.Record{record("a", "0", 5)}, Next: 6}), quicktest.HasLen, 0)
}
