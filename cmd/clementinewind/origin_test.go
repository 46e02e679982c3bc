package main

import (
	"bufio"
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
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/route/table"
	"github.com/clementinewind/clementinewind/platform"
	"github.com/clementinewind/clementinewind/platform/stand"
)

const (
	versionedRouters = 3
	versionedStreams = 48
	// A stream has versionedEvents events, one each versionedInterval.
	versionedEvents   = 400
	versionedInterval = 50 * time.Millisecond
	// begunEvents is the number of events after which a stream has begun, storeTime the time in which routers store streams, with a margin.
	begunEvents = 3
	storeTime   = time.Second
	// streamTimeout is above the duration of a stream.
	streamTimeout = 30 * time.Second
	// brokenAfter is the number of events after which an upstream breaks off a stream with the path /broken/.
	brokenAfter = 3
)

// versionedFleet is a store, upstreams of one service that run several software versions, and routers that run as processes.
type versionedFleet struct {
	t        *testing.T
	store    *stand.Store
	settings []string
	// storeFaults has, by router, what its calls to the store meet; nil is nothing.
	storeFaults []atomic.Pointer[storeFault]
	routers     []*process
	names       map[string][]string
}

// startVersionedFleet starts a fleet with a number of upstreams of each version.
func startVersionedFleet(t *testing.T, upstreams int, versions ...string) *versionedFleet {
	t.Helper()
	fleet := &versionedFleet{t: t, store: stand.NewStore(), names: map[string][]string{}, storeFaults: make([]atomic.Pointer[storeFault], versionedRouters+1)}
	value, err := platform.EncodeConfiguration(table.Configuration{
		Version: 1,
		Routes: []table.Route{{
			Name: "stream", Host: "h", PathPrefix: "/", Kind: table.RouteStream, Resumable: true, Timeout: streamTimeout, MaxAttempts: 2,
			LatencyGoal: time.Second, TrafficSplit: []table.ServiceWeight{{Service: "s", Weight: 1}},
		}},
		Services: []table.ServiceSettings{{Name: "s", MaxConnections: 500}},
	})
	quicktest.Assert(t, err, quicktest.IsNil)
	fleet.store.Put(platform.TopicOperator, platform.ConfigurationKey, value)
	for _, version := range versions {
		fleet.addUpstreams(version, upstreams)
	}
	for number := range versionedRouters {
		fleet.writeSettings(fmt.Sprint("router-", number))
	}
	fleet.startRouters(versions...)
	return fleet
}

// writeSettings writes the settings of one more router, which is then the last one of fleet.settings.
func (fleet *versionedFleet) writeSettings(name string) {
	fleet.t.Helper()
	host, _, err := net.SplitHostPort(fleet.addressOf(len(fleet.settings)))
	quicktest.Assert(fleet.t, err, quicktest.IsNil)
	text := strings.ReplaceAll(fmt.Sprintf(entrySettings, host, fleet.storeFor(len(fleet.settings))), "router-0", name)
	text += "[Retry]\nExtra = 1000\n"
	file := filepath.Join(fleet.t.TempDir(), "router.ini")
	quicktest.Assert(fleet.t, os.WriteFile(file, []byte(text), 0o600), quicktest.IsNil)
	fleet.settings = append(fleet.settings, file)
}

// storeFault gets a call to the store first, and returns true if the store must not get it.
type storeFault func(writer http.ResponseWriter, request *http.Request) bool

// storeFor returns an address of the store that only one router uses.
func (fleet *versionedFleet) storeFor(number int) string {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if fault := fleet.storeFaults[number].Load(); fault == nil || !(*fault)(writer, request) {
			fleet.store.ServeHTTP(writer, request)
		}
	}))
	fleet.t.Cleanup(server.Close)
	fleet.t.Cleanup(server.CloseClientConnections)
	return server.Listener.Addr().String()
}

// setStoreFault sets what the calls of a router to the store meet.
func (fleet *versionedFleet) setStoreFault(number int, fault storeFault) {
	fleet.storeFaults[number].Store(&fault)
}

// endStoreFault ends what setStoreFault began.
func (fleet *versionedFleet) endStoreFault(number int) { fleet.storeFaults[number].Store(nil) }

// addRouter starts one more router.
func (fleet *versionedFleet) addRouter(name string) {
	fleet.t.Helper()
	fleet.writeSettings(name)
	fleet.routers = append(fleet.routers, startProcess(fleet.t, name, "clementinewind", "entry", "--config", fleet.settings[len(fleet.settings)-1]))
}

