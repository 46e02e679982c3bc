package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/route/table"
	"github.com/clementinewind/clementinewind/platform"
	"github.com/clementinewind/clementinewind/platform/stand"
)

const (
	// upstreamCount is the number of upstreams that run at a time.
	upstreamCount = 4
	// events is the length of a stream, eventPause the time between two events.
	events     = 6
	eventPause = 20 * time.Millisecond
	// workTime is the longest time of a request.
	workTime = 60 * time.Millisecond
	// heartbeat is the pause between two entries of an upstream.
	heartbeat = 1200 * time.Millisecond
	// service is that of all routes, timeout the longest time of their requests.
	service = "s"
	timeout = 4 * time.Second
	// upstreamConnections and upstreamSlots are far above what the clients of a run use.
	upstreamConnections = 200
	upstreamSlots       = 8
	// lastSequence is above that of any entry of an upstream before it leaves.
	lastSequence = 1_000_000
	// host is the name that callers use.
	host = "soak.example"
	// Paths of the routes.
	pathOnce       = "/once/"
	pathIdempotent = "/idempotent/"
	pathStream     = "/stream/"
)

// world is the platform of a run: the store, the operator and the upstreams.
type world struct {
	store   *stand.Store
	server  *http.Server
	address string
	checker *checker

	mutex     sync.Mutex
	upstreams map[string]*upstream
	number    int
	version   int
	keys      []string
	// removed are keys that were taken away, and when.
	removed map[string]time.Time
}

// upstream is one stand-in of a replica behind a proxy.
type upstream struct {
	name   string
	world  *world
	server *http.Server
	proxy  *proxy
	stop   chan struct{}
	// born is the start in Unix milliseconds.
	born int64

	mutex sync.Mutex
	left  time.Time
	// failing makes the upstream fail or break off a part of its answers.
	failing bool
}

func newWorld(checker *checker) (*world, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	built := &world{
		store: stand.NewStore(), address: listener.Addr().String(), checker: checker, upstreams: map[string]*upstream{},
		removed: map[string]time.Time{}, keys: []string{"key-0", "key-1", "key-2"},
	}
	built.server = &http.Server{Handler: built.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = built.server.Serve(listener) }()
	built.configure()
	for range upstreamCount {
		if err := built.addUpstream(); err != nil {
			built.close()
			return nil, err
		}
	}
	return built, nil
}

func (world *world) close() {
	_ = world.server.Close()
	for _, upstream := range world.upstreams {
		upstream.crash()
	}
}

// configure writes the next version.
func (world *world) configure() {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.version += 1 + world.version%3
	shares := []table.ServiceWeight{{Service: service, Weight: 1}}
	value, err := platform.EncodeConfiguration(table.Configuration{
		Version: table.Version(world.version),
		Routes: []table.Route{
			{Name: "once", Host: host, PathPrefix: pathOnce, Kind: table.RouteOnce, Timeout: timeout, TrafficSplit: shares, MaxAttempts: 1},
			{
				Name: "idempotent", Host: host, PathPrefix: pathIdempotent, Kind: table.RouteIdempotent, Timeout: timeout, TrafficSplit: shares,
				MaxAttempts: 2,
			},
			{
				Name: "stream", Host: host, PathPrefix: pathStream, Kind: table.RouteStream, Timeout: timeout, TrafficSplit: shares,
				MaxAttempts: 2, Resumable: true,
			},
		},
		Services:      []table.ServiceSettings{{Name: service, MaxConnections: upstreamConnections}},
		Organisations: []table.OrganisationKeys{{Organisation: "o", Keys: world.keys}},
	})
	if err != nil {
		panic(err)
	}
	world.store.Put(platform.TopicOperator, platform.ConfigurationKey, value)
}

// replaceKey takes a key away and gives another one.
func (world *world) replaceKey(random *rand.Rand) {
	world.mutex.Lock()
	i := random.IntN(len(world.keys))
	old := world.keys[i]
	world.number++
	world.keys[i] = fmt.Sprintf("key-%d", 100+world.number)
	world.mutex.Unlock()
	world.configure()
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.removed[old] = time.Now()
}

