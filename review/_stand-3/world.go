package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/route/table"
	"github.com/clementinewind/clementinewind/platform"
	"github.com/clementinewind/clementinewind/platform/stand"
)

const (
	host         = "shop.example"
	startTimeout = 20 * time.Second
)

// recorder writes what was sent, answered and run, with the time since its start in seconds.
type recorder struct {
	mutex   sync.Mutex
	file    *os.File
	started time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	return &recorder{file: file, started: time.Now()}, err
}

func (recorder *recorder) add(format string, values ...any) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	fmt.Fprintf(recorder.file, "%8.3f %s\n", time.Since(recorder.started).Seconds(), fmt.Sprintf(format, values...))
}

// world has a stand-in of the platform's store and the routers as processes.
type world struct {
	*recorder
	folder  string
	store   *stand.Store
	routers []*router
}

// router is one process of the project.
type router struct {
	name    string
	command *exec.Cmd
	exited  chan struct{}
	// callerAddress and readyAddress are where it listens.
	callerAddress, readyAddress string
}

// freePorts returns ports of an address that nobody uses.
func freePorts(address string, count int) ([]int, error) {
	var ports []int
	for range count {
		listener, err := net.Listen("tcp4", address+":0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		if tcp, ok := listener.Addr().(*net.TCPAddr); ok {
			ports = append(ports, tcp.Port)
		}
	}
	return ports, nil
}

// newWorld starts the store. The configuration and the replicas are added before the routers are started.
func newWorld(recorder *recorder) (*world, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	world := &world{recorder: recorder, folder: folder, store: stand.NewStore()}
	return world, nil
}

// configure writes the first configuration.
func (world *world) configure(configuration table.Configuration) error {
	value, err := platform.EncodeConfiguration(configuration)
	if err != nil {
		return err
	}
	world.store.Put(platform.TopicOperator, platform.ConfigurationKey, value)
	return nil
}

// settings are the values of the template, those of the site ppw-router.
func settings(name, zone, address, store string, ports []int) map[string]string {
	at := func(index int) string { return fmt.Sprintf("%s:%d", address, ports[index]) }
	return map[string]string{
		"node": name, "zone": zone, "ip": address, "listen.front": at(0), "listen.ready": at(1), "listen.directory": at(2),
		"portRange.0": fmt.Sprint(ports[3]), "portRange.1": fmt.Sprint(ports[3]),
		"platform.address": store, "limits.memoryMb": "284", "limits.maxFds": "4100", "limits.cpuShare": "0.4",
		"bounds.graceS": "8", "bounds.ttl_max_s": "5", "bounds.passMs": "120", "bounds.retryBudgetRatio": "0.2", "bounds.budgetWindowS": "10",
		"bounds.budgetExtra": "58", "bounds.coldOverrun": "1.5", "bounds.coldSlack": "5", "bounds.quotaWindowS": "4",
	}
}

var placeholder = regexp.MustCompile(`\{\{([^}]+)\}\}`)

// startRouters starts the store's listener and a router in each of the given zones, with the command and the template of the deploy file.
func (world *world) startRouters(zones ...string) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: world.store}).Serve(listener) }()
	template, err := os.ReadFile("deploy/entry.ini")
	if err != nil {
		return err
	}
	for number, zone := range zones {
		// The port of the metrics is the same for all, so that each has an address of its own.
		address := fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()/250%200, 1+os.Getpid()%250, 10+number)
		ports, err := freePorts(address, 4)
		if err != nil {
			return err
		}
		started := &router{name: fmt.Sprintf("front-%s-%d", zone, number+1), exited: make(chan struct{})}
		values := settings(started.name, zone, address, listener.Addr().String(), ports)
		started.callerAddress, started.readyAddress = values["listen.front"], values["listen.ready"]
		text := placeholder.ReplaceAllFunc(template, func(found []byte) []byte { return []byte(values[string(found[2:len(found)-2])]) })
		path := filepath.Join(world.folder, started.name+".ini")
		if err := os.WriteFile(path, text, 0o600); err != nil {
			return err
		}
		logFile, err := os.Create(filepath.Join(world.folder, started.name+".log"))
		if err != nil {
			return err
		}
		started.command = exec.Command("target/clementinewind", "entry")
		started.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + path}
		started.command.Stdout, started.command.Stderr = logFile, logFile
		started.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := started.command.Start(); err != nil {
			return err
		}
		go func() {
			_ = started.command.Wait()
			close(started.exited)
		}()
		world.routers = append(world.routers, started)
	}
	for _, router := range world.routers {
		for end := time.Now().Add(startTimeout); !router.ready(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				return fmt.Errorf("router %s is not ready", router.name)
			}
		}
	}
	// The routers hear each other within a second.
	time.Sleep(2 * time.Second)
	world.add("%d routers are ready", len(world.routers))
	return nil
}

