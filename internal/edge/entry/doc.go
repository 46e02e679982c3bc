// Package entry runs a router on the users' platform: it takes the requests of callers over HTTP, follows the platform's
// store, and tells callers which routers to use.
package entry