// key returns a key for a request; now and then one that was removed, with the time of that.
func (world *world) key(random *rand.Rand) (key string, removed time.Time) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	if random.IntN(20) == 0 {
		for key, at := range world.removed {
			return key, at
		}
	}
	return world.keys[random.IntN(len(world.keys))], time.Time{}
}

func (world *world) addUpstream() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	relay, err := newProxy(listener.Addr().String())
	if err != nil {
		return err
	}
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.number++
	added := &upstream{name: fmt.Sprintf("u-%d", world.number), world: world, proxy: relay, stop: make(chan struct{}), born: time.Now().UnixMilli()}
	added.server = &http.Server{Handler: added, ReadHeaderTimeout: time.Minute}
	world.upstreams[added.name] = added
	go func() { _ = added.server.Serve(listener) }()
	go added.beat()
	return nil
}

// pick returns an upstream that is not leaving, if more than one is left.
func (world *world) pick(random *rand.Rand) *upstream {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	var running []*upstream
	for number := range world.number + 1 {
		if known, ok := world.upstreams[fmt.Sprintf("u-%d", number)]; ok && known.leftAt().IsZero() {
			running = append(running, known)
		}
	}
	if len(running) < 2 {
		return nil
	}
	return running[random.IntN(len(running))]
}

// forgetHistory drops the history of the topics; the newest record of each key stays readable.
func (world *world) forgetHistory() {
	world.store.DropHistory(platform.TopicOperator)
	world.store.DropHistory(platform.TopicUpstreams)
}

func (world *world) forget(upstream *upstream) {
	world.mutex.Lock()
	delete(world.upstreams, upstream.name)
	world.mutex.Unlock()
	world.store.Put(platform.TopicUpstreams, upstream.name, nil)
}

func (upstream *upstream) leftAt() time.Time {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	return upstream.left
}

// beat writes the entries of the upstream until it stops.
func (upstream *upstream) beat() {
	for sequence := int64(1); ; sequence++ {
		upstream.list(!upstream.leftAt().IsZero(), sequence)
		select {
		case <-upstream.stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// list writes the entry of the upstream.
func (upstream *upstream) list(leaving bool, sequence int64) {
	value, err := platform.EncodeUpstream(table.Entry{
		Upstream: clementinewind.Upstream(upstream.name), Service: service, Address: upstream.proxy.address(), Zone: "a",
		Slots: upstreamSlots, Leaving: leaving, Sequence: sequence, Incarnation: upstream.born,
	})
	if err != nil {
		panic(err)
	}
	upstream.world.store.Put(platform.TopicUpstreams, upstream.name, value)
}

// leave says that the upstream leaves; it stops later.
func (upstream *upstream) leave() {
	upstream.list(true, lastSequence)
	upstream.mutex.Lock()
	upstream.left = time.Now()
	upstream.mutex.Unlock()
	close(upstream.stop)
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
		upstream.world.checker.breakf("request %s has the body %q", id, body)
	}
	upstream.world.checker.ran(id, upstream.name, upstream.leftAt())
	upstream.mutex.Lock()
	failing := upstream.failing && rand.IntN(3) == 0
	upstream.mutex.Unlock()
	time.Sleep(time.Duration(rand.Int64N(int64(workTime))))
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
	for event := first; event <= events; event++ {
		fmt.Fprint(writer, eventText(id, event))
		if failing && event == events/2 {
			breakOff(writer, id)
		}
		if err := http.NewResponseController(writer).Flush(); err != nil {
			return
		}
		time.Sleep(eventPause)
	}
}

func eventText(id string, event int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", event, id) }

// breakOff writes a part of an answer and resets the connection.
func breakOff(writer http.ResponseWriter, id string) {
	fmt.Fprint(writer, id[:len(id)/2])
	_ = http.NewResponseController(writer).Flush()
	panic(http.ErrAbortHandler)
}
