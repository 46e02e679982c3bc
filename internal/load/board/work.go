package board

// Load is the load of one or several routers on one upstream.
type Load struct {
	Running int
	// QueuedTokens are prompt tokens that wait for prefill at the upstream.
	QueuedTokens int
	// ResidentTokens are the tokens in memory for running requests, without shared prefixes.
	ResidentTokens int
	// RecentTokens are the prompt tokens that were sent to the upstream, decayed over pick.PrefillWindow.
	RecentTokens int
}

// Plus returns the sum of two loads.
func (load Load) Plus(other Load) Load {
	return Load{
		Running:        load.Running + other.Running,
		QueuedTokens:   load.QueuedTokens + other.QueuedTokens,
		ResidentTokens: load.ResidentTokens + other.ResidentTokens,
		RecentTokens:   load.RecentTokens + other.RecentTokens,
	}
}

// Minus returns the load without a part of it.
func (load Load) Minus(part Load) Load {
	return Load{
		Running:        max(load.Running-part.Running, 0),
		QueuedTokens:   max(load.QueuedTokens-part.QueuedTokens, 0),
		ResidentTokens: max(load.ResidentTokens-part.ResidentTokens, 0),
		RecentTokens:   max(load.RecentTokens-part.RecentTokens, 0),
	}
}
