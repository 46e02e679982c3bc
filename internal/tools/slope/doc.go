// Package slope measures how state, processor time and control traffic grow with the size of the fleet. It holds only
// benchmarks; docs/CAPACITY.md works out the target size from their figures.
package slope
