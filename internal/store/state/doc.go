// Package state replicates the control stream of the platform's log. Every replica applies the same pure function to the
// same records, so replicas at the same offset are equal.
package state
