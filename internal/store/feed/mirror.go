package feed

import (
	"cmp"
	"slices"
	"sync"
)

// MirrorConfig configures a Mirror.
type MirrorConfig struct {
	// Unchanged reports whether a newer value of a key carries no new information, such as a heartbeat. These records
	// are not passed on. If it is nil, every newer record of a key counts as a change.
	Unchanged func(older, newer []byte) bool
}

// Mirror is an in-memory copy of one topic. Per key, the record with the highest offset wins, whatever the order of
// arrival, so that a stale read never undoes a newer write.
type Mirror struct {
	config MirrorConfig

	mutex   sync.Mutex
	entries map[string]entry
	next    int64
	// completeFrom is the offset from which on the mirror knows each change. Keys that were deleted below it leave no trace in the
	// full read from which the mirror was loaded.
	completeFrom int64
	// lastChange is the offset of the newest current record.
	lastChange int64
	loaded     bool
	// updated is set once a record was put in the current read, changed is closed at the end of such a read.
	updated bool
	changed chan struct{}
}

type entry struct {
	// record is the oldest one since which the value is known not to have changed, newestOffset the offset of the newest one seen.
	record       Record
	newestOffset int64
}

// NewMirror returns an empty mirror.
func NewMirror(config MirrorConfig) *Mirror {
	if config.Unchanged == nil {
		config.Unchanged = func(_, _ []byte) bool { return false }
	}
	return &Mirror{config: config, entries: map[string]entry{}, lastChange: -1, changed: make(chan struct{})}
}

// Next returns the offset below which the mirror is complete, and whether it has been loaded.
func (mirror *Mirror) Next() (int64, bool) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	return mirror.next, mirror.loaded
}

// LastChange returns the offset of the newest record that changed a key, or may have, or -1 if there is none.
func (mirror *Mirror) LastChange() int64 {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	return mirror.lastChange
}

// Changed returns a channel that is closed when a key changes next.
func (mirror *Mirror) Changed() <-chan struct{} {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	return mirror.changed
}

// Since returns the current record of each key that changed at or after an offset, in the order of the offsets. With FullRead
// it returns all of them. It returns ErrTruncated if keys may have been deleted at or after the offset of which the mirror has no record.
func (mirror *Mirror) Since(from int64) (Batch, error) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	if from != FullRead && from < mirror.completeFrom {
		return Batch{}, ErrTruncated
	}
	batch := Batch{Next: mirror.next}
	for _, entry := range mirror.entries {
		if entry.record.Offset >= from {
			batch.Records = append(batch.Records, entry.record)
		}
	}
	slices.SortFunc(batch.Records, byOffset)
	return batch, nil
}

// Apply merges the records of an incremental read and returns those that changed a key.
func (mirror *Mirror) Apply(batch Batch) []Record {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	changes := mirror.merge(batch.Records, batch.Compacted)
	mirror.advance(batch.Next)
	return changes
}

// Replace merges a full read and returns the changes, with a tombstone for each key that is missing from the read. Keys
// that were written after the full read stay.
func (mirror *Mirror) Replace(batch Batch) []Record {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	present := make(map[string]bool, len(batch.Records))
	for _, record := range batch.Records {
		present[record.Key] = !record.Deleted()
	}
	changes := mirror.merge(batch.Records, true)
	for key, current := range mirror.entries {
		if !present[key] && !current.record.Deleted() && current.newestOffset < batch.Next {
			deletion := Record{Key: key, Offset: batch.Next - 1}
			mirror.put(deletion)
			changes = append(changes, deletion)
		}
	}
	if !mirror.loaded || batch.Next > mirror.next {
		mirror.completeFrom = batch.Next
	}
	mirror.loaded = true
	mirror.advance(batch.Next)
	return changes
}

// merge merges records and returns those that changed a key. In a compacted read, a record that equals the known value may be that of a
// key that was deleted and written again. It is passed on to routers that have seen the deletion.
func (mirror *Mirror) merge(records []Record, compacted bool) []Record {
	var changes []Record
	for _, record := range slices.SortedFunc(slices.Values(records), byOffset) {
		current, ok := mirror.entries[record.Key]
		if ok && current.newestOffset >= record.Offset {
			continue
		}
		if ok && !current.record.Deleted() && !record.Deleted() && mirror.config.Unchanged(current.record.Value, record.Value) {
			if compacted {
				mirror.put(record)
				continue
			}
			current.newestOffset = record.Offset
			mirror.entries[record.Key] = current
			continue
		}
		mirror.put(record)
		changes = append(changes, record)
	}
	return changes
}

// put makes a record the current one of its key.
func (mirror *Mirror) put(record Record) {
	mirror.entries[record.Key] = entry{record: record, newestOffset: record.Offset}
	mirror.lastChange = max(mirror.lastChange, record.Offset)
	mirror.updated = true
}

// advance ends a read that is complete below next.
func (mirror *Mirror) advance(next int64) {
	mirror.next = max(mirror.next, next)
	if mirror.updated {
		mirror.updated = false
		close(mirror.changed)
		mirror.changed = make(chan struct{})
	}
}

func byOffset(a, b Record) int { return cmp.Compare(a.Offset, b.Offset) }
