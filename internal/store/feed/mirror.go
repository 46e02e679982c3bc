package feed

import (
	"cmp"
	"slices"
	"sync"
)

// MirrorConfig configures a Mirror.
type MirrorConfig struct {
	// Unchanged reports whether a newer value of a key says nothing new; nil compares nothing. Such records are not passed on.
	Unchanged func(older, newer []byte) bool
}

// Mirror is a copy of one topic. Records apply in the order of their offsets, whatever order they arrive in, so that a
// read that is behind never undoes a newer write.
type Mirror struct {
	config MirrorConfig

	mutex   sync.Mutex
	entries map[string]entry
	next    int64
	// last is the offset of the newest record that said something new.
	last    int64
	loaded  bool
	changed chan struct{}
}

type entry struct {
	// record is the oldest one that says what the newest one says.
	record Record
	newest int64
}

// NewMirror returns an empty mirror.
func NewMirror(config MirrorConfig) *Mirror {
	if config.Unchanged == nil {
		config.Unchanged = func(_, _ []byte) bool { return false }
	}
	return &Mirror{config: config, entries: map[string]entry{}, last: -1, changed: make(chan struct{})}
}

// Next returns the offset up to which the mirror is complete, and whether it was ever loaded.
func (mirror *Mirror) Next() (int64, bool) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	return mirror.next, mirror.loaded
}

// LastChange returns the offset of the newest record that said something new, and -1 before the first one.
func (mirror *Mirror) LastChange() int64 {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	return mirror.last
}

// Changed returns a channel that is closed at the next change of a record.
func (mirror *Mirror) Changed() <-chan struct{} {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	return mirror.changed
}

// Since returns the newest records of all keys that changed at or after an offset, oldest first.
func (mirror *Mirror) Since(from int64) Batch {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	batch := Batch{Next: mirror.next}
	for _, entry := range mirror.entries {
		if entry.record.Offset >= from {
			batch.Records = append(batch.Records, entry.record)
		}
	}
	slices.SortFunc(batch.Records, byOffset)
	return batch
}

// Apply applies the records of a read and returns those that say something new.
func (mirror *Mirror) Apply(batch Batch) []Record {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	fresh := mirror.merge(batch.Records)
	mirror.advance(batch.Next, fresh)
	return fresh
}

// Replace applies a full read and returns the changes, with a deletion for each key that the full read no longer has.
// Keys written after the full read stay.
func (mirror *Mirror) Replace(batch Batch) []Record {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	present := make(map[string]bool, len(batch.Records))
	for _, record := range batch.Records {
		present[record.Key] = true
	}
	fresh := mirror.merge(batch.Records)
	for key, known := range mirror.entries {
		if !present[key] && !known.record.Deleted() && known.newest < batch.Next {
			deletion := Record{Key: key, Offset: batch.Next - 1}
			mirror.entries[key] = entry{record: deletion, newest: deletion.Offset}
			fresh = append(fresh, deletion)
		}
	}
	mirror.loaded = true
	mirror.advance(batch.Next, fresh)
	return fresh
}

func (mirror *Mirror) merge(records []Record) []Record {
	var fresh []Record
	for _, record := range slices.SortedFunc(slices.Values(records), byOffset) {
		known, ok := mirror.entries[record.Key]
		if ok && known.newest >= record.Offset {
			continue
		}
		if ok && !known.record.Deleted() && !record.Deleted() && mirror.config.Unchanged(known.record.Value, record.Value) {
			known.newest = record.Offset
			mirror.entries[record.Key] = known
			continue
		}
		mirror.entries[record.Key] = entry{record: record, newest: record.Offset}
		fresh = append(fresh, record)
	}
	return fresh
}

func (mirror *Mirror) advance(next int64, fresh []Record) {
	mirror.next = max(mirror.next, next)
	for _, record := range fresh {
		mirror.last = max(mirror.last, record.Offset)
	}
	if len(fresh) > 0 {
		close(mirror.changed)
		mirror.changed = make(chan struct{})
	}
}

func byOffset(a, b Record) int { return cmp.Compare(a.Offset, b.Offset) }
