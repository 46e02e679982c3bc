package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/clementinewind/clementinewind/internal/tools/stand"
)

func bookingCommand() *cli.Command {
	return &cli.Command{
		Name:  "booking",
		Usage: "simulate a booking service",
		Flags: append(serveFlags(),
			&cli.DurationFlag{Name: "run-time", Value: 5 * time.Millisecond, Usage: "how long a booking takes"},
		),
		Action: func(ctx context.Context, command *cli.Command) error {
			return serve(ctx, command, stand.NewBooking(stand.BookingConfig{RunTime: command.Duration("run-time")}))
		},
	}
}
