package trial

import (
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	// histogramMaxMicros and histogramDigits are the range in microseconds and the precision of the histogram.
	histogramMaxMicros = int64(time.Hour / time.Microsecond)
	histogramDigits    = 3
	plotWidth          = 18 * vg.Centimeter
	plotHeight         = 10 * vg.Centimeter
)

// Report is the result of a trial.
type Report struct {
	Scenario Scenario
	Seed     uint64
	Results  []Result
	// ReadTokens counts the prompt tokens that the engines computed, CachedTokens those found in their prompt caches.
	ReadTokens   int
	CachedTokens int
	// CrashedEngines is the number of engines that crashed because they got too many requests while they were cold.
	CrashedEngines int
	// ModelError is the mean absolute difference between the predicted and the actual time to the first event.
	ModelError time.Duration
}

// LoadSummary summarises the results of one load.
type LoadSummary struct {
	Load   string
	Counts [outcomes]int
	// Median and Percentile99 are of the time to the first event.
	Median       time.Duration
	Percentile99 time.Duration
}

// Requests returns the number of requests.
func (summary LoadSummary) Requests() int {
	total := 0
	for _, count := range summary.Counts {
		total += count
	}
	return total
}

// Share returns the fraction of the requests with an outcome.
func (summary LoadSummary) Share(outcome Outcome) float64 {
	return float64(summary.Counts[outcome]) / float64(max(summary.Requests(), 1))
}

// LoadSummary summarises the results of the named load.
func (report Report) LoadSummary(load string) LoadSummary {
	summary := LoadSummary{Load: load}
	histogram := hdrhistogram.New(1, histogramMaxMicros, histogramDigits)
	for _, result := range report.Results {
		if result.Load != load {
			continue
		}
		summary.Counts[result.Outcome]++
		if result.FirstEvent > 0 {
			// The value is in range unless Route.Patience is above an hour.
			_ = histogram.RecordValue(result.FirstEvent.Microseconds())
		}
	}
	summary.Median = time.Duration(histogram.ValueAtQuantile(50)) * time.Microsecond
	summary.Percentile99 = time.Duration(histogram.ValueAtQuantile(99)) * time.Microsecond
	return summary
}

// Write prints a table with a row for each load.
func (report Report) Write(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "Load\tAsked\tOnTime\tLate\tRefused\tFailed\tMedian\tP99\t")
	for _, load := range report.Scenario.Loads {
		summary := report.LoadSummary(load.Name)
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%v\t%v\t\n", summary.Load, summary.Requests(), summary.Counts[OutcomeOnTime], summary.Counts[OutcomeLate],
			summary.Counts[OutcomeRefused], summary.Counts[OutcomeFailed], summary.Median.Round(time.Millisecond), summary.Percentile99.Round(time.Millisecond))
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write report")
	}
	_, err := fmt.Fprintf(out, "Seed %d, %d tokens read, %d found in memory, %d engines crashed, model error %v\n",
		report.Seed, report.ReadTokens, report.CachedTokens, report.CrashedEngines, report.ModelError.Round(time.Millisecond))
	return errors.Wrap(err, "write report")
}

// Plot writes an SVG plot of the requests and the answers on time per second, with two lines for each load.
func (report Report) Plot(out io.Writer) error {
	drawing := plot.New()
	drawing.Title.Text = "Answers on time, seed " + strconv.FormatUint(report.Seed, 10)
	drawing.X.Label.Text, drawing.Y.Label.Text = "Second", "Requests"
	var lines []any
	for _, load := range report.Scenario.Loads {
		requests, onTime := report.requestsPerSecond(load.Name)
		lines = append(lines, load.Name+" asked", requests, load.Name+" on time", onTime)
	}
	if err := plotutil.AddLines(drawing, lines...); err != nil {
		return errors.Wrap(err, "draw report")
	}
	writer, err := drawing.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return errors.Wrap(err, "draw report")
	}
	_, err = writer.WriteTo(out)
	return errors.Wrap(err, "write plot")
}

func (report Report) requestsPerSecond(load string) (requests, onTime plotter.XYs) {
	seconds := 0
	for _, result := range report.Results {
		seconds = max(seconds, int(result.SentAt/time.Second)+1)
	}
	for second := range seconds {
		requests = append(requests, plotter.XY{X: float64(second)})
		onTime = append(onTime, plotter.XY{X: float64(second)})
	}
	for _, result := range report.Results {
		if result.Load != load {
			continue
		}
		second := int(result.SentAt / time.Second)
		requests[second].Y++
		if result.Outcome == OutcomeOnTime {
			onTime[second].Y++
		}
	}
	return requests, onTime
}
