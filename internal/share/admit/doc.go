// Package admit decides how many requests one upstream may have in progress. A Limiter adapts a concurrency limit to the
// completions, first-token times, resets, refusals and load reports of its upstream, starts slowly after every sign of a
// cold start, and opens a circuit breaker on repeated failures. RetryBudget and OpenBreakers limit retries and ejections over the upstreams of
// one pool. The types are not safe for concurrent use; package sched guards them.
package admit
