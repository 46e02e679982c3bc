package claim

import (
	"google.golang.org/protobuf/proto"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/store/plog"
	"github.com/clementinewind/clementinewind/internal/wire/recordv1"
)

// cacheOverheadBytes is charged for each cached answer, so that many small answers are bounded too.
const cacheOverheadBytes = 128

// table is the state of a claims stream after a prefix of its records. The decisions of apply depend on the records
// alone; the local clock only adds refusals before a claim is appended.
type table struct {
	dedup          *plog.Dedup
	lifetimeMillis int64
	skewMillis     int64
	cacheBytes     int

	entries map[Key]*entry
	// clockMillis is the highest record time so far.
	clockMillis     int64
	lastSweepMillis int64
	// truncatedMillis is the latest time of a truncated record, or 0 if no record is missing. Such a record may have
	// claimed any key that was issued up to then.
	truncatedMillis int64
	// truncationPending is set if the time of the next record is to become truncatedMillis.
	truncationPending bool
	// cached holds the answers in memory, oldest first. cachedBytes is their total size.
	cached      []*storedAnswer
	cachedBytes int
}

// entry is a key that is held by a claim.
type entry struct {
	digest       Digest
	holder       ID
	session      clementinewind.Session
	issuedMillis int64
	answer       *storedAnswer
}

type storedAnswer struct {
	status    int32
	requestID string
	tooLarge  bool
	// body is nil if it is empty or was evicted from memory. bodyBytes is its size in the log.
	body      []byte
	bodyBytes int
	offset    clementinewind.Offset
}

func newTable(config Config) *table {
	return &table{
		dedup:          plog.NewDedup(plog.DefaultDedupWindow),
		lifetimeMillis: config.Lifetime.Milliseconds(),
		skewMillis:     config.MaxSkew.Milliseconds(),
		cacheBytes:     config.CacheBytes,
		entries:        map[Key]*entry{},
	}
}

// recordTruncation notes that records up to a time were truncated.
func (table *table) recordTruncation(untilMillis int64) {
	table.truncatedMillis = max(table.truncatedMillis, untilMillis)
	table.truncationPending = false
}

// decide returns the decision on a key that cannot be claimed at a time, or false if it can be claimed. With StateDone
// it also returns the stored answer.
func (table *table) decide(key Key, digest Digest, issuedMillis, nowMillis int64) (Decision, *storedAnswer, bool) {
	entry, known := table.entries[key]
	switch {
	case max(nowMillis, table.clockMillis) > issuedMillis+table.lifetimeMillis:
		return Decision{State: StateExpired}, nil, true
	case table.truncatedMillis > 0 && issuedMillis <= table.truncatedMillis+table.skewMillis:
		return Decision{State: StateExpired}, nil, true
	case known:
		return entry.decision(digest), entry.answer, true
	case issuedMillis > nowMillis+table.skewMillis:
		// If a claim were recorded before its time of issue, its key could live longer than the record is retained.
		return Decision{State: StateInvalid}, nil, true
	default:
		return Decision{}, nil, false
	}
}

// apply applies the next record. If it is a claim and not a duplicate, apply returns it with its decision.
func (table *table) apply(record clementinewind.Record, offset clementinewind.Offset) (*recordv1.Claim, Decision) {
	timeMillis := record.Time.UnixMilli()
	if table.truncationPending {
		table.recordTruncation(timeMillis)
	}
	table.clockMillis = max(table.clockMillis, timeMillis)
	table.sweep()
	if !table.dedup.Accept(record) {
		return nil, Decision{}
	}
	switch body := decode(record.Payload).GetBody().(type) {
	case *recordv1.ClaimRecord_Claim:
		return body.Claim, table.applyClaim(body.Claim, timeMillis)
	case *recordv1.ClaimRecord_Done:
		table.applyDone(body.Done, offset)
	case *recordv1.ClaimRecord_Release:
		key := Key(body.Release.Key)
		if entry, known := table.entries[key]; known && entry.holder == ID(body.Release.ClaimId) && entry.answer == nil {
			delete(table.entries, key)
		}
	}
	return nil, Decision{}
}

func (table *table) applyClaim(claim *recordv1.Claim, timeMillis int64) Decision {
	key := Key(claim.Key)
	if decision, _, decided := table.decide(key, Digest(claim.Digest), claim.KeyIssuedMillis, timeMillis); decided {
		return decision
	}
	table.entries[key] = &entry{
		digest:       Digest(claim.Digest),
		holder:       ID(claim.ClaimId),
		session:      clementinewind.Session(claim.Session),
		issuedMillis: claim.KeyIssuedMillis,
	}
	return Decision{State: StateWon, Holder: ID(claim.ClaimId), Session: clementinewind.Session(claim.Session)}
}

func (table *table) applyDone(done *recordv1.Done, offset clementinewind.Offset) {
	entry, known := table.entries[Key(done.Key)]
	if !known || entry.holder != ID(done.ClaimId) || entry.answer != nil {
		return
	}
	entry.answer = &storedAnswer{
		status: done.Status, requestID: done.RequestId, tooLarge: done.TooLarge, offset: offset, bodyBytes: len(done.Body),
	}
	if len(done.Body) == 0 {
		return
	}
	entry.answer.body = done.Body
	table.cached = append(table.cached, entry.answer)
	table.cachedBytes += cacheOverheadBytes + len(done.Body)
	for table.cachedBytes > table.cacheBytes {
		oldest := table.cached[0]
		table.cached[0] = nil
		table.cached = table.cached[1:]
		table.cachedBytes -= cacheOverheadBytes + oldest.bodyBytes
		oldest.body = nil
	}
}

// sweep removes expired keys, at most 24 times per lifetime. Its timing affects no decision, because decide rejects
// expired keys itself.
func (table *table) sweep() {
	if table.clockMillis-table.lastSweepMillis < table.lifetimeMillis/24 {
		return
	}
	table.lastSweepMillis = table.clockMillis
	for key, entry := range table.entries {
		if table.clockMillis > entry.issuedMillis+table.lifetimeMillis {
			delete(table.entries, key)
		}
	}
}

// decision returns the decision on a later claim of the key.
func (entry *entry) decision(digest Digest) Decision {
	switch {
	case entry.digest != digest:
		return Decision{State: StateMismatch}
	case entry.answer == nil:
		return Decision{State: StateUnfinished, Holder: entry.holder, Session: entry.session}
	default:
		return Decision{State: StateDone, Holder: entry.holder, Session: entry.session, Answer: Answer{
			Status:      int(entry.answer.status),
			Body:        entry.answer.body,
			RequestID:   entry.answer.requestID,
			BodyOmitted: entry.answer.tooLarge || len(entry.answer.body) < entry.answer.bodyBytes,
		}}
	}
}

// decode returns a claim record, or nil if the payload is malformed. All readers ignore malformed records.
func decode(payload []byte) *recordv1.ClaimRecord {
	record := &recordv1.ClaimRecord{}
	if err := proto.Unmarshal(payload, record); err != nil {
		return nil
	}
	var key, id []byte
	switch body := record.Body.(type) {
	case *recordv1.ClaimRecord_Claim:
		key, id = body.Claim.Key, body.Claim.ClaimId
		if len(body.Claim.Digest) != len(Digest{}) {
			return nil
		}
	case *recordv1.ClaimRecord_Done:
		key, id = body.Done.Key, body.Done.ClaimId
	case *recordv1.ClaimRecord_Release:
		key, id = body.Release.Key, body.Release.ClaimId
	}
	if len(key) != len(Key{}) || len(id) != len(ID{}) {
		return nil
	}
	return record
}
