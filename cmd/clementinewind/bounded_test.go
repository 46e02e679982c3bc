package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/route/table"
	"github.com/clementinewind/clementinewind/platform"
	"github.com/clementinewind/clementinewind/platform/stand"
)

const (
	// crowdSize clients send bodies of up to crowdBodyBytes, which together are more than twice crowdMemory.
	crowdSize      = 120
	crowdBodyBytes = 2 << 20
	// crowdMemory and crowdDescriptors are the limits in the settings of the router, and the bounds of the test.
	crowdMemory      = 96 << 20
	crowdDescriptors = 800
	// crowdTimeout limits how long the clients of a crowd send. They stay open for crowdHold before an ordinary client comes.
	crowdTimeout = 10 * time.Second
	crowdHold    = 2 * time.Second
	// largeAnswerBytes is more than the router buffers of an answer, partialAnswerBytes less.
	largeAnswerBytes   = 8 << 20
	partialAnswerBytes = 240 << 10
)

// crowdClient sends one request on a connection that stays open.
type crowdClient struct {
	path, framing string
	// send writes the body, nil none.
	send func(conn io.Writer) error
}

// repeat writes size bytes in pieces, each with a prefix and a suffix.
func repeat(conn io.Writer, size, piece int, prefix, suffix string) error {
	block := []byte(prefix + strings.Repeat("x", piece) + suffix)
	block = bytes.Repeat(block, max(1, (32<<10)/len(block)))
	for sent := 0; sent < size; sent += len(block) {
		if _, err := conn.Write(block); err != nil {
			return err
		}
	}
	return nil
}

func length(bytes int) string { return fmt.Sprintf("Content-Length: %d\r\n", bytes) }

const (
	chunked = "Transfer-Encoding: chunked\r\n"
	// openHead is a head that does not end.
	openHead = "X-Open: "
)

// crowds are the clients and upstreams that a router must bear, by kind.
var crowds = map[string][]crowdClient{
	"whole bodies": {{"/sound", length(crowdBodyBytes), func(conn io.Writer) error {
		_, err := conn.Write(make([]byte, crowdBodyBytes-1))
		return err
	}}},
	"bodies piece by piece": {{"/sound", length(crowdBodyBytes), func(conn io.Writer) error {
		for range 16 {
			if err := repeat(conn, crowdBodyBytes/16-(32<<10), 32<<10, "", ""); err != nil {
				return err
			}
			time.Sleep(20 * time.Millisecond)
		}
		return nil
	}}},
	"large chunks": {{"/sound", chunked, func(conn io.Writer) error {
		return repeat(conn, crowdBodyBytes-(64<<10), 64<<10, "10000\r\n", "\r\n")
	}}},
	"small chunks": {{"/sound", chunked, func(conn io.Writer) error {
		return repeat(conn, crowdBodyBytes, 16, "10\r\n", "\r\n")
	}}},
	"bodies far over the limit": {
		{"/sound", length(64 * crowdBodyBytes), func(conn io.Writer) error { return repeat(conn, 4*crowdBodyBytes, 32<<10, "", "") }},
		{"/sound", chunked, func(conn io.Writer) error { return repeat(conn, 4*crowdBodyBytes, 32<<10, "8000\r\n", "\r\n") }},
	},
	"open heads":                {{"/sound", openHead, func(conn io.Writer) error { return repeat(conn, 60<<10, 1<<10, "", "") }}},
	"answers that nobody reads": {{"/large", "", nil}},
	"streams that nobody reads": {{"/stream", "", nil}},
	"upstreams that do not read": {{"/unread", length(crowdBodyBytes), func(conn io.Writer) error {
		return repeat(conn, crowdBodyBytes, 32<<10, "", "")
	}}},
	"upstreams that stop in the answer": {{"/partial", "", nil}},
}

// crowdFixture is a store, upstreams, and a router that runs as a separate process with low limits.
type crowdFixture struct {
	*pauseFixture
	router *process
}

// serveUpstream answers at an upstream of the service that the path of a request names.
func serveUpstream(writer http.ResponseWriter, request *http.Request) {
	stand.EchoRequestID(writer, request)
	stand.Seal(writer)
	switch strings.TrimSuffix(request.URL.Path, "/") {
	case "/large":
		writer.Header().Set("Content-Length", strconv.Itoa(largeAnswerBytes))
		_ = repeat(writer, largeAnswerBytes, 32<<10, "", "")
	case "/stream":
		writer.Header().Set("Content-Type", "text/event-stream")
		for event := 1; ; event++ {
			if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", event, strings.Repeat("x", 4<<10)); err != nil {
				return
			}
		}
	case "/partial":
		writer.Header().Set("Content-Length", strconv.Itoa(partialAnswerBytes+1))
		_ = repeat(writer, partialAnswerBytes, 8<<10, "", "")
		_ = http.NewResponseController(writer).Flush()
		<-request.Context().Done()
	default:
		if _, err := io.Copy(io.Discard, request.Body); err == nil {
			fmt.Fprint(writer, "answer")
		}
	}
}

