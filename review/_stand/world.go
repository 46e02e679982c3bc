package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	topicOperator = "keyed.op"
	topicServers  = "keyed.servers"
	// heartbeatInterval, drainTime and contactTime are heartbeatMs, drainMs and contactMs of the site file.
	heartbeatInterval = 1200 * time.Millisecond
	drainTime         = 2 * time.Second
	contactTime       = 3 * time.Second
	// platformRestartDelay is how long the platform takes to start a process again.
	platformRestartDelay = 500 * time.Millisecond
	readyTimeout         = 15 * time.Second
	testKey              = "asnmgkcuyj8pjbvk9m68"
	testHost             = "ficu95.example"
	service              = "wuno96b"
)

// world holds the stand-ins and processes of one case.
type world struct {
	folder  string
	trouble bool
	started time.Time
	store   *store
	address string

	mutex   sync.Mutex
	record  *os.File
	closers []func()
	temp    string
}

func newWorld(folder string, trouble bool) (*world, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	world := &world{folder: folder, trouble: trouble, started: time.Now(), store: newStore(), record: file, temp: temp}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	world.address = listener.Addr().String()
	server := &http.Server{Handler: world.store}
	go func() { _ = server.Serve(listener) }()
	world.onClose(func() { _ = server.Close() })
	world.logf("trouble: %v", trouble)
	return world, nil
}

func (world *world) onClose(closer func()) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.closers = append(world.closers, closer)
}

func (world *world) close() {
	world.mutex.Lock()
	closers := world.closers
	world.mutex.Unlock()
	for i := len(closers) - 1; i >= 0; i-- {
		closers[i]()
	}
	_ = os.RemoveAll(world.temp)
	world.mutex.Lock()
	defer world.mutex.Unlock()
	_ = world.record.Close()
}

// recordf writes a line to record.txt.
func (world *world) recordf(format string, args ...any) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	fmt.Fprintf(world.record, "%8.3f "+format+"\n", append([]any{time.Since(world.started).Seconds()}, args...)...)
}

// logf writes a line to record.txt and to standard output.
func (world *world) logf(format string, args ...any) {
	world.recordf(format, args...)
	fmt.Printf("%8.3f "+format+"\n", append([]any{time.Since(world.started).Seconds()}, args...)...)
}

// configure writes the first configuration: an idempotent and a non-idempotent route to one service.
func (world *world) configure() {
	value, _ := json.Marshal(map[string]any{
		"version": 7,
		"routes": []map[string]any{
			{
				"name": "r-status", "host": testHost, "pathPrefix": "/status/", "kind": "idempotent", "timeoutMs": 1000, "latencyGoalMs": 150,
				"priority": 2, "service": service, "maxAttempts": 2, "noAuth": false, "sticky": false, "canResume": false,
			},
			{
				"name": "r-book", "host": testHost, "pathPrefix": "/book/", "kind": "non_idempotent", "timeoutMs": 1000, "latencyGoalMs": 150,
				"priority": 2, "service": service, "maxAttempts": 1, "noAuth": false, "sticky": false, "canResume": false,
			},
		},
		"services": []map[string]any{
			{"name": service, "healthPath": "/healthz", "maxConns": 96, "protocol": "h1", "tls": false, "coldS": 0, "coldPerS": 0},
		},
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 270000,
		},
		"tenants": []map[string]any{{"name": "hule930", "apiKeys": []string{testKey}, "priority": 1}},
	})
	world.store.put(topicOperator, "config", value)
}

// router is a process of the project, started with the command of the deploy file.
type router struct {
	world    *world
	name     string
	zone     string
	ip       string
	ports    map[string]int
	settings string
	command  *exec.Cmd
	ended    chan struct{}
}

