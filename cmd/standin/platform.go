package main

import (
	"context"
	"net"
	"os"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"github.com/clementinewind/clementinewind/internal/tools/stand"
)

// platformCommand returns the subcommand that simulates the platform API.
func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "simulate the log, the instance list and the weight store",
		Description: "Logs a line with its address to standard error when ready. Faults are injected by POST to " +
			stand.PlatformFaultsPath + ".",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "address to listen on"},
			&cli.DurationFlag{Name: "retention", Value: stand.DefaultRetention, Usage: "age above which records are dropped"},
			&cli.FloatFlag{Name: "appends-per-second", Value: stand.DefaultAppendsPerSecond, Usage: "rate limit of the log"},
			&cli.FloatFlag{Name: "weights-per-second", Value: stand.DefaultWeightsPerSecond, Usage: "rate limit of the weight store"},
			&cli.DurationFlag{Name: "instance-lag", Value: stand.DefaultInstanceLag, Usage: "age of the instance list"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of injected random faults"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", command.String("listen"))
			if err != nil {
				return err
			}
			platform := stand.NewPlatform(stand.PlatformConfig{
				Listener:         listener,
				Retention:        command.Duration("retention"),
				AppendsPerSecond: command.Float("appends-per-second"),
				WeightsPerSecond: command.Float("weights-per-second"),
				InstanceLag:      command.Duration("instance-lag"),
				Seed:             command.Uint64("seed"),
			})
			logger := hclog.New(&hclog.LoggerOptions{Name: "platform", Output: os.Stderr})
			logger.Info("ready", "address", listener.Addr(), "seed", command.Uint64("seed"))
			return platform.Run(ctx)
		},
	}
}
