// Package cause analyses router logs: it explains why one request ended as it did, and merges the logs of a whole fleet
// into one incident time line.
package cause

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// contextTimeBefore and contextTimeAfter bound the time around a request from which other lines of its router are reported.
	contextTimeBefore = 5 * time.Second
	contextTimeAfter  = 2 * time.Second
)

// Report explains how one request ended.
type Report struct {
	// Lines holds the log lines of the request and the state changes that its router logged around it, by time.
	Lines []Line
	// Cause says in one sentence why the request ended as it did.
	Cause string
}

// Explain finds a request in the lines of any number of routers. It returns false if no line names the request. The
// surrounding lines are taken only from the router that logged the request's first line, because the clocks of routers may
// differ.
func Explain(lines []Line, requestID string) (Report, bool) {
	var requestLines []Line
	for _, line := range lines {
		if line.Fields["Request"] == requestID {
			requestLines = append(requestLines, line)
		}
	}
	if len(requestLines) == 0 {
		return Report{}, false
	}
	slices.SortStableFunc(requestLines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	allLines := slices.Concat(requestLines, contextLines(lines, requestLines))
	slices.SortStableFunc(allLines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return Report{Lines: allLines, Cause: causeOf(requestLines, allLines)}, true
}

// contextLines returns the lines that the router of a request logged around it without naming a request: state changes of
// the request's upstreams, and lines that name no upstream.
func contextLines(lines, requestLines []Line) []Line {
	upstreams := map[string]bool{}
	for _, line := range requestLines {
		upstreams[line.Fields["Upstream"]] = true
	}
	from, to := requestLines[0].Time.Add(-contextTimeBefore), requestLines[len(requestLines)-1].Time.Add(contextTimeAfter)
	var found []Line
	for _, line := range lines {
		if line.Instance() != requestLines[0].Instance() || line.Fields["Request"] != "" || line.Time.Before(from) || line.Time.After(to) {
			continue
		}
		upstream, hasUpstream := line.Fields["Upstream"]
		if !hasUpstream || upstreams[upstream] {
			found = append(found, line)
		}
	}
	return found
}

// causeOf derives the cause from the last line of the request, its last failed attempt, and crashes among all lines of its report.
func causeOf(requestLines, allLines []Line) string {
	last := requestLines[len(requestLines)-1]
	lastFailure := lastWithMessage(requestLines, "attempt failed", "stream broke off", "answer broke off", "declined", "not resumed")
	switch last.Message {
	case "ended":
		return causeOfEnd(last, lastFailure)
	case "rejected":
		return causeOfRejection(last, lastFailure)
	case "answer broken off":
		if lastFailure.Fields["Deadline"] == "true" {
			return fmt.Sprintf("The stream was cut after %s events because its deadline passed while upstream %s was still sending.",
				last.Fields["Events"], lastFailure.Fields["Upstream"])
		}
		if crash := crashOf(lastFailure.Fields["Upstream"], allLines); crash.Message != "" {
			return fmt.Sprintf("The stream was cut after %s events because upstream %s crashed; requests that it began to answer then: %s.",
				last.Fields["Events"], lastFailure.Fields["Upstream"], crash.Fields["Answering"])
		}
		return fmt.Sprintf("The stream was cut after %s events because upstream %s broke it off: %s.",
			last.Fields["Events"], lastFailure.Fields["Upstream"], lastFailure.Fields["Error"])
	}
	return fmt.Sprintf("The log ends with %q: the router stopped, or lines were left out.", last.Message)
}

// crashOf returns the line that reports the crash of an upstream; the zero Line if there is none.
func crashOf(upstream string, lines []Line) Line {
	for _, line := range lines {
		if line.Message == "upstream crashed" && line.Fields["Upstream"] == upstream {
			return line
		}
	}
	return Line{}
}

func causeOfEnd(last, lastFailure Line) string {
	switch last.Fields["Outcome"] {
	case "Answered":
		return fmt.Sprintf("The caller got the answer of an upstream (%s) after %s.", last.Fields["Detail"], last.Fields["Took"])
	case "Failed":
		return fmt.Sprintf("The caller got the failure of an upstream: %s.", last.Fields["Detail"])
	}
	text := fmt.Sprintf("The caller left after %s", last.Fields["Took"])
	if lastFailure.Message != "" {
		text += fmt.Sprintf(" while upstream %s had not answered", lastFailure.Fields["Upstream"])
	}
	return text + "."
}

func causeOfRejection(last, lastFailure Line) string {
	reason, detail := last.Fields["Reason"], last.Fields["Detail"]
	switch {
	case reason == "NoCapacity" && strings.Contains(detail, "got far more"):
		return fmt.Sprintf("The request was refused and has not run: its organisation had %s of its fair share while one that waits had far less; "+
			"return after %s.", last.Fields["Share"], last.Fields["RetryAfter"])
	case reason == "NoCapacity" && last.Fields["Tried"] == "0":
		if late := last.Fields["Late"]; late != "" && late != "0s" {
			return fmt.Sprintf("The request was refused and has not run: the upstreams were %s too far behind for it, and its organisation "+
				"had %s of its fair share; return after %s.", late, last.Fields["Share"], last.Fields["RetryAfter"])
		}
		return fmt.Sprintf("The request was refused and has not run: no upstream took requests; return after %s.", last.Fields["RetryAfter"])
	case reason == "Quarantined" && last.Fields["Status"] == "503":
		return fmt.Sprintf("The request was refused and has not run: %s, so that no request with it is sent before the part is probed in %s.",
			detail, last.Fields["RetryAfter"])
	case reason == "Quarantined":
		return fmt.Sprintf("The request waited at upstream %s and was withdrawn, because a part of its prompt had crashed several upstreams.",
			lastFailure.Fields["Upstream"])
	case reason == "OriginUnknown":
		return fmt.Sprintf("The request takes up a stream and was refused, because a stream may go on only at the version that began it: %s.", detail)
	case reason == "OriginGone":
		return fmt.Sprintf("The request takes up a stream and was refused, because there is %s; the stream cannot go on.", detail)
	case reason == "Unauthorized":
		return "The request was denied because no organisation of the configuration in force holds its key."
	case reason == "Invalid":
		return fmt.Sprintf("The request was denied: %s.", detail)
	case lastFailure.Message == "":
		return fmt.Sprintf("The request was rejected with %s: %s (%s).", last.Fields["Status"], detail, reason)
	}
	failure := lastFailure.Fields["Error"]
	if failure == "" {
		failure = strings.TrimSpace("status " + lastFailure.Fields["Status"])
	}
	return fmt.Sprintf("The request was rejected with %s (%s) after upstream %s failed it: %s.",
		last.Fields["Status"], detail, lastFailure.Fields["Upstream"], failure)
}

func lastWithMessage(lines []Line, messages ...string) Line {
	for _, line := range slices.Backward(lines) {
		if slices.Contains(messages, line.Message) {
			return line
		}
	}
	return Line{}
}
