package board

// Load is the work of one router at one upstream.
type Load struct {
	Running int
	// QueuedTokens are prompt tokens that the upstream has yet to read.
	QueuedTokens int
	// ResidentTokens are held by running requests, without shared prefixes.
	ResidentTokens int
	// RecentTokens are prompt tokens that were handed to the upstream, decayed over pick.ReadWindow.
	RecentTokens int
}

// Plus returns the sum of two.
func (work Load) Plus(other Load) Load {
	return Load{
		Running:        work.Running + other.Running,
		QueuedTokens:   work.QueuedTokens + other.QueuedTokens,
		ResidentTokens: work.ResidentTokens + other.ResidentTokens,
		RecentTokens:   work.RecentTokens + other.RecentTokens,
	}
}

// Minus returns what is left without a part.
func (work Load) Minus(part Load) Load {
	return Load{
		Running:        max(work.Running-part.Running, 0),
		QueuedTokens:   max(work.QueuedTokens-part.QueuedTokens, 0),
		ResidentTokens: max(work.ResidentTokens-part.ResidentTokens, 0),
		RecentTokens:   max(work.RecentTokens-part.RecentTokens, 0),
	}
}
