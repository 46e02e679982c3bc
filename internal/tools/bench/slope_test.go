package bench

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/share/admit"
	"github.com/clementinewind/clementinewind/internal/share/fair"
	"github.com/clementinewind/clementinewind/internal/share/sched"
	"github.com/clementinewind/clementinewind/internal/wire/peerv1"
)

// The Slope benchmarks measure how costs grow with the size of the fleet.

// target is one router in a fleet of the target size: 350 routers, 1,300 upstreams, and 29,000 organisations of which
// 2,900 are backlogged, each asking 9 owners for slots.
type target struct {
	owner  *sched.Owner
	entry  *sched.Entry
	bytes  int
	grants []*peerv1.Grant
	asks   []*peerv1.Ask
}

const (
	targetRouters = 350
	// targetUpstreams is the number of upstreams that one router owns: 1,300 / 350, rounded up.
	targetUpstreams = 4
	// targetAsks is the number of backlogged organisations that ask one owner for slots: 2,900 x 9 / 350.
	targetAsks = 75
)

func sessions(count int) []clementinewind.Session {
	sessions := make([]clementinewind.Session, count)
	for index := range sessions {
		sessions[index] = clementinewind.Session(1000 + index)
	}
	return sessions
}

func organisationName(index int) clementinewind.Organisation {
	return clementinewind.Organisation(fmt.Sprintf("organisation-%05d", index))
}

func newTarget(routers, upstreams, asks int) *target {
	target := &target{}
	live := sessions(routers)
	send := func(_ clementinewind.Session, frame *peerv1.ControlFrame) {
		// A gRPC message has a prefix of five bytes.
		target.bytes += proto.Size(frame) + 5
		target.grants = append(target.grants, frame.Grants...)
		target.asks = append(target.asks, frame.Asks...)
	}
	target.owner = sched.NewOwner(sched.OwnerConfig{
		Self: live[0], Send: send,
		Home: func(key fair.Key) clementinewind.Session { return live[len(key.Organisation)%len(live)] },
	})
	target.owner.SetSessions(live)
	target.entry = sched.NewEntry(sched.EntryConfig{
		Self: live[0], Send: send, Seed: 1,
		Limits: func(clementinewind.Organisation) fair.Limits { return fair.Limits{Weight: 1} },
	})
	var configs []sched.UpstreamConfig
	for index := range upstreams {
		configs = append(configs, sched.UpstreamConfig{
			Upstream: clementinewind.Upstream(fmt.Sprintf("engine-%04d", index)), Pool: poolName,
			Cold: engineSlots, Max: engineSlots, PoolSize: 260,
		})
	}
	target.owner.SetUpstreams(configs)
	target.ask(asks)
	return target
}

// ask makes organisations ask the owner for slots.
func (target *target) ask(asks int) {
	for index := range asks {
		target.owner.HandleAsks(clementinewind.Session(1000+index%targetRouters), []*peerv1.Ask{{
			Pool: string(poolName), Organisation: string(organisationName(index)), Weight: 1, Waiting: 64, Estimate: 480,
		}})
	}
}

// BenchmarkSlopeRequest measures all steps of a queued request at its owner and its entry router: grant, redemption,
// dispatch, ten progress reports, finish.
func BenchmarkSlopeRequest(b *testing.B) {
	for _, asks := range []int{targetAsks, 2900} {
		b.Run(fmt.Sprintf("asks=%d", asks), func(b *testing.B) {
			target := newTarget(targetRouters, targetUpstreams, asks)
			target.entry.SetOwners(poolName, sessions(1))
			target.bytes = 0
			b.ReportAllocs()
			for b.Loop() {
				if len(target.grants) == 0 {
					// Grants wait in a slice here and may expire. The owner then pauses grants to the ask; a new ask ends the pause.
					target.owner.Tick()
					target.ask(asks)
				}
				grant := target.grants[0]
				target.grants = target.grants[1:]
				organisation := clementinewind.Organisation(grant.Organisation)
				index := 0
				for _, digit := range grant.Organisation[len("organisation-"):] {
					index = 10*index + int(digit-'0')
				}
				request := sched.Request{
					Pool: poolName, Organisation: organisation, Weight: 1, Estimate: 480,
					Entry: clementinewind.Session(1000 + index%targetRouters), Attempt: 1,
				}
				var placement sched.Placement
				if _, refusal := target.entry.Enqueue(request, func(placed sched.Placement) { placement = placed }); refusal != nil {
					b.Fatal(refusal)
				}
				target.entry.HandleGrants(1000, []*peerv1.Grant{grant})
				slot, redeemed := target.owner.Redeem(grant.GrantId, request)
				if !redeemed {
					// The grant expired while it waited in the slice.
					placement.Busy()
					continue
				}
				slot.Dispatched()
				slot.FirstToken()
				for step := range 10 {
					slot.Progress(float64(48 * (step + 1)))
				}
				slot.Finish(admit.ResultCompleted)
				placement.Finish()
			}
			b.ReportMetric(float64(target.bytes)/float64(b.N), "control-B/op")
		})
	}
}

// BenchmarkSlopeBacklogged measures one periodic task of an owner by the number of backlogged organisations that ask it.
func BenchmarkSlopeBacklogged(b *testing.B) {
	for _, asks := range []int{targetAsks, 750, 2900} {
		b.Run(fmt.Sprintf("asks=%d", asks), func(b *testing.B) {
			target := newTarget(targetRouters, targetUpstreams, asks)
			b.ReportAllocs()
			for b.Loop() {
				target.owner.Tick()
				target.grants = target.grants[:0]
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(asks), "ns/organisation")
		})
	}
}

// BenchmarkSlopeUpstream measures one periodic task of an owner by the number of owned upstreams.
func BenchmarkSlopeUpstream(b *testing.B) {
	for _, upstreams := range []int{targetUpstreams, 1300} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			target := newTarget(targetRouters, upstreams, 0)
			b.ReportAllocs()
			for b.Loop() {
				target.owner.Tick()
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(upstreams), "ns/upstream")
		})
	}
}

// BenchmarkSlopePeer measures a change of the live sessions at one router by the number of routers.
func BenchmarkSlopePeer(b *testing.B) {
	for _, routers := range []int{9, targetRouters} {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			target := newTarget(routers, targetUpstreams, targetAsks)
			live := sessions(routers)
			b.ReportAllocs()
			for b.Loop() {
				target.owner.SetSessions(live)
				target.entry.SetOwners(poolName, live)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(routers), "ns/peer")
		})
	}
}

// BenchmarkSlopeAsk measures the arrival of the first request of an organisation in a large fleet: the choice of 9 of
// 350 owners and the asks to them.
func BenchmarkSlopeAsk(b *testing.B) {
	target := newTarget(targetRouters, 0, 0)
	target.entry.SetOwners(poolName, sessions(targetRouters))
	target.bytes = 0
	b.ReportAllocs()
	index := 0
	for b.Loop() {
		request := sched.Request{Pool: poolName, Organisation: organisationName(index % 29000), Estimate: 480, Attempt: 1}
		index++
		withdraw, refusal := target.entry.Enqueue(request, func(sched.Placement) {})
		if refusal != nil {
			b.Fatal(refusal)
		}
		withdraw()
		target.asks = target.asks[:0]
	}
	b.ReportMetric(float64(target.bytes)/float64(b.N), "control-B/op")
}