func startCrowdFixture(t *testing.T, descriptors int) *crowdFixture {
	t.Helper()
	fixture := &crowdFixture{pauseFixture: &pauseFixture{store: stand.NewStore()}}
	configuration := table.Configuration{Version: 1, Limits: table.Limits{BodyBytes: crowdBodyBytes}}
	for _, service := range []string{"sound", "large", "stream", "unread", "partial"} {
		kind := table.RouteOnce
		if service == "stream" {
			kind = table.RouteStream
		}
		configuration.Routes = append(configuration.Routes, table.Route{
			Name: service, Host: "h", PathPrefix: "/" + service + "/", Kind: kind, Timeout: time.Minute, MaxAttempts: 1,
			TrafficSplit: []table.ServiceWeight{{Service: table.Service(service), Weight: 1}},
		})
		configuration.Services = append(configuration.Services, table.ServiceSettings{Name: table.Service(service), MaxConnections: 500})
		server := httptest.NewServer(http.HandlerFunc(serveUpstream))
		t.Cleanup(server.Close)
		t.Cleanup(server.CloseClientConnections)
		address := server.Listener.Addr().String()
		if service == "unread" {
			address = listenUnread(t)
		}
		value, err := platform.EncodeUpstream(table.Entry{
			Upstream: clementinewind.Upstream(service), Service: table.Service(service), Address: address, Zone: "a", Slots: 500, Sequence: 1, Incarnation: 1,
		})
		quicktest.Assert(t, err, quicktest.IsNil)
		fixture.store.Put(platform.TopicUpstreams, service, value)
	}
	value, err := platform.EncodeConfiguration(configuration)
	quicktest.Assert(t, err, quicktest.IsNil)
	fixture.store.Put(platform.TopicOperator, platform.ConfigurationKey, value)
	storeServer := httptest.NewServer(fixture.store)
	t.Cleanup(storeServer.Close)
	address := fmt.Sprintf("127.%d.%d.91", 1+os.Getpid()/250%250, 1+os.Getpid()%250)
	fixture.address = net.JoinHostPort(address, "21001")
	file := filepath.Join(t.TempDir(), "router.ini")
	settings := fmt.Appendf(nil, entrySettings+"[Sizes]\nMemory = %[3]dMiB\nDescriptors = %[4]d\n",
		address, storeServer.Listener.Addr(), crowdMemory>>20, descriptors)
	quicktest.Assert(t, os.WriteFile(file, settings, 0o600), quicktest.IsNil)
	fixture.router = startProcess(t, "router", "clementinewind", "entry", "--config", file)
	fixture.awaitOrdinary(t)
	return fixture
}

// listenUnread returns the address of an upstream that reads the head of each request and no more.
func listenUnread(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended); listener.Close() })
	go stand.ServeConns(listener, func(conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			<-ended
		}
	})
	return listener.Addr().String()
}

// awaitOrdinary waits until one ordinary request is served.
func (fixture *crowdFixture) awaitOrdinary(t *testing.T) {
	t.Helper()
	await(t, "an ordinary request is served", func() bool {
		quicktest.Assert(t, fixture.router.hasExited(), quicktest.IsFalse)
		return fixture.sendTo("/sound/", "ordinary") == http.StatusOK
	})
}

