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
	// histogramMax and histogramDigits bound the times that are told apart.
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
	plotWidth       = 18 * vg.Centimeter
	plotHeight      = 10 * vg.Centimeter
)

// Report is what a trial showed.
type Report struct {
	Scenario Scenario
	Seed     uint64
	Results  []Result
	// ReadTokens and CachedTokens are the prompt tokens that the engines read, or found in memory.
	ReadTokens   int
	CachedTokens int
	// CrashedEngines is the number of engines that got too much while they were cold.
	CrashedEngines int
	// ModelError is the mean difference between the expected and the actual time to the first event.
	ModelError time.Duration
}

// LoadSummary sums up one load.
type LoadSummary struct {
	Load   string
	Counts [outcomes]int
	// Median and Percentile99 are times to the first event.
	Median       time.Duration
	Percentile99 time.Duration
}

// Requests returns the number of requests.
func (row LoadSummary) Requests() int {
	asked := 0
	for _, count := range row.Counts {
		asked += count
	}
	return asked
}

// Share returns the part of the requests with an outcome.
func (row LoadSummary) Share(outcome Outcome) float64 {
	return float64(row.Counts[outcome]) / float64(max(row.Requests(), 1))
}

// LoadSummary returns the sum of one load.
func (report Report) LoadSummary(load string) LoadSummary {
	row := LoadSummary{Load: load}
	histogram := hdrhistogram.New(1, histogramMax, histogramDigits)
	for _, result := range report.Results {
		if result.Load != load {
			continue
		}
		row.Counts[result.Outcome]++
		if result.First > 0 {
			// Times beyond the largest one cannot occur within the patience.
			_ = histogram.RecordValue(result.First.Microseconds())
		}
	}
	row.Median = time.Duration(histogram.ValueAtQuantile(50)) * time.Microsecond
	row.Percentile99 = time.Duration(histogram.ValueAtQuantile(99)) * time.Microsecond
	return row
}

// Write prints a table of the loads.
func (report Report) Write(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "Load\tAsked\tOnTime\tLate\tRefused\tFailed\tMedian\tP99\t")
	for _, load := range report.Scenario.Loads {
		row := report.LoadSummary(load.Name)
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%v\t%v\t\n", row.Load, row.Requests(), row.Counts[OutcomeOnTime], row.Counts[OutcomeLate],
			row.Counts[OutcomeRefused], row.Counts[OutcomeFailed], row.Median.Round(time.Millisecond), row.Percentile99.Round(time.Millisecond))
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write report")
	}
	_, err := fmt.Fprintf(out, "Seed %d, %d tokens read, %d found in memory, %d engines crashed, model error %v\n",
		report.Seed, report.ReadTokens, report.CachedTokens, report.CrashedEngines, report.ModelError.Round(time.Millisecond))
	return errors.Wrap(err, "write report")
}

// Plot writes an SVG of the answers on time in each second, a line for each load, beside what was asked.
func (report Report) Plot(out io.Writer) error {
	drawing := plot.New()
	drawing.Title.Text = "Answers on time, seed " + strconv.FormatUint(report.Seed, 10)
	drawing.X.Label.Text, drawing.Y.Label.Text = "Second", "Requests"
	var lines []any
	for _, load := range report.Scenario.Loads {
		asked, onTime := report.perSecond(load.Name)
		lines = append(lines, load.Name+" asked", asked, load.Name+" on time", onTime)
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

func (report Report) perSecond(load string) (asked, onTime plotter.XYs) {
	seconds := 0
	for _, result := range report.Results {
		seconds = max(seconds, int(result.At/time.Second)+1)
	}
	for second := range seconds {
		asked = append(asked, plotter.XY{X: float64(second)})
		onTime = append(onTime, plotter.XY{X: float64(second)})
	}
	for _, result := range report.Results {
		if result.Load != load {
			continue
		}
		second := int(result.At / time.Second)
		asked[second].Y++
		if result.Outcome == OutcomeOnTime {
			onTime[second].Y++
		}
	}
	return asked, onTime
}
