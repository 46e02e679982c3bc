package router_test

import (
	"context"
	"flag"
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/semaphore"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/admin/conf"
	"github.com/clementinewind/clementinewind/internal/route/router"
	"github.com/clementinewind/clementinewind/internal/store/plog"
	"github.com/clementinewind/clementinewind/internal/tools/demo"
	"github.com/clementinewind/clementinewind/internal/tools/stand"
	"github.com/clementinewind/clementinewind/internal/wire/callerv1"
)

// world is a fleet in a bubble of virtual time with the network and the log below it.
type world struct {
	*demo.Fleet
	network *stand.Network
	log     *stand.Log
	// views are the connections of the instances to the log.
	views map[clementinewind.Instance]*stand.FlakyLog
	// removed is when the first zone was taken out of service.
	removed time.Time
}

// logged is a flag of its own, because the logs of a fleet take more time than the fleet.
var logged = flag.Bool("logged", false, "log what the routers do")

// hosts gives each name of a fleet an address of its own.
func hosts() func(name string) string {
	numbers := map[string]int{}
	return func(name string) string {
		if numbers[name] == 0 {
			numbers[name] = len(numbers) + 1
		}
		return fmt.Sprintf("10.0.0.%d", numbers[name])
	}
}

// config returns a fleet of three routers in three zones.
func config() demo.Config {
	return demo.Config{
		Zones: 3, Routers: 3, Engines: 3, Bookings: 3, ColdLimit: 4, MaxLimit: 16,
		Organisations: map[clementinewind.Organisation]int{"Patel": 1, "Fjordvolt": 1},
		Engine:        stand.EngineConfig{MaxBatch: 16, ColdBatch: 4, TokenTime: 10 * time.Millisecond},
		Settings: func(settings conf.Router) conf.Router {
			return settings.WithAddressTimeToLive(5 * time.Second).WithResumeGrace(5 * time.Second)
		},
	}
}

// worlds bounds the fleets that run at the same time: each takes up to 300 MB under the race detector.
var worlds = semaphore.NewWeighted(6)

// run runs a test against a fleet in virtual time.
func run(t *testing.T, config demo.Config, test func(t *testing.T, ctx context.Context, world *world)) {
	quicktest.Assert(t, worlds.Acquire(t.Context(), 1), quicktest.IsNil)
	defer worlds.Release(1)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
		defer cancel()
		world := &world{network: stand.NewNetwork(time.Millisecond), log: stand.NewLog(), views: map[clementinewind.Instance]*stand.FlakyLog{}}
		host := hosts()
		config.Host = host
		config.Log = func(instance clementinewind.Instance) clementinewind.Log {
			if world.views[instance] == nil {
				world.views[instance] = stand.NewFlakyLog(stand.FlakyLogConfig{Log: world.log})
			}
			return clientLog{world.views[instance]}
		}
		config.Instances = world.instances
		config.Listen = func(_ context.Context, _, address string) (net.Listener, error) { return world.network.Listen(address) }
		config.Dial = func(name string) func(ctx context.Context, network, address string) (net.Conn, error) {
			dial := world.network.Dialer(host(name))
			return func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) }
		}
		if *logged {
			config.Logger = hclog.New(&hclog.LoggerOptions{Level: hclog.Debug, Output: t.Output()})
		}
		fleet, err := demo.New(ctx, config)
		quicktest.Assert(t, err, quicktest.IsNil)
		defer fleet.Close()
		world.Fleet = fleet
		startCtx, cancelStart := context.WithTimeout(ctx, time.Minute)
		defer cancelStart()
		quicktest.Assert(t, fleet.Start(startCtx), quicktest.IsNil)
		test(t, ctx, world)
	})
}

// clientLog reports a call that its caller gave up as plog.Client does: the log was unavailable.
type clientLog struct{ clementinewind.Log }

func (log clientLog) Append(ctx context.Context, stream string, records []clementinewind.Record) (clementinewind.Offset, error) {
	offset, err := log.Log.Append(ctx, stream, records)
	if err != nil && ctx.Err() != nil {
		err = &plog.CallError{Kind: clementinewind.ErrLogUnavailable, Cause: err}
	}
	return offset, err
}

// instances is the platform's list of instances.
func (world *world) instances(context.Context) ([]router.Listed, error) {
	var list []router.Listed
	for number, node := range world.Nodes {
		if node.Router() == nil {
			continue
		}
		host := address(world, number)
		list = append(list, router.Listed{Name: node.Name, Zone: node.Zone, Address: net.JoinHostPort(host, "7001")})
	}
	return list, nil
}

// generate sends a model request to a router and returns the whole answer.
func (world *world) generate(ctx context.Context, router int, prompt string, tokens int32) ([]string, error) {
	stream, err := world.Caller(router).Generate(ctx, connect.NewRequest(&callerv1.GenerateRequest{
		Organisation: "Patel", Pool: demo.ModelPool, Prompt: prompt, MaxTokens: tokens,
	}))
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	var answer []string
	for stream.Receive() {
		answer = append(answer, stream.Msg().Tokens...)
	}
	return answer, stream.Err()
}

// Guards against a path from the caller to the upstreams that does not work at all.
func TestRequestIsServed(t *testing.T) {
	run(t, config(), func(t *testing.T, ctx context.Context, world *world) {
		for router := range world.Nodes {
			prompt := strings.Repeat("Quote for a wheel. ", 20)
			answer, err := world.generate(ctx, router, prompt, 40)
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Assert(t, answer, quicktest.DeepEquals, stand.Answer(prompt, 40))
			key := fmt.Sprint("booking-", router)
			call := &callerv1.CallRequest{
				Organisation: "Patel", Pool: demo.ServicePool, Path: "/book", Body: []byte("wheel"),
				IdempotencyKey: key, KeyIssuedMillis: time.Now().UnixMilli(),
			}
			first, err := world.Caller(router).Call(ctx, connect.NewRequest(call))
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Assert(t, first.Msg.Replayed, quicktest.IsFalse)
			quicktest.Assert(t, first.Msg.Body, quicktest.DeepEquals, stand.BookingAnswer("/book", []byte("wheel")))
			time.Sleep(time.Second)
			second, err := world.Caller((router+1)%3).Call(ctx, connect.NewRequest(call))
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Assert(t, second.Msg.Replayed, quicktest.IsTrue)
			quicktest.Assert(t, second.Msg.Body, quicktest.DeepEquals, first.Msg.Body)
			located, err := world.Caller(router).Locate(ctx, connect.NewRequest(&callerv1.LocateRequest{Organisation: "Patel"}))
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Assert(t, located.Msg.Addresses, quicktest.HasLen, 3)
			slices.Sort(located.Msg.Addresses)
			quicktest.Assert(t, slices.Compact(located.Msg.Addresses), quicktest.HasLen, 3)
		}
	})
}
