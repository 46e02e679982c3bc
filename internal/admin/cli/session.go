package cli

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	urfave "github.com/urfave/cli/v3"

	"github.com/clementinewind/clementinewind/internal/edge/auth"
	"github.com/clementinewind/clementinewind/internal/edge/keys"
	"github.com/clementinewind/clementinewind/internal/share/reply"
	"github.com/clementinewind/clementinewind/internal/wire/callerv1/callerv1connect"
	"github.com/clementinewind/clementinewind/internal/wire/operatorv1/operatorv1connect"
)

const (
	defaultAddress = "127.0.0.1:7000"
	// dialTimeout limits one connection attempt, so that the next address is tried soon.
	dialTimeout = 3 * time.Second
	// maxAnswerBytes limits the response of a router; the settings of 29,000 organisations take a few megabytes.
	maxAnswerBytes = 64 << 20
)

func connectionFlags() []urfave.Flag {
	return []urfave.Flag{
		&urfave.StringSliceFlag{
			Name: "address", Usage: "address of any router as `IP:PORT`; may be repeated, the first that answers is used",
			Value: []string{defaultAddress}, Sources: urfave.EnvVars("CLEMENTINEWIND_ADDRESS"),
		},
		&urfave.BoolFlag{Name: "tls", Usage: "connect with TLS", Sources: urfave.EnvVars("CLEMENTINEWIND_TLS")},
		&urfave.StringFlag{
			Name: "tls-authorities", Usage: "PEM `FILE` with the authorities that sign routers, if they are not those of the system; implies --tls",
			Sources: urfave.EnvVars("CLEMENTINEWIND_TLS_AUTHORITIES"),
		},
		&urfave.StringFlag{Name: "token-file", Usage: "`FILE` that holds the token; the variable CLEMENTINEWIND_TOKEN may hold it instead"},
		&urfave.StringFlag{Name: "token", Hidden: true, Sources: urfave.EnvVars("CLEMENTINEWIND_TOKEN")},
		&urfave.DurationFlag{Name: "timeout", Usage: "longest time to wait for an answer", Value: 30 * time.Second},
	}
}

// client sends requests to the first of several routers that accepts a connection.
type client struct {
	cli       *CLI
	addresses []string
	tls       *tls.Config
	token     string
	timeout   time.Duration
	operator  operatorv1connect.OperatorServiceClient
	caller    callerv1connect.CallerServiceClient
}

func (cli *CLI) newClient(command *urfave.Command) (*client, error) {
	client := &client{cli: cli, timeout: command.Duration("timeout"), token: command.String("token")}
	if file := command.String("token-file"); file != "" {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, usageError(command, "read token: "+err.Error())
		}
		client.token = strings.TrimSpace(string(text))
	}
	if client.token != "" {
		if _, err := auth.ParseToken(client.token); err != nil {
			return nil, usageError(command, err.Error())
		}
	}
	if file := command.String("tls-authorities"); file != "" || command.Bool("tls") {
		client.tls = &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: []string{"http/1.1"}}
		if file != "" {
			text, err := os.ReadFile(file)
			if err != nil {
				return nil, usageError(command, "read authorities: "+err.Error())
			}
			client.tls.RootCAs = x509.NewCertPool()
			if !client.tls.RootCAs.AppendCertsFromPEM(text) {
				return nil, usageError(command, file+" holds no certificate")
			}
		}
	}
	addresses := command.StringSlice("address")
	for _, address := range addresses {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return nil, usageError(command, "--address "+address+": want IP:PORT")
		}
	}
	client.connect(addresses)
	return client, nil
}

// connect creates service clients that use the first of the addresses that accepts a connection. It does not dial yet.
func (client *client) connect(addresses []string) {
	client.addresses = addresses
	transport := reply.NewTransport(&http.Transport{
		DialContext: client.dial(client.cli.config.Dial),
		DialTLSContext: client.dial(func(ctx context.Context, network, address string) (net.Conn, error) {
			return client.dialTLS(ctx, network, address)
		}),
	})
	scheme := "http://"
	if client.tls != nil {
		scheme = "https://"
	}
	httpClient := &http.Client{Transport: transport}
	options := []connect.ClientOption{
		connect.WithInterceptors(auth.ClientInterceptor(client.token)), connect.WithReadMaxBytes(maxAnswerBytes),
	}
	client.operator = operatorv1connect.NewOperatorServiceClient(httpClient, scheme+addresses[0], options...)
	client.caller = callerv1connect.NewCallerServiceClient(httpClient, scheme+addresses[0], options...)
}

// dial returns a dial function that tries the addresses in order. When it fails, nothing of a request was sent.
func (client *client) dial(dial keys.DialFunc) keys.DialFunc {
	return func(ctx context.Context, network, _ string) (net.Conn, error) {
		dialErr := &dialError{addresses: client.addresses}
		for _, address := range client.addresses {
			attemptCtx, cancel := context.WithTimeout(ctx, dialTimeout)
			conn, err := dial(attemptCtx, network, address)
			cancel()
			if err == nil {
				return conn, nil
			}
			dialErr.err = err
		}
		return nil, dialErr
	}
}

func (client *client) dialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	plain, err := client.cli.config.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	config := client.tls.Clone()
	config.ServerName = host
	conn := tls.Client(plain, config)
	if err := conn.HandshakeContext(ctx); err != nil {
		plain.Close()
		return nil, errors.Wrap(err, "TLS handshake")
	}
	return conn, nil
}

// unary sends one request. Its timeout is extended by wait, the time for which the router may delay the response.
func unary[Request, Response any](
	ctx context.Context, client *client, effect effect, wait time.Duration,
	send func(context.Context, *connect.Request[Request]) (*connect.Response[Response], error), request *Request,
) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, client.timeout+wait)
	defer cancel()
	response, err := send(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, requestError(err, effect)
	}
	return response.Msg, nil
}
