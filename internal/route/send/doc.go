// Package send sends HTTP requests to upstreams. It calls a hook, the dispatch step, just before the first byte of a
// request is written, never writes a request twice, and reports the progress of a failed request.
package send
