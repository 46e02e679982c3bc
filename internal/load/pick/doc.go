// Package pick selects the upstream for a request, or decides that the request is rejected. Its functions have no side
// effects.
//
// The parts of a prompt that other prompts share, its prefix, are kept in the caches of a few preferred upstreams.
// These are the first ones in an order by rendezvous hashing, so that all routers prefer the same upstreams.
package pick
