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
	"slices"
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

// waitTime bounds the wait for states that a fleet reaches within about a second.
const waitTime = 20 * time.Second

// fleet is a store, one upstream and several routers, each at a loopback address of its own.
type fleet struct {
	t        *testing.T
	store    *stand.Store
	upstream *httptest.Server
	version  int
	// kind and limits are those of the next configuration.
	kind   table.RouteKind
	limits table.Limits

	mutex   sync.Mutex
	handler http.HandlerFunc
	// storeDenied holds the routers to which the store answers 503.
	storeDenied map[int]bool
	routers     map[int]*router
}

type router struct {
	entry    *entry.Router
	settings conf.Entry
	cancel   context.CancelFunc
	ended    chan error
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	built := &fleet{t: t, store: stand.NewStore(), routers: map[int]*router{}, storeDenied: map[int]bool{}, kind: table.RouteIdempotent}
	built.handler = func(writer http.ResponseWriter, _ *http.Request) { fmt.Fprint(writer, "answer") }
	built.upstream = httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		stand.EchoRequestID(writer, request)
		stand.Seal(writer)
		built.mutex.Lock()
		handle := built.handler
		built.mutex.Unlock()
		handle(writer, request)
	}))
	t.Cleanup(built.upstream.Close)
	built.configure("key")
	registerUpstream(t, built.store, table.Entry{
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
			Name: "r", Host: "h", PathPrefix: "/", Kind: fleet.kind, Timeout: 5 * time.Second, MaxAttempts: 1,
			TrafficSplit: []table.ServiceWeight{{Service: "s", Weight: 1}},
		}},
		Services:      []table.ServiceSettings{{Name: "s", MaxConnections: 50}},
		Organisations: []table.OrganisationKeys{{Organisation: "o", Keys: keys}},
		Limits:        fleet.limits,
	})
}

// configure writes a configuration to the store, as an operator does.
func configure(t testing.TB, store *stand.Store, configuration table.Configuration) {
	t.Helper()
	value, err := platform.EncodeConfiguration(configuration)
	quicktest.Assert(t, err, quicktest.IsNil)
	store.Put(platform.TopicOperator, platform.ConfigurationKey, value)
}

// registerUpstream writes the record of an upstream to the store, as the upstream does.
func registerUpstream(t testing.TB, store *stand.Store, entry table.Entry) {
	t.Helper()
	value, err := platform.EncodeUpstream(entry)
	quicktest.Assert(t, err, quicktest.IsNil)
	store.Put(platform.TopicUpstreams, string(entry.Upstream), value)
}

func (fleet *fleet) setHandler(handle http.HandlerFunc) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.handler = handle
}

// storeFor returns an address of the store that only one router uses.
func (fleet *fleet) storeFor(number int) string {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		fleet.mutex.Lock()
		denied := fleet.storeDenied[number]
		fleet.mutex.Unlock()
		if denied {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		fleet.store.ServeHTTP(writer, request)
	}))
	fleet.t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func (fleet *fleet) denyStore(number int) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.storeDenied[number] = true
}

