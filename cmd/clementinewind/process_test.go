package main

import (
	"bytes"
	"context"
	"encoding/json"
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
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/store/plog"
	"github.com/clementinewind/clementinewind/internal/tools/stand"
	"github.com/clementinewind/clementinewind/internal/wire/operatorv1"
	"github.com/clementinewind/clementinewind/internal/wire/operatorv1/operatorv1connect"
	"github.com/clementinewind/clementinewind/internal/wire/recordv1"
)

const (
	// conditionTimeout limits the wait for a condition. It is far above what any condition takes, so that tests also pass on
	// a busy machine.
	conditionTimeout = time.Minute
	// conditionPollInterval is the time between two checks of a condition.
	conditionPollInterval = 20 * time.Millisecond
)

// binaryDir is the directory of the built programs clementinewind and standin.
var binaryDir string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	var err error
	if binaryDir, err = os.MkdirTemp("", "clementinewind-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(binaryDir)
	build := exec.Command("go", "build", "-o", binaryDir, ".", "../standin")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// await waits until a condition holds and fails the test after conditionTimeout.
func await(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(conditionTimeout); !condition(); time.Sleep(conditionPollInterval) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", conditionTimeout, what)
		}
	}
}

// output collects what a process prints.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (output *output) Write(text []byte) (int, error) {
	output.mu.Lock()
	defer output.mu.Unlock()
	return output.text.Write(text)
}

func (output *output) String() string {
	output.mu.Lock()
	defer output.mu.Unlock()
	return output.text.String()
}

// process is a running program.
type process struct {
	command *exec.Cmd
	output  output
	exited  chan struct{}
}

// startProcess starts a program and kills it at the end of the test.
func startProcess(t testing.TB, name, program string, args ...string) *process {
	t.Helper()
	process := &process{command: exec.Command(filepath.Join(binaryDir, program), args...), exited: make(chan struct{})}
	process.command.Stdout, process.command.Stderr = &process.output, &process.output
	quicktest.Assert(t, process.command.Start(), quicktest.IsNil)
	go func() {
		defer close(process.exited)
		process.command.Wait()
	}()
	t.Cleanup(func() {
		process.command.Process.Kill()
		<-process.exited
		if t.Failed() {
			t.Logf("output of %s:\n%s", name, process.output.String())
		}
	})
	return process
}

func (process *process) signal(t testing.TB, signal os.Signal) {
	t.Helper()
	quicktest.Assert(t, process.command.Process.Signal(signal), quicktest.IsNil)
}

func (process *process) hasExited() bool {
	select {
	case <-process.exited:
		return true
	default:
		return false
	}
}

// exitCode waits until the process has exited and returns its exit code.
func (process *process) exitCode(t testing.TB) int {
	t.Helper()
	await(t, "end of the process", process.hasExited)
	return process.command.ProcessState.ExitCode()
}

// address waits until a simulated system logs its listen address.
func (process *process) address(t testing.TB) string {
	t.Helper()
	var match []string
	await(t, "listen address of a simulated system", func() bool {
		match = regexp.MustCompile(`address=(\S+)`).FindStringSubmatch(process.output.String())
		return match != nil
	})
	return match[1]
}

// upstream is the process of a model engine or a booking service.
type upstream struct {
	name, zone, pool, address string
	process                   *process
}

// node is a router with its addresses and settings file; its process changes on a restart.
type node struct {
	name, zone, caller, admin, config string
	*process
}

// fleet is a set of processes on loopback.
type fleet struct {
	t           testing.TB
	client      *http.Client
	platform    *process
	logClient   *plog.Client
	platformURL string
	upstreams   []*upstream
	nodes       []*node
}

const (
	modelPool   = "Quotes"
	servicePool = "Bookings"
	// addressTimeToLive is short, because a drain waits at least as long.
	addressTimeToLive = 2 * time.Second
	tokenTime         = 5 * time.Millisecond
)

// newFleet starts a platform, three engines, two booking services and three routers in three zones, and publishes settings.
func newFleet(t testing.TB) *fleet {
	t.Helper()
	return newFleetOfSize(t, 3, 3, 2)
}

