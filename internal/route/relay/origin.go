package relay

import (
	"context"
	"fmt"
	"time"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/route/origin"
	"github.com/clementinewind/clementinewind/internal/route/table"
)

const (
	// originWaitDivisor divides the remaining time of a request; the quotient is the longest time for which it waits to learn which version began
	// its stream.
	originWaitDivisor = 3
	// maxOriginWait limits the same. Another router that forwarded the stream has stored its origin by then.
	maxOriginWait = 1500 * time.Millisecond
)

// Origins knows at which versions streams began. Implementations are safe for concurrent use.
type Origins interface {
	// Resolve returns the version at which the stream began that the request with the given identifier brought. If nothing tells its service, it
	// is the given one. Resolve waits until the version is known or ctx ends, and returns an error if it is not.
	Resolve(ctx context.Context, service table.Service, began string) (origin.Version, error)
	// MayBegin reports whether streams may begin at a version of a service.
	MayBegin(service table.Service, version string) bool
	// Begin records that events of a stream at a version are about to be forwarded. The stream is found by the identifier of any of the
	// requests. The result must be called at the end of the answer with whether the caller got the end of the stream.
	Begin(service table.Service, version string, requestIDs ...string) (end func(complete bool))
}

// pinnedVersion is the version at which a stream must go on.
type pinnedVersion struct {
	set  bool
	name string
}

// allows reports whether the stream may go on at a version.
func (pinned pinnedVersion) allows(version string) bool { return !pinned.set || pinned.name == version }

// resumable reports whether another upstream may continue the answer.
func (exchange *exchange) resumable() bool {
	return exchange.route.Kind == table.RouteStream && exchange.route.Resumable
}

// takesUp reports whether the request takes up a stream that an earlier request began.
func (exchange *exchange) takesUp() bool {
	return exchange.resumable() && exchange.call.LastEventID != ""
}

// findOrigin pins a request that takes up a stream to the version that began it. If it returns false, it has answered the request.
func (exchange *exchange) findOrigin(ctx context.Context) bool {
	origins := exchange.relay.config.Origins
	if origins == nil || !exchange.takesUp() {
		return true
	}
	waitCtx, cancel := context.WithTimeout(ctx, min(maxOriginWait, exchange.remaining()/originWaitDivisor))
	defer cancel()
	version, err := origins.Resolve(waitCtx, exchange.service.Name, exchange.call.Resumes)
	switch {
	case ctx.Err() != nil:
		exchange.fail(ctx)
		return false
	case err != nil:
		return exchange.rejectUnavailable(clementinewind.ReasonOriginUnknown, minRetryAfter, err.Error())
	case !exchange.route.LeadsTo(version.Service):
		return exchange.rejectUnavailable(clementinewind.ReasonOriginGone, 0,
			fmt.Sprintf("service %q, which began the stream, no longer serves its route", version.Service))
	}
	// A route may lead to several services, of which another one was drawn for this request.
	exchange.service = exchange.table.Service(version.Service)
	exchange.origin = pinnedVersion{set: true, name: version.Name}
	exchange.logger.Info("stream taken up", "Request", exchange.call.RequestID, "Began", exchange.call.Resumes, "Service", version.Service,
		"Version", version.Name, "After", exchange.call.LastEventID)
	return true
}

// servingVersions narrows which versions may get the request; nil means any.
func (exchange *exchange) servingVersions(versions func(version string) bool) func(version string) bool {
	origins := exchange.relay.config.Origins
	if !exchange.origin.set && (origins == nil || !exchange.resumable()) {
		return versions
	}
	// Most upstreams run the version of the one before.
	asked, last, allowed := false, "", false
	return func(version string) bool {
		if versions != nil && !versions(version) {
			return false
		}
		if !asked || version != last {
			asked, last = true, version
			if allowed = exchange.origin.allows(version); !exchange.origin.set {
				allowed = origins.MayBegin(exchange.service.Name, version)
			}
		}
		return allowed
	}
}

// beginStream pins the stream to the version of the upstream whose events are about to be forwarded.
func (exchange *exchange) beginStream(version string) {
	exchange.origin = pinnedVersion{set: true, name: version}
	if origins := exchange.relay.config.Origins; origins != nil && exchange.resumable() {
		ids := []string{exchange.call.RequestID}
		if began := exchange.call.Resumes; began != "" && exchange.takesUp() {
			ids = append(ids, began)
		}
		exchange.endStream = origins.Begin(exchange.service.Name, version, ids...)
	}
}

// hasOriginUpstream reports whether an upstream of the version that began the stream is registered, or the stream has no such version.
func (exchange *exchange) hasOriginUpstream() bool {
	if !exchange.origin.set {
		return true
	}
	return exchange.relay.config.Board.Versions(exchange.service.Name)[exchange.origin.name].Upstreams > 0
}
