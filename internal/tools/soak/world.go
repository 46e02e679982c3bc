package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/route/table"
	"github.com/clementinewind/clementinewind/platform"
	"github.com/clementinewind/clementinewind/platform/stand"
)

const (
	// upstreamCount is the number of upstreams that run at the same time.
	upstreamCount = 4
	// eventCount is the number of events of a stream, eventInterval the time between two of them.
	eventCount    = 6
	eventInterval = 20 * time.Millisecond
	// maxServiceTime is the longest time that an upstream takes before it answers.
	maxServiceTime = 60 * time.Millisecond
	// heartbeatInterval is the time between two updates of an upstream's entry in the store.
	heartbeatInterval = 1200 * time.Millisecond
	// All routes use one service and one timeout.
	serviceName  = "s"
	routeTimeout = 4 * time.Second
	// Connections and slots of an upstream are far above what the clients of a run use.
	maxUpstreamConnections = 200
	upstreamSlots          = 8
	// versionLife is the number of upstreams of one version that are added before those of the other one.
	versionLife = 3
	// leaveSequence is above the sequence number of any heartbeat, so that the announcement to leave is the newest entry.
	leaveSequence = 1_000_000
	// routeHost is the host name of all routes.
	routeHost = "soak.example"
	// Paths of the routes.
	pathOnce       = "/once/"
	pathIdempotent = "/idempotent/"
	pathStream     = "/stream/"
)

// environment simulates what surrounds the routers of a run: the store, the operator and the upstreams.
type environment struct {
	store   *stand.Store
	server  *http.Server
	address string
	checker *checker

	mutex     sync.Mutex
	upstreams map[string]*upstream
	nameCount int
	version   int
	keys      []string
	// published are the versions of the configuration, oldest first. touch has the faults of the store.
	published []publication
	touch     touch
	// removed has the time at which each removed API key was removed.
	removed map[string]time.Time
}

// upstream is a simulated replica behind a proxy.
type upstream struct {
	name        string
	environment *environment
	server      *http.Server
	proxy       *proxy
	// stopHeartbeats is closed to end the heartbeats.
	stopHeartbeats chan struct{}
	// startUnixMillis serves as the incarnation number.
	startUnixMillis int64
	// version is the version of its software, which its events name.
	version string

	mutex sync.Mutex
	// left is when the upstream crashed or announced that it leaves, or zero.
	left time.Time
	// failing makes the upstream break off a part of its answers.
	failing bool
}

func newEnvironment(checker *checker) (*environment, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	built := &environment{
		store: stand.NewStore(), address: listener.Addr().String(), checker: checker, upstreams: map[string]*upstream{},
		removed: map[string]time.Time{}, keys: []string{"key-0", "key-1", "key-2"},
	}
	built.server = &http.Server{Handler: built.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = built.server.Serve(listener) }()
	built.publishConfiguration()
	for range upstreamCount {
		if err := built.addUpstream(); err != nil {
			built.close()
			return nil, err
		}
	}
	return built, nil
}

func (environment *environment) close() {
	_ = environment.server.Close()
	for _, upstream := range environment.upstreams {
		upstream.crash()
	}
}

// publishConfiguration writes a new version of the configuration to the store.
func (environment *environment) publishConfiguration() {
	environment.mutex.Lock()
	defer environment.mutex.Unlock()
	environment.version += 1 + environment.version%3
	shares := []table.ServiceWeight{{Service: serviceName, Weight: 1}}
	value, err := platform.EncodeConfiguration(table.Configuration{
		Version: table.Version(environment.version),
		Routes: append([]table.Route{
			{Name: "once", Host: routeHost, PathPrefix: pathOnce, Kind: table.RouteOnce, Timeout: routeTimeout, TrafficSplit: shares, MaxAttempts: 1},
			{
				Name: "idempotent", Host: routeHost, PathPrefix: pathIdempotent, Kind: table.RouteIdempotent, Timeout: routeTimeout, TrafficSplit: shares,
				MaxAttempts: 2,
			},
			{
				Name: "stream", Host: routeHost, PathPrefix: pathStream, Kind: table.RouteStream, Timeout: routeTimeout, TrafficSplit: shares,
				MaxAttempts: 2, Resumable: true,
			},
		}, environment.versionRoutes(shares)...),
		Services:      []table.ServiceSettings{{Name: serviceName, MaxConnections: maxUpstreamConnections}},
		Organisations: []table.OrganisationKeys{{Organisation: "o", Keys: environment.keys}},
	})
	if err != nil {
		panic(err)
	}
	environment.store.Put(platform.TopicOperator, platform.ConfigurationKey, value)
	environment.published = append(environment.published, publication{version: environment.version, acknowledged: time.Now()})
}

// rotateKey replaces a random API key by a new one.
func (environment *environment) rotateKey(random *rand.Rand) {
	environment.mutex.Lock()
	i := random.IntN(len(environment.keys))
	old := environment.keys[i]
	environment.nameCount++
	environment.keys[i] = fmt.Sprintf("key-%d", 100+environment.nameCount)
	environment.mutex.Unlock()
	environment.publishConfiguration()
	environment.mutex.Lock()
	defer environment.mutex.Unlock()
	environment.removed[old] = time.Now()
}

// randomKey returns an API key for a request; one in 20 is a removed key, with the time of its removal.
func (environment *environment) randomKey(random *rand.Rand) (key string, removed time.Time) {
	environment.mutex.Lock()
	defer environment.mutex.Unlock()
	if random.IntN(20) == 0 {
		for key, at := range environment.removed {
			return key, at
		}
	}
	return environment.keys[random.IntN(len(environment.keys))], time.Time{}
}

