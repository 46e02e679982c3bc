package main

import (
	"context"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"
)

// shutdownTimeout limits how long the shutdown waits for open connections.
const shutdownTimeout = time.Second

func serveFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "address to listen on"},
		&cli.StringFlag{Name: "name", Usage: "name of the upstream, for log lines"},
		&cli.StringFlag{Name: "zone", Usage: "availability zone, for log lines"},
	}
}

// serve serves HTTP until SIGTERM or SIGINT.
func serve(ctx context.Context, command *cli.Command, handler http.Handler) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	listener, err := net.Listen("tcp", command.String("listen"))
	if err != nil {
		return err
	}
	logger := hclog.New(&hclog.LoggerOptions{Name: command.Name, Output: command.Root().Writer})
	logger.Info("listening", "address", listener.Addr().String(), "name", command.String("name"),
		"zone", command.String("zone"))
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	logger.Info("stopping")
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil {
		return server.Close()
	}
	return nil
}
