// Package pick selects the upstream for a request, or decides that the request is rejected. Its functions have no side
// effects.
//
// The start of a prompt may be shared with other prompts. Copies of such a prefix are kept in the caches of a few
// preferred upstreams, one copy at each. These are the first ones in an order by rendezvous hashing, so that all routers
// prefer the same upstreams.
package pick
