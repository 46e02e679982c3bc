package feed

import (
	"bytes"
	"cmp"
	"slices"
	"sync"
	"time"
)

// MirrorConfig configures a Mirror.
type MirrorConfig struct {
	// Unchanged reports whether a newer value of a key carries no new information, such as a heartbeat. These records
	// are not passed on. If it is nil, every newer record of a key counts as a change.
	Unchanged func(older, newer []byte) bool
	// Newer reports whether a value is newer than another one by what it says itself, whatever the positions. If it is nil, no value says so.
	Newer func(older, newer []byte) bool
	// DisputeTime is how long the mirror keeps a record that the store may have lost, after which it follows the store. If it is 0, a record of
	// the copy never replaces a newer one, and keys that the store does not have are deleted at once.
	DisputeTime time.Duration
}

// Mirror is an in-memory copy of one topic. Per key, the record with the highest position wins, whatever the order of
// arrival, so that a stale read never undoes a newer write.
//
// When the store comes back from an older copy, its records begin a new era, and a full read shows those of the copy among newer ones. A key whose
// record in the copy is older than the known one, or is missing, is disputed: the store has lost the newer record, and whoever wrote it writes it
// again.
type Mirror struct {
	config MirrorConfig

	mutex   sync.Mutex
	entries map[string]entry
	next    Position
	// completeFrom is the position from which on the mirror knows each change. Keys that were deleted below it leave no trace in the
	// full read from which the mirror was loaded.
	completeFrom Position
	// writtenFrom is the position from which on all records were written in the current era, knownBefore the one up to which the mirror was complete
	// when that era began.
	writtenFrom, knownBefore Position
	// disputes holds, by key, what the store said when it came back; disputedSince is when that was.
	disputes      map[string]Record
	disputedSince time.Time
	// lastChange is the position of the newest current record.
	lastChange Position
	loaded     bool
	// updated is set once a record was put in the current read, changed is closed at the end of such a read.
	updated bool
	changed chan struct{}
}

type entry struct {
	// record is the oldest one since which the value is known not to have changed, newest the position of the newest one seen.
	record Record
	newest Position
}

// NewMirror returns an empty mirror.
func NewMirror(config MirrorConfig) *Mirror {
	if config.Unchanged == nil {
		config.Unchanged = func(_, _ []byte) bool { return false }
	}
	if config.Newer == nil {
		config.Newer = func(_, _ []byte) bool { return false }
	}
	return &Mirror{config: config, entries: map[string]entry{}, disputes: map[string]Record{}, lastChange: -1, changed: make(chan struct{})}
}

// Next returns the position below which the mirror is complete, and whether it has been loaded.
func (mirror *Mirror) Next() (Position, bool) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	return mirror.next, mirror.loaded
}

