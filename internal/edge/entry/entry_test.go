package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/admin/conf"
	"github.com/clementinewind/clementinewind/internal/admin/telem"
	"github.com/clementinewind/clementinewind/internal/edge/entry"
	"github.com/clementinewind/clementinewind/internal/fleet/gossip"
	"github.com/clementinewind/clementinewind/internal/fleet/roster"
	"github.com/clementinewind/clementinewind/internal/route/table"
	"github.com/clementinewind/clementinewind/platform"
	"github.com/clementinewind/clementinewind/platform/stand"
)

// waitTime bounds the wait for something that a fleet does within a second.
const waitTime = 20 * time.Second

// fleet is a store, one upstream and routers as they run on the platform, each at a loopback address of its own.
type fleet struct {
	t        *testing.T
	store    *stand.Store
	upstream *httptest.Server
	version  int

	mutex  sync.Mutex
	handle http.HandlerFunc
	// away are the routers that the store turns away.
	away    map[int]bool
	routers map[int]*router
}

type router struct {
	entry    *entry.Entry
	settings conf.Entry
	cancel   context.CancelFunc
	ended    chan error
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	built := &fleet{t: t, store: stand.NewStore(), routers: map[int]*router{}, away: map[int]bool{}}
	built.handle = func(writer http.ResponseWriter, _ *http.Request) { fmt.Fprint(writer, "answer") }
	built.upstream = httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		stand.EchoRequestID(writer, request)
		stand.Seal(writer)
		built.mutex.Lock()
		handle := built.handle
		built.mutex.Unlock()
		handle(writer, request)
	}))
	t.Cleanup(built.upstream.Close)
	built.configure("key")
	list(t, built.store, table.Entry{
		Upstream: "u", Service: "s", Address: built.upstream.Listener.Addr().String(), Zone: "a", Slots: 8, Sequence: 1, Incarnation: 1,
	})
	t.Cleanup(func() {
		for _, router := range built.routers {
			router.cancel()
			<-router.ended
		}
	})
	return built
}

func (fleet *fleet) configure(keys ...string) {
	fleet.version++
	configure(fleet.t, fleet.store, table.Configuration{
		Version: table.Version(fleet.version),
		Routes: []table.Route{{
			Name: "r", Host: "h", PathPrefix: "/", Kind: table.RouteIdempotent, Timeout: 5 * time.Second, MaxAttempts: 1,
			TrafficSplit: []table.ServiceWeight{{Service: "s", Weight: 1}},
		}},
		Services:      []table.ServiceSettings{{Name: "s", MaxConnections: 50}},
		Organisations: []table.OrganisationKeys{{Organisation: "o", Keys: keys}},
	})
}

// configure writes a configuration to the store as an operator does.
func configure(t testing.TB, store *stand.Store, configuration table.Configuration) {
	t.Helper()
	value, err := platform.EncodeConfiguration(configuration)
	quicktest.Assert(t, err, quicktest.IsNil)
	store.Put(platform.TopicOperator, platform.ConfigurationKey, value)
}

// list writes the entry of an upstream to the store as the upstream does.
func list(t testing.TB, store *stand.Store, entry table.Entry) {
	t.Helper()
	value, err := platform.EncodeUpstream(entry)
	quicktest.Assert(t, err, quicktest.IsNil)
	store.Put(platform.TopicUpstreams, string(entry.Upstream), value)
}

func (fleet *fleet) respond(handle http.HandlerFunc) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.handle = handle
}

// storeFor returns the address at which one router reaches the store.
func (fleet *fleet) storeFor(number int) string {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		fleet.mutex.Lock()
		away := fleet.away[number]
		fleet.mutex.Unlock()
		if away {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		fleet.store.ServeHTTP(writer, request)
	}))
	fleet.t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func (fleet *fleet) turnAway(number int) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.away[number] = true
}

