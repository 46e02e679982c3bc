// Package gate accepts the connections of callers: it bounds how many are open, refuses a part of them while the processor is short,
// and takes what the kernel has accepted before it ends.
package gate
