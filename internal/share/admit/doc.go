// Package admit limits the concurrency of upstreams. A Limiter adapts the limit of one upstream to its completions,
// times to first token, resets, refusals and load reports, and goes back to slow start at every sign of a cold start. Its
// circuit breaker opens on repeated failures. RetryBudget and OpenBreakers limit retries and ejections in a pool.
//
// The types are not safe for concurrent use; package sched locks around them.
package admit
