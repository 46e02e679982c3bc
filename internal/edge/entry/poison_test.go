package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/route/table"
	"github.com/clementinewind/clementinewind/platform"
	"github.com/clementinewind/clementinewind/platform/stand"
)

// poisonedPart is the prompt part that crashes brittle upstreams.
const poisonedPart = "dead"

// brittlePool is a set of model engines that crash when they begin to answer a prompt with the poisoned part.
type brittlePool struct {
	t        *testing.T
	store    *stand.Store
	downtime time.Duration

	mutex   sync.Mutex
	crashes []time.Time
	// poisoned are the times at which requests with the poisoned part arrived.
	poisoned []time.Time
	stopped  bool
	starts   int
}

// brittleUpstream is one incarnation of an engine.
type brittleUpstream struct {
	pool     *brittlePool
	listener net.Listener

	mutex sync.Mutex
	conns map[net.Conn]bool
}

func newBrittlePool(t *testing.T, store *stand.Store, size int) *brittlePool {
	t.Helper()
	pool := &brittlePool{t: t, store: store, downtime: 400 * time.Millisecond}
	t.Cleanup(func() {
		pool.mutex.Lock()
		defer pool.mutex.Unlock()
		pool.stopped = true
	})
	for range size {
		pool.start()
	}
	return pool
}

// start starts an incarnation under a new name and at a new port: the port of an earlier one may be in use as the local port of a
// connection by then.
func (pool *brittlePool) start() {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.stopped {
		return
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		pool.t.Errorf("restart upstream: %v", err)
		return
	}
	pool.t.Cleanup(func() { listener.Close() })
	pool.starts++
	registerUpstream(pool.t, pool.store, table.Entry{
		Upstream: clementinewind.Upstream(fmt.Sprintf("engine-%d", pool.starts)), Service: "s", Address: listener.Addr().String(),
		Zone: "a", Slots: 32, Sequence: 1, Incarnation: time.Now().UnixMilli(),
	})
	upstream := &brittleUpstream{pool: pool, listener: listener, conns: map[net.Conn]bool{}}
	name := fmt.Sprintf("engine-%d", pool.starts)
	go stand.ServeConns(listener, func(conn net.Conn) { upstream.serve(conn, name) })
}

// serve answers the requests of a connection with streams of five events.
func (upstream *brittleUpstream) serve(conn net.Conn, name string) {
	upstream.mutex.Lock()
	upstream.conns[conn] = true
	upstream.mutex.Unlock()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		poisoned := strings.Contains(stand.PromptParts(request), poisonedPart)
		if poisoned {
			upstream.pool.mutex.Lock()
			upstream.pool.poisoned = append(upstream.pool.poisoned, time.Now())
			upstream.pool.mutex.Unlock()
		}
		time.Sleep(5 * time.Millisecond)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
			stand.SealedHeaderLines(stand.RequestID(request.Header)))
		if poisoned {
			upstream.crash(name)
			return
		}
		for id := range 5 {
			event := fmt.Sprintf("id: %d\ndata: token\n\n", id+1)
			fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
			time.Sleep(10 * time.Millisecond)
		}
		if _, err := io.WriteString(conn, "0\r\n\r\n"); err != nil {
			return
		}
	}
}

// crash closes the listener and all connections, and starts another incarnation after a while.
func (upstream *brittleUpstream) crash(name string) {
	pool := upstream.pool
	pool.mutex.Lock()
	pool.crashes = append(pool.crashes, time.Now())
	pool.mutex.Unlock()
	upstream.listener.Close()
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	for conn := range upstream.conns {
		conn.Close()
	}
	time.AfterFunc(pool.downtime, func() {
		pool.store.Put(platform.TopicUpstreams, name, nil)
		pool.start()
	})
}

// counts returns how many upstreams crashed, and how many poisoned requests arrived later than the given time after the crash with
// the given number.
func (pool *brittlePool) counts(number int, after time.Duration) (crashes, late int) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if len(pool.crashes) < number {
		return len(pool.crashes), 0
	}
	for _, arrival := range pool.poisoned {
		if arrival.Sub(pool.crashes[number-1]) > after {
			late++
		}
	}
	return len(pool.crashes), late
}

// stream sends a model request with the given shared prompt parts and reports whether the answer was complete.
func (router *router) stream(id, parts string) bool {
	status, body := router.prompt(id, parts)
	return status == http.StatusOK && strings.Contains(body, "id: 5")
}

// status sends a model request with the given shared prompt parts and returns the status of the answer; 0 if there is no whole one.
func (router *router) status(id, parts string) int {
	status, _ := router.prompt(id, parts)
	return status
}

func (router *router) prompt(id, parts string) (int, string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+router.settings.CallerListen.String()+"/x", nil)
	if err != nil {
		return 0, ""
	}
	request.Host = "h"
	stand.SetCallerHeaders(request.Header, id, "key", 5*time.Second)
	stand.SetPromptParts(request.Header, parts+","+id+":100", 400, 10)
	client := http.Client{Timeout: waitTime, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(body)
}

