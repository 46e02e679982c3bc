package send_test

import (
	"context"
	"net"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/route/call"
	"github.com/clementinewind/clementinewind/internal/route/infer"
	"github.com/clementinewind/clementinewind/internal/route/send"
	"github.com/clementinewind/clementinewind/platform/stand"
)

// Guards against taking a broken response of an engine or of a plain service for an answer, a load report or a confirmation, and against
// reporting its request as not run.
func TestBrokenResponse(t *testing.T) {
	type clients struct {
		services *call.Client
		engines  *infer.Client
	}
	target := func(address string) infer.Target {
		return infer.Target{Address: address, RequestID: clementinewind.NewRequestID()}
	}
	requests := map[string]func(ctx context.Context, clients clients, address string) error{
		"call": func(ctx context.Context, clients clients, address string) error {
			_, err := clients.services.Call(ctx, call.Request{Address: address, Path: "/bookings", Body: []byte("seat 4"), Repeatable: true})
			return err
		},
		"call over a new connection": func(ctx context.Context, clients clients, address string) error {
			_, err := clients.services.Call(ctx, call.Request{Address: address, Path: "/bookings", Body: []byte("seat 4")})
			return err
		},
		"generate": func(ctx context.Context, clients clients, address string) error {
			stream, err := clients.engines.Generate(ctx, infer.Request{Target: target(address), Prompt: "a quote"})
			if err == nil {
				stream.Close()
			}
			return err
		},
		"resume": func(ctx context.Context, clients clients, address string) error {
			stream, err := clients.engines.Resume(ctx, target(address), 1)
			if err == nil {
				stream.Close()
			}
			return err
		},
		"cancel": func(ctx context.Context, clients clients, address string) error {
			return clients.engines.Cancel(ctx, target(address))
		},
		"load": func(ctx context.Context, clients clients, address string) error {
			_, err := clients.engines.Load(ctx, address, 0)
			return err
		},
	}
	responses := stand.BrokenHeads("Transfer-Encoding: chunked\r\n", "2\r\nok\r\n0\r\n\r\n")
	for _, status := range stand.BrokenStatuses() {
		responses["status "+status] = stand.BrokenStatusResponse(status, "", "")
	}
	responses["blank in a name, load report"] = "HTTP/1.1 200 OK\r\nBad Name: x\r\nContent-Length: 2\r\n\r\n{}"
	for name, response := range responses {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		quicktest.Assert(t, err, quicktest.IsNil)
		defer listener.Close()
		go stand.ServeResponse(listener, response)
		for kind, request := range requests {
			t.Run(kind+", "+name, func(t *testing.T) {
				clients := clients{call.New(call.Config{}), infer.New(infer.Config{})}
				defer clients.services.Close()
				defer clients.engines.Close()
				err := request(t.Context(), clients, listener.Addr().String())
				quicktest.Assert(t, err, quicktest.IsNotNil)
				quicktest.Check(t, send.ProgressOf(err), quicktest.Equals, clementinewind.ProgressDispatched)
			})
		}
	}
}
