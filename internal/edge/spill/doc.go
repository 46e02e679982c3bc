// Package spill hands requests of a router whose processor is not enough to routers of its zone that have time to spare.
//
// The load it answers: the callers of a large organisation stay with one router, whatever they are told, while the others of its
// zone idle. Handing a request over costs a third of serving it, because all requests to one router share a connection, whose
// frames are written and read many at a time, and no request has a goroutine of its own.
//
// The router that takes a request serves it as one of its own callers'. The answer goes back piece by piece. A request is handed
// over once at most, and only to a router with the same version of the configuration, so that the answers at one address never go
// back to an older version. A router that has not taken a request says so; any other end without an answer means that the request
// may have run.
//
// The connection begins as an HTTP request with the protocol Spill/1 in its Upgrade header. After the answer 101 it carries frames:
// one byte for the kind, four bytes for the number of the request, four for the length of the content, big-endian, and the content.
package spill
