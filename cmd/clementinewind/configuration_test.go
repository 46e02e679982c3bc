package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/route/table"
	"github.com/clementinewind/clementinewind/platform"
	"github.com/clementinewind/clementinewind/platform/stand"
)

const (
	// applyTime is the platform's limit for a confirmed configuration, contactTime the time without a fault before it binds.
	applyTime   = 2 * time.Second
	contactTime = 3 * time.Second
	// turnedAwayTime is the limit at a router that the store has just turned away.
	turnedAwayTime = applyTime + 5*time.Second
	// giveUpTime is how long a test waits for a configuration that should be in force after applyTime.
	giveUpTime = 10 * time.Second
	// maxCallsAfterReturn is far above what three routers send in contactTime: each long poll, read of upstreams and record of its own.
	maxCallsAfterReturn = 150
)

// publish writes a version of the configuration that adds a host named after it.
func (fleet *versionedFleet) publish(version int) {
	fleet.t.Helper()
	shares := []table.ServiceWeight{{Service: "s", Weight: 1}}
	value, err := platform.EncodeConfiguration(table.Configuration{
		Version: table.Version(version),
		Routes: []table.Route{
			{Name: "stream", Host: "h", PathPrefix: "/", Kind: table.RouteStream, Resumable: true, Timeout: streamTimeout, MaxAttempts: 2, TrafficSplit: shares},
			{Name: "added", Host: hostOfVersion(version), PathPrefix: "/", Kind: table.RouteIdempotent, Timeout: streamTimeout, MaxAttempts: 2, TrafficSplit: shares},
		},
		Services: []table.ServiceSettings{{Name: "s", MaxConnections: 500}},
	})
	quicktest.Assert(fleet.t, err, quicktest.IsNil)
	fleet.store.Put(platform.TopicOperator, platform.ConfigurationKey, value)
}

func hostOfVersion(version int) string { return fmt.Sprintf("v%d", version) }