// settings returns the settings of a router, without the address of the store.
func (fleet *fleet) settings(number int) conf.Entry {
	// Each test process has addresses of its own, so that packages can be tested side by side.
	address := netip.AddrFrom4([4]byte{127, byte(1 + os.Getpid()/250%250), byte(1 + os.Getpid()%250), byte(number)})
	settings := conf.DefaultEntry()
	settings.Name = clementinewind.Instance(fmt.Sprintf("router-%d", number))
	settings.Zone = clementinewind.Zone([]string{"a", "b", "c"}[number%3])
	settings.CallerListen = netip.AddrPortFrom(address, 20001)
	settings.ReadyListen = netip.AddrPortFrom(address, 20002)
	settings.LocateListen = netip.AddrPortFrom(address, 20003)
	settings.FirstPort, settings.LastPort = 20004, 20010
	return settings
}

// list writes the entry of a router that has lost power since.
func (fleet *fleet) list(number int) {
	fleet.t.Helper()
	settings := fleet.settings(number)
	value, err := proto.Marshal(gossip.EncodeMember(roster.Member{
		Instance: settings.Name, Zone: settings.Zone, Incarnation: 1, CallerAddress: settings.CallerListen.String(),
		PeerAddress: netip.AddrPortFrom(settings.CallerListen.Addr(), uint16(settings.FirstPort)).String(),
	}))
	quicktest.Assert(fleet.t, err, quicktest.IsNil)
	fleet.store.Put(platform.TopicInstances, string(settings.Name), value)
}

func (fleet *fleet) listAll(size int) {
	fleet.t.Helper()
	for number := range size {
		fleet.list(number + 1)
	}
}

// restart starts all routers and waits until they are ready.
func (fleet *fleet) restart(size int) {
	fleet.t.Helper()
	var started []*router
	for number := range size {
		started = append(started, fleet.start(number+1))
	}
	fleet.ready(started...)
}

func (fleet *fleet) start(number int) *router {
	fleet.t.Helper()
	settings := fleet.settings(number)
	settings.StoreAddress = netip.MustParseAddrPort(fleet.storeFor(number))
	settings.Grace = 2 * time.Second
	// The processor is shared with the tests of other packages.
	settings.MaxRefusedFraction = 0
	meter, err := telem.NewEntry(telem.EntryConfig{})
	quicktest.Assert(fleet.t, err, quicktest.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	started := &router{
		entry:    entry.New(entry.Config{Settings: settings, Meter: meter, Logger: hclog.NewNullLogger()}),
		settings: settings, cancel: cancel, ended: make(chan error, 1),
	}
	go func() { started.ended <- started.entry.Run(ctx) }()
	fleet.routers[number] = started
	return started
}

func (fleet *fleet) stop(number int) error {
	router := fleet.routers[number]
	delete(fleet.routers, number)
	router.entry.Stop()
	err := <-router.ended
	router.cancel()
	return err
}

// kill ends a router at once.
func (fleet *fleet) kill(number int) {
	router := fleet.routers[number]
	delete(fleet.routers, number)
	router.cancel()
	<-router.ended
}

func get(address netip.AddrPort, path string) (int, string) {
	client := http.Client{Timeout: waitTime, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + address.String() + path)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(body)
}

func (router *router) ask(key string) (int, string) {
	request, err := http.NewRequest(http.MethodGet, "http://"+router.settings.CallerListen.String()+"/x", nil)
	if err != nil {
		return 0, err.Error()
	}
	request.Host = "h"
	stand.SetCallerHeaders(request.Header, "id", key, 5*time.Second)
	client := http.Client{Timeout: waitTime, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(body)
}

func (fleet *fleet) until(what string, holds func() bool) {
	fleet.t.Helper()
	for end := time.Now().Add(waitTime); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			fleet.t.Fatalf("after %v: not %s", waitTime, what)
		}
	}
}

func (fleet *fleet) ready(routers ...*router) {
	fleet.t.Helper()
	for _, router := range routers {
		fleet.until("ready", func() bool {
			status, _ := get(router.settings.ReadyListen, "/api/ready")
			return status == http.StatusOK
		})
	}
}

func (router *router) addresses() []string {
	_, body := get(router.settings.LocateListen, "/api/resolve?zone=a")
	var answer struct{ Addrs []string }
	if err := json.Unmarshal([]byte(body), &answer); err != nil {
		return nil
	}
	return answer.Addrs
}

