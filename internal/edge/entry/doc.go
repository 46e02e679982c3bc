// Package entry runs a router on the HTTP platform: it serves the requests of callers, follows the topics of the
// platform's store, and tells callers which routers to connect to.
package entry
