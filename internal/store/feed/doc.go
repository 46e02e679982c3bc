// Package feed keeps an in-memory copy of the keyed topics of the platform's store and follows their changes.
package feed
