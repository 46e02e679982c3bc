package main

import (
	"context"

	urfave "github.com/urfave/cli/v3"

	"github.com/clementinewind/clementinewind/internal/tools/trial"
)

// experimentCommand returns the command that runs a load scenario against a router with simulated model engines.
func experimentCommand() *urfave.Command {
	return &urfave.Command{
		Name:  "experiment",
		Usage: "run a load scenario against a router with simulated model engines",
		Description: "Prints for each load of the scenario how many requests were answered on time, late, refused or failed. " +
			"Everything runs in this process, in real time.",
		Flags: []urfave.Flag{
			&urfave.StringFlag{Name: "scenario", Usage: "`FILE` with the engines and the loads, such as those in deploy/trials", Required: true},
			&urfave.Uint64Flag{Name: "seed", Usage: "`SEED` of the random intervals between requests and of their subjects", Value: 1},
			&urfave.StringFlag{Name: "plot", Usage: "`FILE` for an SVG plot of the answers per second"},
		},
		Action: runExperiment,
	}
}

func runExperiment(ctx context.Context, command *urfave.Command) error {
	scenario, err := trial.ReadScenario(command.String("scenario"))
	if err != nil {
		return err
	}
	testbed := trial.NewTestbed(scenario)
	defer testbed.Close()
	report := testbed.Play(ctx, command.Uint64("seed"))
	if err := report.Write(command.Root().Writer); err != nil {
		return err
	}
	path := command.String("plot")
	if path == "" {
		return nil
	}
	return writeFile("plot", path, report.Plot)
}
