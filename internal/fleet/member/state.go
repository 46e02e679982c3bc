package member

// State is what a router thinks of a peer.
type State int

//go:generate stringer -type State -trimprefix State -output state_string.go

const (
	// StateAlive is a session that answers heartbeats in time.
	StateAlive State = iota
	// StateSlow is a session that missed a heartbeat, but not yet three.
	StateSlow
	// StateSuspected is a live session that missed three heartbeats.
	StateSuspected
	// StateLeaving is a session that drains or has closed itself, and still answers.
	StateLeaving
	// StateGone is a session that is no longer live.
	StateGone
)
