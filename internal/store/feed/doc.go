// Package feed mirrors the compacted (keyed) topics of the platform's store in memory and follows their changes.
package feed
