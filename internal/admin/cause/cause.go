// Package cause explains from the logs of the routers why a request ended as it did.
package cause

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// beliefBefore and beliefAfter bound what a router came to believe of an upstream around the request.
	beliefBefore = 5 * time.Second
	beliefAfter  = 2 * time.Second
)

// Report is the path of one request.
type Report struct {
	// Lines holds the lines of the request and what its router came to believe of the upstreams meanwhile, in order.
	Lines []Line
	// Cause says in one sentence why the request ended as it did.
	Cause string
}

// Explain finds a request in the lines of any number of routers. It is false if no line names the request. Times are only
// compared within one router, because the clocks of different ones may differ.
func Explain(lines []Line, requestID string) (Report, bool) {
	var own []Line
	for _, line := range lines {
		if line.Fields["Request"] == requestID {
			own = append(own, line)
		}
	}
	if len(own) == 0 {
		return Report{}, false
	}
	slices.SortStableFunc(own, func(a, b Line) int { return a.Time.Compare(b.Time) })
	path := slices.Concat(own, beliefs(lines, own))
	slices.SortStableFunc(path, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return Report{Lines: path, Cause: sentence(own)}, true
}

// beliefs returns what the router of a request came to believe of its upstreams and of the platform around the request.
func beliefs(lines, own []Line) []Line {
	upstreams := map[string]bool{}
	for _, line := range own {
		upstreams[line.Fields["Upstream"]] = true
	}
	first, last := own[0].Time.Add(-beliefBefore), own[len(own)-1].Time.Add(beliefAfter)
	var found []Line
	for _, line := range lines {
		if line.Instance() != own[0].Instance() || line.Fields["Request"] != "" || line.Time.Before(first) || line.Time.After(last) {
			continue
		}
		upstream, names := line.Fields["Upstream"]
		if !names || upstreams[upstream] {
			found = append(found, line)
		}
	}
	return found
}

// sentence names the cause from the last decision of the router.
func sentence(own []Line) string {
	last := own[len(own)-1]
	attempt := lastOf(own, "attempt failed", "stream broke off", "answer broke off", "declined", "not resumed")
	switch last.Message {
	case "ended":
		return endedSentence(last, attempt)
	case "rejected":
		return rejectedSentence(last, attempt)
	case "answer broken off":
		if attempt.Fields["Deadline"] == "true" {
			return fmt.Sprintf("The stream was cut after %s events because its deadline passed while upstream %s was still sending.",
				last.Fields["Events"], attempt.Fields["Upstream"])
		}
		return fmt.Sprintf("The stream was cut after %s events because upstream %s broke it off: %s.",
			last.Fields["Events"], attempt.Fields["Upstream"], attempt.Fields["Error"])
	}
	return fmt.Sprintf("The log ends with %q: the router stopped, or lines were left out.", last.Message)
}

func endedSentence(last, attempt Line) string {
	switch last.Fields["Outcome"] {
	case "Answered":
		return fmt.Sprintf("The caller got the answer of an upstream (%s) after %s.", last.Fields["Detail"], last.Fields["Took"])
	case "Failed":
		return fmt.Sprintf("The caller got the failure of an upstream: %s.", last.Fields["Detail"])
	}
	text := fmt.Sprintf("The caller left after %s", last.Fields["Took"])
	if attempt.Message != "" {
		text += fmt.Sprintf(" while upstream %s had not answered", attempt.Fields["Upstream"])
	}
	return text + "."
}

func rejectedSentence(last, attempt Line) string {
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
	case reason == "Unauthorized":
		return "The request was denied because no organisation of the configuration in force holds its key."
	case reason == "Invalid":
		return fmt.Sprintf("The request was denied: %s.", detail)
	case attempt.Message == "":
		return fmt.Sprintf("The request was rejected with %s: %s (%s).", last.Fields["Status"], detail, reason)
	}
	failure := attempt.Fields["Error"]
	if failure == "" {
		failure = strings.TrimSpace("status " + attempt.Fields["Status"])
	}
	return fmt.Sprintf("The request was rejected with %s (%s) after upstream %s failed it: %s.",
		last.Fields["Status"], detail, attempt.Fields["Upstream"], failure)
}

func lastOf(lines []Line, messages ...string) Line {
	for _, line := range slices.Backward(lines) {
		if slices.Contains(messages, line.Message) {
			return line
		}
	}
	return Line{}
}