// address returns the address of a router for callers. Higher numbers than there are routers begin again.
func (fleet *versionedFleet) address(number int) string {
	return fleet.addressOf(number % len(fleet.settings))
}

func (fleet *versionedFleet) addressOf(number int) string {
	return net.JoinHostPort(fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()/250%250, 1+os.Getpid()%250, 100+number), "21001")
}

// addUpstreams adds upstreams that run a version.
func (fleet *versionedFleet) addUpstreams(version string, count int) {
	fleet.t.Helper()
	for range count {
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			serveVersioned(writer, request, version)
		}))
		fleet.t.Cleanup(server.Close)
		fleet.t.Cleanup(server.CloseClientConnections)
		name := fmt.Sprintf("%s-%d", version, len(fleet.names[version]))
		fleet.names[version] = append(fleet.names[version], name)
		value, err := platform.EncodeUpstream(table.Entry{
			Upstream: clementinewind.Upstream(name), Service: "s", Address: server.Listener.Addr().String(), Zone: "a", Slots: 100,
			Version: version, Sequence: 1, Incarnation: 1,
		})
		quicktest.Assert(fleet.t, err, quicktest.IsNil)
		fleet.store.Put(platform.TopicUpstreams, name, value)
	}
}

// removeUpstreams removes the entries of all upstreams that run a version.
func (fleet *versionedFleet) removeUpstreams(version string) {
	for _, name := range fleet.names[version] {
		fleet.store.Put(platform.TopicUpstreams, name, nil)
	}
}

// serveVersioned writes the events after the last one that the caller has. Their data name the version.
func serveVersioned(writer http.ResponseWriter, request *http.Request, version string) {
	stand.EchoRequestID(writer, request)
	stand.Seal(writer)
	writer.Header().Set("Content-Type", "text/event-stream")
	last := 0
	if text := stand.LastEventID(request); text != "" {
		last, _ = strconv.Atoi(text)
	}
	if strings.HasPrefix(request.URL.Path, "/paused/") {
		time.Sleep(2 * versionedInterval)
	}
	for event := last + 1; event <= versionedEvents; event++ {
		if strings.HasPrefix(request.URL.Path, "/broken/") && last == 0 && event > brokenAfter {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", event, version)
		if err := http.NewResponseController(writer).Flush(); err != nil {
			return
		}
		if strings.HasPrefix(request.URL.Path, "/slow/") && last == 0 {
			time.Sleep(versionedInterval)
		}
	}
}

// startRouters starts all routers and waits until each serves streams, and has served one at each of some versions.
func (fleet *versionedFleet) startRouters(versions ...string) {
	fleet.t.Helper()
	fleet.routers = nil
	for _, settings := range fleet.settings {
		fleet.routers = append(fleet.routers, startProcess(fleet.t, "router", "clementinewind", "entry", "--config", settings))
	}
	for number := range fleet.routers {
		await(fleet.t, "a router serves streams at all versions", func() bool {
			served := map[string]bool{}
			for _, probe := range fleet.probe(number) {
				if probe.complete {
					served[probe.versions[0]] = true
				}
			}
			return len(served) >= max(1, len(versions))
		})
	}
}

// probe sends some requests to a router at the same time, which it places at different upstreams.
func (fleet *versionedFleet) probe(number int) (probes []*versionedStream) {
	var callers sync.WaitGroup
	for range 8 {
		probe := &versionedStream{id: fmt.Sprintf("probe-%d-%d", number, time.Now().UnixNano())}
		probes = append(probes, probe)
		callers.Go(func() { probe.read(fleet.address(number), "/paused/") })
	}
	callers.Wait()
	return probes
}

// killRouters kills all routers at once.
func (fleet *versionedFleet) killRouters() {
	fleet.t.Helper()
	for _, router := range fleet.routers {
		quicktest.Assert(fleet.t, router.command.Process.Kill(), quicktest.IsNil)
	}
	for _, router := range fleet.routers {
		<-router.exited
	}
}

// versionedStream is a stream as its caller sees it, over all attempts.
type versionedStream struct {
	id string
	// status is that of the last attempt, 0 without a response, and retryAfter the time that it gives for another one.
	status     int
	retryAfter time.Duration
	lastEvent  int
	// events counts the events while they arrive.
	events   atomic.Int64
	versions []string
	complete bool
}

// read sends a request for the rest of the stream and reads until it ends or breaks off.
func (stream *versionedStream) read(address, path string) {
	stream.status, stream.retryAfter = 0, 0
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, nil)
	if err != nil {
		return
	}
	request.Host = "h"
	id := stream.id
	if stream.lastEvent > 0 {
		id += "-again"
		stand.SetResumes(request.Header, stream.id, strconv.Itoa(stream.lastEvent))
	}
	stand.SetCallerHeaders(request.Header, id, "", streamTimeout)
	client := http.Client{Timeout: streamTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	if stream.status = response.StatusCode; stream.status != http.StatusOK {
		if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
			stream.retryAfter = time.Duration(seconds * float64(time.Second))
		}
		_, _ = io.Copy(io.Discard, response.Body)
		return
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			stream.lastEvent, _ = strconv.Atoi(text)
			stream.events.Add(1)
		}
		if version, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			stream.versions = append(stream.versions, version)
		}
	}
	stream.complete = lines.Err() == nil && len(stream.versions) == versionedEvents
}