// sendTo sends one request on a new connection and returns the status, or 0 without a response.
func (fixture *crowdFixture) sendTo(path, body string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+fixture.address+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host = "h"
	stand.SetCallerHeaders(request.Header, "ordinary", "", 5*time.Second)
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// gather opens the connections of a crowd, returns when all have sent or failed, and leaves them open until the test ends.
func (fixture *crowdFixture) gather(t *testing.T, count int, clients ...crowdClient) {
	t.Helper()
	var sending sync.WaitGroup
	for number := range count {
		client := clients[number%len(clients)]
		conn, err := net.Dial("tcp4", fixture.address)
		if err != nil {
			continue
		}
		t.Cleanup(func() { conn.Close() })
		quicktest.Assert(t, conn.SetWriteDeadline(time.Now().Add(crowdTimeout)), quicktest.IsNil)
		sending.Go(func() {
			head := fmt.Sprintf("POST %s/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: crowd-%d\r\n%s", client.path, number, client.framing)
			if client.framing != openHead {
				head += "\r\n"
			}
			if _, err := io.WriteString(conn, head); err != nil || client.send == nil {
				return
			}
			// The router may close the connection, or not read it.
			_ = client.send(conn)
		})
	}
	sending.Wait()
	time.Sleep(crowdHold)
}

// procFile returns a file of the router's process.
func (fixture *crowdFixture) procFile(name string) string {
	return fmt.Sprintf("/proc/%d/%s", fixture.router.command.Process.Pid, name)
}

// unread returns the bytes that the kernel has received for the router and that the router has not read, and its open descriptors.
func (fixture *crowdFixture) unread(t *testing.T) (unread int64, descriptors int) {
	entries, err := os.ReadDir(fixture.procFile("fd"))
	quicktest.Assert(t, err, quicktest.IsNil)
	sockets := map[string]bool{}
	for _, entry := range entries {
		target, err := os.Readlink(fixture.procFile("fd/" + entry.Name()))
		if inode, ok := strings.CutPrefix(target, "socket:["); err == nil && ok {
			sockets[strings.TrimSuffix(inode, "]")] = true
		}
	}
	text, err := os.ReadFile(fixture.procFile("net/tcp"))
	quicktest.Assert(t, err, quicktest.IsNil)
	for line := range strings.Lines(string(text)) {
		// The fifth field has the lengths of the queues, the tenth the inode.
		fields := strings.Fields(line)
		if len(fields) < 10 || !sockets[fields[9]] {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		bytes, err := strconv.ParseInt(queue, 16, 64)
		quicktest.Assert(t, err, quicktest.IsNil)
		unread += bytes
	}
	return unread, len(entries)
}

// peakResident returns the largest resident size of the process so far.
func (fixture *crowdFixture) peakResident(t *testing.T) int64 {
	t.Helper()
	text, err := os.ReadFile(fixture.procFile("status"))
	quicktest.Assert(t, err, quicktest.IsNil)
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	fields := strings.Fields(rest)
	quicktest.Assert(t, len(fields) > 0, quicktest.IsTrue)
	kilobytes, err := strconv.ParseInt(fields[0], 10, 64)
	quicktest.Assert(t, err, quicktest.IsNil)
	return kilobytes << 10
}

// watch records the largest number of unread bytes and of descriptors until the returned function is called.
func (fixture *crowdFixture) watch(t *testing.T) (stop func() (unread int64, descriptors int)) {
	done := make(chan struct{})
	var watching sync.WaitGroup
	var mostUnread int64
	var mostDescriptors int
	watching.Go(func() {
		for watched := true; watched; {
			unread, descriptors := fixture.unread(t)
			mostUnread, mostDescriptors = max(mostUnread, unread), max(mostDescriptors, descriptors)
			select {
			case <-done:
				watched = false
			case <-time.After(conditionPollInterval):
			}
		}
	})
	return func() (int64, int) {
		close(done)
		watching.Wait()
		return mostUnread, mostDescriptors
	}
}

// bear lets a crowd press on the router, and checks that it lives, stays within its limits and serves an ordinary request beside the crowd.
func (fixture *crowdFixture) bear(t *testing.T, descriptors int, press func()) {
	t.Helper()
	stop := fixture.watch(t)
	press()
	fixture.awaitOrdinary(t)
	unread, open := stop()
	peak := fixture.peakResident(t)
	t.Logf("peak %d MB, unread %d MB at most, of %d MB; %d of %d descriptors", peak>>20, unread>>20, crowdMemory>>20, open, descriptors)
	quicktest.Check(t, peak+unread < crowdMemory, quicktest.IsTrue)
	quicktest.Check(t, open <= descriptors, quicktest.IsTrue)
	fixture.router.signal(t, syscall.SIGTERM)
	quicktest.Check(t, fixture.router.exitCode(t), quicktest.Equals, 0)
}

// Guards against clients and upstreams that send without end or stop just short of the end on many connections, or don't read what they get:
// each keeps to its own limit, and together they end the process for lack of memory.
func TestCrowds(t *testing.T) {
	var all []crowdClient
	for name, clients := range crowds {
		all = append(all, clients...)
		t.Run(name, func(t *testing.T) {
			fixture := startCrowdFixture(t, crowdDescriptors)
			fixture.bear(t, crowdDescriptors, func() { fixture.gather(t, crowdSize, clients...) })
		})
	}
	t.Run("mixed, and the process is stopped meanwhile", func(t *testing.T) {
		fixture := startCrowdFixture(t, crowdDescriptors)
		fixture.bear(t, crowdDescriptors, func() {
			var crowd sync.WaitGroup
			crowd.Go(func() { fixture.gather(t, crowdSize, all...) })
			fixture.router.pause(t)
			time.Sleep(2 * time.Second)
			fixture.router.signal(t, syscall.SIGCONT)
			crowd.Wait()
		})
	})
	t.Run("more connections than descriptors", func(t *testing.T) {
		const few = 300
		fixture := startCrowdFixture(t, few)
		fixture.bear(t, few, func() { fixture.gather(t, 2*few, all...) })
	})
}

// Guards against limits that refuse a single request within the limits of the platform.
func TestLargestBodyIsServed(t *testing.T) {
	fixture := startCrowdFixture(t, crowdDescriptors)
	quicktest.Check(t, fixture.sendTo("/sound/", strings.Repeat("x", crowdBodyBytes)), quicktest.Equals, http.StatusOK)
}
