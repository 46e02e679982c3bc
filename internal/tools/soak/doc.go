// Package soak runs router processes with a simulated platform and upstreams, injects random faults, and checks what callers
// and upstreams observe. A seed determines the faults, but the processes themselves are not deterministic.
package soak