// joined reports whether the stream holds events of two versions.
func (stream *versionedStream) joined() bool {
	for _, version := range stream.versions {
		if version != stream.versions[0] {
			return true
		}
	}
	return false
}

// begin starts streams at all routers. The result waits until all of them have ended.
func (fleet *versionedFleet) begin(path string) (streams []*versionedStream, wait func()) {
	return fleet.beginAt(func(number int) int { return number }, path)
}

// beginAt is like begin, with the router of each stream.
func (fleet *versionedFleet) beginAt(routerOf func(number int) int, path string) (streams []*versionedStream, wait func()) {
	var callers sync.WaitGroup
	for number := range versionedStreams {
		stream := &versionedStream{id: fmt.Sprintf("stream-%d", number)}
		streams = append(streams, stream)
		callers.Go(func() { stream.read(fleet.address(routerOf(number)), path) })
	}
	return streams, callers.Wait
}

// takeUp takes up the streams that have begun and are not complete, each at the router after the one that began it.
func (fleet *versionedFleet) takeUp(streams []*versionedStream) { fleet.takeUpAt(streams, 1) }

// takeUpAt takes up streams a number of routers after those that began them.
func (fleet *versionedFleet) takeUpAt(streams []*versionedStream, after int) {
	fleet.takeUpEach(streams, func(number int) int { return number + after })
}

// takeUpEach takes up streams at the routers that routerOf gives.
func (fleet *versionedFleet) takeUpEach(streams []*versionedStream, routerOf func(number int) int) {
	var callers sync.WaitGroup
	for number, stream := range streams {
		if stream.lastEvent > 0 && !stream.complete {
			address := fleet.address(routerOf(number))
			callers.Go(func() {
				stream.read(address, "/slow/")
				if stream.status == http.StatusServiceUnavailable && stream.retryAfter > 0 {
					time.Sleep(stream.retryAfter)
					stream.read(address, "/slow/")
				}
			})
		}
	}
	callers.Wait()
}

// countJoined returns the number of streams that hold events of two versions.
func countJoined(streams []*versionedStream) (joined int) {
	for _, stream := range streams {
		if stream.joined() {
			joined++
		}
	}
	return joined
}

// Guards against streams that are joined from two software versions when callers take them up after all routers were killed at once, and against
// refusing to continue those that can go on.
func TestTakeUpAfterAllRoutersWereKilled(t *testing.T) {
	tests := map[string]struct {
		versions []string
		// left is the version whose upstreams leave while the routers are down, added one that comes then.
		left, added string
		// goesOn are the versions whose streams go on, at least part of them.
		goesOn []string
		part   float64
	}{
		"one version":                     {versions: []string{"old"}, goesOn: []string{"old"}, part: 1},
		"two versions":                    {versions: []string{"old", "new"}, goesOn: []string{"old", "new"}, part: 0.5},
		"the old version has left":        {versions: []string{"old", "new"}, left: "old", goesOn: []string{"new"}, part: 0.5},
		"a new version replaced the old":  {versions: []string{"old"}, left: "old", added: "new"},
		"a new version came beside it":    {versions: []string{"old"}, added: "new", goesOn: []string{"old"}, part: 0.5},
		"the new version has left itself": {versions: []string{"old", "new"}, left: "new", goesOn: []string{"old"}, part: 0.5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			fleet := startVersionedFleet(t, 2, test.versions...)
			streams, wait := fleet.begin("/slow/")
			for _, stream := range streams {
				await(t, "a stream has begun", func() bool { return stream.events.Load() >= begunEvents })
			}
			time.Sleep(storeTime)
			fleet.killRouters()
			wait()
			if test.left != "" {
				fleet.removeUpstreams(test.left)
			}
			if test.added != "" {
				fleet.addUpstreams(test.added, 2)
			}
			fleet.startRouters()
			begun := map[string]int{}
			origins := map[*versionedStream]string{}
			for _, stream := range streams {
				quicktest.Assert(t, stream.lastEvent > 0 && !stream.complete, quicktest.IsTrue)
				origins[stream] = stream.versions[0]
				begun[stream.versions[0]]++
			}
			fleet.takeUp(streams)
			completed, refused := map[string]int{}, 0
			for stream, version := range origins {
				switch {
				case stream.complete:
					completed[version]++
				case stream.status == http.StatusServiceUnavailable:
					refused++
				}
			}
			t.Logf("begun %v, complete %v, refused %d, joined %d", begun, completed, refused, countJoined(streams))
			quicktest.Check(t, countJoined(streams), quicktest.Equals, 0)
			for _, version := range test.goesOn {
				quicktest.Check(t, float64(completed[version]) >= test.part*float64(begun[version]), quicktest.IsTrue, quicktest.Commentf("%s", version))
			}
		})
	}
}

