// Package event records the time line of a router. It stamps events in causal order, keeps the newest ones in a ring buffer,
// appends those that must be disclosed to the events stream of the platform's log, and merges and renders the time lines of
// many routers.
package event
