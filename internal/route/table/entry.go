package table

import (
	"time"

	"github.com/clementinewind/clementinewind"
)

// Entry is what an upstream says of itself. Each start of an upstream is a new incarnation.
type Entry struct {
	Upstream clementinewind.Upstream
	Service  Service
	Address  string
	Zone     clementinewind.Zone
	Slots    int
	// Leaving is set when the upstream is about to stop.
	Leaving bool
	// ColdLeft is how much longer the upstream stays cold, counted from when it wrote the entry.
	ColdLeft time.Duration
	// Incarnation is the start in Unix milliseconds; 0 if the upstream does not tell.
	Incarnation int64
	// Sequence counts the entries of one incarnation.
	Sequence int64
}

// Replaces reports whether the entry is newer than another one of the same upstream.
func (entry Entry) Replaces(other Entry) bool {
	if entry.Incarnation != other.Incarnation {
		return entry.Incarnation > other.Incarnation
	}
	return entry.Sequence >= other.Sequence
}