// newFleetOfSize starts a fleet with the given numbers of routers, engines and booking services.
func newFleetOfSize(t testing.TB, routers, engines, bookings int) *fleet {
	t.Helper()
	fleet := &fleet{t: t, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	t.Cleanup(fleet.client.CloseIdleConnections)
	fleet.platform = startProcess(t, "platform", "standin", "platform", "--instance-lag", "100ms")
	fleet.platformURL = "http://" + fleet.platform.address(t)
	logClient := plog.NewHTTPClient(nil)
	t.Cleanup(logClient.CloseIdleConnections)
	fleet.logClient = plog.NewClient(plog.ClientConfig{HTTPClient: logClient, URL: fleet.platformURL})
	for i := range engines {
		fleet.startUpstream(fmt.Sprint("Engine", i+1), zoneName(i), modelPool, "engine", "--warm", "--max-batch", "32",
			"--token-time", tokenTime.String(), "--report-lag", "50ms")
	}
	for i := range bookings {
		fleet.startUpstream(fmt.Sprint("Booking", i+1), zoneName(i), servicePool, "booking")
	}
	for i := range routers {
		fleet.newNode(i)
	}
	for _, node := range fleet.nodes {
		fleet.startRouter(node)
	}
	for _, node := range fleet.nodes {
		fleet.awaitReady(node)
	}
	fleet.writeSettings()
	return fleet
}

func zoneName(number int) string { return string(rune('A' + number)) }

func (fleet *fleet) startUpstream(name, zone, pool string, args ...string) {
	process := startProcess(fleet.t, name, "standin", append(args, "--name", name, "--zone", zone)...)
	fleet.upstreams = append(fleet.upstreams, &upstream{name, zone, pool, "", process})
}

// newNode writes the settings file of a router. Each router has its own loopback address, so that no outgoing connection
// of another process uses one of its ports before it listens or while it restarts.
func (fleet *fleet) newNode(number int) {
	host := fmt.Sprintf("127.0.0.%d", 11+number)
	var addresses [3]string
	for i := range addresses {
		listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		quicktest.Assert(fleet.t, err, quicktest.IsNil)
		defer listener.Close()
		addresses[i] = listener.Addr().String()
	}
	node := &node{
		name: fmt.Sprint("Router", number+1), zone: zoneName(number), caller: addresses[0], admin: addresses[2],
		config: filepath.Join(fleet.t.TempDir(), "router.ini"),
	}
	text := fmt.Sprintf("[Instance]\nName = %s\nZone = %s\n[Listen]\nCaller = %s\nPeer = %s\nAdmin = %s\n[Platform]\nAddress = %s\n"+
		"[Admin]\nPprof = true\n[Times]\nAddressTimeToLive = %s\nResumeGrace = 2s\n", node.name, node.zone, addresses[0], addresses[1], addresses[2],
		strings.TrimPrefix(fleet.platformURL, "http://"), addressTimeToLive)
	quicktest.Assert(fleet.t, os.WriteFile(node.config, []byte(text), 0o600), quicktest.IsNil)
	fleet.postJSON(fleet.platformURL+stand.PlatformInstancePath,
		stand.PlatformInstance{Name: node.name, Zone: node.zone, Address: addresses[1]})
	fleet.nodes = append(fleet.nodes, node)
}

// startRouter starts or restarts a router; no state is kept between runs.
func (fleet *fleet) startRouter(node *node) {
	node.process = startProcess(fleet.t, node.name, "clementinewind", "router", "--config", node.config)
}

// awaitReady waits until the readiness check of a router succeeds.
func (fleet *fleet) awaitReady(node *node) {
	fleet.t.Helper()
	await(fleet.t, node.name+" is ready", func() bool {
		if node.hasExited() {
			fleet.t.Fatalf("%s ended", node.name)
		}
		response, err := fleet.client.Get("http://" + node.admin + "/readyz")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		io.Copy(io.Discard, response.Body)
		return response.StatusCode == http.StatusOK
	})
}

// writeSettings publishes the settings tree through operator commands.
func (fleet *fleet) writeSettings() {
	set := func(section string, args ...string) {
		fleet.t.Helper()
		fleet.mustRunCommand(0, 0, append([]string{"settings", "set", section}, args...)...)
	}
	for i := range fleet.nodes {
		set("Zones."+zoneName(i), "InService=true")
	}
	set("Pools."+modelPool, "Kind=Model", "ColdLimit=8", "MaxLimit=32")
	set("Pools."+servicePool, "Kind=Service", "ColdLimit=8", "MaxLimit=64")
	for _, upstream := range fleet.upstreams {
		upstream.address = upstream.process.address(fleet.t)
		set("Pools."+upstream.pool+"."+upstream.name, "Address="+upstream.address, "Zone="+upstream.zone)
	}
	set("Organisations.Patel", "Weight=1")
	set("Organisations.Fjordvolt", "Weight=2", "--wait", conditionTimeout.String())
}

// runCommand runs an operator command against a router and returns its output and exit code.
func (fleet *fleet) runCommand(number int, args ...string) (string, int) {
	command := exec.Command(filepath.Join(binaryDir, "clementinewind"), args...)
	command.Env = append(os.Environ(), "CLEMENTINEWIND_ADDRESS="+fleet.nodes[number].caller, "CLEMENTINEWIND_OPERATOR=sato")
	printed, err := command.CombinedOutput()
	var failure *exec.ExitError
	if err != nil && !errors.As(err, &failure) {
		fleet.t.Fatal(err)
	}
	return string(printed), command.ProcessState.ExitCode()
}

// mustRunCommand runs an operator command, fails the test on another exit code than want, and returns the output.
func (fleet *fleet) mustRunCommand(number, want int, args ...string) string {
	fleet.t.Helper()
	printed, code := fleet.runCommand(number, args...)
	quicktest.Assert(fleet.t, code, quicktest.Equals, want, quicktest.Commentf("%v: %s", args, printed))
	return printed
}

func (fleet *fleet) postJSON(url string, body any) {
	fleet.t.Helper()
	encoded, err := json.Marshal(body)
	quicktest.Assert(fleet.t, err, quicktest.IsNil)
	response, err := fleet.client.Post(url, "application/json", bytes.NewReader(encoded))
	quicktest.Assert(fleet.t, err, quicktest.IsNil)
	response.Body.Close()
	quicktest.Assert(fleet.t, response.StatusCode < 300, quicktest.IsTrue, quicktest.Commentf("%s: %s", url, response.Status))
}

// getJSON fetches and decodes a document from a simulated upstream.
func getJSON[T any](fleet *fleet, upstream *upstream, path string) T {
	fleet.t.Helper()
	response, err := fleet.client.Get("http://" + upstream.address + path)
	quicktest.Assert(fleet.t, err, quicktest.IsNil)
	defer response.Body.Close()
	var value T
	quicktest.Assert(fleet.t, json.NewDecoder(response.Body).Decode(&value), quicktest.IsNil)
	return value
}

// receivedPosts returns the POST requests that an upstream received; resumed answers use GET.
func (fleet *fleet) receivedPosts(upstream *upstream) []stand.Received {
	fleet.t.Helper()
	var posted []stand.Received
	for _, received := range getJSON[[]stand.Received](fleet, upstream, stand.ReceivedPath) {
		if received.Method == http.MethodPost {
			posted = append(posted, received)
		}
	}
	return posted
}

// status returns the status of a router, or nil if it does not answer.
func (fleet *fleet) status(node *node) *operatorv1.StatusResponse {
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout/10)
	defer cancel()
	client := operatorv1connect.NewOperatorServiceClient(fleet.client, "http://"+node.caller)
	response, err := client.Status(ctx, connect.NewRequest(&operatorv1.StatusRequest{}))
	if err != nil {
		return nil
	}
	return response.Msg
}

