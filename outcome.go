package clementinewind

// Outcome is the final state of a request.
type Outcome int

//go:generate stringer -type Outcome -trimprefix Outcome -output outcome_string.go

const (
	// OutcomeUnknown means that the request may have run. It is the zero value, so that an outcome
	// that nobody set does not promise that the request has not run.
	OutcomeUnknown Outcome = iota
	// OutcomeAnswered means that the caller got the complete answer.
	OutcomeAnswered
	// OutcomeNotRun means that the request was refused and has not run.
	OutcomeNotRun
)

// Progress is how far a request got before it ended.
type Progress int

//go:generate stringer -type Progress -trimprefix Progress -output progress_string.go

const (
	// ProgressQueued means that nothing has been written to an upstream connection.
	ProgressQueued Progress = iota
	// ProgressDispatched means that the upstream may have received the request.
	ProgressDispatched
	// ProgressDeclined means that the upstream received the request and replied that it refused it without running it.
	ProgressDeclined
	// ProgressCompleted means that the complete answer has been received.
	ProgressCompleted
)

// OutcomeOf returns the outcome of a request that ended at progress. Other code may assign OutcomeNotRun only to a
// request that was refused before it was dispatched, or read it from the message of another router.
func OutcomeOf(progress Progress) Outcome {
	switch progress {
	case ProgressQueued, ProgressDeclined:
		return OutcomeNotRun
	case ProgressCompleted:
		return OutcomeAnswered
	default:
		return OutcomeUnknown
	}
}
