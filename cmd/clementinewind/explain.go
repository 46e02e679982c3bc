package main

import (
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"
	urfave "github.com/urfave/cli/v3"

	"github.com/clementinewind/clementinewind/internal/admin/cause"
	"github.com/clementinewind/clementinewind/internal/admin/cli"
)

// explainCommand returns the command that finds the cause of a failed request in logs.
func explainCommand() *urfave.Command {
	return &urfave.Command{
		Name:        "explain",
		Usage:       "tell from logs why a request ended as it did",
		ArgsUsage:   "REQUEST-ID [FILE ...]",
		Description: "Reads the logs of any number of routers, or standard input without a file.",
		Action: func(_ context.Context, command *urfave.Command) error {
			args := command.Args().Slice()
			if len(args) == 0 {
				return &cli.Error{Code: cli.ExitUsage, Err: errors.New("an argument is missing: want " + command.ArgsUsage)}
			}
			lines, err := readLogs(args[1:])
			if err != nil {
				return err
			}
			report, found := cause.Explain(lines, args[0])
			if !found {
				return errors.Errorf("no line names request %s", args[0])
			}
			for _, line := range report.Path {
				fmt.Fprintln(command.Root().Writer, line.Text)
			}
			fmt.Fprintln(command.Root().Writer, report.Cause)
			return nil
		},
	}
}

func readLogs(files []string) ([]cause.Line, error) {
	if len(files) == 0 {
		return cause.Read(os.Stdin)
	}
	var lines []cause.Line
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "open log")
		}
		read, err := cause.Read(file)
		if closeErr := file.Close(); err == nil {
			err = errors.Wrap(closeErr, "close log")
		}
		if err != nil {
			return nil, err
		}
		lines = append(lines, read...)
	}
	return lines, nil
}
