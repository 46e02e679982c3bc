// Package lease decides whether a router may send new work. It needs no renewal by appends: a router may send while it
// knows that its replica was at the end of the log a short time ago, or that most routers have lost the log.
//
// The rules assume that the monotonic clocks of routers run at the same rate within a few percent, also while a process
// is paused.
package lease