// Guards against a take-up at a router that knows nothing of the stream while others run on, and against joining versions there.
func TestTakeUpAtAnotherRouter(t *testing.T) {
	fleet := startVersionedFleet(t, 2, "old", "new")
	streams, wait := fleet.begin("/broken/")
	wait()
	for _, stream := range streams {
		// The router continues a stream that its upstream broke off; the caller pretends to have lost its connection.
		quicktest.Assert(t, stream.lastEvent > brokenAfter, quicktest.IsTrue, quicktest.Commentf("%+v", stream))
		stream.lastEvent, stream.versions, stream.complete = brokenAfter, stream.versions[:brokenAfter], false
	}
	fleet.takeUp(streams)
	for _, stream := range streams {
		quicktest.Check(t, stream.complete, quicktest.IsTrue, quicktest.Commentf("%s: status %d", stream.id, stream.status))
	}
	quicktest.Check(t, countJoined(streams), quicktest.Equals, 0)
}

// Guards against guessing the version of a stream while the store does not answer. The router that began a stream knows it.
func TestTakeUpWhileStoreIsDown(t *testing.T) {
	for router, after := range map[string]int{"that began the stream": 0, "that does not know it": 1} {
		t.Run(router, func(t *testing.T) {
			fleet := startVersionedFleet(t, 2, "old", "new")
			fleet.store.SetFault(func(writer http.ResponseWriter, _ *http.Request) bool {
				writer.WriteHeader(http.StatusServiceUnavailable)
				return true
			})
			streams, wait := fleet.begin("/broken/")
			wait()
			for _, stream := range streams {
				stream.lastEvent, stream.versions, stream.complete = brokenAfter, stream.versions[:brokenAfter], false
			}
			fleet.takeUpAt(streams, after)
			for _, stream := range streams {
				quicktest.Check(t, stream.complete, quicktest.Equals, after == 0, quicktest.Commentf("%s: status %d", stream.id, stream.status))
			}
			quicktest.Check(t, countJoined(streams), quicktest.Equals, 0)
		})
	}
}

// Guards against a router that serves no streams because it has started while the store does not answer.
func TestStreamsBeginAtRouterThatStartsWhileStoreIsDown(t *testing.T) {
	fleet := startVersionedFleet(t, 2, "old")
	time.Sleep(time.Second)
	fleet.store.SetFault(func(writer http.ResponseWriter, _ *http.Request) bool {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	quicktest.Assert(t, fleet.routers[0].command.Process.Kill(), quicktest.IsNil)
	<-fleet.routers[0].exited
	fleet.routers[0] = startProcess(t, "router", "clementinewind", "entry", "--config", fleet.settings[0])
	await(t, "the router serves a stream", func() bool { return fleet.probe(0)[0].complete })
}

// Guards against a stream that goes on inside one answer at another software version after its upstream broke it off.
func TestBrokenOffStreamStaysAtItsVersion(t *testing.T) {
	for name, test := range map[string]struct {
		upstreams int
		goesOn    bool
	}{"another upstream of its version": {2, true}, "no other upstream of its version": {1, false}} {
		t.Run(name, func(t *testing.T) {
			fleet := startVersionedFleet(t, test.upstreams, "old", "new")
			streams, wait := fleet.begin("/broken/")
			wait()
			complete := 0
			for _, stream := range streams {
				quicktest.Check(t, stream.lastEvent >= brokenAfter, quicktest.IsTrue, quicktest.Commentf("%+v", stream))
				if stream.complete {
					complete++
				}
			}
			t.Logf("complete %d of %d, joined %d", complete, len(streams), countJoined(streams))
			quicktest.Check(t, countJoined(streams), quicktest.Equals, 0)
			quicktest.Check(t, complete > 0, quicktest.Equals, test.goesOn)
		})
	}
}
