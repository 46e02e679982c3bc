package main

import (
	"context"
	"net"
	"os"
	"os/signal"
	"syscall"

	"connectrpc.com/connect"
	"github.com/hashicorp/go-hclog"
	urfave "github.com/urfave/cli/v3"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/admin/conf"
	"github.com/clementinewind/clementinewind/internal/edge/keys"
	"github.com/clementinewind/clementinewind/internal/route/router"
	"github.com/clementinewind/clementinewind/internal/store/plog"
	"github.com/clementinewind/clementinewind/internal/wire/platformv1"
	"github.com/clementinewind/clementinewind/internal/wire/platformv1/platformv1connect"
)

// routerCommand returns the command that runs a router of the fleet.
func routerCommand() *urfave.Command {
	return &urfave.Command{
		Name:  "router",
		Usage: "run a router",
		Description: "SIGTERM drains the router: it finishes its requests and exits 0. " +
			"A second SIGTERM aborts them and reports the outcome of each to its caller.",
		Flags: []urfave.Flag{
			&urfave.StringFlag{Name: "config", Usage: "INI `FILE` with the process settings", Required: true},
		},
		Action: func(ctx context.Context, command *urfave.Command) error {
			settings, err := conf.Load(command.String("config"))
			if err != nil {
				return err
			}
			logger := hclog.New(&hclog.LoggerOptions{Name: "router", Level: settings.LogLevel, Output: os.Stderr})
			return runRouter(ctx, settings, logger)
		},
	}
}

func runRouter(ctx context.Context, settings conf.Router, logger hclog.Logger) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	callerKeys, peerKeys, err := loadKeys(ctx, settings.TLS, logger)
	if err != nil {
		return err
	}
	dial := (&net.Dialer{}).DialContext
	platformDial := dial
	if peerKeys != nil {
		platformDial = peerKeys.Dialer(dial)
	}
	client := plog.NewHTTPClient(platformDial)
	url := "http://" + settings.PlatformAddress.String()
	started, err := router.New(ctx, router.Config{
		Settings:   settings,
		Log:        plog.NewClient(plog.ClientConfig{HTTPClient: client, URL: url}),
		Instances:  instanceLister(platformv1connect.NewInstanceServiceClient(client, url)),
		Dial:       dial,
		CallerKeys: callerKeys,
		PeerKeys:   peerKeys,
		Logger:     logger,
	})
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	go func() {
		<-signals
		started.Drain()
		<-signals
		cancel()
	}()
	logger.Info("listening", "Callers", started.CallerAddress(), "Admin", started.AdminAddress())
	return started.Run(ctx)
}

// loadKeys reads the certificates and starts to reload them when their files change. A store without files is nil.
func loadKeys(ctx context.Context, settings conf.TLS, logger hclog.Logger) (callerKeys, peerKeys *keys.Store, err error) {
	load := func(config keys.Config) (*keys.Store, error) {
		if config.Certificate == "" {
			return nil, nil
		}
		config.Logger = logger
		store, err := keys.New(config)
		if err != nil {
			return nil, err
		}
		go store.Run(ctx)
		return store, nil
	}
	if callerKeys, err = load(keys.Config{Certificate: settings.CallerCertificate, Key: settings.CallerKey}); err != nil {
		return nil, nil, err
	}
	peerKeys, err = load(keys.Config{
		Certificate: settings.PeerCertificate, Key: settings.PeerKey, Authorities: settings.PeerAuthorities,
	})
	return callerKeys, peerKeys, err
}

// instanceLister returns a function that fetches the list of instances from the platform.
func instanceLister(client platformv1connect.InstanceServiceClient) func(ctx context.Context) ([]router.Listed, error) {
	return func(ctx context.Context) ([]router.Listed, error) {
		response, err := client.ListInstances(ctx, connect.NewRequest(&platformv1.ListInstancesRequest{}))
		if err != nil {
			return nil, err
		}
		listed := make([]router.Listed, 0, len(response.Msg.Instances))
		for _, instance := range response.Msg.Instances {
			listed = append(listed, router.Listed{
				Name:    clementinewind.Instance(instance.Name),
				Zone:    clementinewind.Zone(instance.Zone),
				Address: instance.Address,
				Leaving: instance.Leaving,
			})
		}
		return listed, nil
	}
}
