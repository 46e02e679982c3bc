package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/clementinewind/clementinewind/internal/tools/stand"
)

func engineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "simulate a model engine",
		Flags: append(serveFlags(),
			&cli.IntFlag{Name: "max-batch", Value: 16, Usage: "maximum number of concurrent requests"},
			&cli.IntFlag{Name: "cold-batch", Value: 2, Usage: "maximum number of concurrent requests of a cold engine"},
			&cli.BoolFlag{Name: "warm", Usage: "start warm"},
			&cli.DurationFlag{Name: "token-time", Value: 20 * time.Millisecond, Usage: "time per token while one request runs"},
			&cli.IntFlag{Name: "cache-blocks", Value: 4096, Usage: "size of the prefix cache in blocks of 64 bytes"},
			&cli.Int64Flag{Name: "lose-events", Value: 10, Usage: "lose every n-th cache event; 0 loses none"},
			&cli.DurationFlag{Name: "report-lag", Value: 500 * time.Millisecond, Usage: "age of load reports and cache events"},
			&cli.BoolFlag{Name: "check-fencing", Usage: "refuse requests with an outdated fencing token"},
		),
		Action: func(ctx context.Context, command *cli.Command) error {
			engine := stand.NewEngine(stand.EngineConfig{
				MaxBatch:          command.Int("max-batch"),
				ColdBatch:         command.Int("cold-batch"),
				StartWarm:         command.Bool("warm"),
				TokenTime:         command.Duration("token-time"),
				CacheBlocks:       command.Int("cache-blocks"),
				LoseEveryNthEvent: command.Int64("lose-events"),
				ReportLag:         command.Duration("report-lag"),
				ChecksFencing:     command.Bool("check-fencing"),
			})
			return serve(ctx, command, engine)
		},
	}
}
