package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	urfave "github.com/urfave/cli/v3"

	"github.com/clementinewind/clementinewind/internal/tools/soak"
)

// soakTime is long enough for each kind of fault to come once or twice.
const soakTime = 20 * time.Second

// soakCommand returns the command that runs routers under random faults.
func soakCommand() *urfave.Command {
	return &urfave.Command{
		Name:  "soak",
		Usage: "run routers as processes under random faults and check their promises",
		Description: "Starts routers of this program with stand-ins of the platform on loopback. A seed with a broken promise " +
			"keeps its logs; the command then exits with 1.",
		Flags: []urfave.Flag{
			&urfave.Uint64Flag{Name: "seed", Usage: "first `SEED`; 0 takes the time", Value: 1},
			&urfave.IntFlag{Name: "seeds", Usage: "number of runs, each with the next seed", Value: 1},
			&urfave.DurationFlag{Name: "duration", Usage: "time of the faults in each run", Value: soakTime},
			&urfave.IntFlag{Name: "routers", Usage: "number of router processes", Value: 3},
			&urfave.StringFlag{Name: "folder", Usage: "`FOLDER` for settings and logs", Value: filepath.Join(os.TempDir(), "clementinewind-soak")},
			&urfave.BoolFlag{Name: "verbose", Usage: "print each fault"},
		},
		Action: runSoak,
	}
}

func runSoak(ctx context.Context, command *urfave.Command) error {
	binary, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find this program")
	}
	seed := command.Uint64("seed")
	if seed == 0 {
		seed = uint64(time.Now().Unix())
	}
	failed := 0
	for i := range command.Int("seeds") {
		folder := filepath.Join(command.String("folder"), fmt.Sprintf("seed-%d", seed+uint64(i)))
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return errors.Wrap(err, "create folder")
		}
		out := io.Discard
		if command.Bool("verbose") {
			out = command.Root().Writer
		}
		report, err := soak.Run(ctx, soak.Config{
			Seed: seed + uint64(i), Duration: command.Duration("duration"), Routers: command.Int("routers"),
			Binary: binary, Folder: folder, Out: out,
		})
		if err != nil {
			return err
		}
		fmt.Fprintln(command.Root().Writer, report)
		if len(report.Broken) > 0 {
			failed++
			fmt.Fprintln(command.Root().Writer, "logs in", folder)
			continue
		}
		if err := os.RemoveAll(folder); err != nil {
			return errors.Wrap(err, "remove logs")
		}
	}
	if failed > 0 {
		return errors.Errorf("%d of %d runs broke a promise", failed, command.Int("seeds"))
	}
	return nil
}
