// Package stand implements stand-ins (fakes with fault injection) for the external systems that routers use: the
// platform, model engines and a booking service. Tests, the demo and the load tools run against them.
package stand
