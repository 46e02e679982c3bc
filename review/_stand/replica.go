package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// replica is a stand-in for a replica of a plain service. It registers itself in the store until it leaves.
type replica struct {
	world   *world
	id      string
	service string
	zone    string
	born    int64
	address string
	server  *http.Server
	stop    chan struct{}
	once    sync.Once

	// silent is set while the replica does not reach the store.
	silent atomic.Bool
	seq    atomic.Int64
	// decide, if set, may answer a request; it returns true if it did.
	decide atomic.Pointer[func(writer http.ResponseWriter, request *http.Request) bool]

	mutex    sync.Mutex
	arrivals []arrival
}

// arrival is a request that reached a replica.
type arrival struct {
	requestID string
	at        time.Time
	status    int
}

// runTime is how long a replica works on a request, as the site file's mean.
const runTime = 30 * time.Millisecond

func (world *world) startReplica(id, service, zone string) (*replica, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	replica := &replica{
		world: world, id: id, service: service, zone: zone, born: time.Now().UnixMilli(),
		address: listener.Addr().String(), stop: make(chan struct{}),
	}
	replica.server = &http.Server{Handler: replica}
	go func() { _ = replica.server.Serve(listener) }()
	replica.register()
	go replica.heartbeat()
	world.onClose(replica.exit)
	return replica, nil
}

// register writes the replica's entry into the store.
func (replica *replica) register() {
	entry, _ := json.Marshal(map[string]any{
		"service": replica.service, "address": replica.address, "zone": replica.zone, "version": "v1", "slots": 6, "state": "ready",
		"coldLeftMs": 0, "seq": replica.seq.Add(1), "born": replica.born,
	})
	replica.world.store.put(topicServers, replica.id, entry)
}

func (replica *replica) heartbeat() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-replica.stop:
			return
		case <-ticker.C:
			if !replica.silent.Load() {
				replica.register()
			}
		}
	}
}

// deregister removes the entry and ends the heartbeats. It returns when the store acknowledged that.
func (replica *replica) deregister() time.Time {
	replica.once.Do(func() { close(replica.stop) })
	return replica.world.store.put(topicServers, replica.id, nil)
}

func (replica *replica) exit() {
	replica.once.Do(func() { close(replica.stop) })
	_ = replica.server.Close()
}

// ServeHTTP implements http.Handler.
func (replica *replica) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	requestID := request.Header.Get("X-Request-Id")
	at := time.Now()
	recorder := &statusRecorder{ResponseWriter: writer, status: http.StatusOK}
	defer func() {
		replica.mutex.Lock()
		replica.arrivals = append(replica.arrivals, arrival{requestID, at, recorder.status})
		replica.mutex.Unlock()
		replica.world.recordf("replica %s: request %s arrived, answered %d", replica.id, requestID, recorder.status)
	}()
	_, _ = io.Copy(io.Discard, request.Body)
	recorder.Header().Set("X-Request-Id", requestID)
	recorder.Header().Set("X-Replica-Load", "1,0,6")
	if request.Header.Get("X-Expect-Replica") != replica.id {
		recorder.Header().Set("X-Replica-Id", replica.id)
		recorder.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if decide := replica.decide.Load(); decide != nil && (*decide)(recorder, request) {
		return
	}
	time.Sleep(runTime)
	recorder.Header().Set("X-Replica-Seal", "seal."+replica.id)
	fmt.Fprintf(recorder, "%s by %s", requestID, replica.id)
}

// declineFor answers that the replica did not run the request and wants no further ones for some seconds.
func declineFor(writer http.ResponseWriter, seconds int) {
	writer.Header().Set("X-Not-Executed", "1")
	writer.Header().Set("Retry-After", strconv.Itoa(seconds))
	writer.WriteHeader(http.StatusServiceUnavailable)
}

// seen returns the requests that reached the replica so far.
func (replica *replica) seen() []arrival {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	return append([]arrival(nil), replica.arrivals...)
}

type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (recorder *statusRecorder) WriteHeader(status int) {
	recorder.status = status
	recorder.ResponseWriter.WriteHeader(status)
}
