package table

import (
	"time"

	"github.com/clementinewind/clementinewind"
)

// Entry is the registration of an upstream. Each start of the upstream is a new incarnation.
type Entry struct {
	Upstream clementinewind.Upstream
	Service  Service
	Address  string
	Zone     clementinewind.Zone
	Slots    int
	// Leaving is set when the upstream is shutting down.
	Leaving bool
	// ColdLeft is how much longer the upstream stays cold, from the time when it wrote the entry.
	ColdLeft time.Duration
	// Version is the version of the software that the upstream runs; empty if it does not say.
	Version string
	// Incarnation is the start time in Unix milliseconds; 0 means unknown.
	Incarnation int64
	// Sequence orders the entries of one incarnation.
	Sequence int64
}

// Replaces reports whether the entry is at least as new as another one of the same upstream.
func (entry Entry) Replaces(other Entry) bool {
	if entry.Incarnation != other.Incarnation {
		return entry.Incarnation > other.Incarnation
	}
	return entry.Sequence >= other.Sequence
}
