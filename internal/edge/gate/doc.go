// Package gate accepts the connections of callers. It limits how many are open, refuses a fraction of them while the
// processor is overloaded, and serves the accept queue before the listener closes.
package gate
