// Package gate accepts the connections of callers: it bounds how many are open, and takes what the kernel has accepted before it ends.
package gate
