// Package answer puts the chunks of a streamed answer in order, joins interrupted streams, and tells a complete answer
// from an incomplete one.
package answer
