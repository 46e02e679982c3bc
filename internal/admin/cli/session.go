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
	"github.com/clementinewind/clementinewind/internal/wire/callerv1/callerv1connect"
	"github.com/clementinewind/clementinewind/internal/wire/operatorv1/operatorv1connect"
)

const (
	defaultAddress = "127.0.0.1:7000"
	// dialTimeout bounds one connection attempt, so that the next address is tried soon.
	dialTimeout = 3 * time.Second
	// maxAnswerBytes bounds an answer of a router; the settings of 29,000 organisations take a few megabytes.
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

// session talks to one of several routers.
type session struct {
	cli       *CLI
	addresses []string
	tls       *tls.Config
	token     string
	timeout   time.Duration
	operator  operatorv1connect.OperatorServiceClient
	caller    callerv1connect.CallerServiceClient
}

func (cli *CLI) session(command *urfave.Command) (*session, error) {
	session := &session{cli: cli, timeout: command.Duration("timeout"), token: command.String("token")}
	if file := command.String("token-file"); file != "" {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, usageError(command, "read token: "+err.Error())
		}
		session.token = strings.TrimSpace(string(text))
	}
	if session.token != "" {
		if _, err := auth.ParseToken(session.token); err != nil {
			return nil, usageError(command, err.Error())
		}
	}
	if file := command.String("tls-authorities"); file != "" || command.Bool("tls") {
		session.tls = &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: []string{"http/1.1"}}
		if file != "" {
			text, err := os.ReadFile(file)
			if err != nil {
				return nil, usageError(command, "read authorities: "+err.Error())
			}
			session.tls.RootCAs = x509.NewCertPool()
			if !session.tls.RootCAs.AppendCertsFromPEM(text) {
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
	session.use(addresses)
	return session, nil
}

// use makes the clients connect to the first of these addresses that answers.
func (session *session) use(addresses []string) {
	session.addresses = addresses
	transport := &http.Transport{
		DialContext: session.dial(session.cli.config.Dial),
		DialTLSContext: session.dial(func(ctx context.Context, network, address string) (net.Conn, error) {
			return session.dialTLS(ctx, network, address)
		}),
	}
	scheme := "http://"
	if session.tls != nil {
		scheme = "https://"
	}
	client := &http.Client{Transport: transport}
	options := []connect.ClientOption{
		connect.WithInterceptors(auth.ClientInterceptor(session.token)), connect.WithReadMaxBytes(maxAnswerBytes),
	}
	session.operator = operatorv1connect.NewOperatorServiceClient(client, scheme+addresses[0], options...)
	session.caller = callerv1connect.NewCallerServiceClient(client, scheme+addresses[0], options...)
}

// dial tries the addresses in order. Every failure is before the first byte of a request.
func (session *session) dial(dial keys.DialFunc) keys.DialFunc {
	return func(ctx context.Context, network, _ string) (net.Conn, error) {
		failed := &dialError{addresses: session.addresses}
		for _, address := range session.addresses {
			attempt, cancel := context.WithTimeout(ctx, dialTimeout)
			conn, err := dial(attempt, network, address)
			cancel()
			if err == nil {
				return conn, nil
			}
			failed.err = err
		}
		return nil, failed
	}
}

func (session *session) dialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	plain, err := session.cli.config.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	config := session.tls.Clone()
	config.ServerName = host
	conn := tls.Client(plain, config)
	if err := conn.HandshakeContext(ctx); err != nil {
		plain.Close()
		return nil, errors.Wrap(err, "TLS handshake")
	}
	return conn, nil
}

// unary sends one request with a time limit that includes the time that the router may wait.
func unary[Request, Response any](
	ctx context.Context, session *session, effect effect, wait time.Duration,
	send func(context.Context, *connect.Request[Request]) (*connect.Response[Response], error), request *Request,
) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, session.timeout+wait)
	defer cancel()
	response, err := send(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, failure(err, effect)
	}
	return response.Msg, nil
}
