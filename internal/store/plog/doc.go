// Package plog is the client side of the platform log: an RPC client, a batching writer per stream, a tail reader and
// the removal of repeated records.
package plog
