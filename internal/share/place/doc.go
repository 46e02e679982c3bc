// Package place assigns keys to members by rendezvous hashing. Every process that knows the same members computes the
// same assignment, and a change of members moves only the keys of the members that changed.
package place
