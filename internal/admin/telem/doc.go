// Package telem provides the Prometheus metrics of a router and its admin HTTP handler.
package telem
