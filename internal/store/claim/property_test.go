package claim_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/store/claim"
	"github.com/clementinewind/clementinewind/internal/store/plog"
	"github.com/clementinewind/clementinewind/internal/tools/stand"
)

// router is one of the routers that take themselves for the owner of the stream.
type router struct {
	log    *stand.FlakyLog
	jitter func() float64
	index  *claim.Index
	stop   func()
}

func newRouter(log clementinewind.Log, faults []stand.CallFault, seed uint64) *router {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 0))
	jitter := func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64()
	}
	router := &router{jitter: jitter, log: stand.NewFlakyLog(stand.FlakyLogConfig{
		Log: log, Late: 3 * time.Second, Append: stand.FaultScript(faults...),
		Delay: func() time.Duration { return time.Duration(50 * jitter() * float64(time.Millisecond)) },
	})}
	router.start()
	return router
}

func (router *router) start() {
	backoff := plog.Backoff{Jitter: router.jitter}
	router.index = claim.New(claim.Config{Log: router.log, Backoff: backoff, NewWriter: func(stream string) *plog.Writer {
		return plog.NewWriter(plog.WriterConfig{Log: router.log, Stream: stream, Backoff: backoff})
	}})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { router.index.Run(ctx) })
	router.stop = func() {
		cancel()
		running.Wait()
	}
}

// history checks the order of wins and releases.
type history struct {
	mu         sync.Mutex
	holders    map[claim.Key]claim.ID
	wins       int
	violations []string
}

func (history *history) observe(key claim.Key, id claim.ID, decision claim.Decision) {
	history.mu.Lock()
	defer history.mu.Unlock()
	holder, held := history.holders[key]
	switch {
	case decision.State == claim.StateWon && held:
		history.violations = append(history.violations, fmt.Sprintf("%v won a key that %v holds", id, holder))
	case decision.State == claim.StateWon:
		history.holders[key] = id
		history.wins++
	case decision.State == claim.StateDone && (!held || string(decision.Answer.Body) != holder.String()):
		history.violations = append(history.violations, fmt.Sprintf("answer %q of a key that %v holds", decision.Answer.Body, holder))
	}
}

func (history *history) release(key claim.Key, id claim.ID) {
	history.mu.Lock()
	defer history.mu.Unlock()
	if history.holders[key] == id {
		delete(history.holders, key)
	}
}

// run makes one claim and, if it wins, ends it like a caller.
func (history *history) run(index *claim.Index, key claim.Key, id claim.ID, issued time.Time, step step) {
	ctx, cancel := context.WithTimeout(context.Background(), step.Duration)
	defer cancel()
	decision, err := index.Claim(ctx, key, claim.Digest{}, id, issued)
	if err != nil {
		return
	}
	history.observe(key, id, decision)
	if decision.State != claim.StateWon {
		return
	}
	time.Sleep(step.Hold)
	settleCtx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	switch step.End {
	case endDone:
		index.Settle(settleCtx, key, id, claim.Answer{Status: 200, Body: []byte(id.String())})
	case endRelease:
		history.release(key, id)
		index.Release(settleCtx, key, id)
	}
}

const (
	endNothing = iota
	endDone
	endRelease
)

const (
	stepClaim = iota
	stepClaimAtBoth
	stepWait
	stepOutage
	stepHeal
	stepPause
	stepResume
	stepRestart
	stepTruncate
	steps
)

type step struct {
	Kind, Router, Key, End int
	Duration, Hold         time.Duration
}