// serves reports whether a router knows the host that a version added.
func (fleet *versionedFleet) serves(number, version int) bool {
	request, err := http.NewRequest(http.MethodPost, "http://"+fleet.address(number), nil)
	quicktest.Assert(fleet.t, err, quicktest.IsNil)
	request.Host = hostOfVersion(version)
	stand.SetCallerHeaders(request.Header, fmt.Sprintf("version-%d-%d-%d", number, version, time.Now().UnixNano()), "", time.Second)
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// lateRouters returns the routers that do not serve a version within a time.
func (fleet *versionedFleet) lateRouters(version int, within time.Duration) []int {
	late := []int{}
	deadline := time.Now().Add(within)
	for number := range fleet.routers {
		for !fleet.serves(number, version) {
			if time.Now().After(deadline) {
				late = append(late, number)
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return late
}

// Guards against a confirmed configuration that is not in force because the store has come back from an older copy and has written it at an offset
// that the routers know already, against one that is replaced by the older one of the copy, and against reads without a pause.
func TestConfigurationAfterStoreCameBackFromCopy(t *testing.T) {
	operatorTopics := []string{platform.TopicOperator, platform.TopicUpstreams}
	tests := map[string]struct {
		returns int
		// rewritten are the topics whose lost records are written again.
		rewritten []string
		// paused is set if a router stands still during the returns.
		paused bool
	}{
		"lost records are written again":     {returns: 1, rewritten: operatorTopics},
		"lost records are not written again": {returns: 1, rewritten: []string{platform.TopicUpstreams}},
		"it comes back twice":                {returns: 2, rewritten: operatorTopics},
		"a router stands still meanwhile":    {returns: 1, rewritten: operatorTopics, paused: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			fleet := startVersionedFleet(t, 2, "old")
			fleet.publish(2)
			quicktest.Assert(t, fleet.lateRouters(2, applyTime), quicktest.HasLen, 0)
			copied := time.Now()
			time.Sleep(100 * time.Millisecond)
			for version := 3; version <= 6; version++ {
				fleet.publish(version)
			}
			quicktest.Assert(t, fleet.lateRouters(6, applyTime), quicktest.HasLen, 0)
			if test.paused {
				fleet.routers[1].signal(t, syscall.SIGSTOP)
			}
			callsBefore := fleet.store.Calls()
			for range test.returns {
				fleet.store.ReturnFromCopy(time.Since(copied), test.rewritten...)
				time.Sleep(300 * time.Millisecond)
			}
			if test.paused {
				fleet.routers[1].signal(t, os.Signal(syscall.SIGCONT))
			}
			time.Sleep(contactTime)
			calls := fleet.store.Calls() - callsBefore
			t.Logf("%d calls to the store after its return", calls)
			quicktest.Check(t, calls < maxCallsAfterReturn, quicktest.IsTrue)
			quicktest.Check(t, fleet.lateRouters(6, 0), quicktest.HasLen, 0, quicktest.Commentf("a version in force was taken back"))
			fleet.publish(7)
			quicktest.Check(t, fleet.lateRouters(7, applyTime), quicktest.HasLen, 0)
		})
	}
}

// Guards against routers that are not found any more because the store came back from a copy from before they registered: a router that is added
// then would serve as a fleet of its own.
func TestRegistrationsAfterStoreCameBackFromCopy(t *testing.T) {
	fleet := startVersionedFleet(t, 2, "old")
	fleet.store.ReturnFromCopy(time.Hour, platform.TopicOperator, platform.TopicUpstreams)
	for number := range fleet.routers {
		await(t, "a router has registered again", func() bool { return fleet.store.Get(platform.TopicInstances, fmt.Sprint("router-", number)) != nil })
	}
	fleet.addRouter("router-new")
	await(t, "the added router finds the others", func() bool { return len(fleet.locate(versionedRouters)) == versionedRouters+1 })
}

// locate returns the addresses that a router gives to callers of its zone.
func (fleet *versionedFleet) locate(number int) []string {
	host, _, err := net.SplitHostPort(fleet.address(number))
	quicktest.Assert(fleet.t, err, quicktest.IsNil)
	response, err := http.Get("http://" + net.JoinHostPort(host, "21003") + "/api/resolve?zone=a")
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var answer struct{ Addrs []string }
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return nil
	}
	return answer.Addrs
}

// Guards against streams that are joined from two versions because the store came back from a copy that knows only one of them, and against
// refusing to continue them once the lost records are written again.
func TestTakeUpAfterStoreCameBackFromCopy(t *testing.T) {
	for name, killed := range map[string]bool{"routers run on": false, "all routers are killed": true} {
		t.Run(name, func(t *testing.T) {
			fleet := startVersionedFleet(t, 2, "old")
			copied := time.Now()
			time.Sleep(100 * time.Millisecond)
			fleet.addUpstreams("new", 2)
			for number := range fleet.routers {
				fleet.awaitVersion(number, "new")
			}
			streams, wait := fleet.begin("/broken/")
			wait()
			time.Sleep(storeTime)
			if killed {
				fleet.killRouters()
			}
			fleet.store.ReturnFromCopy(time.Since(copied), platform.TopicOperator, platform.TopicUpstreams)
			if killed {
				fleet.startRouters()
			}
			begun := map[string]int{}
			for _, stream := range streams {
				quicktest.Assert(t, stream.lastEvent > brokenAfter, quicktest.IsTrue)
				stream.lastEvent, stream.versions, stream.complete = brokenAfter, stream.versions[:brokenAfter], false
				begun[stream.versions[0]]++
			}
			quicktest.Assert(t, begun["old"] > 0 && begun["new"] > 0, quicktest.IsTrue)
			fleet.takeUp(streams)
			t.Logf("begun %v, joined %d, complete %d", begun, countJoined(streams), countComplete(streams))
			time.Sleep(contactTime)
			fleet.takeUp(streams)
			t.Logf("later: joined %d, complete %d", countJoined(streams), countComplete(streams))
			quicktest.Check(t, countJoined(streams), quicktest.Equals, 0)
			if !killed {
				quicktest.Check(t, countComplete(streams), quicktest.Equals, len(streams))
			}
		})
	}
}

// Guards against a router that gets no configuration while the store turns it away, although the others have it. It is the one from which the others
// of its zone have read until then.
func TestConfigurationAtRouterThatStoreTurnsAway(t *testing.T) {
	const reader, versions, interval = 0, 16, 700 * time.Millisecond
	reset := func(http.ResponseWriter, *http.Request) bool { panic(http.ErrAbortHandler) }
	for name, fault := range map[string]storeFault{"silent": silentStore, "busy": busyStore, "reset": reset} {
		t.Run(name, func(t *testing.T) {
			fleet := startVersionedFleet(t, 2, "old")
			time.Sleep(contactTime)
			fleet.setStoreFault(reader, fault)
			first, latest := time.Duration(0), time.Duration(0)
			for version := 2; version <= versions; version++ {
				fleet.publish(version)
				published := time.Now()
				await(t, "the router has the configuration", func() bool {
					return fleet.serves(reader, version) || time.Since(published) > giveUpTime
				})
				if took := time.Since(published); version == 2 {
					first = took
				} else {
					latest = max(latest, took)
				}
				time.Sleep(interval)
			}
			t.Logf("in force after %v, then after %v at most", first, latest)
			quicktest.Check(t, first < turnedAwayTime, quicktest.IsTrue)
			quicktest.Check(t, latest < applyTime, quicktest.IsTrue)
		})
	}
}