func (router *router) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + router.readyAddress + "/api/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close ends the routers. With REVIEW_LOGS the folder with their logs stays.
func (world *world) close() {
	for _, router := range world.routers {
		_ = router.command.Process.Signal(syscall.SIGCONT)
		_ = router.command.Process.Kill()
		<-router.exited
	}
	if kept := os.Getenv("REVIEW_LOGS"); kept != "" {
		fmt.Println("logs:", world.folder)
		return
	}
	_ = os.RemoveAll(world.folder)
}

// replica is a stand-in of a replica: a listener, its entry in the store, and its connections.
type replica struct {
	world   *world
	id      string
	entry   table.Entry
	handler func(replica *replica, conn net.Conn, request *http.Request, body []byte) bool

	mutex    sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

// startReplica starts a replica and registers it. The handler answers a request on a connection, and reports whether to go on there.
func (world *world) startReplica(id, service, zone string, slots int, handler func(*replica, net.Conn, *http.Request, []byte) bool) (*replica, error) {
	started := &replica{world: world, id: id, handler: handler, conns: map[net.Conn]bool{}}
	started.entry = table.Entry{
		Upstream: clementinewind.Upstream(id), Service: table.Service(service), Zone: clementinewind.Zone(zone), Slots: slots,
		Incarnation: time.Now().UnixMilli(), Sequence: 1, Version: "1",
	}
	return started, started.start("127.0.0.1:0")
}

func (replica *replica) start(address string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	replica.mutex.Lock()
	replica.listener = listener
	replica.entry.Address = listener.Addr().String()
	replica.mutex.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			replica.mutex.Lock()
			alive := replica.listener == listener
			if alive {
				replica.conns[conn] = true
			}
			replica.mutex.Unlock()
			if !alive {
				conn.Close()
				return
			}
			go replica.serve(conn)
		}
	}()
	return replica.register()
}

func (replica *replica) register() error {
	value, err := platform.EncodeUpstream(replica.entry)
	if err != nil {
		return err
	}
	replica.world.store.Put(platform.TopicUpstreams, replica.id, value)
	return nil
}

func (replica *replica) serve(conn net.Conn) {
	defer func() {
		replica.mutex.Lock()
		delete(replica.conns, conn)
		replica.mutex.Unlock()
		conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if stand.ExpectedUpstream(request) != replica.id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%sContent-Length: 0\r\n\r\n", stand.MisdirectedHeaderLines(stand.RequestID(request.Header), replica.id))
			continue
		}
		if !replica.handler(replica, conn, request, body) {
			return
		}
	}
}

// head returns the header lines of a sealed answer.
func head(request *http.Request) string {
	return stand.SealedHeaderLines(stand.RequestID(request.Header))
}

// crash ends the process of the replica: its listener closes and its connections are reset. It is back after a time with a new start time.
func (replica *replica) crash(back time.Duration) {
	replica.mutex.Lock()
	listener := replica.listener
	if listener == nil {
		replica.mutex.Unlock()
		return
	}
	replica.listener = nil
	conns := replica.conns
	replica.conns = map[net.Conn]bool{}
	replica.mutex.Unlock()
	listener.Close()
	for conn := range conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		conn.Close()
	}
	time.AfterFunc(back, func() {
		replica.entry.Incarnation, replica.entry.Sequence = time.Now().UnixMilli(), 1
		if err := replica.start(replica.entry.Address); err != nil {
			replica.world.add("replica %s cannot start again: %v", replica.id, err)
			return
		}
		replica.world.add("replica %s is back", replica.id)
	})
}

// answer is what a client gets.
type answer struct {
	status int
	sealed bool
	body   string
	err    error
}

func (answer answer) String() string {
	if answer.err != nil {
		return fmt.Sprintf("%d, %v", answer.status, answer.err)
	}
	return fmt.Sprintf("%d, sealed %v, %d bytes", answer.status, answer.sealed, len(answer.body))
}

// send sends a request on a new connection and reads the whole answer.
func send(address, method, path string, header http.Header, body []byte, timeout time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.Host = host
	for name, values := range header {
		request.Header[name] = values
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, sealed: stand.Sealed(response.Header), body: string(content), err: err}
}

// heads returns the headers of a client's request.
func heads(id, key string, timeout time.Duration) http.Header {
	header := http.Header{}
	stand.SetCallerHeaders(header, id, key, timeout)
	return header
}

var errSetup = errors.New("the case could not run")

func hasPart(request *http.Request, part string) bool {
	return strings.Contains(stand.PromptParts(request), part+":")
}