// LastChange returns the position of the newest record that changed a key, or may have, or -1 if there is none.
func (mirror *Mirror) LastChange() Position {
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

// Since returns the current record of each key that changed at or after a position, in the order of the positions. With FullRead
// it returns all of them. It returns ErrTruncated if keys may have been deleted at or after the position of which the mirror has no record, and
// ErrEarlierEra if the mirror has not been read in the era of the position.
func (mirror *Mirror) Since(from Position) (Batch, error) {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	if from != FullRead && from.Era() > mirror.next.Era() {
		return Batch{}, ErrEarlierEra
	}
	if from != FullRead && from < mirror.completeFrom {
		return Batch{}, ErrTruncated
	}
	batch := Batch{Next: mirror.next, WrittenFrom: mirror.writtenFrom}
	for _, entry := range mirror.entries {
		if entry.record.Position >= from {
			batch.Records = append(batch.Records, entry.record)
		}
	}
	slices.SortFunc(batch.Records, byPosition)
	return batch, nil
}

// Apply merges the records of an incremental read and returns those that changed a key. A read of another era than the last full read has no effect.
func (mirror *Mirror) Apply(batch Batch) []Record {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	if mirror.loaded && batch.Next.Era() != mirror.next.Era() {
		return nil
	}
	changes := mirror.merge(batch.Records, batch.Compacted)
	mirror.advance(batch.Next)
	return changes
}

// Replace merges a full read and returns the changes, with a tombstone for each key that is missing from the read. Keys
// that were written after the full read stay, and so do those that the read disputes. A read of an earlier era has no effect.
func (mirror *Mirror) Replace(batch Batch) []Record {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	if mirror.loaded && batch.Next.Era() < mirror.next.Era() {
		return nil
	}
	mirror.beginEra(batch)
	present := make(map[string]bool, len(batch.Records))
	undisputed := make([]Record, 0, len(batch.Records))
	for _, record := range batch.Records {
		present[record.Key] = !record.Deleted()
		if mirror.inCopy(record) {
			mirror.dispute(record)
			continue
		}
		undisputed = append(undisputed, record)
	}
	changes := mirror.merge(undisputed, true)
	for key, current := range mirror.entries {
		if present[key] || current.record.Deleted() || current.newest >= batch.Next {
			continue
		}
		deletion := Record{Key: key, Position: batch.Next - 1}
		if mirror.config.DisputeTime > 0 && current.newest.Era() < batch.Next.Era() {
			mirror.dispute(deletion)
			continue
		}
		mirror.put(deletion)
		changes = append(changes, deletion)
	}
	if !mirror.loaded || batch.Next > mirror.next {
		mirror.completeFrom = batch.Next
	}
	mirror.loaded = true
	mirror.advance(batch.Next)
	return changes
}

// beginEra begins the era of a full read if it is a new one.
func (mirror *Mirror) beginEra(batch Batch) {
	if mirror.loaded && batch.Next.Era() <= mirror.next.Era() {
		return
	}
	mirror.writtenFrom = batch.WrittenFrom
	if mirror.writtenFrom == 0 {
		mirror.writtenFrom = batch.Next
	}
	if !mirror.loaded {
		return
	}
	mirror.knownBefore = mirror.next
	clear(mirror.disputes)
	mirror.disputedSince = time.Now()
	if batch.Next.Offset() > 0 {
		// Other routers learn from it that there is a new era.
		mirror.lastChange, mirror.updated = max(mirror.lastChange, batch.Next-1), true
	}
}

// inCopy reports whether a record of a full read may be one of the copy from which the store came back, although its key is known from before to have
// been written or deleted since.
func (mirror *Mirror) inCopy(record Record) bool {
	offset := record.Position.Offset()
	if record.Position.Era() <= mirror.knownBefore.Era() || record.Position >= mirror.writtenFrom || offset >= mirror.knownBefore.Offset() {
		return false
	}
	current, ok := mirror.entries[record.Key]
	if !ok {
		return true
	}
	return current.newest.Era() < record.Position.Era() && offset <= current.newest.Offset() && !mirror.config.Newer(current.record.Value, record.Value)
}

// dispute keeps what the store says of a key whose newer record it may have lost. If it says the same as the known record, that record is one of
// the new era too.
func (mirror *Mirror) dispute(record Record) {
	known, ok := mirror.entries[record.Key]
	if ok && mirror.same(known.record, record) {
		delete(mirror.disputes, record.Key)
		known.record.Position, known.newest = record.Position, record.Position
		mirror.entries[record.Key] = known
		return
	}
	mirror.disputes[record.Key] = record
}

// same reports whether two records of a key say the same.
func (mirror *Mirror) same(known, record Record) bool {
	if known.Deleted() || record.Deleted() {
		return known.Deleted() == record.Deleted()
	}
	return bytes.Equal(known.Value, record.Value) || mirror.config.Unchanged(known.Value, record.Value)
}

// Settle ends the disputes that have lasted for DisputeTime, and returns the records of the store that win.
func (mirror *Mirror) Settle(now time.Time) []Record {
	mirror.mutex.Lock()
	defer mirror.mutex.Unlock()
	if mirror.config.DisputeTime == 0 || len(mirror.disputes) == 0 || now.Sub(mirror.disputedSince) < mirror.config.DisputeTime {
		return nil
	}
	var changes []Record
	for _, record := range mirror.disputes {
		changes = append(changes, record)
	}
	slices.SortFunc(changes, byPosition)
	for _, record := range changes {
		mirror.put(record)
	}
	mirror.advance(mirror.next)
	return changes
}

// merge merges records and returns those that changed a key. In a compacted read, a record that equals the known value may be that of a
// key that was deleted and written again. It is passed on to routers that have seen the deletion.
func (mirror *Mirror) merge(records []Record, compacted bool) []Record {
	var changes []Record
	for _, record := range slices.SortedFunc(slices.Values(records), byPosition) {
		current, ok := mirror.entries[record.Key]
		if ok && current.newest >= record.Position {
			continue
		}
		if ok && !current.record.Deleted() && !record.Deleted() && mirror.config.Unchanged(current.record.Value, record.Value) {
			if compacted {
				mirror.put(record)
				continue
			}
			current.newest = record.Position
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
	delete(mirror.disputes, record.Key)
	mirror.entries[record.Key] = entry{record: record, newest: record.Position}
	mirror.lastChange = max(mirror.lastChange, record.Position)
	mirror.updated = true
}

// advance ends a read that is complete below next.
func (mirror *Mirror) advance(next Position) {
	mirror.next = max(mirror.next, next)
	if mirror.updated {
		mirror.updated = false
		close(mirror.changed)
		mirror.changed = make(chan struct{})
	}
}

func byPosition(a, b Record) int { return cmp.Compare(a.Position, b.Position) }
