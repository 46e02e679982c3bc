// Command clementinewind runs and operates a router fleet.
package main

import (
	"context"
	"os"

	"github.com/clementinewind/clementinewind/cli"
)

func main() {
	os.Exit(cli.New(cli.Config{}).Run(context.Background(), os.Args))
}
