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

// maxEvents bounds the distinct events of a Timeline. A fleet of 300 routers logs some thousands in ten minutes.
const maxEvents = 100_000

// detailFields are the fields that distinguish events with the same message, in the order in which they are shown.
var detailFields = []string{"Version", "Zone", "Upstream", "Peer", "Topic", "Dependency", "Leaving", "Cause", "Error", "Grace", "Paused"}

// Event aggregates the equal lines that routers logged within one second.
type Event struct {
	At      time.Time
	Message string
	Detail  string
	// Routers is the number of routers that logged the event, and Lines the number of lines.
	Routers int
	Lines   int
}

// Second counts the requests that ended within one second, by outcome or by the reason of a rejection.
type Second struct {
	At       time.Time
	Outcomes map[string]int
}

// Timeline aggregates the logs of many routers by second. Times are those of the log lines; the clocks of routers may differ.
type Timeline struct {
	// From (inclusive) and To (exclusive) select lines by time of day, because log lines carry no date; the zero value sets
	// no bound.
	From, To time.Time

	events       map[eventKey]*eventCount
	seconds      map[int64]map[string]int
	droppedLines int
}

type eventKey struct {
	second          int64
	message, detail string
}

type eventCount struct {
	routers map[string]struct{}
	lines   int
}

// ReadPath reads a file, or all files of a directory tree, plain or compressed with gzip.
func (timeline *Timeline) ReadPath(name string) error { return readLogs(name, timeline.ReadLog) }

// ReadLog reads one log, plain or compressed with gzip. A line above 1 MiB is an error.
func (timeline *Timeline) ReadLog(reader io.Reader) error {
	if timeline.events == nil {
		timeline.events, timeline.seconds = map[eventKey]*eventCount{}, map[int64]map[string]int{}
	}
	return scanLines(reader, func(text []byte) {
		if bytes.Contains(text, requestField) && !mayEndRequest(text) {
			return
		}
		line, ok := parseLine(string(text))
		if !ok || (!timeline.From.IsZero() && line.Time.Before(timeline.From)) || (!timeline.To.IsZero() && !line.Time.Before(timeline.To)) {
			return
		}
		if line.Fields["Request"] == "" {
			timeline.addEvent(line)
			return
		}
		if outcome := outcomeOf(line); outcome != "" {
			second := line.Time.Unix()
			if timeline.seconds[second] == nil {
				timeline.seconds[second] = map[string]int{}
			}
			timeline.seconds[second][outcome]++
		}
	})
}

// mayEndRequest reports whether a line may be the last of a request. It saves parsing the other lines, which are most.
func mayEndRequest(text []byte) bool {
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

func (timeline *Timeline) addEvent(line Line) {
	var fields []string
	for _, name := range detailFields {
		if value := line.Fields[name]; value != "" {
			fields = append(fields, name+"="+value)
		}
	}
	key := eventKey{line.Time.Unix(), line.Message, strings.Join(fields, " ")}
	count, ok := timeline.events[key]
	if !ok {
		if len(timeline.events) >= maxEvents {
			timeline.droppedLines++
			return
		}
		count = &eventCount{routers: map[string]struct{}{}}
		timeline.events[key] = count
	}
	count.lines++
	count.routers[line.Instance()] = struct{}{}
}

// Events returns the events ordered by time.
func (timeline *Timeline) Events() []Event {
	events := make([]Event, 0, len(timeline.events))
	for key, count := range timeline.events {
		events = append(events, Event{
			At: time.Unix(key.second, 0).UTC(), Message: key.message, Detail: key.detail, Routers: len(count.routers), Lines: count.lines,
		})
	}
	slices.SortFunc(events, func(a, b Event) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Message, b.Message), cmp.Compare(a.Detail, b.Detail))
	})
	return events
}

// Seconds returns the counts of each second between the first and the last in which a request ended, also of those without
// any.
func (timeline *Timeline) Seconds() []Second {
	if len(timeline.seconds) == 0 {
		return nil
	}
	sorted := slices.Sorted(maps.Keys(timeline.seconds))
	var seconds []Second
	for second := sorted[0]; second <= sorted[len(sorted)-1]; second++ {
		outcomes := timeline.seconds[second]
		if outcomes == nil {
			outcomes = map[string]int{}
		}
		seconds = append(seconds, Second{At: time.Unix(second, 0).UTC(), Outcomes: outcomes})
	}
	return seconds
}

// Outcomes returns all outcomes, the most frequent first.
func (timeline *Timeline) Outcomes() []string {
	totals := map[string]int{}
	for _, outcomes := range timeline.seconds {
		for outcome, count := range outcomes {
			totals[outcome] += count
		}
	}
	return slices.SortedFunc(maps.Keys(totals), func(a, b string) int {
		return cmp.Or(cmp.Compare(totals[b], totals[a]), cmp.Compare(a, b))
	})
}

// ParseTime parses a time of day as log lines carry it, such as 18:11:41.090, 18:11:41 or 18:11.
func ParseTime(text string) (time.Time, error) {
	for _, layout := range []string{timeFormat, "15:04:05", "15:04"} {
		if at, err := time.Parse(layout, text); err == nil {
			return at, nil
		}
	}
	return time.Time{}, errors.Errorf("time %q: want a time of day, for example 18:11:41", text)
}

// scanLines calls a function with each line of a log, plain or compressed with gzip. The line is valid until it returns.
func scanLines(reader io.Reader, each func(text []byte)) error {
	source, err := decompress(bufio.NewReader(reader))
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
