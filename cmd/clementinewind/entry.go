package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	urfave "github.com/urfave/cli/v3"

	"github.com/clementinewind/clementinewind/internal/admin/cli"
	"github.com/clementinewind/clementinewind/internal/admin/conf"
	"github.com/clementinewind/clementinewind/internal/admin/sink"
	"github.com/clementinewind/clementinewind/internal/admin/telem"
	"github.com/clementinewind/clementinewind/internal/edge/entry"
	"github.com/clementinewind/clementinewind/platform"
)

const (
	// memoryShare is the part of the memory limit that the runtime aims to stay below; the rest is for sockets.
	memoryShare = 0.6
	// flushTime is for the last log lines.
	flushTime = 200 * time.Millisecond
)

// entryCommand returns the command that runs a router on the users' platform.
func entryCommand() *urfave.Command {
	return &urfave.Command{
		Name:  "entry",
		Usage: "run a router behind the platform's HTTP entry",
		Description: "SIGTERM drains the router within its grace period and exits 0. SIGHUP reads the settings again. " +
			"A file that is not valid exits 2 at the start, and is reported and ignored later.",
		Flags: []urfave.Flag{
			&urfave.StringFlag{
				Name: "config", Usage: "INI `FILE` with the process settings", Required: true,
				Sources: urfave.EnvVars(platform.SettingsVariable),
			},
			&urfave.BoolFlag{Name: "print-settings", Usage: "print the settings in force, with where each is from, and exit"},
		},
		Action: func(ctx context.Context, command *urfave.Command) error {
			path := command.String("config")
			if command.Bool("print-settings") {
				return printSettings(command.Root().Writer, path)
			}
			settings, err := conf.LoadEntry(path)
			if err != nil {
				return &cli.Error{Code: cli.ExitUsage, Err: err}
			}
			return runEntry(ctx, path, settings)
		},
	}
}

func printSettings(writer io.Writer, path string) error {
	text, err := conf.ReadEntry(path)
	if err != nil {
		return err
	}
	shown, err := conf.ShowEntry(path, text)
	if err != nil {
		return &cli.Error{Code: cli.ExitUsage, Err: err}
	}
	_, err = io.WriteString(writer, shown)
	return errors.Wrap(err, "print settings")
}

func runEntry(ctx context.Context, path string, settings conf.Entry) error {
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryBytes)))
	lines := sink.New(os.Stdout)
	defer lines.Flush(flushTime)
	logger := hclog.New(&hclog.LoggerOptions{Level: settings.LogLevel, Output: lines, Exclude: lines.Exclude, TimeFormat: "15:04:05.000"}).
		With("Instance", settings.Name)
	meter, err := telem.NewEntry(telem.EntryConfig{Instance: settings.Name, Zone: settings.Zone, DroppedLines: lines.Dropped})
	if err != nil {
		return err
	}
	router := entry.New(entry.Config{Settings: settings, Meter: meter, Logger: logger})
	if err := meter.ObserveState(router.State); err != nil {
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP, os.Interrupt)
	defer signal.Stop(signals)
	go func() {
		for received := range signals {
			if received != syscall.SIGHUP {
				router.Stop()
				continue
			}
			changed, err := conf.LoadEntry(path)
			if err != nil {
				logger.Error("settings not valid, keeping the old ones", "Error", err)
				continue
			}
			router.Reload(changed)
		}
	}()
	return router.Run(ctx)
}
