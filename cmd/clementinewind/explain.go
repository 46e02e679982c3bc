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

// explainCommand returns the command that finds in logs why a request failed.
func explainCommand() *urfave.Command {
	return &urfave.Command{
		Name:        "explain",
		Usage:       "find in logs why a request ended as it did",
		ArgsUsage:   "REQUEST-ID [FILE | DIRECTORY ...]",
		Description: "Reads the logs of any number of routers, plain or compressed with gzip. Without a file it reads standard input.",
		Action: func(_ context.Context, command *urfave.Command) error {
			args := command.Args().Slice()
			if len(args) == 0 {
				return &cli.Error{Code: cli.ExitUsage, Err: errors.New("an argument is missing: want " + command.ArgsUsage)}
			}
			search := cause.Search{Request: args[0]}
			if len(args) == 1 {
				if err := search.ReadLog(os.Stdin); err != nil {
					return err
				}
			}
			for _, name := range args[1:] {
				if err := search.ReadPath(name); err != nil {
					return err
				}
			}
			report, found := cause.Explain(search.Lines(), args[0])
			if !found {
				return errors.Errorf("no log line mentions request %s", args[0])
			}
			for _, line := range report.Lines {
				fmt.Fprintln(command.Root().Writer, line.Text)
			}
			fmt.Fprintln(command.Root().Writer, report.Cause)
			return nil
		},
	}
}
