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

// receivedLimit is the number of received requests that a stand-in keeps; the older half is dropped at the limit.
const receivedLimit = 1 << 16

// Received is a request that reached a stand-in.
type Received struct {
	Time         time.Time
	Method       string
	Path         string
	RequestID    string
	Organisation clementinewind.Organisation
	// FencingToken is -1 if the request had no valid one.
	FencingToken clementinewind.Offset
	Position     int64
}

// RunTotals counts the runs and the generated tokens of one request id.
type RunTotals struct {
	Runs   int
	Tokens int64
}

// recorder records the requests that a stand-in received and their runs.
type recorder struct {
	mu       sync.Mutex
	received []Received
	totals   map[string]RunTotals
	// runsByBody counts the runs by request body or prompt, to detect one request that ran under several request ids.
	runsByBody map[string]int
}

// Received returns the latest requests in the order of their arrival.
func (recorder *recorder) Received() []Received {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	return append([]Received(nil), recorder.received...)
}

// ReceivedAfter returns the POST requests, which start new work, that arrived after a time.
func (recorder *recorder) ReceivedAfter(after time.Time) []Received {
	var received []Received
	for _, request := range recorder.Received() {
		if request.Method == http.MethodPost && request.Time.After(after) {
			received = append(received, request)
		}
	}
	return received
}

// RunTotals returns the totals of a request id.
func (recorder *recorder) RunTotals(requestID clementinewind.RequestID) RunTotals {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	return recorder.totals[requestID.String()]
}

// AllRunTotals returns the totals by request id.
func (recorder *recorder) AllRunTotals() map[string]RunTotals {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	copied := make(map[string]RunTotals, len(recorder.totals))
	for requestID, totals := range recorder.totals {
		copied[requestID] = totals
	}
	return copied
}

// RunsByBody returns the number of runs by request body or prompt.
func (recorder *recorder) RunsByBody() map[string]int {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	return maps.Clone(recorder.runsByBody)
}

func (recorder *recorder) countBody(body string) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	if recorder.runsByBody == nil {
		recorder.runsByBody = map[string]int{}
	}
	recorder.runsByBody[body]++
}

// Paths at which a stand-in serves its records as JSON.
const (
	// RanPath answers with RunTotals by request id.
	RanPath = "/ran"
	// BodiesPath answers with the number of runs by request body or prompt.
	BodiesPath = "/bodies"
	// ReceivedPath answers with a list of Received in the order of arrival.
	ReceivedPath = "/received"
)

func (recorder *recorder) serveRecords(mux *http.ServeMux) {
	mux.HandleFunc("GET "+RanPath, serveRecord(recorder.AllRunTotals))
	mux.HandleFunc("GET "+BodiesPath, serveRecord(recorder.RunsByBody))
	mux.HandleFunc("GET "+ReceivedPath, serveRecord(recorder.Received))
}

func serveRecord[T any](get func() T) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "application/json")
		json.NewEncoder(writer).Encode(get())
	}
}

func (recorder *recorder) recordRequest(request *http.Request) Received {
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
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	if len(recorder.received) >= receivedLimit {
		recorder.received = append([]Received(nil), recorder.received[receivedLimit/2:]...)
	}
	recorder.received = append(recorder.received, received)
	return received
}

func (recorder *recorder) addTotals(requestID string, runs int, tokens int64) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	if recorder.totals == nil {
		recorder.totals = map[string]RunTotals{}
	}
	totals := recorder.totals[requestID]
	recorder.totals[requestID] = RunTotals{Runs: totals.Runs + runs, Tokens: totals.Tokens + tokens}
}
