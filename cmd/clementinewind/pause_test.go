package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/route/table"
	"github.com/clementinewind/clementinewind/platform"
	"github.com/clementinewind/clementinewind/platform/stand"
)

const entrySettings = `[Instance]
Name = router-0
Zone = a
[Listen]
Caller = %[1]s:21001
Ready = %[1]s:21002
Locate = %[1]s:21003
Ports = 21004-21010
[Store]
Address = %[2]s
[Times]
Grace = 2s
[Load]
MostRefused = 0
`

// pauseFixture is a store with two upstreams, and a router that runs as a separate process.
type pauseFixture struct {
	store    *stand.Store
	address  string
	process  *os.Process
	requests map[string]*atomic.Int64
}

func startPauseFixture(t *testing.T) *pauseFixture {
	t.Helper()
	fixture := &pauseFixture{store: stand.NewStore(), requests: map[string]*atomic.Int64{"leaving": {}, "staying": {}}}
	value, err := platform.EncodeConfiguration(table.Configuration{
		Version: 1,
		Routes: []table.Route{{
			Name: "r", Host: "h", PathPrefix: "/", Kind: table.RouteOnce, Timeout: 10 * time.Second, MaxAttempts: 1,
			TrafficSplit: []table.ServiceWeight{{Service: "s", Weight: 1}},
		}},
		Services: []table.ServiceSettings{{Name: "s", MaxConnections: 500}},
	})
	quicktest.Assert(t, err, quicktest.IsNil)
	fixture.store.Put(platform.TopicOperator, platform.ConfigurationKey, value)
	for name, requests := range fixture.requests {
		upstream := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			requests.Add(1)
			stand.EchoRequestID(writer, request)
			stand.Seal(writer)
			time.Sleep(5 * time.Millisecond)
			fmt.Fprint(writer, "answer")
		}))
		t.Cleanup(upstream.Close)
		value, err := platform.EncodeUpstream(table.Entry{
			Upstream: clementinewind.Upstream(name), Service: "s", Address: upstream.Listener.Addr().String(), Zone: "a", Slots: 64,
			Sequence: 1, Incarnation: 1,
		})
		quicktest.Assert(t, err, quicktest.IsNil)
		fixture.store.Put(platform.TopicUpstreams, name, value)
	}
	storeServer := httptest.NewServer(fixture.store)
	t.Cleanup(storeServer.Close)
	folder := t.TempDir()
	address := netip.AddrFrom4([4]byte{127, byte(1 + os.Getpid()/250%250), byte(1 + os.Getpid()%250), 90}).String()
	fixture.address = net.JoinHostPort(address, "21001")
	file := filepath.Join(folder, "router.ini")
	quicktest.Assert(t, os.WriteFile(file, fmt.Appendf(nil, entrySettings, address, storeServer.Listener.Addr()), 0o600), quicktest.IsNil)
	command := exec.Command(filepath.Join(binaryDir, "clementinewind"), "entry", "--config", file)
	command.Stdout, command.Stderr = t.Output(), t.Output()
	quicktest.Assert(t, command.Start(), quicktest.IsNil)
	fixture.process = command.Process
	t.Cleanup(func() {
		// Continue the process, so that it is also killed while it is stopped.
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	return fixture
}

// sendRequest sends one request on a new connection and returns the status, or 0 without a response.
func (fixture *pauseFixture) sendRequest(id string) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+fixture.address+"/x", bytes.NewReader([]byte("body")))
	if err != nil {
		return 0
	}
	request.Host = "h"
	stand.SetCallerHeaders(request.Header, id, "", 5*time.Second)
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// Guards against a process that is stopped for some seconds and then continues with outdated state: an upstream that left
// meanwhile must not get the requests that had been accepted, queued or assigned to it when the process was stopped.
func TestPausedProcessSendsNothingToUpstreamThatLeft(t *testing.T) {
	fixture := startPauseFixture(t)
	for end := time.Now().Add(conditionTimeout); fixture.sendRequest("first") != http.StatusOK; time.Sleep(conditionPollInterval) {
		if time.Now().After(end) {
			t.Fatal("the router is not ready")
		}
	}
	var stop atomic.Bool
	var callers sync.WaitGroup
	for number := range 20 {
		callers.Go(func() {
			for count := 0; !stop.Load(); count++ {
				fixture.sendRequest(fmt.Sprintf("%d-%d", number, count))
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	quicktest.Check(t, fixture.requests["leaving"].Load() > 0, quicktest.IsTrue)
	quicktest.Assert(t, fixture.process.Signal(syscall.SIGSTOP), quicktest.IsNil)
	time.Sleep(200 * time.Millisecond)
	fixture.store.Put(platform.TopicUpstreams, "leaving", nil)
	// An upstream must get no more requests from 2 s after it left.
	time.Sleep(2300 * time.Millisecond)
	before := fixture.requests["leaving"].Load()
	staying := fixture.requests["staying"].Load()
	quicktest.Assert(t, fixture.process.Signal(syscall.SIGCONT), quicktest.IsNil)
	for end := time.Now().Add(conditionTimeout); fixture.requests["staying"].Load() < staying+100; time.Sleep(conditionPollInterval) {
		if time.Now().After(end) {
			t.Fatal("no requests are served after the pause")
		}
	}
	stop.Store(true)
	callers.Wait()
	quicktest.Check(t, fixture.requests["leaving"].Load(), quicktest.Equals, before)
}
