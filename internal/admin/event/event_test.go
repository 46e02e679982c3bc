package event_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/admin/event"
	"github.com/clementinewind/clementinewind/internal/wire/operatorv1"
)

var update = flag.Bool("update", false, "rewrite the expected output in testdata")

// Guards against an effect whose stamp is not higher than that of its cause, whatever the wall clocks show.
func TestClockCausalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMilli(1_700_000_000_000)
		clocks := make([]*event.Clock, 3)
		for i := range clocks {
			skew := time.Duration(rapid.IntRange(-20_000, 20_000).Draw(t, "skew")) * time.Millisecond
			clocks[i] = event.NewClock(event.ClockConfig{Now: func() time.Time { return now.Add(skew) }})
		}
		for range 50 {
			now = now.Add(time.Duration(rapid.IntRange(-50, 50).Draw(t, "step")) * time.Millisecond)
			from := clocks[rapid.IntRange(0, 2).Draw(t, "from")]
			to := clocks[rapid.IntRange(0, 2).Draw(t, "to")]
			cause := from.Stamp()
			if err := to.Observe(cause); err != nil {
				t.Fatal(err)
			}
			if effect := to.Stamp(); effect <= cause {
				t.Fatalf("effect %d is not above its cause %d", effect, cause)
			}
		}
	})
}

// Guards against one instance with a wrong clock that moves the stamps of the whole fleet into the future.
func TestClockRejectsFuture(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	clock := event.NewClock(event.ClockConfig{Now: func() time.Time { return now }})
	future := event.NewClock(event.ClockConfig{Now: func() time.Time { return now.Add(time.Hour) }}).Stamp()
	quicktest.Assert(t, errors.Is(clock.Observe(future), event.ErrStampAhead), quicktest.IsTrue)
	quicktest.Assert(t, event.StampTime(clock.Stamp()).Equal(now), quicktest.IsTrue)
}

func newRing(instance clementinewind.Instance, zone clementinewind.Zone, clock *event.Clock) *event.Ring {
	return event.NewRing(event.RingConfig{Instance: instance, Zone: zone, Clock: clock, Size: 16})
}

// Guards against a ring that loses the newest events, grows beyond its size, or returns events out of order.
func TestRingOverwritesOldest(t *testing.T) {
	ring := newRing("a1", "a", nil)
	for i := range 40 {
		ring.Record(clementinewind.Event{Kind: clementinewind.EventRefused, Detail: fmt.Sprint(i)})
	}
	events := ring.Events(event.Query{})
	quicktest.Assert(t, len(events), quicktest.Equals, 16)
	quicktest.Assert(t, ring.Overwritten(), quicktest.Equals, uint64(24))
	for i, recorded := range events {
		quicktest.Assert(t, recorded.Detail, quicktest.Equals, fmt.Sprint(24+i))
		quicktest.Assert(t, i == 0 || recorded.Stamp > events[i-1].Stamp, quicktest.IsTrue)
	}
	newest := ring.Events(event.Query{Limit: 1})
	quicktest.Assert(t, newest, quicktest.DeepEquals, events[15:])
}

// Guards against a query that returns events of another organisation, zone, upstream, request or time.
func TestQuery(t *testing.T) {
	ring := newRing("a1", "a", nil)
	at := time.UnixMilli(1_700_000_000_000)
	ring.Record(clementinewind.Event{Organisation: "patel", Upstream: "m1", RequestID: "r1", Time: at, Detail: "first"})
	ring.Record(clementinewind.Event{Organisation: "okafor", Zone: "b", Upstream: "m2", RequestID: "r2", Time: at.Add(time.Second), Detail: "second"})
	tests := map[string]struct {
		request *operatorv1.TimelineRequest
		want    string
	}{
		"all":          {&operatorv1.TimelineRequest{}, "first second"},
		"organisation": {&operatorv1.TimelineRequest{Organisation: "patel"}, "first"},
		"zone":         {&operatorv1.TimelineRequest{Zone: "b"}, "second"},
		"upstream":     {&operatorv1.TimelineRequest{Upstream: "m1"}, "first"},
		"request":      {&operatorv1.TimelineRequest{RequestId: "r2"}, "second"},
		"since":        {&operatorv1.TimelineRequest{SinceMillis: at.UnixMilli() + 1000}, "second"},
		"until":        {&operatorv1.TimelineRequest{UntilMillis: at.UnixMilli() + 1000}, "first"},
		"limit":        {&operatorv1.TimelineRequest{Limit: 1}, "second"},
		"none":         {&operatorv1.TimelineRequest{Organisation: "patel", Zone: "b"}, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var details []string
			for _, selected := range ring.Events(event.QueryFromProto(test.request)) {
				details = append(details, selected.Detail)
			}
			quicktest.Assert(t, strings.Join(details, " "), quicktest.Equals, test.want)
		})
	}
}

