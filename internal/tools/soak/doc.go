// Package soak runs routers as processes before stand-ins of the platform, injects faults from outside of them and checks
// what callers and upstreams see. Runs are drawn from a seed; the processes themselves are not deterministic.
package soak
