package relay_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
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

// site is one router before model engines, in virtual time.
type site struct {
	t       *testing.T
	network *networks.PipeNetwork
	board   *board.Board
	engines []*stand.Engine
	client  *http.Client

	mutex  sync.Mutex
	counts map[string]int
}

const (
	goal     = time.Second
	patience = 10 * time.Second
)

func newSite(t *testing.T, count int) *site {
	t.Helper()
	built := &site{t: t, network: networks.NewPipeNetwork(), counts: map[string]int{}}
	current := table.New(table.Configuration{
		Version: 1,
		Routes: []table.Route{{
			Name: "r", Host: "h", PathPrefix: "/", Kind: table.RouteStream, MaxAttempts: 1, LatencyGoal: goal, Timeout: patience,
			Shares: []table.Share{{Service: "engines", Weight: 1}},
		}},
		Services: []table.ServiceSettings{{
			Name: "engines", MaxConnections: 400, ColdRate: 6, ColdTime: 3 * time.Second,
			Engine: &table.Engine{Slots: 64, MemoryTokens: 500_000},
		}},
		Organisations: []table.OrganisationKeys{{Organisation: "small", Keys: []string{"small"}}, {Organisation: "flood", Keys: []string{"flood"}}},
	})
	built.board = board.New(board.Config{ColdRatio: 1.5, ColdExtra: 5, Owns: func(clementinewind.Upstream) bool { return true }})
	built.board.SetServices(current.Services())
	var servers []*http.Server
	for number := range count {
		name := fmt.Sprintf("engine-%d", number)
		engine := stand.NewEngine(stand.EngineConfig{
			Name: name, Slots: 64, Queue: 130, TokensPerMillisecond: 60, Step: 7 * time.Millisecond, MemoryTokens: 500_000, ColdPerSecond: 13,
		})
		built.engines = append(built.engines, engine)
		servers = append(servers, built.network.Serve(name, engine))
		built.board.Set(table.Entry{
			Upstream: clementinewind.Upstream(name), Service: "engines", Address: name, Slots: 64, Incarnation: 1,
		}, time.Now())
	}
	router := relay.New(relay.Config{
		Board: built.board, Shares: usage.NewShares(4 * time.Second), Table: func() *table.Table { return current },
		Routers: func() int { return 1 }, Closing: func() bool { return false }, Refusing: func() bool { return false },
		Overloaded: func() bool { return false }, Dial: built.network.Dial,
		Budget: func() budget.Config { return budget.Config{Window: 10 * time.Second, Ratio: 0.2, Extra: 50} },
		Meter:  noMeter{}, Logger: hclog.NewNullLogger(),
	})
	servers = append(servers, built.network.Serve("router", router))
	built.client = &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			return built.network.Dial(ctx, network, "router")
		},
	}}
	t.Cleanup(func() {
		built.client.CloseIdleConnections()
		for number := range count {
			router.Retire(clementinewind.Upstream(fmt.Sprintf("engine-%d", number)))
		}
		for _, server := range servers {
			_ = server.Close()
		}
	})
	return built
}

// ask sends a prompt and counts how it ended: on time, late, refused or failed.
func (site *site) ask(id, key, subject string) {
	request, err := http.NewRequest(http.MethodPost, "http://h/", nil)
	if err != nil {
		site.t.Error(err)
		return
	}
	stand.Caller(request.Header, id, key, patience)
	stand.Prompt(request.Header, subject, 17_000, 13_000, 60)
	began := time.Now()
	outcome := "failed"
	if response, err := site.client.Do(request); err == nil {
		took := time.Since(began)
		_, err := io.Copy(io.Discard, response.Body)
		response.Body.Close()
		switch {
		case response.StatusCode == http.StatusServiceUnavailable:
			outcome = "refused"
		case err == nil && response.StatusCode == http.StatusOK && took <= goal:
			outcome = "on time"
		case err == nil && response.StatusCode == http.StatusOK:
			outcome = "late"
		}
	}
	site.mutex.Lock()
	defer site.mutex.Unlock()
	site.counts[key+" "+outcome]++
}

// load sends a prompt of each of the keys at each pause, over the subjects in turn, and waits for the last one.
func (site *site) load(requests int, pause time.Duration, subjects int, keys ...string) {
	var group sync.WaitGroup
	for number := range requests {
		key := keys[number%len(keys)]
		group.Go(func() { site.ask(fmt.Sprintf("r-%d", number), key, fmt.Sprintf("%s%d", key, number%subjects)) })
		time.Sleep(pause)
	}
	group.Wait()
}

func (site *site) share(key, outcome string) float64 {
	total := 0
	for _, kind := range []string{"on time", "late", "refused", "failed"} {
		total += site.counts[key+" "+kind]
	}
	return float64(site.counts[key+" "+outcome]) / float64(max(total, 1))
}

// Replays a steady load whose prompts share large parts: each part is read by two engines at the most, and nearly all
// requests are on time. Read anew each time, the prompts would need twice what the engines can read.
func TestSharedPartsAreReadOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const engines, subjects, requests = 4, 20, 600
		site := newSite(t, engines)
		site.load(requests, 35*time.Millisecond, subjects, "small")
		read := 0
		for _, engine := range site.engines {
			tokens, _ := engine.Read()
			read += tokens
		}
		limit := 2*subjects*13_000 + requests*4_000
		quicktest.Check(t, read <= limit, quicktest.IsTrue, quicktest.Commentf("%d tokens read, at most %d needed", read, limit))
		quicktest.Check(t, site.share("small", "on time") > 0.9, quicktest.IsTrue, quicktest.Commentf("%v", site.counts))
	})
}

// Replays a load of twice what the engines can do: those who are served are served on time, and the others are refused at
// once, instead of all becoming late.
func TestOverloadStaysOnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newSite(t, 2)
		site.load(900, 12*time.Millisecond, 900, "small")
		served := site.share("small", "on time") + site.share("small", "late")
		quicktest.Check(t, served > 0.05, quicktest.IsTrue, quicktest.Commentf("%v", site.counts))
		quicktest.Check(t, site.share("small", "on time") > 0.8*served, quicktest.IsTrue, quicktest.Commentf("%v", site.counts))
		quicktest.Check(t, site.share("small", "failed") < 0.02, quicktest.IsTrue, quicktest.Commentf("%v", site.counts))
	})
}

// Replays engines that turn cold under load: none gets more than it tolerates.
func TestColdEnginesSurvive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newSite(t, 3)
		for number, engine := range site.engines {
			engine.TurnCold(3 * time.Second)
			site.board.Set(table.Entry{
				Upstream: clementinewind.Upstream(fmt.Sprintf("engine-%d", number)), Service: "engines", Slots: 64, Incarnation: 2,
				Address: fmt.Sprintf("engine-%d", number), ColdLeft: 3 * time.Second,
			}, time.Now())
		}
		site.load(400, 10*time.Millisecond, 10, "small")
		for _, engine := range site.engines {
			quicktest.Check(t, engine.Crashed(), quicktest.IsFalse)
		}
	})
}
