// Package state replicates the control stream of the platform's log as a deterministic state machine: replicas that
// have applied the same records are equal.
package state
