// Package demo runs a fleet of routers with simulated upstreams in one process, for demonstrations and tests.
package demo
