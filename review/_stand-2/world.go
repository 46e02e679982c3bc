package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	topicOperator = "keyed.op"
	topicServers  = "keyed.servers"
	heartbeat     = 1200 * time.Millisecond
)

// world is a small deployment on loopback addresses: a store, replicas and routers.
type world struct {
	dir    string
	record *os.File
	// trouble is set unless the disruption is left out.
	trouble bool
	started time.Time
	mutex   sync.Mutex
	store   *store
	storeAt string
	routers []*router
}

func newWorld(recordPath string) (*world, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	world := &world{dir: dir, record: record, started: time.Now(), store: newStore()}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	world.storeAt = listener.Addr().String()
	go http.Serve(listener, world.store)
	return world, nil
}

// log writes a line of what happened, with the time since the start.
func (world *world) log(format string, values ...any) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	fmt.Fprintf(world.record, "%8.3f  %s\n", time.Since(world.started).Seconds(), fmt.Sprintf(format, values...))
}

// close ends all routers.
func (world *world) close() {
	for _, router := range world.routers {
		_ = router.command.Process.Kill()
		_, _ = router.command.Process.Wait()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(world.dir)
	}
	_ = world.record.Close()
}

// router is a process of the program as the deploy file starts it.
type router struct {
	name                    string
	ip                      string
	front, ready, directory string
	command                 *exec.Cmd
	settings                string
	output                  *os.File
}

var placeholder = regexp.MustCompile(`\{\{([^}]*)\}\}`)

// site holds the figures of a site file that are in the settings of a process.
type site struct {
	cpuShare            float64
	memoryMb            int
	maxFds              int
	passMs, budgetExtra string
}

var (
	// ppwRouter is the site ppw-router.
	ppwRouter = site{cpuShare: 0.4, memoryMb: 284, maxFds: 4100, passMs: "120", budgetExtra: "58"}
	// sajhaBalghar is the site sajha-balghar-grown with its smaller class of machines, of which it has most.
	sajhaBalghar = site{cpuShare: 0.192, memoryMb: 184, maxFds: 4100, passMs: "200", budgetExtra: "158"}
)

// startRouter starts a router on an address of its own, because the port of the metrics is the same for all.
func (world *world) startRouter(name, ip, zone string, site site) (*router, error) {
	ports := map[string]int{}
	for _, use := range []string{"front", "ready", "directory", "peer"} {
		listener, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			return nil, err
		}
		ports[use] = listener.Addr().(*net.TCPAddr).Port
		listener.Close()
	}
	at := func(use string) string { return ip + ":" + strconv.Itoa(ports[use]) }
	fields := map[string]string{
		"node": name, "zone": zone, "ip": ip, "listen.front": at("front"), "listen.ready": at("ready"), "listen.directory": at("directory"),
		"portRange.0": strconv.Itoa(ports["peer"]), "portRange.1": strconv.Itoa(ports["peer"]), "platform.address": world.storeAt,
		"limits.memoryMb": strconv.Itoa(site.memoryMb), "limits.maxFds": strconv.Itoa(site.maxFds),
		"limits.cpuShare": strconv.FormatFloat(site.cpuShare, 'g', -1, 64),
		"bounds.graceS":   "8", "bounds.ttl_max_s": "5", "bounds.passMs": site.passMs, "bounds.retryBudgetRatio": "0.2", "bounds.budgetWindowS": "10",
		"bounds.budgetExtra": site.budgetExtra, "bounds.coldOverrun": "1.5", "bounds.coldSlack": "5", "bounds.quotaWindowS": "4",
	}
	template, err := os.ReadFile("deploy/entry.ini")
	if err != nil {
		return nil, err
	}
	settings := filepath.Join(world.dir, name+".ini")
	text := placeholder.ReplaceAllStringFunc(string(template), func(found string) string { return fields[strings.Trim(found, "{}")] })
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	output, err := os.Create(filepath.Join(world.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	started := &router{name: name, ip: ip, front: at("front"), ready: at("ready"), directory: at("directory"), settings: settings, output: output}
	if err := world.run(started); err != nil {
		return nil, err
	}
	world.routers = append(world.routers, started)
	return started, nil
}

// run starts the process of a router. It ends with the one that started it.
func (world *world) run(router *router) error {
	command := exec.Command("target/clementinewind", "entry")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + world.dir, "LANG=C", "CLEMENTINEWIND_BOOT=" + router.settings}
	command.Stdout, command.Stderr = router.output, router.output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	router.command = command
	world.log("router %s started, front %s", router.name, router.front)
	return nil
}

// address returns a loopback address that other runs do not use at the same time.
func (world *world) address(number int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, os.Getpid()/128%256, number)
}

