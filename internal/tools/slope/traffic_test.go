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
	// trafficSlots is the concurrency of an engine. Twelve engines of four slots end 48 requests of 100 tokens a second.
	trafficSlots   = 4
	trafficTokens  = 100
	backlogCallers = 96
	settleTime     = 20 * time.Second
	windowTime     = 20 * time.Second
	// logDelay is added before each append and read, as by a platform one zone away.
	logDelay = 5 * time.Millisecond
)

var routerCounts = []int{3, 6, 9, 12, 18}

// world is a fleet in virtual time with taps on all connections that routers open and on the log.
type world struct {
	*demo.Fleet
	network *stand.Network
	log     *stand.Log
	counts  *counts
	mu      sync.Mutex
	logs    map[clementinewind.Instance]*tappedLog
	host    func(name string) string
}

// inVirtualTime runs a function in a bubble of virtual time. synctest takes a test, which a benchmark does not have.
func inVirtualTime(b *testing.B, run func(t *testing.T)) {
	ok := testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{
		Name: b.Name(), F: func(t *testing.T) { synctest.Test(t, run) },
	}})
	if !ok {
		b.Fatal("the run in virtual time failed")
	}
}

func hosts() func(name string) string {
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

// runFleet runs a function against a fleet in virtual time.
func runFleet(b *testing.B, routers int, run func(t *testing.T, ctx context.Context, world *world)) {
	inVirtualTime(b, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
		defer cancel()
		world := &world{
			network: stand.NewNetwork(time.Millisecond), log: stand.NewLog(), counts: newCounts(),
			logs: map[clementinewind.Instance]*tappedLog{}, host: hosts(),
		}
		world.log.SetFaults(stand.LogFaults{Delay: logDelay})
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
			Host:   world.host,
			Log:    world.tapLog,
			Listen: func(_ context.Context, _, address string) (net.Listener, error) { return world.network.Listen(address) },
			Dial:   world.dialer,
		})
		quicktest.Assert(t, err, quicktest.IsNil)
		defer fleet.Close()
		world.Fleet = fleet
		startCtx, cancelStart := context.WithTimeout(ctx, time.Minute)
		defer cancelStart()
		quicktest.Assert(t, fleet.Start(startCtx), quicktest.IsNil)
		run(t, ctx, world)
	})
}

func (world *world) tapLog(instance clementinewind.Instance) clementinewind.Log {
	world.mu.Lock()
	defer world.mu.Unlock()
	if world.logs[instance] == nil {
		world.logs[instance] = &tappedLog{Log: world.log, counts: world.counts}
	}
	return world.logs[instance]
}

// dialer taps the connections of routers. Those of a router to itself never leave its host and are not counted.
func (world *world) dialer(name string) func(ctx context.Context, network, address string) (net.Conn, error) {
	host := world.host(name)
	dial := world.network.Dialer(host)
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		remote, port, _ := net.SplitHostPort(address)
		switch {
		case err != nil || !strings.HasPrefix(name, "Router") || remote == host:
			return conn, err
		case port == "7001":
			return newPeerTap(conn, world.counts), nil
		default:
			return &plainTap{Conn: conn, counts: world.counts, kind: "engines"}, nil
		}
	}
}

// startCallers keeps more requests waiting than the engines have slots, and returns the function that ends them.
func (world *world) startCallers(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	var wait sync.WaitGroup
	for number := range backlogCallers {
		wait.Go(func() {
			organisation := fmt.Sprintf("Organisation%d", number%trafficOrganisations)
			for sequence := 0; ctx.Err() == nil; sequence++ {
				world.generate(context.WithoutCancel(ctx), (number+number/trafficOrganisations)%len(world.Nodes), organisation, fmt.Sprint(number, "-", sequence))
			}
		})
	}
	return func() {
		cancel()
		wait.Wait()
	}
}

func (world *world) generate(ctx context.Context, router int, organisation, prompt string) {
	stream, err := world.Caller(router).Generate(ctx, connect.NewRequest(&callerv1.GenerateRequest{
		Organisation: organisation, Pool: demo.ModelPool, Prompt: prompt, MaxTokens: trafficTokens,
	}))
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer stream.Close()
	for stream.Receive() {
		world.counts.add("tokens", len(stream.Msg().Tokens))
	}
	if stream.Err() == nil {
		world.counts.add("answers", 1)
	}
}

// BenchmarkTraffic reports the bytes per second that a router sends for control, by kind. The bytes are those of HTTP/2,
// without the headers of TCP and IP. The bytes of requests and of engines are not control and have their own figures.
func BenchmarkTraffic(b *testing.B) {
	for _, backlog := range []bool{false, true} {
		for _, routers := range routerCounts {
			b.Run(fmt.Sprintf("backlog=%v/routers=%d", backlog, routers), func(b *testing.B) {
				var taken map[string]int
				runFleet(b, routers, func(_ *testing.T, ctx context.Context, world *world) {
					if backlog {
						defer world.startCallers(ctx)()
					}
					time.Sleep(settleTime)
					world.counts.take()
					time.Sleep(windowTime)
					taken = world.counts.take()
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
		b.ReportMetric(perSecond(taken[kind], windowTime, routers), kind+"-"+unit)
	}
	b.ReportMetric(perSecond(control, windowTime, routers), "control-B/s")
	b.ReportMetric(0, "ns/op")
}
