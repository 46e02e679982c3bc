// Command standin runs stand-ins for the outside systems of the router fleet.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

func main() {
	command := &cli.Command{
		Name:     "standin",
		Usage:    "run a stand-in for an outside system",
		Commands: []*cli.Command{engineCommand(), bookingCommand()},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
