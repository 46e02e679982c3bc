package event

import (
	"cmp"
	"slices"
	"time"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/wire/operatorv1"
)

// Query selects events. A field with the zero value does not restrict the selection.
type Query struct {
	Organisation clementinewind.Organisation
	Zone         clementinewind.Zone
	Upstream     clementinewind.Upstream
	RequestID    string
	// Since is inclusive and Until exclusive.
	Since time.Time
	Until time.Time
	// Limit is the largest number of events; the oldest ones above it are left out.
	Limit int
}

// QueryFromProto converts the request for a time line to a query.
func QueryFromProto(request *operatorv1.TimelineRequest) Query {
	query := Query{
		Organisation: clementinewind.Organisation(request.GetOrganisation()),
		Zone:         clementinewind.Zone(request.GetZone()),
		Upstream:     clementinewind.Upstream(request.GetUpstream()),
		RequestID:    request.GetRequestId(),
		Limit:        int(request.GetLimit()),
	}
	if request.GetSinceMillis() != 0 {
		query.Since = time.UnixMilli(request.GetSinceMillis())
	}
	if request.GetUntilMillis() != 0 {
		query.Until = time.UnixMilli(request.GetUntilMillis())
	}
	return query
}

// Matches reports whether the query selects an event, ignoring the limit.
func (query Query) Matches(event clementinewind.Event) bool {
	return (query.Organisation == "" || query.Organisation == event.Organisation) &&
		(query.Zone == "" || query.Zone == event.Zone) &&
		(query.Upstream == "" || query.Upstream == event.Upstream) &&
		(query.RequestID == "" || query.RequestID == event.RequestID) &&
		(query.Since.IsZero() || !event.Time.Before(query.Since)) &&
		(query.Until.IsZero() || event.Time.Before(query.Until))
}

// newest removes the oldest events above the limit.
func (query Query) newest(events []clementinewind.Event) []clementinewind.Event {
	if query.Limit > 0 && len(events) > query.Limit {
		return events[len(events)-query.Limit:]
	}
	return events
}

// Merge returns the matching events of many routers in causal order, without duplicates, and at most query.Limit of them.
// Duplicates arise because an event is both in a ring and in the log, or because an append was retried.
func Merge(query Query, sources ...[]clementinewind.Event) []clementinewind.Event {
	var merged []clementinewind.Event
	for _, source := range sources {
		for _, event := range source {
			if query.Matches(event) {
				merged = append(merged, event)
			}
		}
	}
	slices.SortStableFunc(merged, compareEvents)
	merged = slices.CompactFunc(merged, func(first, second clementinewind.Event) bool {
		return compareEvents(first, second) == 0
	})
	return query.newest(merged)
}

// compareEvents orders events by stamp. Equal stamps of different instances are not causally related and are ordered by
// instance. The other fields distinguish events of an instance whose stamps repeat because its wall clock was set back before
// a restart.
func compareEvents(first, second clementinewind.Event) int {
	return cmp.Or(
		cmp.Compare(first.Stamp, second.Stamp),
		cmp.Compare(first.Instance, second.Instance),
		cmp.Compare(first.Kind, second.Kind),
		cmp.Compare(first.Zone, second.Zone),
		cmp.Compare(first.Organisation, second.Organisation),
		cmp.Compare(first.Upstream, second.Upstream),
		cmp.Compare(first.RequestID, second.RequestID),
		cmp.Compare(first.Detail, second.Detail),
	)
}