// isReady asks as the platform's check does.
func (router *router) isReady() bool {
	response, err := http.Get("http://" + router.ready + "/api/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until the platform's check of readiness gets a 200.
func (world *world) awaitReady(router *router) error {
	for range 100 {
		if router.isReady() {
			world.log("router %s is ready", router.name)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("router %s did not become ready", router.name)
}

// startFleet starts a router in each of some zones and waits until all are ready and know each other.
func (world *world) startFleet(site site, zones ...string) error {
	for i, zone := range zones {
		if _, err := world.startRouter(fmt.Sprintf("front-%s-%d", zone, i+1), world.address(2+i), zone, site); err != nil {
			return err
		}
	}
	for _, router := range world.routers {
		if err := world.awaitReady(router); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}

// startReplicas starts replicas of a plain service, one in each of some zones.
func (world *world) startReplicas(service string, work handler, zones ...string) ([]*replica, error) {
	var replicas []*replica
	for i, zone := range zones {
		started, err := world.startReplica(fmt.Sprintf("i-%d", i), service, zone, 6, work)
		if err != nil {
			return nil, err
		}
		replicas = append(replicas, started)
	}
	return replicas, nil
}

// configuration is what the operator writes to op/config.
type configuration struct {
	Version  int64          `json:"version"`
	Routes   []route        `json:"routes"`
	Services []service      `json:"services"`
	Tenants  []tenant       `json:"tenants"`
	Limits   map[string]any `json:"limits"`
}

type route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	PathPrefix  string  `json:"pathPrefix"`
	Kind        string  `json:"kind"`
	Service     string  `json:"service"`
	TimeoutMs   float64 `json:"timeoutMs"`
	GoalMs      float64 `json:"latencyGoalMs"`
	GapMs       float64 `json:"gapGoalMs,omitempty"`
	MaxAttempts int     `json:"maxAttempts"`
	CanResume   bool    `json:"canResume,omitempty"`
	Priority    int     `json:"priority"`
	NoAuth      bool    `json:"noAuth,omitempty"`
}

type service struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"healthPath"`
	MaxConns   int     `json:"maxConns"`
	ColdS      float64 `json:"coldS"`
	ColdPerS   float64 `json:"coldPerS"`
	Engine     any     `json:"engine,omitempty"`
}

type tenant struct {
	Name    string   `json:"name"`
	APIKeys []string `json:"apiKeys"`
}

const (
	host = "works.example"
	key  = "k-7b1c55a09de2"
)

// bookingRoutes returns a configuration with the routes of the booking application of the site.
func bookingRoutes(version int64) configuration {
	return configuration{
		Version: version,
		Routes: []route{
			{Name: "book-pay", Host: host, PathPrefix: "/book/", Kind: "non_idempotent", Service: "booking-app", TimeoutMs: 800, GoalMs: 150, MaxAttempts: 1, Priority: 2},
			{Name: "job-status", Host: host, PathPrefix: "/status/", Kind: "idempotent", Service: "booking-app", TimeoutMs: 800, GoalMs: 150, MaxAttempts: 2, Priority: 2},
		},
		Services: []service{{Name: "booking-app", HealthPath: "/healthz", MaxConns: 110}},
		Tenants:  []tenant{{Name: "works", APIKeys: []string{key}}},
		Limits:   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 20000, "tokensPerS": 500000},
	}
}

// placementRoutes returns a configuration with the routes of the enrolment application of the site sajha-balghar-grown.
func placementRoutes(version int64) configuration {
	routes := bookingRoutes(version)
	routes.Routes = []route{
		{Name: "place-hold", Host: host, PathPrefix: "/hold/", Kind: "non_idempotent", Service: "bharna-app", TimeoutMs: 1500, GoalMs: 300, MaxAttempts: 1, Priority: 2},
		{Name: "waitlist-read", Host: host, PathPrefix: "/waitlist/", Kind: "idempotent", Service: "bharna-app", TimeoutMs: 1500, GoalMs: 300, MaxAttempts: 2, Priority: 2},
	}
	routes.Services = []service{{Name: "bharna-app", HealthPath: "/healthz", MaxConns: 410}}
	return routes
}

// entry is what a replica writes to servers/ID.
type entry struct {
	Service    string  `json:"service"`
	Address    string  `json:"address"`
	Zone       string  `json:"zone"`
	Version    string  `json:"version"`
	Slots      int     `json:"slots"`
	State      string  `json:"state"`
	ColdLeftMs float64 `json:"coldLeftMs"`
	Seq        int64   `json:"seq"`
	Born       int64   `json:"born"`
}

// replica is a server of a service.
type replica struct {
	world    *world
	id       string
	entry    entry
	listener net.Listener
	server   *http.Server
	stopBeat context.CancelFunc

	// leaving is set once the replica has begun to leave; it says so in all its answers then.
	leaving atomic.Bool

	mutex sync.Mutex
	runs  []run
}

type run struct {
	id     string
	method string
	path   string
	header http.Header
	at     time.Time
}

// handler does the work of a request that the replica runs.
type handler func(replica *replica, writer http.ResponseWriter, request *http.Request)

// startReplica starts a replica that registers itself and writes a heartbeat.
func (world *world) startReplica(id, service, zone string, slots int, work handler) (*replica, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	started := &replica{world: world, id: id, listener: listener, entry: entry{
		Service: service, Address: listener.Addr().String(), Zone: zone, Version: "1", Slots: slots, State: "ready", Born: time.Now().UnixMilli(),
	}}
	started.server = &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
		if expected := request.Header.Get("X-Expect-Replica"); expected != "" && expected != id {
			writer.Header().Set("X-Not-Executed", "1")
			writer.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if started.leaving.Load() {
			writer.Header().Set("Server-Leaving", "1")
		}
		started.mutex.Lock()
		started.runs = append(started.runs, run{request.Header.Get("X-Request-Id"), request.Method, request.RequestURI, request.Header.Clone(), time.Now()})
		started.mutex.Unlock()
		writer.Header().Set("X-Replica-Seal", "seal."+id+"."+request.Header.Get("X-Request-Id"))
		work(started, writer, request)
	})}
	go started.server.Serve(listener)
	started.beat()
	ctx, cancel := context.WithCancel(context.Background())
	started.stopBeat = cancel
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(heartbeat):
				started.beat()
			}
		}
	}()
	return started, nil
}

// next returns the next entry of the replica.
func (replica *replica) next() []byte {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.entry.Seq++
	content, err := json.Marshal(replica.entry)
	if err != nil {
		panic(err)
	}
	return content
}

func (replica *replica) beat() { replica.world.store.put(topicServers, replica.id, replica.next()) }

// runsOf returns the runs of a replica.
func (replica *replica) allRuns() []run {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	return append([]run(nil), replica.runs...)
}