// Guards against routers that do not find each other, do not serve, or do not follow the configuration.
func TestFleet(t *testing.T) {
	fleet := newFleet(t)
	first, second, third := fleet.start(1), fleet.start(2), fleet.start(3)
	fleet.ready(first, second, third)
	for _, router := range []*router{first, second, third} {
		fleet.until("three addresses", func() bool { return len(router.addresses()) == 3 })
		status, body := router.ask("key")
		quicktest.Check(t, status, quicktest.Equals, http.StatusOK, quicktest.Commentf("%s", body))
		quicktest.Check(t, body, quicktest.Equals, "answer")
		status, _ = router.ask("other")
		quicktest.Check(t, status, quicktest.Equals, http.StatusUnauthorized)
	}
	fleet.configure("other")
	for _, router := range []*router{first, second, third} {
		fleet.until("the new key in force", func() bool { status, _ := router.ask("other"); return status == http.StatusOK })
		status, _ := router.ask("key")
		quicktest.Check(t, status, quicktest.Equals, http.StatusUnauthorized)
	}
	quicktest.Check(t, fleet.stop(2), quicktest.IsNil)
	fleet.until("two addresses", func() bool { return len(first.addresses()) == 2 })
}

// Guards against 401 and 404 from a router that knows no configuration yet, and against one that stays away after the store
// was down at its start.
func TestStartWithoutStore(t *testing.T) {
	fleet := newFleet(t)
	fleet.store.SetFault(func(writer http.ResponseWriter, _ *http.Request) bool {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	router := fleet.start(1)
	fleet.until("answering", func() bool { status, _ := router.ask("key"); return status == http.StatusServiceUnavailable })
	status, _ := get(router.settings.ReadyListen, "/api/ready")
	quicktest.Check(t, status, quicktest.Equals, http.StatusServiceUnavailable)
	fleet.store.SetFault(nil)
	fleet.ready(router)
	status, _ = router.ask("key")
	quicktest.Check(t, status, quicktest.Equals, http.StatusOK)
}

// Guards against a router that is replaced while the store is down and serves nobody until it returns: the others know all that
// it needs.
func TestRestartWithoutStore(t *testing.T) {
	fleet := newFleet(t)
	first, second := fleet.start(1), fleet.start(2)
	fleet.ready(first, second)
	fleet.until("two addresses", func() bool { return len(first.addresses()) == 2 })
	fleet.store.SetFault(func(writer http.ResponseWriter, _ *http.Request) bool {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	fleet.kill(2)
	restarted := fleet.start(2)
	fleet.ready(restarted)
	status, body := restarted.ask("key")
	quicktest.Check(t, status, quicktest.Equals, http.StatusOK, quicktest.Commentf("%s", body))
	status, _ = restarted.ask("other")
	quicktest.Check(t, status, quicktest.Equals, http.StatusUnauthorized)
	// Once it is back, the store counts again.
	fleet.store.SetFault(nil)
	fleet.configure("other")
	fleet.until("the new key in force", func() bool { status, _ := restarted.ask("other"); return status == http.StatusOK })
}

// Guards against a router that the store turns away and that keeps a revoked key in force: it reads from the others.
func TestStoreTurnsOneRouterAway(t *testing.T) {
	fleet := newFleet(t)
	first, second := fleet.start(1), fleet.start(2)
	fleet.ready(first, second)
	fleet.until("two addresses", func() bool { return len(first.addresses()) == 2 && len(second.addresses()) == 2 })
	fleet.turnAway(2)
	fleet.configure("other")
	fleet.until("the new key in force", func() bool { status, _ := second.ask("other"); return status == http.StatusOK })
}

// Replays a large fleet whose routers all lose power and start again at once. Guards against routers that each load all topics from
// the store: a few of each zone do, and the others read from them. Each router still lists itself and looks the others up.
func TestFleetStartsTogether(t *testing.T) {
	const size, zones, topics, readers = 24, 3, 2, 4
	fleet := newFleet(t)
	fleet.listAll(size)
	var reads atomic.Int64
	fleet.store.SetFault(func(_ http.ResponseWriter, request *http.Request) bool {
		if topic := request.URL.Query().Get("topic"); topic == platform.TopicOperator || topic == platform.TopicUpstreams {
			reads.Add(1)
		}
		return false
	})
	fleet.restart(size)
	quicktest.Check(t, reads.Load() <= zones*topics*readers, quicktest.IsTrue, quicktest.Commentf("%d reads", reads.Load()))
}

// Replays the same while the store takes one write at a time, and each takes long. Guards against callers of a fleet that lost power who
// wait for the writes of all routers.
func TestStartDoesNotWaitForWrites(t *testing.T) {
	const size, write = 24, 100 * time.Millisecond
	fleet := newFleet(t)
	fleet.listAll(size)
	var writing sync.Mutex
	fleet.store.SetFault(func(_ http.ResponseWriter, request *http.Request) bool {
		if request.Method == http.MethodPost {
			writing.Lock()
			defer writing.Unlock()
			time.Sleep(write)
		}
		return false
	})
	began := time.Now()
	fleet.restart(size)
	quicktest.Check(t, time.Since(began) < size*write/2, quicktest.IsTrue, quicktest.Commentf("%v", time.Since(began)))
}

// Guards against callers that keep an address for long and are turned away by each router of a rolling restart: plain requests are
// served while streams keep the process.
func TestStopServesLateCallers(t *testing.T) {
	fleet := newFleet(t)
	router := fleet.start(1)
	fleet.ready(router)
	running := make(chan struct{})
	var once sync.Once
	fleet.respond(func(writer http.ResponseWriter, _ *http.Request) {
		first := false
		once.Do(func() { first = true; close(running) })
		if first {
			time.Sleep(1500 * time.Millisecond)
		}
		fmt.Fprint(writer, "answer")
	})
	go router.ask("key")
	<-running
	began := time.Now()
	stopped := make(chan error, 1)
	go func() { stopped <- fleet.stop(1) }()
	// The grace period is 2 s.
	for time.Since(began) < 1300*time.Millisecond {
		status, body := router.ask("key")
		quicktest.Check(t, status, quicktest.Equals, http.StatusOK, quicktest.Commentf("%v after the stop: %s", time.Since(began), body))
		time.Sleep(50 * time.Millisecond)
	}
	quicktest.Check(t, <-stopped, quicktest.IsNil)
}

// Guards against a planned stop that cuts requests: one that runs is answered whole, and one that comes during the stop is
// answered or refused as not run.
func TestStopCutsNothing(t *testing.T) {
	fleet := newFleet(t)
	router := fleet.start(1)
	fleet.ready(router)
	running := make(chan struct{})
	var once sync.Once
	fleet.respond(func(writer http.ResponseWriter, _ *http.Request) {
		once.Do(func() { close(running) })
		time.Sleep(500 * time.Millisecond)
		fmt.Fprint(writer, "answer")
	})
	answers := make(chan string, 1)
	go func() { _, body := router.ask("key"); answers <- body }()
	<-running
	stopped := make(chan error, 1)
	go func() { stopped <- fleet.stop(1) }()
	quicktest.Check(t, <-answers, quicktest.Equals, "answer")
	for {
		select {
		case err := <-stopped:
			quicktest.Check(t, err, quicktest.IsNil)
			return
		default:
		}
		status, body := router.ask("key")
		refused := status == 0 && strings.Contains(body, "refused")
		quicktest.Check(t, status == http.StatusOK || status == http.StatusServiceUnavailable || refused || strings.Contains(body, "EOF") ||
			strings.Contains(body, "reset"), quicktest.IsTrue, quicktest.Commentf("%d %s", status, body))
	}
}

// Guards against metrics that tell another state than the router is in.
func TestState(t *testing.T) {
	fleet := newFleet(t)
	first, second := fleet.start(1), fleet.start(2)
	fleet.ready(first, second)
	fleet.until("both heard", func() bool { return first.entry.State().Routers == 2 })
	state := first.entry.State()
	quicktest.Check(t, state.Ready, quicktest.IsTrue)
	quicktest.Check(t, state.Version, quicktest.Equals, int64(1))
	quicktest.Check(t, state.Upstreams, quicktest.Equals, 1)
	quicktest.Check(t, state.CaughtUpAge < waitTime, quicktest.IsTrue, quicktest.Commentf("%v", state.CaughtUpAge))
	fleet.store.SetFault(func(writer http.ResponseWriter, _ *http.Request) bool {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	fleet.until("the store not known any more", func() bool { return first.entry.State().CaughtUpAge > 2*time.Second })
	first.entry.Stop()
	fleet.until("not ready", func() bool { return !first.entry.State().Ready })
}
