package send_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/route/send"
	"github.com/clementinewind/clementinewind/internal/tools/stand"
)

const address = "upstream:80"

// serve serves a handler in memory and returns a transport towards it.
func serve(t *testing.T, handler http.HandlerFunc) (*send.Transport, *stand.PipeNetwork) {
	network := stand.NewPipeNetwork()
	server := network.Serve(address, handler)
	transport := send.New(send.Config{Dial: network.Dial})
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		server.Close()
	})
	return transport, network
}

func newRequest(ctx context.Context, method string, body io.Reader) *http.Request {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/", body)
	if err != nil {
		panic(err)
	}
	return request
}

// do sends a request and reads its response.
func do(transport *send.Transport, request *http.Request, options send.Options) error {
	response, err := transport.Do(request, options)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	return err
}

// Guards against net/http sending a request again on its own after the server dropped a reused connection.
func TestNoSilentRetry(t *testing.T) {
	tests := map[string]func(*http.Request){
		"GET": func(*http.Request) {},
		"POST with idempotency key": func(request *http.Request) {
			request.Method = http.MethodPost
			request.Header.Set("Idempotency-Key", "1")
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var received atomic.Int32
				dispatched := 0
				transport, network := serve(t, func(writer http.ResponseWriter, _ *http.Request) {
					if received.Add(1) > 1 {
						conn, _, err := http.NewResponseController(writer).Hijack()
						quicktest.Check(t, err, quicktest.IsNil)
						conn.Close()
					}
				})
				quicktest.Assert(t, do(transport, newRequest(t.Context(), http.MethodGet, nil), send.Options{}), quicktest.IsNil)
				request := newRequest(t.Context(), http.MethodGet, nil)
				change(request)
				err := do(transport, request, send.Options{Dispatch: func() error {
					dispatched++
					return nil
				}})
				synctest.Wait()
				quicktest.Assert(t, send.ProgressOf(err), quicktest.Equals, clementinewind.ProgressDispatched)
				quicktest.Assert(t, received.Load(), quicktest.Equals, int32(2))
				quicktest.Assert(t, dispatched, quicktest.Equals, 1)
				quicktest.Assert(t, network.Dials() <= 2, quicktest.IsTrue)
			})
		})
	}
}

// Guards against writing a request after its context ended, which would make its outcome unknown.
func TestCancelBeforeWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var received atomic.Int32
		dispatched := 0
		transport, _ := serve(t, func(http.ResponseWriter, *http.Request) { received.Add(1) })
		ctx, cancel := context.WithCancel(t.Context())
		// The hook runs in the transport's write goroutine, after the connection is taken and before the first write.
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaderField: func(string, []string) {
			cancel()
		}})
		request := newRequest(ctx, http.MethodPost, strings.NewReader("body"))
		err := do(transport, request, send.Options{Dispatch: func() error {
			dispatched++
			return nil
		}})
		quicktest.Assert(t, send.ProgressOf(err), quicktest.Equals, clementinewind.ProgressQueued)
		quicktest.Assert(t, errors.Is(err, context.Canceled), quicktest.IsTrue)
		synctest.Wait()
		quicktest.Assert(t, dispatched, quicktest.Equals, 0)
		quicktest.Assert(t, received.Load(), quicktest.Equals, int32(0))
	})
}

// Guards against writing a request although its dispatch step failed, and against the transport then trying its other
// connections.
func TestDispatchRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var received atomic.Int32
		dispatched := 0
		hold := make(chan struct{})
		var group sync.WaitGroup
		transport, network := serve(t, func(http.ResponseWriter, *http.Request) {
			received.Add(1)
			<-hold
		})
		for range 2 {
			group.Go(func() {
				err := do(transport, newRequest(context.Background(), http.MethodGet, nil), send.Options{})
				quicktest.Check(t, err, quicktest.IsNil)
			})
		}
		synctest.Wait()
		close(hold)
		group.Wait()
		refusal := clementinewind.NewRefusal(clementinewind.ProgressQueued, clementinewind.ReasonStale, "")
		err := do(transport, newRequest(t.Context(), http.MethodPost, strings.NewReader("body")), send.Options{
			Dispatch: func() error {
				dispatched++
				return refusal
			},
		})
		synctest.Wait()
		var failure *send.Error
		quicktest.Assert(t, errors.As(err, &failure), quicktest.IsTrue)
		quicktest.Assert(t, failure.Refusal().Outcome, quicktest.Equals, clementinewind.OutcomeNotRun)
		quicktest.Assert(t, failure.Reason, quicktest.Equals, clementinewind.ReasonStale)
		quicktest.Assert(t, []int{int(received.Load()), dispatched, network.Dials()}, quicktest.DeepEquals, []int{2, 1, 2})
	})
}

// Guards against reporting a request as not run when the upstream did not say so: the status alone does not prove it.
func TestDeclined(t *testing.T) {
	tests := map[string]struct {
		status int
		header string
		want   clementinewind.Progress
	}{
		"503 with the header":    {status: 503, header: "true", want: clementinewind.ProgressDeclined},
		"503 without the header": {status: 503, want: clementinewind.ProgressCompleted},
		"200 with the header":    {status: 200, header: "true", want: clementinewind.ProgressCompleted},
		"redirect":               {status: 307, want: clementinewind.ProgressCompleted},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var received atomic.Int32
				transport, _ := serve(t, func(writer http.ResponseWriter, _ *http.Request) {
					received.Add(1)
					writer.Header().Set(send.HeaderNotRun, test.header)
					writer.Header().Set("Location", "/elsewhere")
					writer.WriteHeader(test.status)
				})
				progress := clementinewind.ProgressCompleted
				if err := do(transport, newRequest(t.Context(), http.MethodPost, strings.NewReader("body")), send.Options{}); err != nil {
					progress = send.ProgressOf(err)
				}
				quicktest.Assert(t, progress, quicktest.Equals, test.want)
				quicktest.Assert(t, received.Load(), quicktest.Equals, int32(1))
			})
		})
	}
}

// Guards against a dial that hangs until the request's own deadline.
func TestDialTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport := send.New(send.Config{Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}})
		err := do(transport, newRequest(t.Context(), http.MethodGet, nil), send.Options{})
		quicktest.Assert(t, send.ProgressOf(err), quicktest.Equals, clementinewind.ProgressQueued)
	})
}

// Guards against accepting a response that arrived before the request was written, and against writing the request after
// it was reported as not run.
func TestEarlyResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatched := 0
		clientSide, serverSide := net.Pipe()
		defer serverSide.Close()
		transport := send.New(send.Config{Dial: func(context.Context, string, string) (net.Conn, error) { return clientSide, nil }})
		released := make(chan struct{})
		var once sync.Once
		ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{WroteHeaderField: func(string, []string) {
			once.Do(func() {
				go serverSide.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
				<-released
			})
		}})
		err := do(transport, newRequest(ctx, http.MethodPost, strings.NewReader("body")), send.Options{Dispatch: func() error {
			dispatched++
			return nil
		}})
		quicktest.Assert(t, send.ProgressOf(err), quicktest.Equals, clementinewind.ProgressQueued)
		close(released)
		synctest.Wait()
		quicktest.Assert(t, dispatched, quicktest.Equals, 0)
	})
}
