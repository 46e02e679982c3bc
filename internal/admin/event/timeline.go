package event

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
)

// timeFormat shows milliseconds, the resolution of event times.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

//go:embed timeline.html
var pageTemplate string

// Timeline is a merged list of events and the instances whose events could not be fetched.
type Timeline struct {
	Events  []clementinewind.Event
	Missing []clementinewind.Instance
}

// WriteText writes a table with one row for each event.
func (timeline Timeline) WriteText(writer io.Writer) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "TIME\tINSTANCE\tZONE\tKIND\tORGANISATION\tUPSTREAM\tREQUEST\tDETAIL")
	for _, event := range timeline.Events {
		fmt.Fprintln(table, strings.Join([]string{
			event.Time.UTC().Format(timeFormat), orDash(event.Instance), orDash(event.Zone), event.Kind.String(),
			orDash(event.Organisation), orDash(event.Upstream), orDash(event.RequestID), orDash(event.Detail),
		}, "\t"))
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write time line")
	}
	if len(timeline.Missing) > 0 {
		if _, err := fmt.Fprintf(writer, "Missing: the events of %s could not be fetched\n", joinInstances(timeline.Missing)); err != nil {
			return errors.Wrap(err, "write time line")
		}
	}
	return nil
}

func orDash[T ~string](text T) string {
	if text == "" {
		return "-"
	}
	return string(text)
}

func joinInstances(instances []clementinewind.Instance) string {
	names := make([]string, len(instances))
	for i, instance := range instances {
		names[i] = string(instance)
	}
	return strings.Join(names, ", ")
}

// jsonEvent is the JSON form of an event. The stamp is a string because it exceeds the integers that a JSON number, usually
// read as a double, represents exactly.
type jsonEvent struct {
	Stamp        uint64 `json:",string"`
	Time         string
	Instance     clementinewind.Instance
	Zone         clementinewind.Zone
	Kind         string
	Organisation clementinewind.Organisation `json:",omitempty"`
	Upstream     clementinewind.Upstream     `json:",omitempty"`
	RequestID    string                      `json:",omitempty"`
	Detail       string                      `json:",omitempty"`
}

// WriteJSON writes the time line as one JSON object with Pascal-case names.
func (timeline Timeline) WriteJSON(writer io.Writer) error {
	document := struct {
		Events  []jsonEvent
		Missing []clementinewind.Instance
	}{Events: make([]jsonEvent, 0, len(timeline.Events)), Missing: append([]clementinewind.Instance{}, timeline.Missing...)}
	for _, event := range timeline.Events {
		document.Events = append(document.Events, jsonEvent{
			Stamp: event.Stamp, Time: event.Time.UTC().Format(timeFormat), Instance: event.Instance, Zone: event.Zone,
			Kind: event.Kind.String(), Organisation: event.Organisation, Upstream: event.Upstream,
			RequestID: event.RequestID, Detail: event.Detail,
		})
	}
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(document), "write time line")
}

// pageRow is the row of one instance on the HTML page.
type pageRow struct {
	Instance clementinewind.Instance
	Zone     clementinewind.Zone
	Marks    []pageMark
}

// pageMark is the mark of an event on the time axis. Left is its position in percent of the axis.
type pageMark struct {
	Left    float64
	Time    string
	Event   clementinewind.Event
	Warning bool
}

type pageTick struct {
	Left  float64
	Label string
}

// tickIntervals is the number of intervals between the ticks of the time axis.
const tickIntervals = 6

// WriteHTML writes a self-contained page: a time axis with a row of marks for each instance, and a table. Marks are placed
// by the time of the stamp, so that an effect is never left of its cause even if the clocks of instances differ.
func (timeline Timeline) WriteHTML(writer io.Writer) error {
	parsed, err := template.New("timeline").Parse(pageTemplate)
	if err != nil {
		return errors.Wrap(err, "parse time line page")
	}
	document := struct {
		From, To string
		Missing  string
		Ticks    []pageTick
		Rows     []*pageRow
		All      []pageMark
	}{Missing: joinInstances(timeline.Missing)}
	rows := map[clementinewind.Instance]*pageRow{}
	if len(timeline.Events) > 0 {
		timeAxis := newTimeAxis(timeline.Events)
		document.From, document.To = timeAxis.from.Format(timeFormat), timeAxis.to.Format(timeFormat)
		document.Ticks = timeAxis.ticks()
		for _, event := range timeline.Events {
			mark := pageMark{
				Left: timeAxis.position(StampTime(event.Stamp)), Time: event.Time.UTC().Format(timeFormat), Event: event,
				Warning: logLevel(event.Kind) == hclog.Warn,
			}
			document.All = append(document.All, mark)
			if rows[event.Instance] == nil {
				rows[event.Instance] = &pageRow{Instance: event.Instance, Zone: event.Zone}
				document.Rows = append(document.Rows, rows[event.Instance])
			}
			rows[event.Instance].Marks = append(rows[event.Instance].Marks, mark)
		}
	}
	slices.SortFunc(document.Rows, func(first, second *pageRow) int {
		return strings.Compare(string(first.Instance), string(second.Instance))
	})
	return errors.Wrap(parsed.Execute(writer, document), "write time line page")
}

type timeAxis struct{ from, to time.Time }

func newTimeAxis(events []clementinewind.Event) timeAxis {
	timeAxis := timeAxis{from: StampTime(events[0].Stamp), to: StampTime(events[0].Stamp)}
	for _, event := range events {
		if at := StampTime(event.Stamp); at.Before(timeAxis.from) {
			timeAxis.from = at
		} else if at.After(timeAxis.to) {
			timeAxis.to = at
		}
	}
	// The axis must not be empty if there is one event, or several at one time.
	if timeAxis.to.Sub(timeAxis.from) < time.Second {
		timeAxis.to = timeAxis.from.Add(time.Second)
	}
	return timeAxis
}

func (timeAxis timeAxis) position(at time.Time) float64 {
	return 100 * float64(at.Sub(timeAxis.from)) / float64(timeAxis.to.Sub(timeAxis.from))
}

func (timeAxis timeAxis) ticks() []pageTick {
	ticks := make([]pageTick, tickIntervals+1)
	for i := range ticks {
		at := timeAxis.from.Add(timeAxis.to.Sub(timeAxis.from) / tickIntervals * time.Duration(i))
		ticks[i] = pageTick{Left: 100 * float64(i) / tickIntervals, Label: at.Format("15:04:05.000")}
	}
	return ticks
}
