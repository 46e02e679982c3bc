package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	urfave "github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

const (
	outputTable = "table"
	outputJSON  = "json"
)

func outputFlag(choices ...string) urfave.Flag {
	return &urfave.StringFlag{
		Name: "output", Usage: strings.Join(choices, ", "), Value: choices[0],
		Validator: func(value string) error {
			for _, choice := range choices {
				if value == choice {
					return nil
				}
			}
			return errors.Errorf("%q: want %s", value, strings.Join(choices, ", "))
		},
	}
}

// writeJSON writes a message with the field names of the .proto file. 64-bit integers are strings, as in protobuf JSON.
func writeJSON(writer io.Writer, message proto.Message) error {
	text, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode answer")
	}
	// The white space of protojson differs between builds; Indent makes it stable.
	var indented bytes.Buffer
	if err := json.Indent(&indented, text, "", "  "); err != nil {
		return errors.Wrap(err, "indent answer")
	}
	indented.WriteByte('\n')
	_, err = indented.WriteTo(writer)
	return errors.Wrap(err, "write answer")
}

// table prints rows in aligned columns.
type table struct {
	writer *tabwriter.Writer
}

func newTable(writer io.Writer, headers ...string) *table {
	table := &table{writer: tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)}
	fmt.Fprintln(table.writer, strings.Join(headers, "\t"))
	return table
}

func (table *table) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		if texts[i] = printable(fmt.Sprint(cell)); texts[i] == "" {
			texts[i] = "-"
		}
	}
	fmt.Fprintln(table.writer, strings.Join(texts, "\t"))
}

// printable replaces control characters, which could break the columns or act as terminal control sequences.
func printable(text string) string {
	return strings.Map(func(char rune) rune {
		if char < ' ' || char == 0x7f {
			return ' '
		}
		return char
	}, text)
}

func (table *table) flush() error {
	return errors.Wrap(table.writer.Flush(), "write table")
}

func formatTime(millis int64) string {
	return time.UnixMilli(millis).UTC().Format(time.RFC3339)
}

func formatMillis(millis int64) string {
	return (time.Duration(millis) * time.Millisecond).String()
}
