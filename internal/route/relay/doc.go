// Package relay answers the requests of callers: it selects a route, places the request at an upstream, sends it and passes
// the answer back, and sends it again elsewhere where the route allows that.
package relay
