// Package router composes the parts of the fleet into the daemon that runs on each entry instance.
package router
