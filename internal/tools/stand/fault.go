package stand

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// FaultKind is a kind of fault injected into a stand-in.
type FaultKind int

//go:generate stringer -type FaultKind -trimprefix Fault -output faultkind_string.go

const (
	// FaultNone injects nothing.
	FaultNone FaultKind = iota
	// FaultRefuse answers 503 before the run, with the header that says that the request did not run.
	FaultRefuse
	// FaultUnsure answers 503 without that header once the run has started, so that the client can't know the outcome.
	FaultUnsure
	// FaultReset resets the connection after Fault.After tokens, or after the run of a booking.
	FaultReset
	// FaultResetEarly resets the connection before the run.
	FaultResetEarly
	// FaultSilence stops writing after Fault.After tokens, or after the run of a booking, and keeps the connection open.
	FaultSilence
	// FaultSlow delays each token, or the run of a booking, by Fault.Delay.
	FaultSlow
	// FaultDuplicate sends every event after Fault.After tokens twice.
	FaultDuplicate
	// FaultReorder swaps pairs of events after Fault.After tokens.
	FaultReorder
	// FaultForeign adds events of another request after Fault.After tokens.
	FaultForeign
	// FaultDrop leaves out the event that follows Fault.After tokens.
	FaultDrop
	// FaultShort ends a stream after Fault.After tokens as if it were complete. A booking sends half of its answer and
	// resets the connection.
	FaultShort
	// FaultCold makes the engine cold before the run.
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

// Fault is a fault injected into a stand-in at run time.
type Fault struct {
	Kind FaultKind
	// After is the number of tokens sent on a connection after which the fault starts.
	After int
	Delay time.Duration
	// Count is the number of requests that the fault affects; 0 means all until the faults are cleared.
	Count int
}

// Faults holds the faults injected into a stand-in. As an HTTP handler it lists them on GET, adds one on POST and clears
// them on DELETE.
type Faults struct {
	mu     sync.Mutex
	active []Fault
	// triggered counts the affected requests by kind.
	triggered map[FaultKind]int
}

// Inject adds faults. Faults of different kinds can affect the same request.
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

// Triggered returns the number of requests affected by a kind of fault.
func (faults *Faults) Triggered(kind FaultKind) int {
	faults.mu.Lock()
	defer faults.mu.Unlock()
	return faults.triggered[kind]
}

// TotalTriggered returns the sum of Triggered over all kinds.
func (faults *Faults) TotalTriggered() int {
	faults.mu.Lock()
	defer faults.mu.Unlock()
	total := 0
	for _, count := range faults.triggered {
		total += count
	}
	return total
}

// takeFaults returns the faults that affect the next request, at most one of each kind, and lowers their counts.
func (faults *Faults) takeFaults() faultSet {
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
		if faults.triggered == nil {
			faults.triggered = map[FaultKind]int{}
		}
		faults.triggered[fault.Kind]++
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

// faultSet holds the faults that affect one request, by kind.
type faultSet map[FaultKind]Fault

func (set faultSet) has(kind FaultKind) bool {
	_, ok := set[kind]
	return ok
}

// activeAt reports whether the fault is in effect after sent tokens.
func (set faultSet) activeAt(kind FaultKind, sent int) bool {
	fault, ok := set[kind]
	return ok && sent >= fault.After
}
