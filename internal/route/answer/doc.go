// Package answer reassembles streamed answers: it reorders chunks, resumes interrupted streams, and tells complete answers
// from truncated ones.
package answer