// settings returns the settings of a router, except for the address of the store.
func (fleet *fleet) settings(number int) conf.Entry {
	// Each test process has its own addresses, so that packages can be tested in parallel.
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

// registerDead writes the record of a router that no longer runs.
func (fleet *fleet) registerDead(number int) {
	fleet.t.Helper()
	settings := fleet.settings(number)
	value, err := proto.Marshal(gossip.EncodeMember(roster.Member{
		Instance: settings.Name, Zone: settings.Zone, Incarnation: 1, CallerAddress: settings.CallerListen.String(),
		PeerAddress: netip.AddrPortFrom(settings.CallerListen.Addr(), uint16(settings.FirstPort)).String(),
	}))
	quicktest.Assert(fleet.t, err, quicktest.IsNil)
	fleet.store.Put(platform.TopicInstances, string(settings.Name), value)
}

func (fleet *fleet) registerAllDead(size int) {
	fleet.t.Helper()
	for number := range size {
		fleet.registerDead(number + 1)
	}
}

// startAll starts routers and waits until they are ready.
func (fleet *fleet) startAll(size int) {
	fleet.t.Helper()
	var started []*router
	for number := range size {
		started = append(started, fleet.start(number+1))
	}
	fleet.waitReady(started...)
}

func (fleet *fleet) start(number int) *router {
	fleet.t.Helper()
	settings := fleet.settings(number)
	settings.StoreAddress = netip.MustParseAddrPort(fleet.storeFor(number))
	settings.Grace = 2 * time.Second
	// Other packages' tests compete for the processor, so load shedding is off.
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

// kill stops a router without a drain.
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

func (router *router) send(key string) (int, string) {
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

func (fleet *fleet) waitUntil(what string, holds func() bool) {
	fleet.t.Helper()
	for end := time.Now().Add(waitTime); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			fleet.t.Fatalf("after %v: still waiting for: %s", waitTime, what)
		}
	}
}

func (fleet *fleet) waitReady(routers ...*router) {
	fleet.t.Helper()
	for _, router := range routers {
		fleet.waitUntil("ready", func() bool {
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

// Guards against routers that do not discover each other, do not serve, or do not follow the configuration.
func TestFleet(t *testing.T) {
	fleet := newFleet(t)
	first, second, third := fleet.start(1), fleet.start(2), fleet.start(3)
	fleet.waitReady(first, second, third)
	for _, router := range []*router{first, second, third} {
		fleet.waitUntil("three addresses", func() bool { return len(router.addresses()) == 3 })
		status, body := router.send("key")
		quicktest.Check(t, status, quicktest.Equals, http.StatusOK, quicktest.Commentf("%s", body))
		quicktest.Check(t, body, quicktest.Equals, "answer")
		status, _ = router.send("other")
		quicktest.Check(t, status, quicktest.Equals, http.StatusUnauthorized)
	}
	fleet.configure("other")
	for _, router := range []*router{first, second, third} {
		fleet.waitUntil("the new key in force", func() bool { status, _ := router.send("other"); return status == http.StatusOK })
		status, _ := router.send("key")
		quicktest.Check(t, status, quicktest.Equals, http.StatusUnauthorized)
	}
	quicktest.Check(t, fleet.stop(2), quicktest.IsNil)
	fleet.waitUntil("two addresses", func() bool { return len(first.addresses()) == 2 })
}

// Guards against answering 401 or 404 before the configuration is known, and against never becoming ready after a start
// during an outage of the store.
func TestStartWithoutStore(t *testing.T) {
	fleet := newFleet(t)
	fleet.store.SetFault(func(writer http.ResponseWriter, _ *http.Request) bool {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	router := fleet.start(1)
	fleet.waitUntil("answering", func() bool { status, _ := router.send("key"); return status == http.StatusServiceUnavailable })
	status, _ := get(router.settings.ReadyListen, "/api/ready")
	quicktest.Check(t, status, quicktest.Equals, http.StatusServiceUnavailable)
	fleet.store.SetFault(nil)
	fleet.waitReady(router)
	status, _ = router.send("key")
	quicktest.Check(t, status, quicktest.Equals, http.StatusOK)
}

// Guards against a router that cannot serve after a restart during an outage of the store. Its peers have all the state
// that it needs.
func TestRestartWithoutStore(t *testing.T) {
	fleet := newFleet(t)
	first, second := fleet.start(1), fleet.start(2)
	fleet.waitReady(first, second)
	fleet.waitUntil("two addresses", func() bool { return len(first.addresses()) == 2 })
	fleet.store.SetFault(func(writer http.ResponseWriter, _ *http.Request) bool {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	fleet.kill(2)
	restarted := fleet.start(2)
	fleet.waitReady(restarted)
	status, body := restarted.send("key")
	quicktest.Check(t, status, quicktest.Equals, http.StatusOK, quicktest.Commentf("%s", body))
	status, _ = restarted.send("other")
	quicktest.Check(t, status, quicktest.Equals, http.StatusUnauthorized)
	// The store is followed again after the outage.
	fleet.store.SetFault(nil)
	fleet.configure("other")
	fleet.waitUntil("the new key in force", func() bool { status, _ := restarted.send("other"); return status == http.StatusOK })
}

// Guards against a revoked key that stays in force at a router that the store rejects: it must read from its peers.
func TestStoreTurnsOneRouterAway(t *testing.T) {
	fleet := newFleet(t)
	first, second := fleet.start(1), fleet.start(2)
	fleet.waitReady(first, second)
	fleet.waitUntil("two addresses", func() bool { return len(first.addresses()) == 2 && len(second.addresses()) == 2 })
	fleet.denyStore(2)
	fleet.configure("other")
	fleet.waitUntil("the new key in force", func() bool { status, _ := second.send("other"); return status == http.StatusOK })
}

// All routers of a large fleet restart at once after a power loss. Guards against all of them loading the topics from
// the store: a few in each zone do, and the others read from these. Each router still registers and discovers its peers
// itself.
func TestFleetRestartLimitsStoreReads(t *testing.T) {
	const size, zones, topics, readers = 24, 3, 2, 4
	fleet := newFleet(t)
	fleet.registerAllDead(size)
	var reads atomic.Int64
	fleet.store.SetFault(func(_ http.ResponseWriter, request *http.Request) bool {
		if topic := request.URL.Query().Get("topic"); topic == platform.TopicOperator || topic == platform.TopicUpstreams {
			reads.Add(1)
		}
		return false
	})
	fleet.startAll(size)
	quicktest.Check(t, reads.Load() <= zones*topics*readers, quicktest.IsTrue, quicktest.Commentf("%d reads", reads.Load()))
}

// Like TestFleetRestartLimitsStoreReads, but with a store that takes one slow write at a time. Guards against a router
// becoming ready only after the registrations of all others.
func TestStartDoesNotWaitForWrites(t *testing.T) {
	const size, write = 24, 100 * time.Millisecond
	fleet := newFleet(t)
	fleet.registerAllDead(size)
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
	fleet.startAll(size)
	quicktest.Check(t, time.Since(began) < size*write/2, quicktest.IsTrue, quicktest.Commentf("%v", time.Since(began)))
}

// Guards against callers with cached addresses being refused by each router of a rolling restart: requests that don't
// stream are served while the last streams keep the process running.
func TestStopServesLateCallers(t *testing.T) {
	fleet := newFleet(t)
	router := fleet.start(1)
	fleet.waitReady(router)
	running := make(chan struct{})
	var once sync.Once
	fleet.setHandler(func(writer http.ResponseWriter, _ *http.Request) {
		first := false
		once.Do(func() { first = true; close(running) })
		if first {
			time.Sleep(1500 * time.Millisecond)
		}
		fmt.Fprint(writer, "answer")
	})
	go router.send("key")
	<-running
	began := time.Now()
	stopped := make(chan error, 1)
	go func() { stopped <- fleet.stop(1) }()
	// The grace period is 2 s.
	for time.Since(began) < 1300*time.Millisecond {
		status, body := router.send("key")
		quicktest.Check(t, status, quicktest.Equals, http.StatusOK, quicktest.Commentf("%v after the stop: %s", time.Since(began), body))
		time.Sleep(50 * time.Millisecond)
	}
	quicktest.Check(t, <-stopped, quicktest.IsNil)
}

// Guards against a graceful stop that interrupts requests: running ones complete, and new ones are answered or refused
// as not run.
func TestStopCutsNothing(t *testing.T) {
	fleet := newFleet(t)
	router := fleet.start(1)
	fleet.waitReady(router)
	running := make(chan struct{})
	var once sync.Once
	fleet.setHandler(func(writer http.ResponseWriter, _ *http.Request) {
		once.Do(func() { close(running) })
		time.Sleep(500 * time.Millisecond)
		fmt.Fprint(writer, "answer")
	})
	answers := make(chan string, 1)
	go func() { _, body := router.send("key"); answers <- body }()
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
		status, body := router.send("key")
		refused := status == 0 && strings.Contains(body, "refused")
		quicktest.Check(t, status == http.StatusOK || status == http.StatusServiceUnavailable || refused || strings.Contains(body, "EOF") ||
			strings.Contains(body, "reset"), quicktest.IsTrue, quicktest.Commentf("%d %s", status, body))
	}
}

// Guards against metrics that do not match the state of the router.
func TestState(t *testing.T) {
	fleet := newFleet(t)
	first, second := fleet.start(1), fleet.start(2)
	fleet.waitReady(first, second)
	fleet.waitUntil("two known routers", func() bool { return first.entry.State().Routers == 2 })
	state := first.entry.State()
	quicktest.Check(t, state.Ready, quicktest.IsTrue)
	quicktest.Check(t, state.Version, quicktest.Equals, int64(1))
	quicktest.Check(t, state.Upstreams, quicktest.Equals, 1)
	quicktest.Check(t, state.CaughtUpAge < waitTime, quicktest.IsTrue, quicktest.Commentf("%v", state.CaughtUpAge))
	fleet.store.SetFault(func(writer http.ResponseWriter, _ *http.Request) bool {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	fleet.waitUntil("topics older than 2 s", func() bool { return first.entry.State().CaughtUpAge > 2*time.Second })
	first.entry.Stop()
	fleet.waitUntil("not ready", func() bool { return !first.entry.State().Ready })
}

// Most routers of a fleet are killed at once. Guards against survivors that go on sending callers to them, also when only one is left.
func TestSurvivorsSendCallersToEachOther(t *testing.T) {
	// The platform allows 3 s to notice that a router is gone, and 3 s more.
	const noticeTime = 6 * time.Second
	fleet := newFleet(t)
	fleet.startAll(6)
	for _, router := range fleet.routers {
		fleet.waitUntil("all routers of zone a", func() bool { return len(router.addresses()) == 2 })
	}
	for _, lost := range [][]int{{2, 3, 5, 6}, {4}} {
		for _, number := range lost {
			fleet.kill(number)
		}
		killed := time.Now()
		var alive []string
		for _, router := range fleet.routers {
			alive = append(alive, router.settings.CallerListen.String())
		}
		slices.Sort(alive)
		for _, router := range fleet.routers {
			fleet.waitUntil("only live routers", func() bool { return slices.Equal(router.addresses(), alive) })
		}
		quicktest.Check(t, time.Since(killed) < noticeTime, quicktest.IsTrue, quicktest.Commentf("took %v", time.Since(killed)))
	}
}

// Guards against a storm of calls when the store comes back from a copy: a router may use its part of what the store takes from 350 of them, which is
// about one write and six reads a second.
func TestReturnOfStoreLimitsCalls(t *testing.T) {
	const size, seconds, writesPerRouter, readsPerSecond = 24, 3, 2, 5
	fleet := newFleet(t)
	fleet.registerAllDead(size)
	fleet.startAll(size)
	time.Sleep(time.Second)
	var reads, writes atomic.Int64
	fleet.store.SetFault(func(_ http.ResponseWriter, request *http.Request) bool {
		if request.Method == http.MethodPost {
			writes.Add(1)
		} else {
			reads.Add(1)
		}
		return false
	})
	fleet.store.ReturnFromCopy(time.Hour, platform.TopicOperator, platform.TopicUpstreams)
	fleet.configure("other")
	for _, router := range fleet.routers {
		fleet.waitUntil("the new key in force", func() bool { status, _ := router.send("other"); return status == http.StatusOK })
	}
	time.Sleep(seconds * time.Second)
	t.Logf("%d writes and %d reads by %d routers", writes.Load(), reads.Load(), size)
	quicktest.Check(t, writes.Load() <= writesPerRouter*size, quicktest.IsTrue)
	quicktest.Check(t, reads.Load() <= readsPerSecond*seconds*size, quicktest.IsTrue)
	for number := range size {
		name := string(fleet.settings(number + 1).Name)
		quicktest.Check(t, fleet.store.Get(platform.TopicInstances, name), quicktest.Not(quicktest.HasLen), 0, quicktest.Commentf("%s", name))
	}
}
