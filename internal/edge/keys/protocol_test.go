package keys_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/clementinewind/clementinewind/internal/admin/cli"
	"github.com/clementinewind/clementinewind/internal/edge/keys"
	"github.com/clementinewind/clementinewind/internal/edge/serve"
	"github.com/clementinewind/clementinewind/internal/wire/peerv1"
)

// Guards against TLS connections that grpc-go, the HTTP/2 of net/http or the commands cannot use.
func TestProtocols(t *testing.T) {
	config := newConfig(t, nil)
	newAuthority(t).write(t, config, time.Now().Add(time.Hour))
	store, err := keys.New(config)
	quicktest.Assert(t, err, quicktest.IsNil)
	listen := func(serve func(net.Listener) error) (dial keys.DialFunc) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		quicktest.Assert(t, err, quicktest.IsNil)
		go serve(store.Listener(listener))
		return store.Dialer(func(ctx context.Context, network, _ string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, network, listener.Addr().String())
		})
	}
	t.Run("grpc", func(t *testing.T) {
		server := grpc.NewServer()
		defer server.Stop()
		peerv1.RegisterPeerServiceServer(server, peerv1.UnimplementedPeerServiceServer{})
		dial := listen(server.Serve)
		client, err := grpc.NewClient("passthrough:///10.0.0.1:7001", grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, "tcp", address) }))
		quicktest.Assert(t, err, quicktest.IsNil)
		defer client.Close()
		_, err = peerv1.NewPeerServiceClient(client).Claim(t.Context(), &peerv1.ClaimRequest{})
		quicktest.Assert(t, status.Code(err), quicktest.Equals, codes.Unimplemented)
	})
	t.Run("http2", func(t *testing.T) {
		server := serve.New(serve.Config{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			io.WriteString(writer, request.Proto)
		})})
		defer server.Close()
		transport := &http.Transport{DialTLSContext: listen(server.Serve), ForceAttemptHTTP2: true}
		defer transport.CloseIdleConnections()
		response, err := (&http.Client{Transport: transport}).Get("https://10.0.0.1:7001")
		quicktest.Assert(t, err, quicktest.IsNil)
		defer response.Body.Close()
		answer, err := io.ReadAll(response.Body)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, string(answer), quicktest.Equals, "HTTP/2.0")
	})
	t.Run("commands", func(t *testing.T) {
		callers, err := keys.New(keys.Config{Certificate: config.Certificate, Key: config.Key})
		quicktest.Assert(t, err, quicktest.IsNil)
		server := httptest.NewUnstartedServer(http.NotFoundHandler())
		server.Listener = callers.Listener(server.Listener)
		server.Start()
		defer server.Close()
		var stderr bytes.Buffer
		program := cli.New(cli.Config{Stderr: &stderr, Dial: func(ctx context.Context, network, _ string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, network, server.Listener.Addr().String())
		}})
		for flags, want := range map[string]string{
			"--tls-authorities=" + config.Authorities: "clementinewind: unimplemented: 404 Not Found\n",
			"--tls": "clementinewind: no router reached at 10.0.0.1:7000: TLS handshake: .*unknown authority\n.*\n",
		} {
			stderr.Reset()
			code := program.Run(t.Context(), []string{"clementinewind", flags, "--address", "10.0.0.1:7000", "status"})
			quicktest.Check(t, code, quicktest.Equals, cli.ExitFailed)
			quicktest.Check(t, stderr.String(), quicktest.Matches, want)
		}
	})
}
