// Package clementinewind defines the types that all packages of the router share: organisations, availability zones,
// pools, upstreams, instances, sessions, log records, requests, outcomes and events.
package clementinewind
