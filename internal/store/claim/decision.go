package claim

import "github.com/clementinewind/clementinewind"

// State is the state of an idempotency key in its claims stream.
type State int

//go:generate stringer -type State -trimprefix State -output state_string.go

const (
	// StateUnfinished means that another claim holds the key and its outcome is not known. It is the zero value because
	// it never permits a run.
	StateUnfinished State = iota
	// StateWon means that the caller holds the key and may run the request, once.
	StateWon
	// StateDone means that an earlier request with the key completed with Decision.Answer.
	StateDone
	// StateMismatch means that the key was claimed for a request with another digest.
	StateMismatch
	// StateExpired means that the key is older than its lifetime or than the records that are retained. An earlier
	// request may have run.
	StateExpired
	// StateInvalid means that the time of issue is in the future. No earlier request has run.
	StateInvalid
)

// Decision is the result of a claim.
type Decision struct {
	State State
	// Holder is the claim that holds the key and Session its router. They are set if State is StateUnfinished or
	// StateDone.
	Holder  ID
	Session clementinewind.Session
	// Answer is set if State is StateDone.
	Answer Answer
}

// Answer is the stored response of a completed request.
type Answer struct {
	Status int
	// Body must not be modified.
	Body      []byte
	RequestID string
	// BodyOmitted is set if Body was too large to store or cannot be read from the log at present.
	BodyOmitted bool
}
