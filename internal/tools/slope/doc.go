// Package slope holds benchmarks only. They measure how memory, processor time and control traffic grow with the size of
// the fleet; docs/CAPACITY.md extrapolates their results to the target size.
package slope
