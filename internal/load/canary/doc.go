// Package canary moves the requests of a service to a new version of its upstreams, and finds out whether that version is bad.
//
// Each router sends the new version a fixed part of its own requests, so that the part of all requests holds whatever other routers do.
// Routers exchange how many answers of each version were bad. All of them judge; one proposes the next step, which takes effect once it
// is in the platform's store. Steps only go forward: to a higher share, to all requests, and to the end of the old version; or to the
// end of the new one.
package canary
