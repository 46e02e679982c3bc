package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
	urfave "github.com/urfave/cli/v3"

	"github.com/clementinewind/clementinewind/internal/tools/demo"
)

// demoCommand returns the command that runs a small fleet and simulated external systems in this process.
func demoCommand() *urfave.Command {
	return &urfave.Command{
		Name:  "demo",
		Usage: "run a fleet and simulated external systems in one process",
		Description: "Sends model requests and bookings while an availability zone is taken out of service and returned, " +
			"prints what happened, and fails if a guarantee was violated.",
		Flags: []urfave.Flag{
			&urfave.BoolFlag{Name: "serve", Usage: "send no requests and keep running for requests of your own"},
			&urfave.StringFlag{Name: "log-level", Value: "off", Usage: "off, error, warn, info or debug"},
		},
		Action: func(ctx context.Context, command *urfave.Command) error {
			ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
			defer stop()
			logger := hclog.New(&hclog.LoggerOptions{
				Name: "demo", Level: hclog.LevelFromString(command.String("log-level")), Output: os.Stderr,
			})
			return demo.Run(ctx, demo.RunConfig{
				Serve: command.Bool("serve"), Output: command.Root().Writer, Logger: logger,
			})
		},
	}
}
