// Package event records the time line of a router. It stamps events in causal order, keeps the newest ones in a ring buffer,
// and merges and renders the time lines of many routers. Events of some kinds are also disclosed: appended to the events
// stream of the platform's log, where they outlive the router.
package event
