// Package claim decides on idempotency keys by the order of the claims streams of the platform's log, so that a request
// that is not repeatable runs at most once.
package claim
