package view_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/load/board"
	"github.com/clementinewind/clementinewind/internal/route/table"
	"github.com/clementinewind/clementinewind/internal/store/feed"
	"github.com/clementinewind/clementinewind/internal/store/view"
	"github.com/clementinewind/clementinewind/platform"
)

func newView() (*view.View, *board.Board) {
	upstreams := board.New(board.Config{Owns: func(clementinewind.Upstream) bool { return true }})
	return view.New(view.Config{Board: upstreams, Logger: hclog.NewNullLogger()}), upstreams
}

func entry(t *testing.T, leaving bool, sequence, incarnation int64) []byte {
	t.Helper()
	value, err := platform.EncodeUpstream(table.Entry{
		Service: "s", Address: "10.0.0.1:80", Zone: "a", Slots: 4, Leaving: leaving, Sequence: sequence, Incarnation: incarnation,
	})
	quicktest.Assert(t, err, quicktest.IsNil)
	return value
}

func configuration(t *testing.T, version int) []byte {
	t.Helper()
	value, err := platform.EncodeConfiguration(table.Configuration{
		Version: table.Version(version), Routes: []table.Route{{Name: fmt.Sprintf("r%d", version), Host: "h", PathPrefix: "/"}},
	})
	quicktest.Assert(t, err, quicktest.IsNil)
	return value
}

// acceptsRequests reports whether the board places a request on an upstream. The request ends at once.
func acceptsRequests(upstreams *board.Board) bool {
	ticket, _ := upstreams.Place(board.Request{Service: "s"}, time.Now())
	if ticket == nil {
		return false
	}
	ticket.End(board.ResultAbandoned, time.Now())
	return true
}

// Guards against a configuration that is replaced by an older one from a stale replica of the store.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	routerView, _ := newView()
	for offset, version := range []int{3, 7, 5} {
		routerView.ApplyOperator([]feed.Record{{Key: "config", Value: configuration(t, version), Position: feed.Position(offset)}}, time.Time{})
	}
	quicktest.Check(t, routerView.Table().Version(), quicktest.Equals, table.Version(7))
	routerView.ApplyOperator([]feed.Record{{Key: "config", Value: []byte(`{"version":9,"routes":[{"name":7}]}`), Position: 9}}, time.Time{})
	quicktest.Check(t, routerView.Table().Version(), quicktest.Equals, table.Version(7))
}

// Guards against requests to an upstream whose entry was deleted while the store was reachable. The platform allows two
// seconds after the deletion.
func TestDeletedUpstreamGetsNoRequests(t *testing.T) {
	routerView, upstreams := newView()
	routerView.ApplyUpstreams([]feed.Record{{Key: "u", Value: entry(t, false, 1, 1), Position: 1}}, time.Time{})
	quicktest.Check(t, acceptsRequests(upstreams), quicktest.IsTrue)
	routerView.ApplyUpstreams([]feed.Record{{Key: "u", Position: 2}}, time.Time{})
	quicktest.Check(t, acceptsRequests(upstreams), quicktest.IsFalse)
}

// Guards against an empty pool after an outage of the store, although its upstreams are alive and register again.
func TestEntryDeletedAfterOutage(t *testing.T) {
	tests := map[string]struct {
		registersAgain bool
		wantAccepts    bool
	}{
		"registers again":         {registersAgain: true, wantAccepts: true},
		"does not register again": {registersAgain: false, wantAccepts: false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				routerView, upstreams := newView()
				routerView.ApplyUpstreams([]feed.Record{{Key: "u", Value: entry(t, false, 1, 1), Position: 1}}, time.Time{})
				end := time.Now()
				routerView.ApplyUpstreams([]feed.Record{{Key: "u", Position: 2}}, end)
				quicktest.Check(t, acceptsRequests(upstreams), quicktest.IsTrue)
				if test.registersAgain {
					time.Sleep(time.Second)
					routerView.ApplyUpstreams([]feed.Record{{Key: "u", Value: entry(t, false, 2, 1), Position: 3}}, end)
				}
				time.Sleep(3 * time.Second)
				quicktest.Check(t, acceptsRequests(upstreams), quicktest.Equals, test.wantAccepts)
			})
		})
	}
}

// Guards against invalid entries of other writers that add an upstream or stop the router.
func TestInvalidEntriesAreIgnored(t *testing.T) {
	routerView, upstreams := newView()
	values := map[string]string{
		"bytes":   "\x00\xff",
		"type":    `{"service":"s","address":"10.0.0.1:80","state":"ready","slots":"four"}`,
		"state":   `{"service":"s","address":"10.0.0.1:80","state":"resting"}`,
		"service": `{"address":"10.0.0.1:80","state":"ready"}`,
		"address": `{"service":"s","address":"somewhere","state":"ready"}`,
	}
	for key, value := range values {
		routerView.ApplyUpstreams([]feed.Record{{Key: key, Value: []byte(value)}}, time.Time{})
	}
	quicktest.Check(t, upstreams.Count(), quicktest.Equals, 0)
}

// Guards against a late entry of an earlier incarnation that replaces one of the current incarnation.
func TestOlderIncarnationIsIgnored(t *testing.T) {
	routerView, upstreams := newView()
	routerView.ApplyUpstreams([]feed.Record{{Key: "u", Value: entry(t, false, 1, 20), Position: 1}}, time.Time{})
	routerView.ApplyUpstreams([]feed.Record{{Key: "u", Value: entry(t, true, 9, 10), Position: 2}}, time.Time{})
	quicktest.Check(t, acceptsRequests(upstreams), quicktest.IsTrue)
	routerView.ApplyUpstreams([]feed.Record{{Key: "u", Value: entry(t, true, 2, 20), Position: 3}}, time.Time{})
	quicktest.Check(t, acceptsRequests(upstreams), quicktest.IsFalse)
}