// ownedEngines returns the engines that owner owns according to the router asked.
func (fleet *fleet) ownedEngines(owner, asked *node) []*upstream {
	names := map[string]bool{}
	for _, status := range fleet.status(asked).GetUpstreams() {
		names[status.Upstream] = status.Owner == owner.name
	}
	var owned []*upstream
	for _, upstream := range fleet.upstreams {
		if upstream.pool == modelPool && names[upstream.pool+"."+upstream.name] {
			owned = append(owned, upstream)
		}
	}
	return owned
}

// sessionExpiryOffset returns the offset of the last record that expired a session of an instance, or -1.
func (fleet *fleet) sessionExpiryOffset(instance string) clementinewind.Offset {
	sessions := map[int64]bool{}
	expired := clementinewind.Offset(-1)
	for next := clementinewind.Offset(0); ; {
		batch, err := fleet.logClient.Read(context.Background(), clementinewind.LogQuery{Stream: clementinewind.ControlStream, From: next})
		quicktest.Assert(fleet.t, err, quicktest.IsNil)
		for i, entry := range batch.Records {
			var record recordv1.ControlRecord
			quicktest.Assert(fleet.t, proto.Unmarshal(entry.Payload, &record), quicktest.IsNil)
			offset := next + clementinewind.Offset(i)
			if opened := record.GetSessionOpened(); opened.GetInstance() == instance {
				sessions[int64(offset)] = true
			}
			if ended := record.GetSessionExpired(); ended != nil && sessions[ended.Session] {
				expired = offset
			}
		}
		if len(batch.Records) == 0 {
			return expired
		}
		next = batch.Next()
	}
}

// pause sends SIGSTOP to a process and waits until the kernel reports it as stopped.
func (process *process) pause(t testing.TB) {
	t.Helper()
	process.signal(t, syscall.SIGSTOP)
	await(t, "process is stopped", func() bool {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process.command.Process.Pid))
		fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
		return err == nil && len(fields) > 0 && fields[0] == "T"
	})
}
