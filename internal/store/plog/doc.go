// Package plog is the client side of the platform log: an RPC client, a batching writer and a reader for a stream, and
// the deduplication of records.
package plog
