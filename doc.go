// Package clementinewind defines the nouns of the router fleet: organisations, zones, pools, upstreams, instances,
// sessions, log records, requests, outcomes and events. The implementations live in sub-packages.
package clementinewind
