// Package telem holds the metrics of a router and its admin HTTP handler.
package telem
