package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	engineService = "huvo11a"
	poisonedPart  = "dead0001"
	firstEvent    = 60 * time.Millisecond
	eventInterval = 20 * time.Millisecond
	events        = 20
	// darkTime is how long a replica is dark after a crash; srv_crash has for_s of 4.9 in the site file.
	darkTime = 4500 * time.Millisecond
	coldTime = 3 * time.Second
	// streamTimeout is the deadline of full-quote.
	streamTimeout = 10 * time.Second
)

// engine is a stand-in for a model replica. A prompt with the poisoned part crashes it: it goes dark, and starts again at its address
// under a new id.
type engine struct {
	world   *world
	number  int
	zone    string
	address string

	mutex       sync.Mutex
	incarnation int
	born        int64
	seq         int
	conns       map[net.Conn]bool
	// dark is not nil while the replica is down; it is closed when it is back.
	dark   chan struct{}
	closed atomic.Bool
}

// crashLog collects the crashes and the arrivals of requests with the poisoned part.
type crashLog struct {
	mutex    sync.Mutex
	crashes  []time.Time
	arrivals []arrival
}

// darkListener accepts no connection while the replica is dark.
type darkListener struct {
	net.Listener
	engine *engine
}

// Accept implements net.Listener.
func (listener darkListener) Accept() (net.Conn, error) {
	for {
		if dark := listener.engine.down(); dark != nil {
			<-dark
		}
		conn, err := listener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if dark := listener.engine.down(); dark != nil {
			// It arrived in the moment of the crash.
			<-dark
			_ = conn.Close()
			continue
		}
		return conn, nil
	}
}

func (engine *engine) down() chan struct{} {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.dark
}

func (engine *engine) id() string {
	return fmt.Sprintf("i-%02x%06x", engine.number, engine.incarnation)
}

func (world *world) startEngine(number int, zone string, log *crashLog) (*engine, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	engine := &engine{
		world: world, number: number, zone: zone, address: listener.Addr().String(), born: time.Now().UnixMilli(), conns: map[net.Conn]bool{},
	}
	server := &http.Server{
		Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) { engine.serve(writer, request, log) }),
		ConnState: func(conn net.Conn, state http.ConnState) {
			engine.mutex.Lock()
			defer engine.mutex.Unlock()
			switch state {
			case http.StateNew:
				engine.conns[conn] = true
			case http.StateClosed, http.StateHijacked:
				delete(engine.conns, conn)
			}
		},
	}
	go func() { _ = server.Serve(darkListener{listener, engine}) }()
	engine.register(0)
	go engine.heartbeat()
	world.onClose(func() {
		engine.closed.Store(true)
		_ = server.Close()
	})
	return engine, nil
}

func (engine *engine) register(coldLeft time.Duration) {
	engine.mutex.Lock()
	engine.seq++
	entry, _ := json.Marshal(map[string]any{
		"service": engineService, "address": engine.address, "zone": engine.zone, "version": "v1", "slots": 64, "state": "ready",
		"coldLeftMs": coldLeft.Milliseconds(), "stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}},
		"seq": engine.seq, "born": engine.born,
	})
	id := engine.id()
	engine.mutex.Unlock()
	engine.world.store.put(topicServers, id, entry)
}

func (engine *engine) heartbeat() {
	for !engine.closed.Load() {
		time.Sleep(heartbeatInterval)
		if engine.down() == nil {
			cold := max(time.Until(time.UnixMilli(engine.born).Add(coldTime)), 0)
			if engine.incarnation == 0 {
				cold = 0
			}
			engine.register(cold)
		}
	}
}

// crash makes the replica dark, and starts it again later. Its entry is removed after three heartbeat intervals of silence.
func (engine *engine) crash(log *crashLog, requestID string) {
	engine.mutex.Lock()
	if engine.dark != nil {
		engine.mutex.Unlock()
		return
	}
	dark, id := make(chan struct{}), engine.id()
	engine.dark = dark
	engine.mutex.Unlock()
	log.mutex.Lock()
	log.crashes = append(log.crashes, time.Now())
	number := len(log.crashes)
	log.mutex.Unlock()
	engine.world.logf("crash %d: %s goes dark at the first token of %s", number, id, requestID)
	time.AfterFunc(3*heartbeatInterval, func() { engine.world.store.put(topicServers, id, nil) })
	time.AfterFunc(darkTime, func() {
		engine.mutex.Lock()
		// The machine that is back knows nothing of the old connections.
		for conn := range engine.conns {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = conn.Close()
		}
		clear(engine.conns)
		engine.incarnation++
		engine.seq, engine.born, engine.dark = 0, time.Now().UnixMilli(), nil
		engine.mutex.Unlock()
		close(dark)
		engine.register(coldTime)
	})
}

