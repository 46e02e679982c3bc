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
	serviceName = "engines"
	// coldRatio, coldExtra and coldRate are the slow-start limits of cold engines that production deployments use.
	coldRatio = 1.5
	coldExtra = 5
	coldRate  = 6
	// shareWindow is the window of the fair shares of organisations in production deployments.
	shareWindow = 4 * time.Second
	// coldTime is how long an engine is cold after a start in production deployments.
	coldTime = 3 * time.Second
	// retryWindow, retryRatio and retryExtra are the retry budget of production deployments.
	retryWindow = 10 * time.Second
	retryRatio  = 0.2
	retryExtra  = 50
	// maxConnections is the connection limit of a production engine.
	maxConnections = 400
)

// Testbed is one router with simulated model engines, connected by an in-memory network.
type Testbed struct {
	scenario Scenario
	board    *board.Board
	engines  []*stand.Engine
	client   *http.Client
	servers  []*http.Server
	router   *relay.Relay
	meter    *meter
}

// NewTestbed starts the engines and the router of a scenario. Close stops them.
func NewTestbed(scenario Scenario) *Testbed {
	network := networks.NewPipeNetwork()
	testbed := &Testbed{scenario: scenario, meter: &meter{}}
	current := table.New(testbed.configuration())
	testbed.board = board.New(board.Config{
		ColdRatio: coldRatio, ColdExtra: coldExtra, Owns: func(clementinewind.Upstream) bool { return true },
	})
	testbed.board.SetServices(current.Services())
	for number := range scenario.Engines.Count {
		config := scenario.Engines
		engine := stand.NewEngine(stand.EngineConfig{
			Name: engineName(number), Slots: config.Slots, Queue: config.Queue, TokensPerMillisecond: config.TokensPerMillisecond,
			Step: config.Step, StepPerRequest: config.StepPerRequest, MemoryTokens: config.MemoryTokens, ColdPerSecond: config.ColdPerSecond,
		})
		testbed.engines = append(testbed.engines, engine)
		testbed.servers = append(testbed.servers, network.Serve(engineName(number), engine))
		testbed.board.Set(testbed.entry(number, 1, 0), time.Now())
	}
	testbed.router = relay.New(relay.Config{
		Board: testbed.board, Shares: usage.NewShares(shareWindow), Table: func() *table.Table { return current },
		RouterCount: func() int { return 1 }, Closing: never, Draining: func(table.RouteKind, time.Time) bool { return false }, Stale: never,
		CallerDisconnected: func(context.Context) bool { return false }, Overloaded: func(context.Context) bool { return false },
		EventBatchDelay: func() time.Duration { return 0 }, Dial: network.Dial,
		RetryBudget: func() budget.Config { return budget.Config{Window: retryWindow, Ratio: retryRatio, Extra: retryExtra} },
		Meter:       testbed.meter, Logger: hclog.NewNullLogger(),
	})
	testbed.servers = append(testbed.servers, network.Serve("router", testbed.router))
	testbed.client = &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, kind, _ string) (net.Conn, error) { return network.Dial(ctx, kind, "router") },
	}}
	return testbed
}

// configuration returns a configuration with one route, in which the API key of each organisation is its name.
func (testbed *Testbed) configuration() table.Configuration {
	config := table.Configuration{
		Version: 1,
		Routes: []table.Route{{
			Name: "r", Host: "h", PathPrefix: "/", Kind: table.RouteStream, MaxAttempts: 1,
			LatencyGoal: testbed.scenario.Route.Goal, Timeout: testbed.scenario.Route.Patience,
			TrafficSplit: []table.ServiceWeight{{Service: serviceName, Weight: 1}},
		}},
		Services: []table.ServiceSettings{{
			Name: serviceName, MaxConnections: maxConnections, ColdRate: coldRate, ColdTime: coldTime,
			Engine: &table.Engine{Slots: testbed.scenario.Engines.Slots, MemoryTokens: testbed.scenario.Engines.MemoryTokens},
		}},
	}
	for _, load := range testbed.scenario.Loads {
		config.Organisations = append(config.Organisations, table.OrganisationKeys{
			Organisation: clementinewind.Organisation(load.Organisation), Keys: []string{load.Organisation},
		})
	}
	return config
}

// SetCold makes an engine cold, as after a restart.
func (testbed *Testbed) SetCold(number int, duration time.Duration) {
	testbed.engines[number].SetCold(duration)
	testbed.board.Set(testbed.entry(number, 2, duration), time.Now())
}

// CrashedEngines returns how many engines crashed because they got too many requests while they were cold.
func (testbed *Testbed) CrashedEngines() int {
	crashed := 0
	for _, engine := range testbed.engines {
		if engine.Crashed() {
			crashed++
		}
	}
	return crashed
}

// PromptTokens returns how many prompt tokens the engines computed, and how many they found in their prompt caches.
func (testbed *Testbed) PromptTokens() (readTokens, cachedTokens int) {
	for _, engine := range testbed.engines {
		engineRead, engineCached := engine.PromptTokens()
		readTokens, cachedTokens = readTokens+engineRead, cachedTokens+engineCached
	}
	return readTokens, cachedTokens
}

// Close stops the router and the engines.
func (testbed *Testbed) Close() {
	testbed.client.CloseIdleConnections()
	for number := range testbed.engines {
		testbed.router.RemoveUpstream(clementinewind.Upstream(engineName(number)))
	}
	for _, server := range testbed.servers {
		// Connections that are still open are dropped.
		_ = server.Close()
	}
	for _, engine := range testbed.engines {
		engine.Wait()
	}
}

func (testbed *Testbed) entry(number int, incarnation int64, coldLeft time.Duration) table.Entry {
	return table.Entry{
		Upstream: clementinewind.Upstream(engineName(number)), Service: serviceName, Address: engineName(number),
		Slots: testbed.scenario.Engines.Slots, Incarnation: incarnation, ColdLeft: coldLeft,
	}
}

func engineName(number int) string { return fmt.Sprintf("engine-%d", number) }

func never() bool { return false }

// meter accumulates the error of the router's predictions of the time to the first event.
type meter struct {
	mutex      sync.Mutex
	count      int
	totalError time.Duration
}

// Ended implements relay.Meter.
func (meter *meter) Ended(table.Service, string, time.Duration) {}

// FirstEvent implements relay.Meter.
func (meter *meter) FirstEvent(_ table.Service, took, expected time.Duration) {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	meter.count++
	meter.totalError += (took - expected).Abs()
}

// Connected implements relay.Meter.
func (meter *meter) Connected(table.Service) {}

// LoadReport implements relay.Meter.
func (meter *meter) LoadReport(table.Service, string) {}

// ReportUsed implements relay.Meter.
func (meter *meter) ReportUsed(table.Service, time.Duration, bool) {}

// meanError returns the mean absolute difference between prediction and measurement.
func (meter *meter) meanError() time.Duration {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	return meter.totalError / time.Duration(max(meter.count, 1))
}
