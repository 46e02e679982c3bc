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

// defaultSoakDuration is long enough for each kind of fault to occur once or twice.
const defaultSoakDuration = 20 * time.Second

// soakCommand returns the command that runs router processes under random faults.
func soakCommand() *urfave.Command {
	return &urfave.Command{
		Name:  "soak",
		Usage: "run routers as processes under random faults and check their guarantees",
		Description: "Starts routers of this program and a simulated platform on loopback. The logs of a seed with a violated " +
			"guarantee are kept, and the command exits with 1.",
		Flags: []urfave.Flag{
			&urfave.Uint64Flag{Name: "seed", Usage: "first `SEED`; 0 means the current time", Value: 1},
			&urfave.IntFlag{Name: "seeds", Usage: "number of runs, each with the next seed", Value: 1},
			&urfave.DurationFlag{Name: "duration", Usage: "how long each run injects faults", Value: defaultSoakDuration},
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
		return errors.Wrap(err, "find the path of this program")
	}
	seed := command.Uint64("seed")
	if seed == 0 {
		seed = uint64(time.Now().Unix())
	}
	failedRuns := 0
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
		if len(report.Violations) > 0 {
			failedRuns++
			fmt.Fprintln(command.Root().Writer, "logs in", folder)
			continue
		}
		if err := os.RemoveAll(folder); err != nil {
			return errors.Wrap(err, "remove logs")
		}
	}
	if failedRuns > 0 {
		return errors.Errorf("%d of %d runs violated a guarantee", failedRuns, command.Int("seeds"))
	}
	return nil
}