// Guards against a merge that repeats or loses an event or puts an effect before its cause, also for events that were
// encoded as protobuf messages.
func TestMerge(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	slowClock := event.NewClock(event.ClockConfig{Now: func() time.Time { return now.Add(-time.Second) }})
	fastClock := event.NewClock(event.ClockConfig{Now: func() time.Time { return now }})
	first, second := newRing("a1", "a", fastClock), newRing("b1", "b", slowClock)
	first.Record(clementinewind.Event{Kind: clementinewind.EventZoneOut, Detail: "cause"})
	quicktest.Assert(t, slowClock.Observe(fastClock.Last()), quicktest.IsNil)
	second.Record(clementinewind.Event{Kind: clementinewind.EventZoneOut, Detail: "effect"})
	decoded := event.ListFromProto(event.ListToProto(second.Events(event.Query{})))
	merged := event.Merge(event.Query{}, second.Events(event.Query{}), decoded, first.Events(event.Query{}))
	quicktest.Assert(t, merged, quicktest.DeepEquals, append(first.Events(event.Query{}), second.Events(event.Query{})...))
}

// Guards against an event kind of a newer version that disappears from the time line.
func TestUnknownKind(t *testing.T) {
	decoded := event.FromProto(&operatorv1.TimelineEvent{Kind: "Invented", Detail: "text"})
	quicktest.Assert(t, decoded.Kind, quicktest.Equals, event.UnknownKind)
	quicktest.Assert(t, decoded.Detail, quicktest.Equals, "Invented: text")
	known := event.FromProto(event.ToProto(clementinewind.Event{Kind: clementinewind.EventSnapshotWritten}))
	quicktest.Assert(t, known.Kind, quicktest.Equals, clementinewind.EventSnapshotWritten)
}

// Guards against callers that forge log lines with control characters, and against a slow log output that blocks Record.
func TestRingLogLines(t *testing.T) {
	var output bytes.Buffer
	logger := hclog.New(&hclog.LoggerOptions{Output: &output, DisableTime: true})
	ring := event.NewRing(event.RingConfig{Instance: "a1", Zone: "a", Logger: logger})
	ring.Record(clementinewind.Event{Kind: clementinewind.EventRefused, Organisation: "x\nfake", Detail: strings.Repeat("d", 9999)})
	for range 2000 {
		ring.Record(clementinewind.Event{Kind: clementinewind.EventOverload, Upstream: "m1"})
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	quicktest.Assert(t, ring.Run(ctx), quicktest.IsNil)
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	// The queue holds 1,024 of the 2,001 events; one more line reports the other 977.
	quicktest.Assert(t, len(lines), quicktest.Equals, 1025)
	quicktest.Assert(t, lines[0], quicktest.Contains, "EventLinesLost: Count=977")
	quicktest.Assert(t, lines[1], quicktest.Matches, `\[INFO\]  Refused: Instance=a1 Zone=a Stamp=[0-9]+ Organisation="x fake" Detail=d{512}`)
	quicktest.Assert(t, lines[2], quicktest.Matches, `\[WARN\]  Overload: Instance=a1 Zone=a Stamp=[0-9]+ Upstream=m1`)
}

// fakeAppender is an Appender that fails while it is down.
type fakeAppender struct {
	down     bool
	appended []clementinewind.Event
	calls    []time.Time
}

func (fakeAppender *fakeAppender) Append(_ context.Context, payload []byte) (clementinewind.Offset, error) {
	fakeAppender.calls = append(fakeAppender.calls, time.Now())
	if fakeAppender.down {
		return 0, clementinewind.ErrLogUnavailable
	}
	decoded, err := event.DecodeDisclosure(payload)
	fakeAppender.appended = append(fakeAppender.appended, decoded)
	return clementinewind.Offset(len(fakeAppender.appended)), err
}

// Guards against disclosed events that are lost in an outage without being reported, and against an unbounded backlog or
// append rate.
func TestDiscloserOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		appender := &fakeAppender{down: true}
		discloser := event.NewDiscloser(event.DiscloserConfig{
			Instance: "a1", Zone: "a", Appender: appender, Rate: 1, Burst: 2, Backlog: 3,
		})
		ring := event.NewRing(event.RingConfig{Instance: "a1", Zone: "a", Discloser: discloser})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- discloser.Run(ctx) }()
		for i := range 5 {
			ring.Record(clementinewind.Event{Kind: clementinewind.EventStale, Detail: fmt.Sprint(i)})
			ring.Record(clementinewind.Event{Kind: clementinewind.EventWarm, Detail: "not disclosed"})
		}
		time.Sleep(10 * time.Minute)
		synctest.Wait()
		quicktest.Assert(t, discloser.Pending(), quicktest.Equals, 3)
		quicktest.Assert(t, discloser.Lost(), quicktest.Equals, uint64(2))
		// The backoff grows to one attempt every 30 s.
		quicktest.Assert(t, len(appender.calls) <= 30, quicktest.IsTrue, quicktest.Commentf("%d attempts", len(appender.calls)))
		appender.down = false
		start := time.Now()
		for discloser.Pending() > 0 {
			time.Sleep(time.Second)
			synctest.Wait()
		}
		quicktest.Assert(t, time.Since(start) <= 35*time.Second, quicktest.IsTrue)
		var details []string
		for _, disclosed := range appender.appended {
			details = append(details, disclosed.Detail)
		}
		quicktest.Assert(t, details, quicktest.DeepEquals, []string{
			"0", "1", "2", "2 events from 2000-01-01T00:00:00Z to 2000-01-01T00:00:00Z are lost because the backlog was full",
		})
		cancel()
		quicktest.Assert(t, <-done, quicktest.IsNil)
		ring.Record(clementinewind.Event{Kind: clementinewind.EventFresh, Detail: "at exit"})
		quicktest.Assert(t, discloser.Flush(t.Context()), quicktest.IsNil)
		quicktest.Assert(t, appender.appended[4].Detail, quicktest.Equals, "at exit")
	})
}

