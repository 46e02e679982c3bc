package relay_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/load/poison"
	"github.com/clementinewind/clementinewind/internal/route/prompt"
	"github.com/clementinewind/clementinewind/internal/route/table"
	"github.com/clementinewind/clementinewind/platform/stand"
)

// sendPrompt sends a model request with one shared part and returns the status.
func (router *testRouter) sendPrompt(t *testing.T, subject string) int {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, router.server.URL+"/p/x", nil)
	quicktest.Assert(t, err, quicktest.IsNil)
	request.Host = "host.example"
	stand.SetCallerHeaders(request.Header, "id", "key", 3*time.Second)
	stand.SetPromptHeaders(request.Header, subject, 100, 50, 5)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	quicktest.Assert(t, err, quicktest.IsNil)
	response.Body.Close()
	return response.StatusCode
}

func partsOf(subject string) []prompt.PartHash {
	return prompt.Prompt{Parts: []prompt.Part{{ID: subject}, {ID: "own"}}}.SharedParts()
}

// addCrashingUpstream adds an upstream that counts its first request and, while it sends the response header, closes its listener.
func addCrashingUpstream(t *testing.T, router *testRouter, name clementinewind.Upstream, requests *atomic.Int32) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Cleanup(func() { listener.Close() })
	go stand.ServeConns(listener, func(conn net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		requests.Add(1)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: 60\r\n\r\n", stand.SealedHeaderLines(stand.RequestID(request.Header)))
		listener.Close()
	})
	router.board.Set(table.Entry{Upstream: name, Service: "service", Address: listener.Addr().String(), Slots: 4}, time.Now())
}

// Guards against a request that crashes a second upstream because it may be repeated, and against a sound one that is not repeated.
func TestInterruptedRequestAfterCrash(t *testing.T) {
	tests := map[string]struct {
		answered bool
		attempts int32
	}{
		"prompt never answered":  {false, 1},
		"prompt answered lately": {true, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			router := startEngineRouter(t, &table.Engine{MemoryTokens: 100_000}, table.Route{Kind: table.RouteIdempotent, LatencyGoal: time.Second, MaxAttempts: 2})
			var requests atomic.Int32
			addCrashingUpstream(t, router, "u0", &requests)
			addCrashingUpstream(t, router, "u1", &requests)
			if test.answered {
				router.poison.RecordAnswer(partsOf("aa"), time.Now())
			}
			quicktest.Check(t, router.sendPrompt(t, "aa"), quicktest.Equals, http.StatusBadGateway)
			quicktest.Check(t, requests.Load(), quicktest.Equals, test.attempts)
			suspected, _ := router.poison.Counts(time.Now())
			quicktest.Check(t, suspected, quicktest.Equals, 1)
		})
	}
}

// Guards against an upstream that breaks off its answers being taken for one that crashed.
func TestBrokenAnswerIsNoCrash(t *testing.T) {
	router := startEngineRouter(t, &table.Engine{MemoryTokens: 100_000}, table.Route{Kind: table.RouteStream, MaxAttempts: 1})
	addRawUpstream(t, router, func(conn net.Conn, request *http.Request) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: 60\r\n\r\n", stand.SealedHeaderLines(stand.RequestID(request.Header)))
	})
	for range 3 {
		quicktest.Check(t, router.sendPrompt(t, "aa"), quicktest.Equals, http.StatusBadGateway)
	}
	time.Sleep(100 * time.Millisecond)
	suspected, _ := router.poison.Counts(time.Now())
	quicktest.Check(t, suspected, quicktest.Equals, 0)
}

// Guards against a request that waits at an upstream, when a part of its prompt goes into quarantine, and crashes the upstream when
// its turn comes. Requests without the part go on.
func TestWaitingRequestIsWithdrawn(t *testing.T) {
	withdrawn, release := make(chan struct{}), make(chan struct{})
	router := startEngineRouter(t, &table.Engine{MemoryTokens: 100_000}, table.Route{Kind: table.RouteStream, LatencyGoal: time.Second, MaxAttempts: 1},
		func(writer http.ResponseWriter, request *http.Request, _ int) {
			select {
			case <-request.Context().Done():
				close(withdrawn)
			case <-release:
				stand.Seal(writer)
				fmt.Fprint(writer, "id: 1\ndata: a\n\n")
			}
		})
	sound, poisoned := make(chan int, 1), make(chan int, 1)
	go func() { sound <- router.sendPrompt(t, "bb") }()
	go func() { poisoned <- router.sendPrompt(t, "aa") }()
	for len(router.handledBy()) < 2 {
		time.Sleep(time.Millisecond)
	}
	now := time.Now()
	for crash := range 3 {
		at := now.Add(time.Duration(crash-3) * time.Second)
		router.poison.RecordCrash(partsOf("aa"), poison.Suspicion{Crash: poison.CrashID(crash), At: at, Answering: true}, now)
	}
	<-withdrawn
	quicktest.Check(t, <-poisoned, quicktest.Equals, http.StatusBadGateway)
	close(release)
	quicktest.Check(t, <-sound, quicktest.Equals, http.StatusOK)
	quicktest.Check(t, router.sendPrompt(t, "aa"), quicktest.Equals, http.StatusServiceUnavailable)
}
