package clementinewind

// Outcome is the final state of a request.
type Outcome int

//go:generate stringer -type Outcome -trimprefix Outcome -output outcome_string.go

const (
	// OutcomeUnknown means that the request may have run. It is the zero value, because it is always truthful.
	OutcomeUnknown Outcome = iota
	// OutcomeAnswered means that the caller got the complete answer.
	OutcomeAnswered
	// OutcomeNotRun means that the request was refused and has not run.
	OutcomeNotRun
)

// Progress is how far a request got before it failed.
type Progress int

//go:generate stringer -type Progress -trimprefix Progress -output progress_string.go

const (
	// ProgressQueued is before the dispatch step: nothing has been written to an upstream connection.
	ProgressQueued Progress = iota
	// ProgressDispatched is after the dispatch step: the upstream may have received the request.
	ProgressDispatched
	// ProgressDeclined is after the dispatch step, when the upstream itself said that it refused before running.
	ProgressDeclined
	// ProgressCompleted is after the complete answer has been received.
	ProgressCompleted
)

// OutcomeOf returns the outcome of a request that ended at progress. It is the only rule that assigns OutcomeNotRun.
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
