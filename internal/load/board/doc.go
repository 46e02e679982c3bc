// Package board tracks what a router knows of the upstreams: their entries, the load of all routers on them, the
// prompts that they have cached and how fast they answer. It chooses the upstream of each request. Methods take the
// current time as a parameter, so that tests can set it.
package board
