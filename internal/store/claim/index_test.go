package claim_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/store/claim"
	"github.com/clementinewind/clementinewind/internal/store/plog"
	"github.com/clementinewind/clementinewind/internal/tools/stand"
	"github.com/clementinewind/clementinewind/internal/wire/recordv1"
)

// runIndex runs an index until the end of the test and waits for its replay.
func runIndex(t *testing.T, config claim.Config) *claim.Index {
	index := claim.New(config)
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { index.Run(ctx) })
	t.Cleanup(func() {
		stop()
		running.Wait()
	})
	synctest.Wait()
	return index
}

var (
	firstID, otherID = claim.ID{1}, claim.ID{2}
	digest           = claim.DigestOf("/book", []byte("seat"))
)

// streamRecords encodes and appends records of other routers.
type streamRecords struct {
	t      *testing.T
	log    *stand.Log
	key    claim.Key
	issued time.Time
	next   uint64
}

func (streamRecords *streamRecords) add(payload []byte) {
	streamRecords.next++
	streamRecords.repeat(payload, streamRecords.next)
}

func (streamRecords *streamRecords) repeat(payload []byte, sequence uint64) {
	_, err := streamRecords.log.Append(streamRecords.t.Context(), claim.StreamName(0),
		[]clementinewind.Record{{Writer: 7, Sequence: sequence, Payload: payload}})
	quicktest.Assert(streamRecords.t, err, quicktest.IsNil)
}

func encode(record *recordv1.ClaimRecord) []byte {
	payload, err := proto.Marshal(record)
	if err != nil {
		panic(err)
	}
	return payload
}

func (streamRecords *streamRecords) claim(id claim.ID) []byte {
	return encode(&recordv1.ClaimRecord{Body: &recordv1.ClaimRecord_Claim{Claim: &recordv1.Claim{
		Key: streamRecords.key[:], Digest: digest[:], ClaimId: id[:],
		KeyIssuedMillis: streamRecords.issued.UnixMilli(), Session: 5,
	}}})
}

func (streamRecords *streamRecords) done(id claim.ID, body string) []byte {
	return encode(&recordv1.ClaimRecord{Body: &recordv1.ClaimRecord_Done{Done: &recordv1.Done{
		Key: streamRecords.key[:], ClaimId: id[:], Status: 200, Body: []byte(body), RequestId: "r",
	}}})
}

func (streamRecords *streamRecords) release(id claim.ID) []byte {
	return encode(&recordv1.ClaimRecord{Body: &recordv1.ClaimRecord_Release{
		Release: &recordv1.Release{Key: streamRecords.key[:], ClaimId: id[:]},
	}})
}