// Guards against running a request twice: two wins of one key, on any routers, without a release by the winner in
// between. Also guards against the answer of another request, and against a key that stays locked because a claim
// failed.
func TestAtMostOneWinner(t *testing.T) {
	milliseconds := func(limit int) *rapid.Generator[time.Duration] {
		return rapid.Map(rapid.IntRange(0, limit), func(n int) time.Duration { return time.Duration(n) * time.Millisecond })
	}
	stepGenerator := rapid.Custom(func(rt *rapid.T) step {
		// Half of the steps are claims.
		kind := rapid.OneOf(rapid.Just(stepClaim), rapid.IntRange(0, steps-1)).Draw(rt, "kind")
		return step{
			Kind: kind, Router: rapid.IntRange(0, 1).Draw(rt, "router"), Key: rapid.IntRange(0, 2).Draw(rt, "key"),
			End:      rapid.IntRange(endNothing, endRelease).Draw(rt, "end"),
			Duration: milliseconds(4000).Draw(rt, "duration"), Hold: milliseconds(300).Draw(rt, "hold"),
		}
	})
	fault := rapid.Map(rapid.IntRange(int(stand.CallSucceeds), int(stand.CallLandsLate)), func(n int) stand.CallFault {
		return stand.CallFault(n)
	})
	totalWins := 0
	rapid.Check(t, func(rt *rapid.T) {
		plan := rapid.SliceOfN(stepGenerator, 1, 30).Draw(rt, "plan")
		faults := [2][]stand.CallFault{
			rapid.SliceOfN(fault, 0, 15).Draw(rt, "faults0"), rapid.SliceOfN(fault, 0, 15).Draw(rt, "faults1"),
		}
		seed := rapid.Uint64().Draw(rt, "seed")
		history := &history{holders: map[claim.Key]claim.ID{}}
		// locked describes keys that nobody holds but that cannot be claimed after all faults have ended.
		var locked []string
		synctest.Test(t, func(t *testing.T) {
			log := stand.NewLog()
			routers := [2]*router{newRouter(log, faults[0], seed), newRouter(log, faults[1], seed+1)}
			var calls sync.WaitGroup
			issued := time.Now()
			key := func(n int) claim.Key { return claim.KeyOf("o", "p", fmt.Sprint(n), issued) }
			complete := true
			for i, step := range plan {
				router := routers[step.Router]
				index, other := router.index, routers[1-step.Router].index
				switch step.Kind {
				case stepClaim, stepClaimAtBoth:
					id := claim.ID{1, byte(i)}
					calls.Go(func() { history.run(index, key(step.Key), id, issued, step) })
					if step.Kind == stepClaimAtBoth {
						calls.Go(func() { history.run(other, key(step.Key), id, issued, step) })
					}
				case stepWait:
					time.Sleep(step.Duration)
				case stepOutage, stepHeal:
					log.SetFaults(stand.LogFaults{Down: step.Kind == stepOutage})
				case stepPause, stepResume:
					router.log.SetPaused(step.Kind == stepPause)
				case stepRestart:
					router.stop()
					router.start()
					complete = false
				case stepTruncate:
					_, tail, err := plog.Bounds(t.Context(), log, claim.StreamName(0))
					if err == nil {
						log.Truncate(claim.StreamName(0), tail-clementinewind.Offset(step.Key))
						complete = false
					}
				}
				time.Sleep(step.Hold / 4)
			}
			log.SetFaults(stand.LogFaults{})
			for _, router := range routers {
				router.log.SetPaused(false)
			}
			calls.Wait()
			// Longer than a delayed record, a backoff and the retries of releases.
			time.Sleep(time.Minute)
			for n := range 3 {
				id := claim.ID{2, byte(n)}
				decision, err := routers[0].index.Claim(t.Context(), key(n), claim.Digest{}, id, issued)
				if _, held := history.holders[key(n)]; complete && !held && decision.State != claim.StateWon {
					locked = append(locked, fmt.Sprintf("key %d: %v %v", n, decision.State, err))
				}
				if err == nil {
					history.observe(key(n), id, decision)
				}
			}
			for _, router := range routers {
				router.stop()
			}
			time.Sleep(time.Minute)
		})
		totalWins += history.wins
		if len(history.violations) > 0 || len(locked) > 0 {
			rt.Fatalf("violations: %v locked keys: %v", history.violations, locked)
		}
	})
	quicktest.Assert(t, totalWins > 0, quicktest.IsTrue)
}
