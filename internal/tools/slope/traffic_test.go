package slope

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/admin/conf"
	"github.com/clementinewind/clementinewind/internal/tools/demo"
	"github.com/clementinewind/clementinewind/internal/tools/stand"
	"github.com/clementinewind/clementinewind/internal/wire/callerv1"
)

const (
	trafficEngines       = 12
	trafficOrganisations = 16
	// trafficSlots is the concurrency of an engine. Twelve engines of four slots complete 48 requests of 100 tokens a
	// second.
	trafficSlots   = 4
	trafficTokens  = 100
	backlogCallers = 96
	settleTime     = 20 * time.Second
	measureTime    = 20 * time.Second
	// logDelay delays each append and read, like a platform in another zone.
	logDelay = 5 * time.Millisecond
)

var routerCounts = []int{3, 6, 9, 12, 18}

// tappedFleet is a fleet in virtual time that counts the bytes on all connections that routers open and the calls of
// their logs.
type tappedFleet struct {
	*demo.Fleet
	network *stand.Network
	log     *stand.Log
	counts  *counts
	mu      sync.Mutex
	logs    map[clementinewind.Instance]*tappedLog
	host    func(name string) string
}

// inVirtualTime runs a function in a testing/synctest bubble. synctest.Test needs a *testing.T, which a benchmark gets
// only from testing.RunTests.
func inVirtualTime(b *testing.B, run func(t *testing.T)) {
	ok := testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{
		Name: b.Name(), F: func(t *testing.T) { synctest.Test(t, run) },
	}})
	if !ok {
		b.Fatal("the run in virtual time failed")
	}
}

func newHostAllocator() func(name string) string {
	var mu sync.Mutex
	numbers := map[string]int{}
	return func(name string) string {
		mu.Lock()
		defer mu.Unlock()
		if numbers[name] == 0 {
			numbers[name] = len(numbers) + 1
		}
		return fmt.Sprintf("10.0.0.%d", numbers[name])
	}
}

// runFleet runs a function against a started fleet in virtual time.
func runFleet(b *testing.B, routers int, run func(t *testing.T, ctx context.Context, tappedFleet *tappedFleet)) {
	inVirtualTime(b, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
		defer cancel()
		tappedFleet := &tappedFleet{
			network: stand.NewNetwork(time.Millisecond), log: stand.NewLog(), counts: newCounts(),
			logs: map[clementinewind.Instance]*tappedLog{}, host: newHostAllocator(),
		}
		tappedFleet.log.SetFaults(stand.LogFaults{Delay: logDelay})
		organisations := map[clementinewind.Organisation]int{}
		for i := range trafficOrganisations {
			organisations[clementinewind.Organisation(fmt.Sprintf("Organisation%d", i))] = 1 + 9*((15-i)/13)
		}
		fleet, err := demo.New(ctx, demo.Config{
			Zones: 3, Routers: routers, Engines: trafficEngines, Bookings: 3,
			ColdLimit: trafficSlots, MaxLimit: trafficSlots, Organisations: organisations,
			Engine: stand.EngineConfig{MaxBatch: trafficSlots, StartWarm: true, TokenTime: 10 * time.Millisecond},
			Settings: func(settings conf.Router) conf.Router {
				return settings.WithAddressTimeToLive(5 * time.Second).WithResumeGrace(5 * time.Second)
			},
			Host: tappedFleet.host,
			Log:  tappedFleet.tapLog,
			Listen: func(_ context.Context, _, address string) (net.Listener, error) {
				return tappedFleet.network.Listen(address)
			},
			Dial: tappedFleet.dialer,
		})
		quicktest.Assert(t, err, quicktest.IsNil)
		defer fleet.Close()
		tappedFleet.Fleet = fleet
		startCtx, cancelStart := context.WithTimeout(ctx, time.Minute)
		defer cancelStart()
		quicktest.Assert(t, fleet.Start(startCtx), quicktest.IsNil)
		run(t, ctx, tappedFleet)
	})
}

