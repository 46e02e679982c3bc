// Package fair keeps the service accounts and the entry queues that make the fleet fair between organisations.
//
// A Ledger holds, at the owner of upstreams, the normalised service (tokens per unit of weight) of each organisation
// with demand in a pool, and the totals of the accounts for which this router is the home router. A Queue holds, at an
// entry router, the requests that wait for an owner. Neither is safe for concurrent use; package sched guards them.
package fair

import "github.com/clementinewind/clementinewind"

// Key names the account or queue of one organisation in one pool.
type Key struct {
	Pool         clementinewind.Pool
	Organisation clementinewind.Organisation
}

// Limits are the settings of one organisation that apply at each entry router.
type Limits struct {
	// Weight is the share of the organisation; values that are not positive count as 1.
	Weight float64
	// Running is the largest number of requests in progress; 0 means no limit.
	Running int
	// Queued is the largest number of waiting requests; 0 means no limit.
	Queued int
	// Rate is the largest number of requests a second; 0 means no limit.
	Rate float64
	// Burst is the number of requests that may arrive at once; 0 means one second of Rate, at least 1.
	Burst int
}

// normalWeight returns a usable weight.
func normalWeight(weight float64) float64 {
	if weight > 0 {
		return weight
	}
	return 1
}
