// Package send writes requests to upstream connections over net/http. It marks the dispatch step, makes sure that no
// request is written twice, and says how far a failed request got.
package send