func (environment *environment) addUpstream() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	upstreamProxy, err := newProxy(listener.Addr().String())
	if err != nil {
		return err
	}
	environment.mutex.Lock()
	defer environment.mutex.Unlock()
	environment.nameCount++
	added := &upstream{
		name: fmt.Sprintf("u-%d", environment.nameCount), environment: environment, proxy: upstreamProxy, stopHeartbeats: make(chan struct{}),
		startUnixMillis: time.Now().UnixMilli(), version: fmt.Sprintf("v%d", environment.nameCount/versionLife%2),
	}
	added.server = &http.Server{Handler: added, ReadHeaderTimeout: time.Minute}
	environment.upstreams[added.name] = added
	go func() { _ = added.server.Serve(listener) }()
	go added.publishHeartbeats()
	return nil
}

// randomUpstream returns a random upstream that has not left, or nil if there are fewer than two.
func (environment *environment) randomUpstream(random *rand.Rand) *upstream {
	environment.mutex.Lock()
	defer environment.mutex.Unlock()
	var running []*upstream
	for number := range environment.nameCount + 1 {
		if known, ok := environment.upstreams[fmt.Sprintf("u-%d", number)]; ok && known.leftAt().IsZero() {
			running = append(running, known)
		}
	}
	if len(running) < 2 {
		return nil
	}
	return running[random.IntN(len(running))]
}

// dropHistory drops the history of the topics; the newest record of each key stays readable.
func (environment *environment) dropHistory() {
	environment.store.DropHistory(platform.TopicOperator)
	environment.store.DropHistory(platform.TopicUpstreams)
}

func (environment *environment) removeUpstream(upstream *upstream) {
	environment.mutex.Lock()
	delete(environment.upstreams, upstream.name)
	environment.mutex.Unlock()
	environment.store.Put(platform.TopicUpstreams, upstream.name, nil)
}

func (upstream *upstream) leftAt() time.Time {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	return upstream.left
}

// publishHeartbeats updates the entry of the upstream until it stops.
func (upstream *upstream) publishHeartbeats() {
	for sequence := int64(1); ; sequence++ {
		upstream.publishEntry(!upstream.leftAt().IsZero(), sequence)
		select {
		case <-upstream.stopHeartbeats:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// publishEntry writes the entry of the upstream to the store.
func (upstream *upstream) publishEntry(leaving bool, sequence int64) {
	value, err := platform.EncodeUpstream(table.Entry{
		Upstream: clementinewind.Upstream(upstream.name), Service: serviceName, Address: upstream.proxy.address(), Zone: "a",
		Slots: upstreamSlots, Version: upstream.version, Leaving: leaving, Sequence: sequence, Incarnation: upstream.startUnixMillis,
	})
	if err != nil {
		panic(err)
	}
	upstream.environment.store.Put(platform.TopicUpstreams, upstream.name, value)
}

// announceLeave publishes that the upstream leaves; it keeps serving until crash is called.
func (upstream *upstream) announceLeave() {
	upstream.publishEntry(true, leaveSequence)
	upstream.mutex.Lock()
	upstream.left = time.Now()
	upstream.mutex.Unlock()
	close(upstream.stopHeartbeats)
}

func (upstream *upstream) crash() {
	upstream.proxy.close()
	_ = upstream.server.Close()
}

func (upstream *upstream) setFailing(failing bool) {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	upstream.failing = failing
}

// ServeHTTP implements http.Handler.
func (upstream *upstream) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	stand.EchoRequestID(writer, request)
	if stand.ExpectedUpstream(request) != upstream.name {
		stand.Misdirect(writer, upstream.name)
		return
	}
	body, err := io.ReadAll(request.Body)
	id := stand.RequestID(request.Header)
	if err != nil {
		return
	}
	if string(body) != id {
		upstream.environment.checker.reportf("request %s has the body %q", id, body)
	}
	upstream.environment.checker.recordRun(id, upstream.name, upstream.leftAt())
	upstream.mutex.Lock()
	failing := upstream.failing && rand.IntN(3) == 0
	upstream.mutex.Unlock()
	time.Sleep(time.Duration(rand.Int64N(int64(maxServiceTime))))
	stand.Seal(writer)
	if request.URL.Path == pathStream {
		upstream.stream(writer, stand.LastEventID(request), id, failing)
		return
	}
	if failing {
		breakOff(writer, id)
	}
	fmt.Fprint(writer, id)
}

func (upstream *upstream) stream(writer http.ResponseWriter, last, id string, failing bool) {
	first := 1
	if _, err := fmt.Sscanf(last, "%d", &first); err == nil {
		first++
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	for event := first; event <= eventCount; event++ {
		fmt.Fprint(writer, eventText(streamOf(id), upstream.version, event))
		if failing && event == eventCount/2 {
			breakOff(writer, id)
		}
		if err := http.NewResponseController(writer).Flush(); err != nil {
			return
		}
		time.Sleep(eventInterval)
	}
}

// eventText returns an event of a stream that a version of the upstreams writes.
func eventText(stream, version string, event int) string {
	return fmt.Sprintf("id: %d\ndata: %s %s%s", event, stream, version, endOfEvent)
}

// takeUpSuffix ends the identifier of a request that takes up a stream.
const takeUpSuffix = "-again"

// streamOf returns the identifier of the request that began the stream of a request.
func streamOf(id string) string { return strings.TrimSuffix(id, takeUpSuffix) }

// breakOff writes half of the id and aborts the connection.
func breakOff(writer http.ResponseWriter, id string) {
	fmt.Fprint(writer, id[:len(id)/2])
	_ = http.NewResponseController(writer).Flush()
	panic(http.ErrAbortHandler)
}