// Guards against a decision that does not follow from the records of the stream, above all a win of a key whose request
// may have run.
func TestClaimDecisions(t *testing.T) {
	unfinished := claim.Decision{State: claim.StateUnfinished, Holder: firstID, Session: 5}
	done := func(answer claim.Answer) claim.Decision {
		return claim.Decision{State: claim.StateDone, Holder: firstID, Session: 5, Answer: answer}
	}
	answered := done(claim.Answer{Status: 200, Body: []byte("A"), RequestID: "r"})
	omitted := done(claim.Answer{Status: 200, RequestID: "r", BodyOmitted: true})
	tests := map[string]struct {
		records func(streamRecords *streamRecords)
		// age is the age of the key when the index starts.
		age     time.Duration
		digest  claim.Digest
		cache   int
		logDown bool
		want    claim.Decision
		wantErr error
	}{
		"new key":        {want: claim.Decision{State: claim.StateWon, Holder: otherID, Session: clementinewind.NoSession}},
		"claimed before": {records: func(s *streamRecords) { s.add(s.claim(firstID)) }, want: unfinished},
		"claimed for another request": {
			records: func(s *streamRecords) { s.add(s.claim(firstID)) }, digest: claim.Digest{1},
			want: claim.Decision{State: claim.StateMismatch},
		},
		"done": {records: func(s *streamRecords) { s.add(s.claim(firstID)); s.add(s.done(firstID, "A")) }, want: answered},
		"done twice": {
			records: func(s *streamRecords) {
				s.add(s.claim(firstID))
				s.add(s.done(firstID, "A"))
				s.add(s.done(firstID, "B"))
			},
			want: answered,
		},
		"done by another claim": {
			records: func(s *streamRecords) { s.add(s.claim(firstID)); s.add(s.done(otherID, "B")) }, want: unfinished,
		},
		"released by another claim": {
			records: func(s *streamRecords) { s.add(s.claim(firstID)); s.add(s.release(otherID)) }, want: unfinished,
		},
		"released after done": {
			records: func(s *streamRecords) {
				s.add(s.claim(firstID))
				s.add(s.done(firstID, "A"))
				s.add(s.release(firstID))
			},
			want: answered,
		},
		"repeated claim after release": {
			records: func(s *streamRecords) {
				s.add(s.claim(firstID))
				s.add(s.release(firstID))
				s.repeat(s.claim(firstID), 1)
			},
			want: claim.Decision{State: claim.StateWon, Holder: otherID, Session: clementinewind.NoSession},
		},
		"malformed records": {
			records: func(s *streamRecords) {
				s.add([]byte("\xff"))
				s.add(nil)
				s.add(encode(&recordv1.ClaimRecord{Body: &recordv1.ClaimRecord_Release{Release: &recordv1.Release{Key: []byte("k")}}}))
				s.add(s.claim(firstID))
			},
			want: unfinished,
		},
		"expired key":                {age: 25 * time.Hour, want: claim.Decision{State: claim.StateExpired}},
		"key at the end of its life": {age: 24 * time.Hour, want: claim.Decision{State: claim.StateWon, Holder: otherID, Session: clementinewind.NoSession}},
		"key of the future":          {age: -2 * time.Minute, want: claim.Decision{State: claim.StateInvalid}},
		"claimed by a caller that is ahead": {
			age: -30 * time.Second, records: func(s *streamRecords) { s.add(s.claim(firstID)) }, want: unfinished,
		},
		"all records lost": {
			age:     time.Hour,
			records: func(s *streamRecords) { s.add(s.claim(firstID)); s.log.Truncate(claim.StreamName(0), 1) },
			want:    claim.Decision{State: claim.StateExpired},
		},
		"claim lost and later records kept": {
			age:     time.Hour,
			records: func(s *streamRecords) { s.add(s.claim(firstID)); s.add(nil); s.log.Truncate(claim.StreamName(0), 1) },
			want:    claim.Decision{State: claim.StateExpired},
		},
		"answer not in memory": {
			cache: 1, records: func(s *streamRecords) { s.add(s.claim(firstID)); s.add(s.done(firstID, "A")) }, want: answered,
		},
		"answer not in memory, log down": {
			cache: 1, logDown: true,
			records: func(s *streamRecords) { s.add(s.claim(firstID)); s.add(s.done(firstID, "A")) }, want: omitted,
		},
		"done, log down": {
			logDown: true, records: func(s *streamRecords) { s.add(s.claim(firstID)); s.add(s.done(firstID, "A")) }, want: answered,
		},
		"claimed before, log down": {logDown: true, records: func(s *streamRecords) { s.add(s.claim(firstID)) }, want: unfinished},
		"new key, log down":        {logDown: true, wantErr: clementinewind.ErrLogUnavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log, issued := stand.NewLog(), time.Now().Add(-test.age)
				key := claim.KeyOf("o", "p", "k", issued)
				if test.records != nil {
					test.records(&streamRecords{t: t, log: log, key: key, issued: issued})
				}
				index := runIndex(t, claim.Config{Log: log, CacheBytes: test.cache})
				if test.logDown {
					log.SetFaults(stand.LogFaults{Down: true})
					time.Sleep(claim.DefaultMaxReadAge + time.Second)
				}
				if test.digest == (claim.Digest{}) {
					test.digest = digest
				}
				start := time.Now()
				decision, err := index.Claim(t.Context(), key, test.digest, otherID, issued)
				quicktest.Assert(t, errors.Is(err, test.wantErr), quicktest.IsTrue, quicktest.Commentf("%v", err))
				quicktest.Assert(t, decision, quicktest.DeepEquals, test.want)
				quicktest.Assert(t, time.Since(start), quicktest.Equals, time.Duration(0))
			})
		})
	}
}

// Guards against an answer above the limit that is stored, and against an answer that is truncated.
func TestSettleLimitsAnswerSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		index := runIndex(t, claim.Config{Log: stand.NewLog(), MaxAnswerBytes: 10})
		for size, omitted := range map[int]bool{0: false, 10: false, 11: true} {
			key := claim.KeyOf("o", "p", fmt.Sprint(size), time.Now())
			id, body := claim.NewID(), strings.Repeat("x", size)
			decision, err := index.Claim(t.Context(), key, digest, id, time.Now())
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Assert(t, decision.State, quicktest.Equals, claim.StateWon)
			quicktest.Assert(t, index.Settle(t.Context(), key, id, claim.Answer{Body: []byte(body)}), quicktest.IsNil)
			synctest.Wait()
			decision, err = index.Claim(t.Context(), key, digest, claim.NewID(), time.Now())
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Assert(t, decision.State, quicktest.Equals, claim.StateDone)
			quicktest.Assert(t, decision.Answer.BodyOmitted, quicktest.Equals, omitted)
			if !omitted {
				quicktest.Assert(t, string(decision.Answer.Body), quicktest.Equals, body)
			}
		}
	})
}

