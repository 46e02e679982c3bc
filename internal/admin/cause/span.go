package cause

import (
	"bufio"
	"bytes"
	"cmp"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// maxEvents bounds the distinct events of a Span. A fleet of three hundred routers has some thousands in ten minutes.
const maxEvents = 100_000

// details are the fields that tell events with the same message apart, in the order in which they are shown.
var details = []string{"Version", "Zone", "Upstream", "Peer", "Topic", "Dependency", "Leaving", "Cause", "Error", "Grace", "Paused"}

// Event is what one or more routers wrote within one second.
type Event struct {
	At      time.Time
	Message string
	Detail  string
	// Routers are those that wrote it, and Lines how often.
	Routers int
	Lines   int
}

// Second counts how requests ended within one second, by outcome or by the reason of a rejection.
type Second struct {
	At       time.Time
	Outcomes map[string]int
}

// Timeline is the time line of all routers over a span. Times are those of the lines, whose clocks may differ between routers.
type Timeline struct {
	// From and To bound it; the zero value sets no bound. Log lines carry no date, so that only the time of day counts.
	From, To time.Time

	events  map[eventKey]*eventCount
	seconds map[int64]map[string]int
	leftOut int
}

type eventKey struct {
	second          int64
	message, detail string
}

type eventCount struct {
	routers map[string]struct{}
	lines   int
}

// ReadPath reads a file, or all files of a directory and those below it, as Search does.
func (span *Timeline) ReadPath(name string) error { return walk(name, span.ReadLog) }

// ReadLog reads one log, plain or compressed with gzip.
func (span *Timeline) ReadLog(reader io.Reader) error {
	if span.events == nil {
		span.events, span.seconds = map[eventKey]*eventCount{}, map[int64]map[string]int{}
	}
	return scan(reader, func(text []byte) {
		if bytes.Contains(text, requestField) && !ends(text) {
			return
		}
		line, ok := parse(string(text))
		if !ok || (!span.From.IsZero() && line.Time.Before(span.From)) || (!span.To.IsZero() && !line.Time.Before(span.To)) {
			return
		}
		if line.Fields["Request"] == "" {
			span.event(line)
			return
		}
		if outcome := outcomeOf(line); outcome != "" {
			second := line.Time.Unix()
			if span.seconds[second] == nil {
				span.seconds[second] = map[string]int{}
			}
			span.seconds[second][outcome]++
		}
	})
}

// ends reports whether a line may be the last of a request. Most lines are not, and need not be parsed.
func ends(text []byte) bool {
	return bytes.Contains(text, []byte(" ended: ")) || bytes.Contains(text, []byte(" rejected: ")) ||
		bytes.Contains(text, []byte(" answer broken off: "))
}

func outcomeOf(line Line) string {
	switch line.Message {
	case "ended":
		return line.Fields["Outcome"]
	case "rejected":
		return line.Fields["Reason"]
	case "answer broken off":
		return "BrokenOff"
	}
	return ""
}

func (span *Timeline) event(line Line) {
	var shown []string
	for _, name := range details {
		if value := line.Fields[name]; value != "" {
			shown = append(shown, name+"="+value)
		}
	}
	key := eventKey{line.Time.Unix(), line.Message, strings.Join(shown, " ")}
	count, ok := span.events[key]
	if !ok {
		if len(span.events) >= maxEvents {
			span.leftOut++
			return
		}
		count = &eventCount{routers: map[string]struct{}{}}
		span.events[key] = count
	}
	count.lines++
	count.routers[line.Instance()] = struct{}{}
}

// Events returns the events in order.
func (span *Timeline) Events() []Event {
	events := make([]Event, 0, len(span.events))
	for key, count := range span.events {
		events = append(events, Event{
			At: time.Unix(key.second, 0).UTC(), Message: key.message, Detail: key.detail, Routers: len(count.routers), Lines: count.lines,
		})
	}
	slices.SortFunc(events, func(a, b Event) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Message, b.Message), cmp.Compare(a.Detail, b.Detail))
	})
	return events
}

// Seconds returns the counts of each second from the first to the last in which a request ended.
func (span *Timeline) Seconds() []Second {
	if len(span.seconds) == 0 {
		return nil
	}
	known := slices.Sorted(maps.Keys(span.seconds))
	var seconds []Second
	for second := known[0]; second <= known[len(known)-1]; second++ {
		outcomes := span.seconds[second]
		if outcomes == nil {
			outcomes = map[string]int{}
		}
		seconds = append(seconds, Second{At: time.Unix(second, 0).UTC(), Outcomes: outcomes})
	}
	return seconds
}

// Outcomes returns the names of all outcomes, the most frequent first.
func (span *Timeline) Outcomes() []string {
	totals := map[string]int{}
	for _, outcomes := range span.seconds {
		for outcome, count := range outcomes {
			totals[outcome] += count
		}
	}
	return slices.SortedFunc(maps.Keys(totals), func(a, b string) int {
		return cmp.Or(cmp.Compare(totals[b], totals[a]), cmp.Compare(a, b))
	})
}

// ParseTime reads the time of day of a log line, such as 18:11:41 or 18:11:41.090.
func ParseTime(text string) (time.Time, error) {
	for _, layout := range []string{timeFormat, "15:04:05", "15:04"} {
		if at, err := time.Parse(layout, text); err == nil {
			return at, nil
		}
	}
	return time.Time{}, errors.Errorf("time %q: want a time of day, for example 18:11:41", text)
}

// scan calls a function with each line of a log, plain or compressed with gzip. A line above 1 MiB is an error.
func scan(reader io.Reader, each func(text []byte)) error {
	source, err := unpacked(bufio.NewReader(reader))
	if err != nil {
		return err
	}
	scanner := bufio.NewScanner(source)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		each(scanner.Bytes())
	}
	return errors.Wrap(scanner.Err(), "read log")
}
