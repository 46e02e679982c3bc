package claim

import "github.com/clementinewind/clementinewind"

// State is what a claims stream says about a key.
type State int

//go:generate stringer -type State -trimprefix State -output state_string.go

const (
	// StateUnfinished means that another claim holds the key and its end is not known. It is the zero value, because it
	// never allows a run.
	StateUnfinished State = iota
	// StateWon means that the caller may run the request, once.
	StateWon
	// StateDone means that an earlier request with the key ended with Decision.Answer.
	StateDone
	// StateMismatch means that the key was claimed for another digest.
	StateMismatch
	// StateExpired means that the key is older than its lifetime, or than what the stream still knows. An earlier request
	// may have run.
	StateExpired
	// StateInvalid means that the time of issue lies in the future. No earlier request has run.
	StateInvalid
)

// Decision is the answer to a claim.
type Decision struct {
	State State
	// Holder and Session are the claim that holds the key and its router, when State is StateUnfinished or StateDone.
	Holder  ID
	Session clementinewind.Session
	// Answer is set when State is StateDone.
	Answer Answer
}

// Answer is the stored end of a request.
type Answer struct {
	Status int
	// Body must not be modified.
	Body      []byte
	RequestID string
	// BodyOmitted says that Body is not available: it was too large to keep, or it cannot be read from the log at present.
	BodyOmitted bool
}
