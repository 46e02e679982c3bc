package claim

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/wire/recordv1"
)

// Guards against a record of any content that stops a reader, releases a key without the id of its holder, or is
// decoded differently by two readers.
func FuzzApply(f *testing.F) {
	key, holder, issued := KeyOf("o", "p", "k", time.UnixMilli(0)), ID{1}, time.UnixMilli(0)
	claimOf := func(id ID) *recordv1.ClaimRecord {
		return &recordv1.ClaimRecord{Body: &recordv1.ClaimRecord_Claim{Claim: &recordv1.Claim{
			Key: key[:], Digest: make([]byte, len(Digest{})), ClaimId: id[:],
		}}}
	}
	for _, id := range []ID{holder, {2}} {
		for _, record := range []*recordv1.ClaimRecord{
			claimOf(id),
			{Body: &recordv1.ClaimRecord_Done{Done: &recordv1.Done{Key: key[:], ClaimId: id[:], Body: []byte("b")}}},
			{Body: &recordv1.ClaimRecord_Release{Release: &recordv1.Release{Key: key[:], ClaimId: id[:]}}},
		} {
			payload, err := proto.Marshal(record)
			quicktest.Assert(f, err, quicktest.IsNil)
			f.Add(payload)
			f.Add(payload[:len(payload)-1])
		}
	}
	f.Fuzz(func(t *testing.T, payload []byte) {
		table := newTable(Config{Lifetime: DefaultLifetime, MaxSkew: DefaultMaxSkew, CacheBytes: 1})
		first, err := proto.Marshal(claimOf(holder))
		quicktest.Assert(t, err, quicktest.IsNil)
		table.apply(clementinewind.Record{Writer: 1, Sequence: 1, Payload: first, Time: issued}, 0)
		table.apply(clementinewind.Record{Writer: 1, Sequence: 2, Payload: payload, Time: issued}, 1)
		decision, _, decided := table.decide(key, Digest{}, 0, 0)
		record := decode(payload)
		if release := record.GetRelease(); !decided && (release == nil || ID(release.ClaimId) != holder) {
			t.Fatalf("key freed by %v", record)
		}
		if done := record.GetDone(); decision.State == StateDone && (done == nil || ID(done.ClaimId) != holder) {
			t.Fatalf("key ended by %v", record)
		}
		if record == nil {
			return
		}
		again, err := proto.Marshal(record)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, proto.Equal(decode(again), record), quicktest.IsTrue)
	})
}
