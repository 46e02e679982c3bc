// Package event keeps the time line of a router: it stamps events in causal order, holds the newest ones in a ring,
// writes those that must be disclosed to the platform's log, and merges and renders the time lines of many routers.
package event