// configureModel writes a configuration with one streaming route to model engines, and removes the upstream of newFleet.
func (fleet *fleet) configureModel() {
	fleet.store.Put(platform.TopicUpstreams, "u", nil)
	fleet.version++
	configure(fleet.t, fleet.store, table.Configuration{
		Version: table.Version(fleet.version),
		Routes: []table.Route{{
			Name: "r", Host: "h", PathPrefix: "/", Kind: table.RouteStream, Timeout: 5 * time.Second, LatencyGoal: time.Second, MaxAttempts: 2,
			TrafficSplit: []table.ServiceWeight{{Service: "s", Weight: 1}},
		}},
		Services:      []table.ServiceSettings{{Name: "s", MaxConnections: 200, Engine: &table.Engine{MemoryTokens: 1 << 20}}},
		Organisations: []table.OrganisationKeys{{Organisation: "o", Keys: []string{"key"}}},
	})
}

// Guards against requests of one kind that crash one upstream after the other, because no router connects a crash with the next.
func TestPoisonedPromptPart(t *testing.T) {
	const (
		routers      = 3
		contact      = 3 * time.Second
		lateRequests = 3
	)
	fleet := newFleet(t)
	fleet.configureModel()
	pool := newBrittlePool(t, fleet.store, 6)
	fleet.startAll(routers)
	var sends sync.WaitGroup
	var mutex sync.Mutex
	sent, served := 0, 0
	start := time.Now()
	for number := 0; time.Since(start) < 3*contact; number++ {
		router := fleet.routers[1+number%routers]
		sends.Go(func() { router.stream(fmt.Sprintf("bad%d", number), "f1:200,"+poisonedPart+":100") })
		sends.Go(func() {
			// The sound request shares its first part with the poisoned ones.
			begun := time.Since(start)
			complete := router.stream(fmt.Sprintf("good%d", number), fmt.Sprintf("f1:200,%x:100", number%8))
			mutex.Lock()
			defer mutex.Unlock()
			if begun > 2*contact {
				sent++
				if complete {
					served++
				}
			}
		})
		time.Sleep(60 * time.Millisecond)
	}
	sends.Wait()
	crashes, late := pool.counts(5, contact)
	t.Logf("%d crashes, %d poisoned requests reached upstreams later than %v after the fifth; %d of %d sound requests served", crashes, late, contact, served, sent)
	quicktest.Check(t, late <= lateRequests, quicktest.IsTrue, quicktest.Commentf("%d poisoned requests", late))
	quicktest.Check(t, served >= sent/2, quicktest.IsTrue, quicktest.Commentf("%d of %d sound requests", served, sent))
}

// Guards against a fleet that forgets a poisoned prompt part when all its routers restart, also if the store lost its record before.
func TestQuarantineSurvivesRestartOfAllRouters(t *testing.T) {
	for name, lose := range map[string]func(store *stand.Store){
		"store keeps the record": func(*stand.Store) {},
		"store came back from a copy": func(store *stand.Store) {
			store.ReturnFromCopy(time.Hour, platform.TopicOperator, platform.TopicUpstreams)
			time.Sleep(3 * time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) { checkQuarantineSurvivesRestart(t, lose) })
	}
}

func checkQuarantineSurvivesRestart(t *testing.T, lose func(store *stand.Store)) {
	const routers = 2
	fleet := newFleet(t)
	fleet.configureModel()
	pool := newBrittlePool(t, fleet.store, 6)
	fleet.startAll(routers)
	parts := "f1:200," + poisonedPart + ":100"
	for number := 0; fleet.routers[1].entry.State().QuarantinedParts == 0; number++ {
		fleet.routers[1+number%routers].status(fmt.Sprintf("bad%d", number), parts)
		fleet.routers[1+number%routers].status(fmt.Sprintf("good%d", number), "f1:200,aa:100")
		time.Sleep(400 * time.Millisecond)
	}
	// The owner of the part writes it to the store within a second.
	time.Sleep(1500 * time.Millisecond)
	lose(fleet.store)
	for number := range routers {
		fleet.kill(number + 1)
	}
	fleet.startAll(routers)
	before, _ := pool.counts(1, 0)
	for number := range routers {
		router := fleet.routers[number+1]
		fleet.waitUntil("quarantine read", func() bool { return router.entry.State().QuarantinedParts == 1 })
		quicktest.Check(t, router.status(fmt.Sprintf("again%d", number), parts), quicktest.Equals, http.StatusServiceUnavailable)
	}
	after, _ := pool.counts(1, 0)
	quicktest.Check(t, after, quicktest.Equals, before)
	status, body := fleet.routers[1].prompt("good", "f1:200,aa:100")
	quicktest.Check(t, status, quicktest.Equals, http.StatusOK, quicktest.Commentf("%s", body))
}
