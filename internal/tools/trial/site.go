package trial

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/load/board"
	"github.com/clementinewind/clementinewind/internal/load/budget"
	"github.com/clementinewind/clementinewind/internal/load/usage"
	"github.com/clementinewind/clementinewind/internal/route/relay"
	"github.com/clementinewind/clementinewind/internal/route/table"
	networks "github.com/clementinewind/clementinewind/internal/tools/stand"
	"github.com/clementinewind/clementinewind/platform/stand"
)

const (
	service = "engines"
	// coldRatio, coldExtra and coldRate are the allowance of cold engines in the users' deployments.
	coldRatio = 1.5
	coldExtra = 5
	coldRate  = 6
	// shareWindow is the time over which the users compare organisations.
	shareWindow = 4 * time.Second
	// coldTime is how long an engine stays cold after a start there.
	coldTime = 3 * time.Second
	// retryWindow, retryRatio and retryExtra are the bound of repeated requests there.
	retryWindow = 10 * time.Second
	retryRatio  = 0.2
	retryExtra  = 50
	// maxConnections is what an engine of the users accepts.
	maxConnections = 400
)

// Site is one router before model engines, joined by a network in memory.
type Site struct {
	scenario Scenario
	board    *board.Board
	engines  []*stand.Engine
	client   *http.Client
	servers  []*http.Server
	router   *relay.Relay
	meter    *meter
}

// NewSite starts the engines and the router of a scenario. Close ends them.
func NewSite(scenario Scenario) *Site {
	network := networks.NewPipeNetwork()
	site := &Site{scenario: scenario, meter: &meter{}}
	current := table.New(site.configuration())
	site.board = board.New(board.Config{
		ColdRatio: coldRatio, ColdExtra: coldExtra, Owns: func(clementinewind.Upstream) bool { return true },
	})
	site.board.SetServices(current.Services())
	for number := range scenario.Engines.Count {
		config := scenario.Engines
		engine := stand.NewEngine(stand.EngineConfig{
			Name: name(number), Slots: config.Slots, Queue: config.Queue, TokensPerMillisecond: config.TokensPerMillisecond,
			Step: config.Step, StepPerRequest: config.StepPerRequest, MemoryTokens: config.MemoryTokens, ColdPerSecond: config.ColdPerSecond,
		})
		site.engines = append(site.engines, engine)
		site.servers = append(site.servers, network.Serve(name(number), engine))
		site.board.Set(site.entry(number, 1, 0), time.Now())
	}
	site.router = relay.New(relay.Config{
		Board: site.board, Shares: usage.NewShares(shareWindow), Table: func() *table.Table { return current },
		RouterCount: func() int { return 1 }, Closing: never, Draining: func(table.RouteKind) bool { return false }, Stale: never,
		CallerDisconnected: func(context.Context) bool { return false }, Overloaded: func(context.Context) bool { return false },
		EventBatchDelay: func() time.Duration { return 0 }, Dial: network.Dial,
		RetryBudget: func() budget.Config { return budget.Config{Window: retryWindow, Ratio: retryRatio, Extra: retryExtra} },
		Meter:       site.meter, Logger: hclog.NewNullLogger(),
	})
	site.servers = append(site.servers, network.Serve("router", site.router))
	site.client = &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, kind, _ string) (net.Conn, error) { return network.Dial(ctx, kind, "router") },
	}}
	return site
}

// configuration has one route, and a key for each organisation that is its name.
func (site *Site) configuration() table.Configuration {
	config := table.Configuration{
		Version: 1,
		Routes: []table.Route{{
			Name: "r", Host: "h", PathPrefix: "/", Kind: table.RouteStream, MaxAttempts: 1,
			LatencyGoal: site.scenario.Route.Goal, Timeout: site.scenario.Route.Patience,
			TrafficSplit: []table.ServiceWeight{{Service: service, Weight: 1}},
		}},
		Services: []table.ServiceSettings{{
			Name: service, MaxConnections: maxConnections, ColdRate: coldRate, ColdTime: coldTime,
			Engine: &table.Engine{Slots: site.scenario.Engines.Slots, MemoryTokens: site.scenario.Engines.MemoryTokens},
		}},
	}
	for _, load := range site.scenario.Loads {
		config.Organisations = append(config.Organisations, table.OrganisationKeys{
			Organisation: clementinewind.Organisation(load.Organisation), Keys: []string{load.Organisation},
		})
	}
	return config
}

// TurnCold makes an engine cold, as a restart does.
func (site *Site) TurnCold(number int, lasts time.Duration) {
	site.engines[number].SetCold(lasts)
	site.board.Set(site.entry(number, 2, lasts), time.Now())
}

// Crashed returns how many engines got more than they tolerate while they were cold.
func (site *Site) Crashed() int {
	crashed := 0
	for _, engine := range site.engines {
		if engine.Crashed() {
			crashed++
		}
	}
	return crashed
}

// Tokens returns how many prompt tokens the engines read, and how many they found in memory.
func (site *Site) Tokens() (read, found int) {
	for _, engine := range site.engines {
		engineRead, engineFound := engine.PromptTokens()
		read, found = read+engineRead, found+engineFound
	}
	return read, found
}

// Close ends the router and the engines.
func (site *Site) Close() {
	site.client.CloseIdleConnections()
	for number := range site.engines {
		site.router.RemoveUpstream(clementinewind.Upstream(name(number)))
	}
	for _, server := range site.servers {
		// Nothing waits for the connections that are still open.
		_ = server.Close()
	}
	for _, engine := range site.engines {
		engine.Wait()
	}
}

func (site *Site) entry(number int, incarnation int64, coldLeft time.Duration) table.Entry {
	return table.Entry{
		Upstream: clementinewind.Upstream(name(number)), Service: service, Address: name(number),
		Slots: site.scenario.Engines.Slots, Incarnation: incarnation, ColdLeft: coldLeft,
	}
}

func name(number int) string { return fmt.Sprintf("engine-%d", number) }

func never() bool { return false }

// meter compares the times that the router expects with those that it sees.
type meter struct {
	mutex sync.Mutex
	count int
	wrong time.Duration
}

// Ended implements relay.Meter.
func (meter *meter) Ended(table.Service, string, time.Duration) {}

// FirstEvent implements relay.Meter.
func (meter *meter) FirstEvent(_ table.Service, took, expected time.Duration) {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	meter.count++
	meter.wrong += (took - expected).Abs()
}

// Connected implements relay.Meter.
func (meter *meter) Connected(table.Service) {}

// error returns the mean difference.
func (meter *meter) error() time.Duration {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	return meter.wrong / time.Duration(max(meter.count, 1))
}