func (tappedFleet *tappedFleet) tapLog(instance clementinewind.Instance) clementinewind.Log {
	tappedFleet.mu.Lock()
	defer tappedFleet.mu.Unlock()
	if tappedFleet.logs[instance] == nil {
		tappedFleet.logs[instance] = &tappedLog{Log: tappedFleet.log, counts: tappedFleet.counts}
	}
	return tappedFleet.logs[instance]
}

// dialer taps the connections that routers open. Those of a router to its own host are not counted, because they use no
// network.
func (tappedFleet *tappedFleet) dialer(name string) func(ctx context.Context, network, address string) (net.Conn, error) {
	host := tappedFleet.host(name)
	dial := tappedFleet.network.Dialer(host)
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		remote, port, _ := net.SplitHostPort(address)
		switch {
		case err != nil || !strings.HasPrefix(name, "Router") || remote == host:
			return conn, err
		case port == "7001":
			return newPeerTap(conn, tappedFleet.counts), nil
		default:
			return &plainTap{Conn: conn, counts: tappedFleet.counts, kind: "engines"}, nil
		}
	}
}

// startCallers starts more callers than the engines have slots, so that requests queue. It returns a function that stops
// them.
func (tappedFleet *tappedFleet) startCallers(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	var wait sync.WaitGroup
	for number := range backlogCallers {
		wait.Go(func() {
			organisation := fmt.Sprintf("Organisation%d", number%trafficOrganisations)
			for sequence := 0; ctx.Err() == nil; sequence++ {
				tappedFleet.generate(context.WithoutCancel(ctx), (number+number/trafficOrganisations)%len(tappedFleet.Nodes), organisation, fmt.Sprint(number, "-", sequence))
			}
		})
	}
	return func() {
		cancel()
		wait.Wait()
	}
}

func (tappedFleet *tappedFleet) generate(ctx context.Context, router int, organisation, prompt string) {
	stream, err := tappedFleet.Caller(router).Generate(ctx, connect.NewRequest(&callerv1.GenerateRequest{
		Organisation: organisation, Pool: demo.ModelPool, Prompt: prompt, MaxTokens: trafficTokens,
	}))
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer stream.Close()
	for stream.Receive() {
		tappedFleet.counts.add("tokens", len(stream.Msg().Tokens))
	}
	if stream.Err() == nil {
		tappedFleet.counts.add("answers", 1)
	}
}

// BenchmarkTraffic reports the bytes per second and router of control traffic, by kind. It counts HTTP/2 bytes without
// TCP and IP headers. The bytes of requests and of engine connections are reported separately and are not control
// traffic.
func BenchmarkTraffic(b *testing.B) {
	for _, backlog := range []bool{false, true} {
		for _, routers := range routerCounts {
			b.Run(fmt.Sprintf("backlog=%v/routers=%d", backlog, routers), func(b *testing.B) {
				var taken map[string]int
				runFleet(b, routers, func(_ *testing.T, ctx context.Context, tappedFleet *tappedFleet) {
					if backlog {
						defer tappedFleet.startCallers(ctx)()
					}
					time.Sleep(settleTime)
					tappedFleet.counts.take()
					time.Sleep(measureTime)
					taken = tappedFleet.counts.take()
				})
				report(b, taken, routers)
			})
		}
	}
}

func report(b *testing.B, taken map[string]int, routers int) {
	control := 0
	for _, kind := range slices.Sorted(maps.Keys(taken)) {
		unit := "B/s"
		switch kind {
		case "requests", "engines":
		case "tokens", "answers", "appends":
			unit = "/s"
		default:
			if strings.HasPrefix(kind, "read-") {
				unit = "/s"
			} else {
				control += taken[kind]
			}
		}
		b.ReportMetric(perSecond(taken[kind], measureTime, routers), kind+"-"+unit)
	}
	b.ReportMetric(perSecond(control, measureTime, routers), "control-B/s")
	b.ReportMetric(0, "ns/op")
}
