package cause

import (
	"regexp"
	"strconv"
	"strings"
	"time"
)

const maxLineBytes = 1 << 20

// timeFormat is the time format of log lines, which carry no date.
const timeFormat = "15:04:05.000"

// linePattern matches time, level, message and fields of a log line. A prefix, as log collectors add it, is ignored.
var linePattern = regexp.MustCompile(`(\d\d:\d\d:\d\d\.\d{3}) \[([A-Z]+)\]\s+([^:]+):(.*)$`)

// fieldPattern matches one field, Key=value or Key="quoted value".
var fieldPattern = regexp.MustCompile(`([A-Za-z]+)=("(?:[^"\\]|\\.)*"|\S*)`)

// Line is a parsed line of a router's log. Text is the line as it was read.
type Line struct {
	Time    time.Time
	Level   string
	Message string
	Fields  map[string]string
	Text    string
}

// Instance returns the name of the router that wrote the line.
func (line Line) Instance() string { return line.Fields["Instance"] }

// parseLine returns false for text that is not a log line.
func parseLine(text string) (Line, bool) {
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
