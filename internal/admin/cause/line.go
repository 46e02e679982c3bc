package cause

import (
	"regexp"
	"strconv"
	"strings"
	"time"
)

// maxLineBytes bounds one log line.
const maxLineBytes = 1 << 20

// timeFormat is that of the log lines, which carry no date.
const timeFormat = "15:04:05.000"

// linePattern finds the parts of a log line: time, level, message and fields. Other text may stand before it.
var linePattern = regexp.MustCompile(`(\d\d:\d\d:\d\d\.\d{3}) \[([A-Z]+)\]\s+([^:]+):(.*)$`)

// fieldPattern finds one field.
var fieldPattern = regexp.MustCompile(`([A-Za-z]+)=("(?:[^"\\]|\\.)*"|\S*)`)

// Line is one line of a router's log.
type Line struct {
	Time    time.Time
	Level   string
	Message string
	Fields  map[string]string
	Text    string
}

// Instance returns the router that wrote the line.
func (line Line) Instance() string { return line.Fields["Instance"] }

// parse reads one line of a log. It is false for what is none.
func parse(text string) (Line, bool) {
	parts := linePattern.FindStringSubmatch(text)
	if parts == nil {
		return Line{}, false
	}
	at, err := time.Parse(timeFormat, parts[1])
	if err != nil {
		return Line{}, false
	}
	line := Line{Time: at, Level: parts[2], Message: parts[3], Fields: map[string]string{}, Text: text}
	for _, field := range fieldPattern.FindAllStringSubmatch(parts[4], -1) {
		value := field[2]
		if unquoted, err := strconv.Unquote(value); err == nil {
			value = unquoted
		}
		line.Fields[field[1]] = strings.TrimSpace(value)
	}
	return line, true
}
