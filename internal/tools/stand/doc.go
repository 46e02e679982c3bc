// Package stand holds small stand-ins for the outside systems that the fleet meets: the platform, model engines and a
// booking service. They serve tests, the demo and the bench.
package stand
