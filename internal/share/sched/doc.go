// Package sched places requests on upstreams: fairly between organisations over the whole fleet, and never beyond what
// an upstream admits.
//
// An Owner admits work to the upstreams that its router owns. An Entry holds the requests that arrived at its router
// until an owner has a slot. They exchange Ask, Grant, GrantReturn, Service and Spare messages in control frames. Both
// are safe for concurrent use.
//
// Messages must arrive in the order of sending while a link lasts. After a link was set up again, the receivers of
// Connected repeat what may have been lost. Messages of an Entry to the Owner of the same router go the same way.
package sched

import (
	"context"
	"time"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/wire/peerv1"
)

// SendFunc queues a control frame to a session, which may be the sender's own. It is called with internal locks held, so
// it must neither block nor call back into this package.
type SendFunc func(session clementinewind.Session, frame *peerv1.ControlFrame)

// Request is what placement needs to know of a request.
type Request struct {
	Pool         clementinewind.Pool
	Organisation clementinewind.Organisation
	// Weight is the weight of the organisation. An Entry takes it from the limits.
	Weight float64
	// Estimate is the expected cost in tokens.
	Estimate float64
	// Tag is the normalised service of the organisation as the entry router knows it.
	Tag float64
	// Prefix is a hash of the start of the prompt, or 0. Requests with the same prefix share cache.
	Prefix uint64
	// Deadline is when the request must have been placed; zero means no deadline.
	Deadline time.Time
	// Attempt is the number of earlier placements of the request that were refused as not run. Attempts after the first
	// do not count against the rate and wait at the front of the queue.
	Attempt int
	// Entry is the session of the entry router.
	Entry clementinewind.Session
}

const (
	// DefaultGrantLifetime is how long a grant holds its slot without being used.
	DefaultGrantLifetime = 250 * time.Millisecond
	// DefaultDamping is the number of average costs for which a request in progress counts in the order of grants. More
	// corrects differences of service more slowly, less makes late totals matter more.
	DefaultDamping = 0.3
	// DefaultMaxOwners is the number of owners at which an organisation keeps standing asks.
	DefaultMaxOwners = 9

	// tickInterval is the time between the periodic tasks.
	tickInterval = 50 * time.Millisecond
	// maxWaiting is the highest waiting count in an ask. It only bounds the grants on the way to one entry router.
	maxWaiting = 64
)

// runTicks calls tick every tickInterval until the context ends.
func runTicks(ctx context.Context, tick func()) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			tick()
		}
	}
}
