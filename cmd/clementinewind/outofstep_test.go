package main

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

const (
	// outOfStepTime is how long a router is out of step: longer than routers count as alive without a heartbeat, and than any read takes.
	outOfStepTime = 3 * time.Second
	// outOfStep is the number of the router that is.
	outOfStep = 1
)

// Guards against a router that stood still or was cut off while upstreams of a new version joined, and that continues the streams which began there
// through other routers at the version that it knows.
func TestTakeUpAtRouterOutOfStep(t *testing.T) {
	standStill := func(fleet *versionedFleet) { fleet.routers[outOfStep].signal(fleet.t, syscall.SIGSTOP) }
	goOn := func(fleet *versionedFleet) { fleet.routers[outOfStep].signal(fleet.t, syscall.SIGCONT) }
	losesStore := func(fleet *versionedFleet) { fleet.setStoreFault(outOfStep, silentStore) }
	turnedAway := func(fleet *versionedFleet) { fleet.setStoreFault(outOfStep, busyStore) }
	regainsStore := func(fleet *versionedFleet) { fleet.endStoreFault(outOfStep) }
	tests := map[string]struct {
		leave, back func(fleet *versionedFleet)
		// meanwhile is set if callers take their streams up before the router is back; alone if it has not heard the others since.
		meanwhile, alone bool
	}{
		"stood still":                                 {leave: standStill, back: goOn},
		"cut off from the store":                      {leave: losesStore, back: regainsStore},
		"turned away, taken up meanwhile":             {leave: turnedAway, back: regainsStore, meanwhile: true},
		"cut off from all others, taken up meanwhile": {leave: losesStore, back: regainsStore, meanwhile: true, alone: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			fleet := startVersionedFleet(t, 2, "old")
			test.leave(fleet)
			if test.alone {
				// What the others say arrives after they have stopped, or not at all.
				fleet.signalOthers(syscall.SIGSTOP)
				time.Sleep(outOfStepTime)
				fleet.signalOthers(syscall.SIGCONT)
			}
			fleet.addUpstreams("new", 2)
			for number := range fleet.routers {
				if number != outOfStep {
					fleet.awaitVersion(number, "new")
				}
			}
			streams, wait := fleet.beginAt(func(number int) int { return 2 * (number % 2) }, "/broken/")
			wait()
			if test.alone {
				fleet.signalOthers(syscall.SIGSTOP)
			}
			time.Sleep(outOfStepTime)
			begun := map[string]int{}
			for _, stream := range streams {
				// The router continues a stream that its upstream broke off; the caller pretends to have lost its connection.
				quicktest.Assert(t, stream.lastEvent > brokenAfter, quicktest.IsTrue, quicktest.Commentf("%+v", stream))
				stream.lastEvent, stream.versions, stream.complete = brokenAfter, stream.versions[:brokenAfter], false
				begun[stream.versions[0]]++
			}
			quicktest.Assert(t, begun["new"] > 0, quicktest.IsTrue)
			if !test.meanwhile {
				test.back(fleet)
			}
			fleet.takeUpEach(streams, func(int) int { return outOfStep })
			t.Logf("begun %v, taken up: joined %d, complete %d", begun, countJoined(streams), countComplete(streams))
			quicktest.Check(t, countJoined(streams), quicktest.Equals, 0)
			if test.meanwhile {
				test.back(fleet)
			}
			if test.alone {
				fleet.signalOthers(syscall.SIGCONT)
			}
			time.Sleep(contactTime)
			fleet.takeUpEach(streams, func(int) int { return outOfStep })
			t.Logf("in touch again: joined %d, complete %d of %d", countJoined(streams), countComplete(streams), len(streams))
			quicktest.Check(t, countJoined(streams), quicktest.Equals, 0)
			quicktest.Check(t, countComplete(streams), quicktest.Equals, len(streams))
		})
	}
}

// silentStore gives no response, busyStore turns calls away.
func silentStore(_ http.ResponseWriter, request *http.Request) bool {
	<-request.Context().Done()
	return true
}

func busyStore(writer http.ResponseWriter, _ *http.Request) bool {
	writer.WriteHeader(http.StatusServiceUnavailable)
	return true
}

// signalOthers sends a signal to all routers but the one that is out of step.
func (fleet *versionedFleet) signalOthers(signal syscall.Signal) {
	fleet.t.Helper()
	for number, router := range fleet.routers {
		if number != outOfStep {
			router.signal(fleet.t, signal)
		}
	}
}

// awaitVersion waits until a router serves a stream at a version.
func (fleet *versionedFleet) awaitVersion(number int, version string) {
	fleet.t.Helper()
	await(fleet.t, "a router serves a stream at the new version", func() bool {
		for _, probe := range fleet.probe(number) {
			if probe.complete && probe.versions[0] == version {
				return true
			}
		}
		return false
	})
}

// countComplete returns the number of streams of which callers got the end.
func countComplete(streams []*versionedStream) (complete int) {
	for _, stream := range streams {
		if stream.complete {
			complete++
		}
	}
	return complete
}
