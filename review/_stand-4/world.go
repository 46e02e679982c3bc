package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/clementinewind/clementinewind/platform/stand"
)

// Names of the stand-ins and the deployment.
const (
	topicOperator = "keyed.op"
	topicServers  = "keyed.servers"
	apiKey        = "asnmgkcuyj8pjbvk9m68"
	routeHost     = "ficu95.example"
	heartbeat     = 1200 * time.Millisecond
)

// world is a store, replicas and routers on loopback addresses.
type world struct {
	folder  string
	record  *os.File
	started time.Time
	store   *stand.Store
	// fault, if set, gets each call to the store first, and returns true if it wrote the response.
	fault    atomic.Pointer[func(http.ResponseWriter, *http.Request) bool]
	address  string
	routers  []*router
	mutex    sync.Mutex
	replicas []*replica
	broken   []string
	// memoryMb and maxFds are the limits of the machines of routers.
	memoryMb, maxFds int
}

func newWorld(folder string) (*world, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	world := &world{folder: folder, record: record, started: time.Now(), store: stand.NewStore(), memoryMb: 284, maxFds: 4100}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	world.address = listener.Addr().String()
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if fault := world.fault.Load(); fault != nil && (*fault)(writer, request) {
				return
			}
			world.store.ServeHTTP(writer, request)
		}))
	}()
	return world, nil
}

// note writes a line to the record.
func (world *world) note(format string, args ...any) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	fmt.Fprintf(world.record, "%7.3f "+format+"\n", append([]any{time.Since(world.started).Seconds()}, args...)...)
}

// breach records that a rule was broken.
func (world *world) breach(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	world.note("BROKEN %s", text)
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.broken = append(world.broken, text)
}

// route is a route of the configuration.
type route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	PathPrefix  string  `json:"pathPrefix"`
	Kind        string  `json:"kind"`
	TimeoutMs   int     `json:"timeoutMs"`
	GoalMs      int     `json:"latencyGoalMs"`
	Priority    int     `json:"priority"`
	Service     string  `json:"service"`
	MaxAttempts int     `json:"maxAttempts"`
	Sticky      bool    `json:"sticky"`
	CanResume   bool    `json:"canResume"`
	GapGoalMs   float64 `json:"gapGoalMs,omitempty"`
}

// configure writes a configuration.
func (world *world) configure(version int, routes ...route) {
	services := map[string]bool{}
	var list []map[string]any
	for i := range routes {
		routes[i].Host = routeHost
		if !services[routes[i].Service] {
			services[routes[i].Service] = true
			service := map[string]any{"name": routes[i].Service, "healthPath": "/healthz", "maxConns": 110, "coldS": 0.0, "coldPerS": 0.0}
			if routes[i].Kind == "streaming" {
				service["maxConns"], service["coldS"], service["coldPerS"] = 370, 3.0, 5.9
				service["engine"] = map[string]any{"slots": 64, "kvCapacity": 525137}
			}
			list = append(list, service)
		}
	}
	value, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "apiKeys": []string{apiKey}, "priority": 1}},
	})
	world.store.Put(topicOperator, "config", value)
}

// router is a process of the project.
type router struct {
	world    *world
	number   int
	ip       string
	settings string
	process  *exec.Cmd
	ended    chan struct{}
	log      *os.File
}