// addRouter prepares a machine: the number gives its loopback address.
func (world *world) addRouter(name, zone string, number int) (*router, error) {
	router := &router{world: world, name: name, zone: zone, ip: fmt.Sprintf("127.77.%d.%d", os.Getpid()%254+1, number), ports: map[string]int{}}
	for _, listen := range []string{"front", "ready", "directory", "port"} {
		port, err := router.freePort()
		if err != nil {
			return nil, err
		}
		router.ports[listen] = port
	}
	template, err := os.ReadFile("deploy/entry.ini")
	if err != nil {
		return nil, err
	}
	router.settings = filepath.Join(world.temp, name+".ini")
	text := strings.NewReplacer(
		"{{node}}", name, "{{zone}}", zone, "{{ip}}", router.ip,
		"{{listen.front}}", router.address("front"), "{{listen.ready}}", router.address("ready"),
		"{{listen.directory}}", router.address("directory"),
		"{{portRange.0}}", strconv.Itoa(router.ports["port"]), "{{portRange.1}}", strconv.Itoa(router.ports["port"]),
		"{{platform.address}}", world.address,
		"{{limits.memoryMb}}", "284", "{{limits.maxFds}}", "4100", "{{limits.cpuShare}}", "0.4",
		"{{bounds.graceS}}", "8", "{{bounds.ttl_max_s}}", "5", "{{bounds.passMs}}", "120",
		"{{bounds.retryBudgetRatio}}", "0.2", "{{bounds.budgetWindowS}}", "10", "{{bounds.budgetExtra}}", "52",
		"{{bounds.coldOverrun}}", "1.5", "{{bounds.coldSlack}}", "5", "{{bounds.quotaWindowS}}", "4",
	).Replace(string(template))
	if strings.Contains(text, "{{") {
		return nil, fmt.Errorf("deploy/entry.ini has a placeholder that the case does not fill in:\n%s", text)
	}
	return router, os.WriteFile(router.settings, []byte(text), 0o600)
}

// freePort returns a port of the machine that is free for TCP and UDP and not yet used in its settings.
func (router *router) freePort() (int, error) {
	listener, err := net.Listen("tcp4", net.JoinHostPort(router.ip, "0"))
	if err != nil {
		return 0, err
	}
	defer listener.Close()
	port := listener.Addr().(*net.TCPAddr).Port
	for _, used := range router.ports {
		if used == port {
			return router.freePort()
		}
	}
	conn, err := net.ListenPacket("udp4", net.JoinHostPort(router.ip, strconv.Itoa(port)))
	if err != nil {
		return router.freePort()
	}
	return port, conn.Close()
}

func (router *router) address(listen string) string {
	return net.JoinHostPort(router.ip, strconv.Itoa(router.ports[listen]))
}

// start starts the process.
func (router *router) start() error {
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return err
	}
	run := ""
	for line := range strings.Lines(string(deploy)) {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			run = strings.Trim(strings.TrimSpace(value), `"`)
		}
	}
	words := strings.Fields(run)
	if len(words) == 0 {
		return fmt.Errorf("deploy/system.toml has no run line")
	}
	output, err := os.OpenFile(filepath.Join(router.world.temp, router.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	command := exec.Command(words[0], words[1:]...)
	command.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"),
		"CLEMENTINEWIND_BOOT=" + router.settings,
	}
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	router.command, router.ended = command, ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	router.world.logf("%s started", router.name)
	router.world.onClose(func() {
		_ = command.Process.Kill()
		<-ended
	})
	return nil
}

// kill ends the process with SIGKILL.
func (router *router) kill() {
	_ = router.command.Process.Kill()
	<-router.ended
	router.world.logf("%s killed", router.name)
}

// log returns what the process wrote.
func (router *router) log() string {
	text, _ := os.ReadFile(filepath.Join(router.world.temp, router.name+".log"))
	return string(text)
}

// waitReady waits until the process says that it is ready.
func (router *router) waitReady() error {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + router.address("ready") + "/api/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v:\n%s", router.name, readyTimeout, router.log())
}

// startAll starts routers and waits until they are ready.
func startAll(routers []*router) error {
	for _, router := range routers {
		if err := router.start(); err != nil {
			return err
		}
	}
	for _, router := range routers {
		if err := router.waitReady(); err != nil {
			return err
		}
	}
	return nil
}

func single(one *router) []*router { return []*router{one} }
