package stand

import (
	"encoding/json"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/route/send"
)

// receivedLimit bounds the requests that a stand-in remembers.
const receivedLimit = 1 << 16

// Received is a request that reached a stand-in.
type Received struct {
	Time         time.Time
	Method       string
	Path         string
	RequestID    string
	Organisation clementinewind.Organisation
	FencingToken clementinewind.Offset
	Position     int64
}

// RunTotals is what a stand-in did for one request id.
type RunTotals struct {
	Runs   int
	Tokens int64
}

// ledger records what a stand-in received and did.
type ledger struct {
	mu       sync.Mutex
	received []Received
	ran      map[string]RunTotals
	// bodies counts the runs by request body or prompt, which finds runs of one request under several request ids.
	bodies map[string]int
}

// Received returns the latest requests in the order of their arrival.
func (ledger *ledger) Received() []Received {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	return append([]Received(nil), ledger.received...)
}

// ReceivedAfter returns the requests for new work that arrived after a time.
func (ledger *ledger) ReceivedAfter(after time.Time) []Received {
	var received []Received
	for _, request := range ledger.Received() {
		if request.Method == http.MethodPost && request.Time.After(after) {
			received = append(received, request)
		}
	}
	return received
}

// RunTotals returns what was done for a request id.
func (ledger *ledger) RunTotals(requestID clementinewind.RequestID) RunTotals {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	return ledger.ran[requestID.String()]
}

// AllRunTotals returns what was done, by request id.
func (ledger *ledger) AllRunTotals() map[string]RunTotals {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	copied := make(map[string]RunTotals, len(ledger.ran))
	for requestID, ran := range ledger.ran {
		copied[requestID] = ran
	}
	return copied
}

// RunsByBody returns the number of runs by request body or prompt.
func (ledger *ledger) RunsByBody() map[string]int {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	return maps.Clone(ledger.bodies)
}

func (ledger *ledger) addBody(body string) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	if ledger.bodies == nil {
		ledger.bodies = map[string]int{}
	}
	ledger.bodies[body]++
}

// Paths at which a stand-in shows in JSON what it received and did.
const (
	// RanPath answers with RunTotals by request id.
	RanPath = "/ran"
	// BodiesPath answers with the number of runs by request body or prompt.
	BodiesPath = "/bodies"
	// ReceivedPath answers with a list of Received in the order of arrival.
	ReceivedPath = "/received"
)

func (ledger *ledger) serveRecords(mux *http.ServeMux) {
	mux.HandleFunc("GET "+RanPath, serveRecord(ledger.AllRunTotals))
	mux.HandleFunc("GET "+BodiesPath, serveRecord(ledger.RunsByBody))
	mux.HandleFunc("GET "+ReceivedPath, serveRecord(ledger.Received))
}

func serveRecord[T any](get func() T) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "application/json")
		json.NewEncoder(writer).Encode(get())
	}
}

func (ledger *ledger) receive(request *http.Request) Received {
	fencingToken, err := strconv.ParseInt(request.Header.Get(send.HeaderFencingToken), 10, 64)
	if err != nil {
		fencingToken = -1
	}
	position, _ := strconv.ParseInt(request.Header.Get(send.HeaderPosition), 10, 64)
	received := Received{
		Time:         time.Now(),
		Method:       request.Method,
		Path:         request.URL.Path,
		RequestID:    request.Header.Get(send.HeaderRequestID),
		Organisation: clementinewind.Organisation(request.Header.Get(send.HeaderOrganisation)),
		FencingToken: clementinewind.Offset(fencingToken),
		Position:     position,
	}
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	if len(ledger.received) >= receivedLimit {
		ledger.received = append([]Received(nil), ledger.received[receivedLimit/2:]...)
	}
	ledger.received = append(ledger.received, received)
	return received
}

func (ledger *ledger) add(requestID string, runs int, tokens int64) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	if ledger.ran == nil {
		ledger.ran = map[string]RunTotals{}
	}
	ran := ledger.ran[requestID]
	ledger.ran[requestID] = RunTotals{Runs: ran.Runs + runs, Tokens: ran.Tokens + tokens}
}