// addRouter writes the settings of one more router from the template of the deploy file.
func (world *world) addRouter(zone string) (*router, error) {
	number := len(world.routers)
	ip := fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()/250%200, 1+os.Getpid()%250, 10+number)
	template, err := os.ReadFile("deploy/entry.ini")
	if err != nil {
		return nil, err
	}
	values := map[string]string{
		"node": fmt.Sprintf("front-%s-%d", zone, number), "zone": zone, "listen.front": ip + ":8783", "listen.ready": ip + ":8780",
		"listen.directory": ip + ":8789", "ip": ip, "portRange.0": "7400", "portRange.1": "7415", "platform.address": world.address,
		"platform.keep_s": "300", "bootstrap": "true", "limits.memoryMb": strconv.Itoa(world.memoryMb), "limits.maxFds": strconv.Itoa(world.maxFds), "limits.cpuShare": "0.4",
		"bounds.graceS": "8", "bounds.ttl_max_s": "5", "bounds.passMs": "120", "bounds.retryBudgetRatio": "0.2", "bounds.budgetWindowS": "10",
		"bounds.budgetExtra": "58", "bounds.coldOverrun": "1.5", "bounds.coldSlack": "5", "bounds.quotaWindowS": "4",
	}
	text := string(template)
	for name, value := range values {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	if strings.Contains(text, "{{") {
		return nil, fmt.Errorf("unknown placeholder in the template: %s", text[strings.Index(text, "{{"):])
	}
	router := &router{world: world, number: number, ip: ip, settings: filepath.Join(world.folder, fmt.Sprintf("settings-%d.ini", number))}
	if router.log, err = os.Create(filepath.Join(world.folder, fmt.Sprintf("router-%d.log", number))); err != nil {
		return nil, err
	}
	world.routers = append(world.routers, router)
	return router, os.WriteFile(router.settings, []byte(text), 0o600)
}

// start runs the command of the deploy file.
func (router *router) start() error {
	command := exec.Command("target/clementinewind", "entry")
	command.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CLEMENTINEWIND_BOOT=" + router.settings,
		"CLEMENTINEWIND_ROLLOUT_SHARE=", "CLEMENTINEWIND_ROLLBACK_MS=",
	}
	command.Stdout, command.Stderr = router.log, router.log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	router.process, router.ended = command, make(chan struct{})
	ended := router.ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

func (router *router) address() string { return router.ip + ":8783" }

func (router *router) signal(signal syscall.Signal) { _ = router.process.Process.Signal(signal) }

func (router *router) hasEnded() bool {
	select {
	case <-router.ended:
		return true
	default:
		return false
	}
}

// kill ends the process and waits for that.
func (router *router) kill() {
	router.signal(syscall.SIGKILL)
	<-router.ended
}

// ready reports whether the platform's check succeeds.
func (router *router) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + router.ip + ":8780/api/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all routers are ready.
func (world *world) awaitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, router := range world.routers {
			if router.ready() {
				ready++
			}
		}
		if ready == len(world.routers) {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d routers are ready", ready, len(world.routers))
		}
	}
}

// startRouters adds and starts routers in the zones of the deployment.
func (world *world) startRouters(count int) error {
	for number := range count {
		router, err := world.addRouter("guj-" + string(rune(0x61+number%3)))
		if err != nil {
			return err
		}
		if err := router.start(); err != nil {
			return err
		}
	}
	return world.awaitReady(15 * time.Second)
}

// end kills all routers.
func (world *world) end() {
	for _, router := range world.routers {
		if router.process != nil {
			router.signal(syscall.SIGCONT)
			router.kill()
		}
	}
}

// replica is a server of a service. It follows the pages: it answers 421 to requests for another one, and echoes the identifier.
type replica struct {
	world   *world
	name    string
	service string
	zone    string
	address string
	handler func(replica *replica, writer http.ResponseWriter, request *http.Request)

	mutex   sync.Mutex
	version string
	born    int64
	seq     int
	state   string
	server  *http.Server
	// silent is set while the replica writes no heartbeats.
	silent bool
	// leaving is set while the answers say that the replica leaves.
	leaving bool
	running atomic.Int64
}

func (world *world) addReplica(name, service, zone, version string, handler func(*replica, http.ResponseWriter, *http.Request)) (*replica, error) {
	replica := &replica{world: world, name: name, service: service, zone: zone, version: version, handler: handler, state: "ready"}
	world.mutex.Lock()
	world.replicas = append(world.replicas, replica)
	world.mutex.Unlock()
	return replica, replica.start()
}

