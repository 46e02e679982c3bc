package event

import (
	"cmp"
	"slices"
	"time"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/wire/operatorv1"
)

// Query selects events. A zero field selects all.
type Query struct {
	Organisation clementinewind.Organisation
	Zone         clementinewind.Zone
	Upstream     clementinewind.Upstream
	RequestID    string
	// Since is the earliest time and Until the first time that is too late.
	Since time.Time
	Until time.Time
	// Limit is the largest number of events; the newest ones are returned.
	Limit int
}

// QueryFromProto returns the query of an operator's request.
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

// Matches reports whether the query selects an event, without regard to the limit.
func (query Query) Matches(event clementinewind.Event) bool {
	return (query.Organisation == "" || query.Organisation == event.Organisation) &&
		(query.Zone == "" || query.Zone == event.Zone) &&
		(query.Upstream == "" || query.Upstream == event.Upstream) &&
		(query.RequestID == "" || query.RequestID == event.RequestID) &&
		(query.Since.IsZero() || !event.Time.Before(query.Since)) &&
		(query.Until.IsZero() || event.Time.Before(query.Until))
}

// newest drops the oldest events above the limit.
func (query Query) newest(events []clementinewind.Event) []clementinewind.Event {
	if query.Limit > 0 && len(events) > query.Limit {
		return events[len(events)-query.Limit:]
	}
	return events
}

// Merge returns the events of many routers in causal order, each once, and at most query.Limit of them. An event may
// be present several times because it is both in a ring and in the log, or because an append was repeated.
func Merge(query Query, sources ...[]clementinewind.Event) []clementinewind.Event {
	var merged []clementinewind.Event
	for _, source := range sources {
		for _, event := range source {
			if query.Matches(event) {
				merged = append(merged, event)
			}
		}
	}
	slices.SortStableFunc(merged, compare)
	merged = slices.CompactFunc(merged, func(first, second clementinewind.Event) bool {
		return compare(first, second) == 0
	})
	return query.newest(merged)
}

// compare orders events by stamp. The instance decides between events that are not causally related; the other fields
// tell events apart whose stamps repeat because an instance restarted with its wall clock set back.
func compare(first, second clementinewind.Event) int {
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