// Guards against memory use that grows with the number of keys ever claimed.
func TestIndexDropsExpiredKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := stand.NewLog()
		log.SetRetention(stand.DefaultRetention)
		index := runIndex(t, claim.Config{Log: log, Wait: time.Hour, MaxReadAge: 3 * time.Hour})
		most := 0
		for n := range 100 {
			issued := time.Now()
			_, err := index.Claim(t.Context(), claim.KeyOf("o", "p", fmt.Sprint(n), issued), digest, claim.NewID(), issued)
			quicktest.Assert(t, err, quicktest.IsNil)
			most = max(most, index.Len())
			time.Sleep(time.Hour)
		}
		quicktest.Assert(t, most <= 26, quicktest.IsTrue, quicktest.Commentf("%d keys", most))
	})
}

// Guards against a restart that refuses recent keys because the older records of an idle stream were truncated.
func TestRestartOfIdleStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := stand.NewLog()
		log.SetRetention(stand.DefaultRetention)
		config := claim.Config{Log: log, Wait: time.Hour, MaxReadAge: 3 * time.Hour}
		index := runIndex(t, config)
		claimKey := func(index *claim.Index, name string, issued time.Time) claim.State {
			key, id := claim.KeyOf("o", "p", name, issued), claim.NewID()
			decision, err := index.Claim(t.Context(), key, digest, id, issued)
			quicktest.Assert(t, err, quicktest.IsNil)
			if decision.State == claim.StateWon {
				quicktest.Assert(t, index.Settle(t.Context(), key, id, claim.Answer{}), quicktest.IsNil)
			}
			return decision.State
		}
		quicktest.Assert(t, claimKey(index, "old", time.Now()), quicktest.Equals, claim.StateWon)
		time.Sleep(5 * 24 * time.Hour)
		issued := time.Now()
		quicktest.Assert(t, claimKey(index, "recent", issued), quicktest.Equals, claim.StateWon)
		time.Sleep(time.Second)
		restarted := runIndex(t, config)
		quicktest.Assert(t, claimKey(restarted, "recent", issued), quicktest.Equals, claim.StateDone)
		quicktest.Assert(t, claimKey(restarted, "new", issued), quicktest.Equals, claim.StateWon)
		quicktest.Assert(t, log.Appends() < 130, quicktest.IsTrue, quicktest.Commentf("%d appends", log.Appends()))
	})
}

// Guards against a call that waits for an index that has stopped or cannot replay its stream.
func TestClaimWithoutReplay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := stand.NewLog()
		log.SetFaults(stand.LogFaults{Down: true})
		index := claim.New(claim.Config{Log: log})
		ctx, stop := context.WithCancel(t.Context())
		stopped := make(chan error)
		go func() { stopped <- index.Run(ctx) }()
		_, err := index.Claim(t.Context(), claim.Key{}, digest, otherID, time.Now())
		quicktest.Assert(t, errors.Is(err, claim.ErrNotReplayed), quicktest.IsTrue, quicktest.Commentf("%v", err))
		stop()
		<-stopped
		_, err = index.Claim(t.Context(), claim.Key{}, digest, otherID, time.Now())
		quicktest.Assert(t, errors.Is(err, claim.ErrStopped), quicktest.IsTrue, quicktest.Commentf("%v", err))
	})
}

// Guards against requests with different parts that get the same key, and against routers that map a key to different
// streams.
func TestKeyOf(t *testing.T) {
	at := time.UnixMilli(1000)
	keys := map[claim.Key]bool{
		claim.KeyOf("a", "b", "c", at):                       true,
		claim.KeyOf("ab", "", "c", at):                       true,
		claim.KeyOf("a", "bc", "", at):                       true,
		claim.KeyOf("a", "b", "c", at.Add(time.Millisecond)): true,
	}
	quicktest.Assert(t, keys, quicktest.HasLen, 4)
	quicktest.Assert(t, claim.KeyOf("a", "b", "c", at.In(time.FixedZone("z", 3600))), quicktest.Equals, claim.KeyOf("a", "b", "c", at))
	seen := map[int]bool{}
	for n := range 1000 {
		seen[claim.KeyOf("a", "b", fmt.Sprint(n), at).Stream()] = true
	}
	quicktest.Assert(t, seen, quicktest.HasLen, claim.StreamCount)
	quicktest.Assert(t, claim.StreamName(15), quicktest.Equals, "claims-15")
	quicktest.Assert(t, plog.DefaultDedupWindow < claim.DefaultLifetime, quicktest.IsTrue)
}
