// Package claim decides idempotency keys on the claims streams of the platform's log, so that a non-repeatable request
// runs at most once.
package claim