func (engine *engine) serve(writer http.ResponseWriter, request *http.Request, log *crashLog) {
	requestID := request.Header.Get("X-Request-Id")
	_, _ = io.Copy(io.Discard, request.Body)
	poisoned := strings.Contains(request.Header.Get("X-Prompt-Prefix"), poisonedPart)
	engine.world.recordf("replica %s: request %s arrived, poisoned: %v", engine.id(), requestID, poisoned)
	if poisoned {
		log.mutex.Lock()
		log.arrivals = append(log.arrivals, arrival{requestID: requestID, at: time.Now()})
		log.mutex.Unlock()
	}
	writer.Header().Set("X-Request-Id", requestID)
	if request.Header.Get("X-Expect-Replica") != engine.id() {
		writer.Header().Set("X-Replica-Id", engine.id())
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	engine.work(firstEvent, request)
	if poisoned && engine.world.trouble {
		engine.crash(log, requestID)
		engine.work(0, request)
	}
	writer.Header().Set("X-Replica-Seal", "seal."+engine.id())
	writer.Header().Set("Content-Type", "text/event-stream")
	for number := range events {
		fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", number+1, requestID)
		_ = http.NewResponseController(writer).Flush()
		engine.work(eventInterval, request)
	}
}

// work waits, and ends the request if the replica crashed meanwhile.
func (engine *engine) work(duration time.Duration, request *http.Request) {
	time.Sleep(duration)
	if dark := engine.down(); dark != nil {
		<-dark
		panic(http.ErrAbortHandler)
	}
	if request.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

// configureEngines writes a configuration with a route of streams that may not be resumed.
func (world *world) configureEngines() {
	value, _ := json.Marshal(map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-quote", "host": testHost, "pathPrefix": "/quote/", "kind": "streaming", "timeoutMs": 10000, "latencyGoalMs": 1200,
			"gapGoalMs": 800, "priority": 1, "service": engineService, "maxAttempts": 1, "noAuth": false, "sticky": true, "canResume": false,
		}},
		"services": []map[string]any{{
			"name": engineService, "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": false, "coldS": 3.0, "coldPerS": 5.2,
			"engine": map[string]any{"slots": 64, "kvCapacity": 433736, "models": []map[string]any{{"name": "m"}}},
		}},
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 270000,
		},
		"tenants": []map[string]any{{"name": "hule930", "apiKeys": []string{testKey}, "priority": 1}},
	})
	world.store.put(topicOperator, "config", value)
}

// poisonedPrompts: one part of a prompt crashes each replica that begins to write an answer on it. From contactMs after the fifth crash on,
// at most three requests with the part may reach replicas.
func poisonedPrompts(world *world) (bool, error) {
	const (
		soundInterval  = 60 * time.Millisecond
		poisonInterval = 1500 * time.Millisecond
		played         = 45 * time.Second
		maxReached     = 3
	)
	world.configureEngines()
	log := &crashLog{}
	zones := []string{"bergen-a", "bergen-b", "bergen-c"}
	for number := range 12 {
		if _, err := world.startEngine(number+1, zones[number%len(zones)], log); err != nil {
			return false, err
		}
	}
	var routers []*router
	for i, zone := range zones {
		router, err := world.addRouter("front-"+zone+"-1", zone, i+1)
		if err != nil {
			return false, err
		}
		routers = append(routers, router)
	}
	if err := startAll(routers); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	var mutex sync.Mutex
	sentAt, statuses := map[string]time.Time{}, map[string]int{}
	client := &http.Client{Timeout: streamTimeout + time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
	send := func(number int, kind, subject string) {
		router := routers[number%len(routers)]
		id := fmt.Sprintf("%s.%s.%06d", router.name, kind, number)
		request, err := http.NewRequest(http.MethodPost, "http://"+router.address("front")+"/quote/2f", strings.NewReader(strings.Repeat("x", 4000)))
		if err != nil {
			return
		}
		request.Host = testHost
		request.Header.Set("X-Request-Id", id)
		request.Header.Set("X-Deadline-Ms", fmt.Sprint(streamTimeout.Milliseconds()))
		request.Header.Set("Authorization", "Bearer "+testKey)
		request.Header.Set("X-Model", "m")
		request.Header.Set("X-Token-Count", "4050,80")
		request.Header.Set("X-Prompt-Prefix", fmt.Sprintf("5c1e07a2:800,%s:3000,%s%06x:250", subject, map[string]string{"sound": "50", "poison": "90"}[kind], number))
		mutex.Lock()
		sentAt[id] = time.Now()
		mutex.Unlock()
		status := 0
		if response, err := client.Do(request); err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if status = response.StatusCode; err != nil {
				status = 0
			}
		}
		world.recordf("client: request %s ended with %d (0: no whole answer)", id, status)
		mutex.Lock()
		defer mutex.Unlock()
		statuses[fmt.Sprintf("%s %d", kind, status)]++
	}
	started := time.Now()
	sound, poison := time.NewTicker(soundInterval), time.NewTicker(poisonInterval)
	defer sound.Stop()
	defer poison.Stop()
	for number := 0; time.Since(started) < played; number++ {
		select {
		case <-sound.C:
			go send(number, "sound", fmt.Sprintf("91bd3f%02x", number%40))
		case <-poison.C:
			go send(number, "poison", poisonedPart)
		}
	}
	time.Sleep(time.Second)
	log.mutex.Lock()
	defer log.mutex.Unlock()
	mutex.Lock()
	defer mutex.Unlock()
	reached := 0
	if len(log.crashes) >= 5 {
		from := log.crashes[4].Add(contactTime)
		for _, arrival := range log.arrivals {
			if sentAt[arrival.requestID].After(from) {
				reached++
				world.recordf("REACHED: request %s reached a replica %d ms after the fifth crash", arrival.requestID, arrival.at.Sub(log.crashes[4]).Milliseconds())
			}
		}
	}
	var outcomes []string
	for outcome, count := range statuses {
		outcomes = append(outcomes, fmt.Sprintf("%s: %d", outcome, count))
	}
	slices.Sort(outcomes)
	world.logf("answers: %s", strings.Join(outcomes, ", "))
	world.logf("crashes: %d; requests with the part that were sent later than %v after the fifth and reached replicas: %d", len(log.crashes), contactTime, reached)
	return reached <= maxReached, nil
}
