// Package relay is the router's HTTP handler for callers: it matches a route, places the request at an upstream, forwards
// the answer, and retries at another upstream where the route allows it.
package relay
