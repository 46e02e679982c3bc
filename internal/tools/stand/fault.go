package stand

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// FaultKind is a kind of misbehaviour of a stand-in.
type FaultKind int

//go:generate stringer -type FaultKind -trimprefix Fault -output faultkind_string.go

const (
	// FaultNone changes nothing.
	FaultNone FaultKind = iota
	// FaultRefuse refuses with 503 before running.
	FaultRefuse
	// FaultUnsure answers 503 after the run without a claim that it did not run.
	FaultUnsure
	// FaultReset resets the connection after the tokens, or after the run of a booking.
	FaultReset
	// FaultResetEarly resets the connection before the run.
	FaultResetEarly
	// FaultSilence stops writing after the tokens, or after the run of a booking, and keeps the connection open.
	FaultSilence
	// FaultSlow waits for Delay before each token, or before the run of a booking.
	FaultSlow
	// FaultDuplicate sends every chunk after the tokens twice.
	FaultDuplicate
	// FaultReorder swaps pairs of chunks after the tokens.
	FaultReorder
	// FaultForeign adds chunks of another request after the tokens.
	FaultForeign
	// FaultDrop leaves out the chunk after the tokens.
	FaultDrop
	// FaultShort ends the answer after the tokens as if it were whole.
	FaultShort
	// FaultCold turns the engine cold before the run.
	FaultCold
	faultKinds
)

// UnmarshalText reads the name of a kind.
func (faultKind *FaultKind) UnmarshalText(text []byte) error {
	for kind := range faultKinds {
		if kind.String() == string(text) {
			*faultKind = kind
			return nil
		}
	}
	return errors.Errorf("unknown fault %q", text)
}

// MarshalText returns the name of the kind.
func (faultKind FaultKind) MarshalText() ([]byte, error) {
	return []byte(faultKind.String()), nil
}

// Fault is a misbehaviour that a stand-in shows at run time.
type Fault struct {
	Kind FaultKind
	// After is the number of tokens of a connection after which the fault starts.
	After int
	Delay time.Duration
	// Count is the number of requests that meet the fault; 0 means all until the faults are cleared.
	Count int
}

// Faults holds the faults of a stand-in. As a handler it lists them on GET, adds one on POST and clears them on DELETE.
type Faults struct {
	mu     sync.Mutex
	active []Fault
	// Met counts the requests that met each kind.
	met map[FaultKind]int
}

// Inject adds faults. Several faults act on the same request.
func (faults *Faults) Inject(added ...Fault) {
	faults.mu.Lock()
	defer faults.mu.Unlock()
	faults.active = append(faults.active, added...)
}

// Clear removes all faults.
func (faults *Faults) Clear() {
	faults.mu.Lock()
	defer faults.mu.Unlock()
	faults.active = nil
}

// Triggered returns the number of requests that met a kind of fault.
func (faults *Faults) Triggered(kind FaultKind) int {
	faults.mu.Lock()
	defer faults.mu.Unlock()
	return faults.met[kind]
}

// TotalTriggered returns the number of times that a request met a fault.
func (faults *Faults) TotalTriggered() int {
	faults.mu.Lock()
	defer faults.mu.Unlock()
	total := 0
	for _, met := range faults.met {
		total += met
	}
	return total
}

// take returns the faults that the next request meets.
func (faults *Faults) take() faultSet {
	faults.mu.Lock()
	defer faults.mu.Unlock()
	set := faultSet{}
	kept := faults.active[:0]
	for _, fault := range faults.active {
		if fault.Kind == FaultNone {
			continue
		}
		if _, ok := set[fault.Kind]; ok {
			kept = append(kept, fault)
			continue
		}
		set[fault.Kind] = fault
		if faults.met == nil {
			faults.met = map[FaultKind]int{}
		}
		faults.met[fault.Kind]++
		if fault.Count != 1 {
			fault.Count = max(fault.Count-1, 0)
			kept = append(kept, fault)
		}
	}
	faults.active = kept
	return set
}

// ServeHTTP serves the control endpoint.
func (faults *Faults) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch request.Method {
	case http.MethodPost:
		var fault Fault
		if err := json.NewDecoder(request.Body).Decode(&fault); err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		faults.Inject(fault)
	case http.MethodDelete:
		faults.Clear()
	default:
		faults.mu.Lock()
		defer faults.mu.Unlock()
		json.NewEncoder(writer).Encode(faults.active)
	}
}

// faultSet holds the faults of one request by kind.
type faultSet map[FaultKind]Fault

func (set faultSet) has(kind FaultKind) bool {
	_, ok := set[kind]
	return ok
}

// at reports whether the fault acts once sent tokens have been sent.
func (set faultSet) at(kind FaultKind, sent int) bool {
	fault, ok := set[kind]
	return ok && sent >= fault.After
}
