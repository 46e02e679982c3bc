package main

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"
	urfave "github.com/urfave/cli/v3"

	"github.com/clementinewind/clementinewind/internal/admin/cause"
	"github.com/clementinewind/clementinewind/internal/admin/cli"
)

// incidentCommand returns the command that merges the logs of all routers into one timeline.
func incidentCommand() *urfave.Command {
	return &urfave.Command{
		Name:      "incident",
		Usage:     "print what all routers logged in a time span, and how requests ended meanwhile",
		ArgsUsage: "FILE | DIRECTORY ...",
		Description: "Reads the logs of any number of routers, plain or compressed with gzip. Equal events within a second are merged into\n" +
			"one line with the number of routers that logged them.",
		Flags: []urfave.Flag{
			&urfave.StringFlag{Name: "from", Usage: "`TIME` of day at which the span starts, such as 18:11:41"},
			&urfave.StringFlag{Name: "to", Usage: "`TIME` of day at which the span ends"},
			&urfave.StringFlag{Name: "html", Usage: "also write a page with a plot to `FILE`, for the disclosed report"},
			&urfave.StringFlag{Name: "title", Usage: "`TITLE` of the page", Value: "Incident"},
		},
		Action: func(_ context.Context, command *urfave.Command) error {
			usage := func(err error) error { return &cli.Error{Code: cli.ExitUsage, Err: err} }
			if command.Args().Len() == 0 {
				return usage(errors.New("an argument is missing: want " + command.ArgsUsage))
			}
			var timeline cause.Timeline
			for flag, bound := range map[string]*time.Time{"from": &timeline.From, "to": &timeline.To} {
				if !command.IsSet(flag) {
					continue
				}
				at, err := cause.ParseTime(command.String(flag))
				if err != nil {
					return usage(errors.Wrap(err, "--"+flag))
				}
				*bound = at
			}
			for _, name := range command.Args().Slice() {
				if err := timeline.ReadPath(name); err != nil {
					return err
				}
			}
			if err := timeline.Write(command.Root().Writer); err != nil {
				return err
			}
			if !command.IsSet("html") {
				return nil
			}
			return writeFile("report", command.String("html"), func(out io.Writer) error { return timeline.WriteHTML(out, command.String("title")) })
		},
	}
}

// writeFile creates or replaces a file; what names its content in errors.
func writeFile(what, name string, write func(out io.Writer) error) (err error) {
	file, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "create "+what)
	}
	defer func() {
		if closeErr := file.Close(); err == nil {
			err = errors.Wrap(closeErr, "write "+what)
		}
	}()
	return write(file)
}
