// Package board keeps what a router knows of the upstreams: their entries, the work of all routers at them, the prompts in
// their memory and how fast they answer. Methods take the time, so that a test decides it.
package board