// start begins a new incarnation, at the address of the one before.
func (replica *replica) start() error {
	address := replica.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	var listener net.Listener
	var err error
	for range 50 {
		if listener, err = net.Listen("tcp4", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	replica.mutex.Lock()
	replica.address, replica.born, replica.seq = listener.Addr().String(), time.Now().UnixMilli(), 0
	replica.server = &http.Server{Handler: http.HandlerFunc(replica.serve)}
	server, born := replica.server, replica.born
	replica.mutex.Unlock()
	go func() { _ = server.Serve(listener) }()
	replica.beat()
	go func() {
		for {
			time.Sleep(heartbeat)
			replica.mutex.Lock()
			current, silent := replica.born == born && replica.server != nil, replica.silent
			replica.mutex.Unlock()
			if !current {
				return
			}
			if !silent {
				replica.beat()
			}
		}
	}()
	return nil
}

// entry returns the next entry of the replica.
func (replica *replica) entry() []byte {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	replica.seq++
	value, _ := json.Marshal(map[string]any{
		"service": replica.service, "address": replica.address, "zone": replica.zone, "version": replica.version, "slots": 64, "state": replica.state,
		"coldLeftMs": 0, "seq": replica.seq, "born": replica.born,
	})
	return value
}

// beat writes the entry. While the store is down, that fails.
func (replica *replica) beat() {
	if fault := replica.world.fault.Load(); fault != nil {
		return
	}
	replica.world.store.Put(topicServers, replica.name, replica.entry())
}

// remove removes the entry.
func (replica *replica) remove() { replica.world.store.Put(topicServers, replica.name, nil) }

// crash ends the process of the replica: its connections are closed and its port refuses. It reports false if that has happened already.
func (replica *replica) crash() bool {
	replica.mutex.Lock()
	server := replica.server
	replica.server = nil
	replica.mutex.Unlock()
	if server == nil {
		return false
	}
	_ = server.Close()
	return true
}

func (replica *replica) serve(writer http.ResponseWriter, request *http.Request) {
	replica.mutex.Lock()
	leaving := replica.leaving
	replica.mutex.Unlock()
	if leaving {
		writer.Header().Set("Server-Leaving", "1")
	}
	if id := request.Header.Get("X-Request-Id"); id != "" {
		writer.Header().Set("X-Request-Id", id)
	}
	if expected := request.Header.Get("X-Expect-Replica"); expected != "" && expected != replica.name {
		writer.Header().Set("X-Replica-Id", replica.name)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	replica.running.Add(1)
	defer replica.running.Add(-1)
	replica.handler(replica, writer, request)
}

// book is the handler of a plain service: it works for a time and answers.
func book(work time.Duration) func(*replica, http.ResponseWriter, *http.Request) {
	return func(replica *replica, writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get("X-Request-Id")
		replica.world.note("run %s at %s", id, replica.name)
		replica.world.ran(replica, id)
		time.Sleep(work)
		writer.Header().Set("X-Replica-Seal", "seal")
		fmt.Fprintf(writer, "done %s", id)
	}
}

// ran is a hook of the scenarios.
func (world *world) ran(replica *replica, id string) {
	if hook := onRun.Load(); hook != nil {
		(*hook)(replica, id)
	}
}

var onRun atomic.Pointer[func(replica *replica, id string)]

// call sends one request on a new connection and returns the status and the body; status 0 means that there was no answer.
func call(address, path, id string, body []byte, deadline time.Duration, header http.Header) (int, string, http.Header) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(string(body)))
	if err != nil {
		return 0, err.Error(), nil
	}
	request.Host = routeHost
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+apiKey)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error(), response.Header
	}
	return response.StatusCode, string(content), response.Header
}

// event is an event of a stream.
type event struct {
	id   int
	data string
}

// readEvents calls got with each whole event of a stream until it ends.
func readEvents(reader io.Reader, got func(event event)) error {
	scanner := bufio.NewReader(reader)
	var current event
	for {
		line, err := scanner.ReadString('\n')
		if err != nil {
			return err
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case strings.HasPrefix(line, "id:"):
			current.id, _ = strconv.Atoi(strings.TrimSpace(line[3:]))
		case strings.HasPrefix(line, "data:"):
			current.data = strings.TrimSpace(line[5:])
		case line == "" && current.data != "":
			got(current)
			current = event{}
		}
	}
}
