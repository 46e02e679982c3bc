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
	// runtimeMemoryShare is the part of the process's memory limit that is set as the Go runtime's limit; the rest is for
	// sockets.
	runtimeMemoryShare = 0.6
	// logFlushTimeout limits how long the exit waits for buffered log lines to be written.
	logFlushTimeout = 200 * time.Millisecond
	// Environment variables of the flags that a deploy file fills in.
	rolloutShareVariable   = "CLEMENTINEWIND_ROLLOUT_SHARE"
	rollbackMillisVariable = "CLEMENTINEWIND_ROLLBACK_MS"
)

// entryCommand returns the command that runs a router behind the platform's HTTP entry.
func entryCommand() *urfave.Command {
	return &urfave.Command{
		Name:  "entry",
		Usage: "run a router behind the platform's HTTP entry",
		Description: "SIGTERM drains the router within its grace period and exits 0. SIGHUP reloads the settings. " +
			"An invalid file exits 2 at the start; on a reload it is logged and ignored.",
		Flags: []urfave.Flag{
			&urfave.StringFlag{
				Name: "config", Usage: "INI `FILE` with the process settings", Required: true,
				Sources: urfave.EnvVars(platform.SettingsVariable),
			},
			&urfave.StringFlag{
				Name: "rollout-share", Usage: "replaces [Rollout] Share; empty leaves it as it is", Sources: urfave.EnvVars(rolloutShareVariable),
			},
			&urfave.StringFlag{
				Name: "rollback-ms", Usage: "replaces [Rollout] Rollback, in milliseconds; empty leaves it as it is",
				Sources: urfave.EnvVars(rollbackMillisVariable),
			},
			&urfave.BoolFlag{Name: "print-settings", Usage: "print the effective settings and the source of each, and exit"},
		},
		Action: func(ctx context.Context, command *urfave.Command) error {
			path := command.String("config")
			if command.Bool("print-settings") {
				return printSettings(command.Root().Writer, path)
			}
			load := func() (conf.Entry, error) {
				settings, err := conf.LoadEntry(path)
				if err != nil {
					return settings, err
				}
				return settings.WithRollout(command.String("rollout-share"), command.String("rollback-ms"))
			}
			settings, err := load()
			if err != nil {
				return &cli.Error{Code: cli.ExitUsage, Err: err}
			}
			return runEntry(ctx, load, settings)
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

func runEntry(ctx context.Context, load func() (conf.Entry, error), settings conf.Entry) error {
	debug.SetMemoryLimit(int64(runtimeMemoryShare * float64(settings.MemoryBytes)))
	logSink := sink.New(os.Stdout)
	defer logSink.Flush(logFlushTimeout)
	logger := hclog.New(&hclog.LoggerOptions{Level: settings.LogLevel, Output: logSink, Exclude: logSink.Exclude, TimeFormat: "15:04:05.000"}).
		With("Instance", settings.Name)
	meter, err := telem.NewEntry(telem.EntryConfig{Instance: settings.Name, Zone: settings.Zone, DroppedLines: logSink.Dropped})
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
			changed, err := load()
			if err != nil {
				logger.Error("reload failed, keeping the current settings", "Error", err)
				continue
			}
			router.Reload(changed)
		}
	}()
	return router.Run(ctx)
}
