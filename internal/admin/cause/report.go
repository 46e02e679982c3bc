package cause

import (
	"fmt"
	"html/template"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	clockFormat = "15:04:05"
	plotWidth   = 24 * vg.Centimeter
	plotHeight  = 10 * vg.Centimeter
	// Only the most frequent outcomes are plotted.
	maxPlottedOutcomes = 7
)

// Write prints the events by time and, after the events of each second, the number of requests that ended in it by outcome.
func (timeline *Timeline) Write(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	events := timeline.Events()
	writeEvent := func(event Event) {
		lines := ""
		if event.Lines != event.Routers {
			lines = fmt.Sprintf(", %d lines", event.Lines)
		}
		fmt.Fprintf(table, "%s\t%d routers%s\t%s\t%s\n", event.At.Format(clockFormat), event.Routers, lines, event.Message, event.Detail)
	}
	outcomes := timeline.Outcomes()
	for _, second := range timeline.Seconds() {
		for len(events) > 0 && !events[0].At.After(second.At) {
			writeEvent(events[0])
			events = events[1:]
		}
		var counts []string
		for _, outcome := range outcomes {
			if count := second.Outcomes[outcome]; count > 0 {
				counts = append(counts, fmt.Sprintf("%s %d", outcome, count))
			}
		}
		if len(counts) > 0 {
			fmt.Fprintf(table, "%s\t\trequests\t%s\n", second.At.Format(clockFormat), strings.Join(counts, ", "))
		}
	}
	for _, event := range events {
		writeEvent(event)
	}
	if timeline.droppedLines > 0 {
		fmt.Fprintf(table, "\t\tlines left out\t%d, because there are more than %d distinct events\n", timeline.droppedLines, maxEvents)
	}
	return errors.Wrap(table.Flush(), "write time line")
}

var page = template.Must(template.New("incident").Parse(`<!DOCTYPE html>
<html lang="en">
<head><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}td,th{padding:2px 10px;text-align:left;border-bottom:1px solid #ccc}svg{max-width:100%}</style></head>
<body><h1>{{.Title}}</h1>
<p>Times are those of the routers' clocks, which may differ.{{if .LeftOut}} {{.LeftOut}} lines were left out.{{end}}</p>
{{.Plot}}
<table><tr><th>Time</th><th>Event</th><th>What</th><th>Routers</th><th>Lines</th></tr>
{{range .Events}}<tr><td>{{.At.Format "15:04:05"}}</td><td>{{.Message}}</td><td>{{.Detail}}</td><td>{{.Routers}}</td><td>{{.Lines}}</td></tr>
{{end}}</table></body></html>
`))

// WriteHTML writes a page with a plot of how requests ended in each second and a table of the events.
func (timeline *Timeline) WriteHTML(out io.Writer, title string) error {
	drawing, err := timeline.plot()
	if err != nil {
		return err
	}
	return errors.Wrap(page.Execute(out, struct {
		Title   string
		Plot    template.HTML
		Events  []Event
		LeftOut int
	}{title, drawing, timeline.Events(), timeline.droppedLines}), "write page")
}

// plot returns an SVG element, or an empty string if no request ended.
func (timeline *Timeline) plot() (template.HTML, error) {
	if len(timeline.seconds) == 0 {
		return "", nil
	}
	drawing := plot.New()
	drawing.X.Label.Text, drawing.Y.Label.Text = "Time", "Requests a second"
	drawing.X.Tick.Marker = plot.TimeTicks{Format: clockFormat}
	drawing.Legend.Top = true
	seconds := timeline.Seconds()
	var lines []any
	outcomes := timeline.Outcomes()
	for _, outcome := range outcomes[:min(len(outcomes), maxPlottedOutcomes)] {
		points := make(plotter.XYs, len(seconds))
		for i, second := range seconds {
			points[i] = plotter.XY{X: float64(second.At.Unix()), Y: float64(second.Outcomes[outcome])}
		}
		lines = append(lines, outcome, points)
	}
	if err := plotutil.AddLines(drawing, lines...); err != nil {
		return "", errors.Wrap(err, "draw requests")
	}
	writer, err := drawing.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", errors.Wrap(err, "draw requests")
	}
	var svg strings.Builder
	if _, err := writer.WriteTo(&svg); err != nil {
		return "", errors.Wrap(err, "write plot")
	}
	// The XML declaration before the element is not allowed inside HTML.
	text := svg.String()
	if start := strings.Index(text, "<svg"); start > 0 {
		text = text[start:]
	}
	return template.HTML(text), nil
}
