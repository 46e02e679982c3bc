package board

// Work is the work of one router at one upstream.
type Work struct {
	Running int
	// QueuedTokens are prompt tokens that the upstream has yet to read.
	QueuedTokens int
	// ResidentTokens are held by running requests, without shared prefixes.
	ResidentTokens int
	// RecentTokens are prompt tokens that were handed to the upstream, decayed over pick.ReadWindow.
	RecentTokens int
}

// Plus returns the sum of two.
func (work Work) Plus(other Work) Work {
	return Work{
		Running:        work.Running + other.Running,
		QueuedTokens:   work.QueuedTokens + other.QueuedTokens,
		ResidentTokens: work.ResidentTokens + other.ResidentTokens,
		RecentTokens:   work.RecentTokens + other.RecentTokens,
	}
}

// Minus returns what is left without a part.
func (work Work) Minus(part Work) Work {
	return Work{
		Running:        max(work.Running-part.Running, 0),
		QueuedTokens:   max(work.QueuedTokens-part.QueuedTokens, 0),
		ResidentTokens: max(work.ResidentTokens-part.ResidentTokens, 0),
		RecentTokens:   max(work.RecentTokens-part.RecentTokens, 0),
	}
}
