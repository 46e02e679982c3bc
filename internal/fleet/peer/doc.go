// Package peer connects the routers of a fleet over gRPC: a control link to each peer, forwarded requests, claims, and
// transfer of state and events.
package peer
