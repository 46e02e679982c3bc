// Package lease decides whether a router may send new requests to an upstream: it must own the upstream, and previous
// owners must have stopped. The lease is not renewed by appends to the log. It holds while the router has recent proof that
// its replica was at the end of the log, or that most routers have lost the log.
//
// The rules assume that the monotonic clocks of the routers run at the same rate within a few percent, even while a
// process is paused.
package lease