func exampleTimeline() event.Timeline {
	now := time.UnixMilli(1_700_000_000_000)
	clock := event.NewClock(event.ClockConfig{Now: func() time.Time { return now }})
	first, second := newRing("a1", "a", clock), newRing("b1", "b", clock)
	first.Record(clementinewind.Event{Kind: clementinewind.EventSettingsAccepted, Detail: "by sato: version 41"})
	now = now.Add(800 * time.Millisecond)
	second.Record(clementinewind.Event{Kind: clementinewind.EventZoneOut, Detail: "zone b: power works"})
	now = now.Add(2200 * time.Millisecond)
	second.Record(clementinewind.Event{
		Kind: clementinewind.EventUnknownOutcome, Organisation: "patel", Upstream: "booking-2",
		RequestID: "000102030405060708090a0b0c0d0e0f", Detail: "ConnectionLost <script>alert(1)</script>",
	})
	return event.Timeline{
		Events:  event.Merge(event.Query{}, first.Events(event.Query{}), second.Events(event.Query{})),
		Missing: []clementinewind.Instance{"c1"},
	}
}

// Guards against output that loses an event, hides missing instances or does not escape a caller's text in HTML.
func TestTimelineOutput(t *testing.T) {
	timeline := exampleTimeline()
	for name, render := range map[string]func(*bytes.Buffer) error{
		"timeline.txt":  func(output *bytes.Buffer) error { return timeline.WriteText(output) },
		"timeline.json": func(output *bytes.Buffer) error { return timeline.WriteJSON(output) },
		"timeline.html": func(output *bytes.Buffer) error { return timeline.WriteHTML(output) },
		"empty.html":    func(output *bytes.Buffer) error { return event.Timeline{}.WriteHTML(output) },
	} {
		t.Run(name, func(t *testing.T) {
			var output bytes.Buffer
			quicktest.Assert(t, render(&output), quicktest.IsNil)
			file := filepath.Join("testdata", name)
			if *update {
				quicktest.Assert(t, os.WriteFile(file, output.Bytes(), 0o644), quicktest.IsNil)
			}
			want, err := os.ReadFile(file)
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Assert(t, output.String(), quicktest.Equals, string(want))
			quicktest.Assert(t, strings.HasSuffix(name, ".html") && strings.Contains(output.String(), "<script>alert"), quicktest.IsFalse)
		})
	}
}
