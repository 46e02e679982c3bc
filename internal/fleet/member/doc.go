// Package member keeps the books of the heartbeats between routers: what to tell a peer, what a peer said, whom to hear
// and whom to suspect. It sends nothing itself.
package member
