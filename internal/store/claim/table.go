package claim

import (
	"google.golang.org/protobuf/proto"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/store/plog"
	"github.com/clementinewind/clementinewind/internal/wire/recordv1"
)

// cachedOverhead is charged for each answer in memory, so that many small answers are bounded too.
const cachedOverhead = 128

// table is the state of a claims stream after a prefix of its records. All decisions in apply depend on the records
// alone; the local clock only adds refusals before a claim is appended.
type table struct {
	dedup          *plog.Dedup
	lifetimeMillis int64
	skewMillis     int64
	cacheBytes     int

	entries map[Key]*entry
	// clockMillis is the highest record time so far.
	clockMillis int64
	sweptMillis int64
	// horizonMillis is the latest time of a record that is no longer kept. Keys issued up to then may have been claimed
	// by such a record. It is 0 if no record was lost.
	horizonMillis int64
	// horizonPending says that the time of the next record becomes the horizon.
	horizonPending bool
	// cached lists the answers in memory, oldest first; cachedBytes is their size.
	cached      []*storedAnswer
	cachedBytes int
}

// entry is a key that a claim holds.
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
	// body is nil when it is empty or has been dropped from memory; bodyBytes is its size in the log.
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

// truncated records that records up to a time were lost.
func (table *table) truncated(untilMillis int64) {
	table.horizonMillis = max(table.horizonMillis, untilMillis)
	table.horizonPending = false
}

// decide returns the decision on a key that cannot be claimed at a time, and false if it can be. The stored answer is set
// with StateDone.
func (table *table) decide(key Key, digest Digest, issuedMillis, nowMillis int64) (Decision, *storedAnswer, bool) {
	entry, known := table.entries[key]
	switch {
	case max(nowMillis, table.clockMillis) > issuedMillis+table.lifetimeMillis:
		return Decision{State: StateExpired}, nil, true
	case table.horizonMillis > 0 && issuedMillis <= table.horizonMillis+table.skewMillis:
		return Decision{State: StateExpired}, nil, true
	case known:
		return entry.decision(digest), entry.answer, true
	case issuedMillis > nowMillis+table.skewMillis:
		// A claim of a later time of issue than its record could outlive the records that the log retains.
		return Decision{State: StateInvalid}, nil, true
	default:
		return Decision{}, nil, false
	}
}

// apply takes the next record. If it is a claim that takes effect or is refused, apply returns it with its decision.
func (table *table) apply(record clementinewind.Record, offset clementinewind.Offset) (*recordv1.Claim, Decision) {
	timeMillis := record.Time.UnixMilli()
	if table.horizonPending {
		table.truncated(timeMillis)
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
	table.cachedBytes += cachedOverhead + len(done.Body)
	for table.cachedBytes > table.cacheBytes {
		oldest := table.cached[0]
		table.cached[0] = nil
		table.cached = table.cached[1:]
		table.cachedBytes -= cachedOverhead + oldest.bodyBytes
		oldest.body = nil
	}
}

// sweep removes expired keys, at most once in a twenty-fourth of the lifetime. When it runs does not matter for any
// decision, because decide covers expired keys.
func (table *table) sweep() {
	if table.clockMillis-table.sweptMillis < table.lifetimeMillis/24 {
		return
	}
	table.sweptMillis = table.clockMillis
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

// decode returns a claim record, or nil for a payload that is not well-formed. All readers ignore such a record.
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
