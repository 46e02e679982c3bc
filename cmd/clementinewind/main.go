// Command clementinewind runs and operates a router fleet.
package main

import (
	"context"
	"os"

	urfave "github.com/urfave/cli/v3"

	"github.com/clementinewind/clementinewind/internal/admin/cli"
	"github.com/clementinewind/clementinewind/internal/store/tree"
)

func main() {
	program := cli.New(cli.Config{
		CheckSettings: func(_ string, text []byte) error {
			_, err := tree.Parse(string(text))
			return err
		},
		Extra: []*urfave.Command{routerCommand(), entryCommand(), explainCommand(), incidentCommand(), soakCommand(), experimentCommand(), demoCommand()},
	})
	os.Exit(program.Run(context.Background(), os.Args))
}
