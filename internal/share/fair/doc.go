// Package fair implements weighted fair queueing between organisations, across all routers of the fleet.
//
// Each organisation has an account in each pool where it has demand. Its tag is the service that it received from all
// routers, in tokens per unit of weight; the organisation with the lowest tag is served next. The Ledger of a router that
// owns upstreams holds these accounts and charges them. Each account has a home router, whose Ledger adds up the reports
// of all routers and sends them the total. A Queue holds, at an entry router, the requests that wait for an owner.
//
// Neither type is safe for concurrent use; package sched locks around them.
package fair

import "github.com/clementinewind/clementinewind"

// Key identifies the account or queue of one organisation in one pool.
type Key struct {
	Pool         clementinewind.Pool
	Organisation clementinewind.Organisation
}

// Limits are the weight and limits of one organisation. Each entry router applies them by itself.
type Limits struct {
	// Weight is the relative share of the organisation; values that are not positive count as 1.
	Weight float64
	// Running is the largest number of requests in progress; 0 means no limit.
	Running int
	// Queued is the largest number of waiting requests; 0 means no limit.
	Queued int
	// Rate is the largest number of requests per second; 0 means no limit.
	Rate float64
	// Burst is the number of requests that may arrive at once; 0 means one second of Rate, at least 1.
	Burst int
}

// normalWeight replaces weights that are not positive by 1.
func normalWeight(weight float64) float64 {
	if weight > 0 {
		return weight
	}
	return 1
}
