package infer_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/route/answer"
	"github.com/clementinewind/clementinewind/internal/route/infer"
	"github.com/clementinewind/clementinewind/internal/route/send"
	"github.com/clementinewind/clementinewind/internal/share/pause"
	"github.com/clementinewind/clementinewind/internal/tools/stand"
)

const engineAddress = "engine:80"

// fixture is an engine behind a network in memory with a client.
type fixture struct {
	t       *testing.T
	network *stand.PipeNetwork
	engine  *stand.Engine
	server  *http.Server
	client  *infer.Client
}

func newFixture(config stand.EngineConfig) *fixture {
	network := stand.NewPipeNetwork()
	engine := stand.NewEngine(config)
	server := network.Serve(engineAddress, engine)
	return &fixture{network: network, engine: engine, server: server, client: infer.New(infer.Config{Dial: network.Dial})}
}

func (fixture *fixture) close() {
	fixture.client.Close()
	fixture.engine.Restart()
	fixture.server.Close()
}

func newRequest(prompt string, dispatch func() error) infer.Request {
	return infer.Request{
		Target: infer.Target{
			Address: engineAddress, RequestID: clementinewind.NewRequestID(), Organisation: "acme", FencingToken: 7,
		},
		Prompt: prompt, MaxTokens: 16, Dispatch: dispatch,
	}
}

// readAll reads a stream from a position up to its end.
func readAll(stream *infer.Stream, position int) ([]string, error) {
	defer stream.Close()
	var tokens []string
	for {
		chunk, err := stream.Next()
		if err == io.EOF {
			return tokens, nil
		}
		if err != nil {
			return tokens, err
		}
		if chunk.Position != int64(position+len(tokens)) {
			return tokens, io.ErrUnexpectedEOF
		}
		tokens = append(tokens, chunk.Tokens...)
	}
}

// Guards against answers that lose, repeat or mix up tokens, and against a dispatch step that is left out or repeated,
// on new and on reused connections.
func TestGenerateWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(stand.EngineConfig{StartWarm: true})
		defer fixture.close()
		for range 3 {
			dispatched := 0
			request := newRequest("a prompt", func() error {
				dispatched++
				return nil
			})
			stream, err := fixture.client.Generate(t.Context(), request)
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Assert(t, stream.BootID(), quicktest.Equals, fixture.engine.BootID())
			tokens, err := readAll(stream, 0)
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Assert(t, tokens, quicktest.DeepEquals, stand.Answer("a prompt", 16))
			quicktest.Assert(t, dispatched, quicktest.Equals, 1)
			quicktest.Assert(t, fixture.engine.RunTotals(request.RequestID).Runs, quicktest.Equals, 1)
		}
		quicktest.Assert(t, fixture.network.Dials(), quicktest.Equals, 1)
		load, err := fixture.client.Load(t.Context(), engineAddress, 0)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, load.BootID, quicktest.Equals, fixture.engine.BootID())
	})
}

// Guards against reporting a request as not run when resuming it fails, and against resuming the answer of another
// organisation.
func TestResumeErrors(t *testing.T) {
	tests := map[string]struct {
		fault        func(*fixture, *infer.Target)
		notResumable bool
	}{
		"refused":            {fault: func(fixture *fixture, _ *infer.Target) { fixture.engine.Inject(stand.Fault{Kind: stand.FaultRefuse}) }},
		"dial refused":       {fault: func(fixture *fixture, _ *infer.Target) { fixture.network.Inject(stand.ConnectionFault{Refuse: true}) }},
		"forgotten":          {fault: func(fixture *fixture, _ *infer.Target) { fixture.engine.Restart() }, notResumable: true},
		"other organisation": {fault: func(_ *fixture, target *infer.Target) { target.Organisation = "other" }, notResumable: true},
		"cancelled": {fault: func(fixture *fixture, target *infer.Target) {
			quicktest.Assert(fixture.t, fixture.client.Cancel(fixture.t.Context(), *target), quicktest.IsNil)
		}, notResumable: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newFixture(stand.EngineConfig{StartWarm: true})
				fixture.t = t
				defer fixture.close()
				request := newRequest("a prompt", nil)
				stream, err := fixture.client.Generate(t.Context(), request)
				quicktest.Assert(t, err, quicktest.IsNil)
				stream.Close()
				test.fault(fixture, &request.Target)
				_, err = fixture.client.Resume(t.Context(), request.Target, 0)
				quicktest.Assert(t, send.ProgressOf(err), quicktest.Equals, clementinewind.ProgressDispatched)
				quicktest.Assert(t, errors.Is(err, answer.ErrNotResumable), quicktest.Equals, test.notResumable)
			})
		})
	}
}

// Guards against a resume over an idle connection, which may be as silent as the one that was lost.
func TestResumeNewConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(stand.EngineConfig{StartWarm: true})
		defer fixture.close()
		request := newRequest("a prompt", nil)
		stream, err := fixture.client.Generate(t.Context(), request)
		quicktest.Assert(t, err, quicktest.IsNil)
		whole, err := readAll(stream, 0)
		quicktest.Assert(t, err, quicktest.IsNil)
		stream, err = fixture.client.Resume(t.Context(), request.Target, 3)
		quicktest.Assert(t, err, quicktest.IsNil)
		rest, err := readAll(stream, 3)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, rest, quicktest.DeepEquals, whole[3:])
		quicktest.Assert(t, fixture.network.Dials(), quicktest.Equals, 2)
	})
}

// Guards against a slow reader that makes the engine or the client hold a whole answer.
func TestSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(stand.EngineConfig{StartWarm: true})
		defer fixture.close()
		request := newRequest("a prompt", nil)
		request.MaxTokens = 8000
		stream, err := fixture.client.Generate(t.Context(), request)
		quicktest.Assert(t, err, quicktest.IsNil)
		time.Sleep(time.Hour)
		// The engine runs 64 tokens ahead of its connection, whose buffers take some events of more than 100 bytes.
		produced := fixture.engine.RunTotals(request.RequestID).Tokens
		quicktest.Assert(t, produced < 300, quicktest.IsTrue, quicktest.Commentf("%d tokens", produced))
		tokens, err := readAll(stream, 0)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, tokens, quicktest.DeepEquals, stand.Answer("a prompt", 8000))
	})
}

// Guards against an idle timeout that is longer or shorter than configured, and against a slow reader that
// triggers it.
func TestIdleTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(stand.EngineConfig{StartWarm: true})
		defer fixture.close()
		fixture.engine.Inject(stand.Fault{Kind: stand.FaultSilence, After: 2})
		stream, err := fixture.client.Generate(t.Context(), newRequest("a prompt", nil))
		quicktest.Assert(t, err, quicktest.IsNil)
		defer stream.Close()
		for range 2 {
			time.Sleep(time.Minute)
			_, err := stream.Next()
			quicktest.Assert(t, err, quicktest.IsNil)
		}
		start := time.Now()
		_, err = stream.Next()
		quicktest.Assert(t, err, quicktest.ErrorMatches, "Dispatched: ConnectionLost: stream was silent.*")
		quicktest.Assert(t, time.Since(start), quicktest.Equals, 10*time.Second)
	})
}

// Guards against a stalled engine that sends only comments and whose stream therefore never reaches the idle timeout.
func TestCommentsAreNoProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(stand.EngineConfig{})
		defer fixture.close()
		fixture.server.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			controller := http.NewResponseController(writer)
			for controller.Flush() == nil && pause.For(request.Context(), time.Second) == nil {
				fmt.Fprint(writer, ": still here\n\n")
			}
		})
		stream, err := fixture.client.Generate(t.Context(), newRequest("a prompt", nil))
		quicktest.Assert(t, err, quicktest.IsNil)
		start := time.Now()
		_, err = readAll(stream, 0)
		quicktest.Assert(t, err, quicktest.ErrorMatches, "Dispatched: ConnectionLost: stream was silent.*")
		quicktest.Assert(t, time.Since(start), quicktest.Equals, 10*time.Second)
	})
}

// Guards against waiting for the idle timeout once for each of several idle connections that went silent together.
func TestSilentIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(stand.EngineConfig{StartWarm: true})
		defer fixture.close()
		// A request has more than 200 and less than 500 bytes, so the second one on a connection is lost.
		fixture.network.Inject(stand.ConnectionFault{SilentAfterWritten: 500}, stand.ConnectionFault{SilentAfterWritten: 500})
		var both sync.WaitGroup
		for range 2 {
			both.Go(func() { fixture.ask(context.Background(), newRequest("a prompt", nil)) })
		}
		both.Wait()
		_, err := fixture.client.Generate(t.Context(), newRequest("a prompt", nil))
		quicktest.Assert(t, err, quicktest.ErrorMatches, ".*stream was silent.*")
		stream, err := fixture.client.Generate(t.Context(), newRequest("a prompt", nil))
		quicktest.Assert(t, err, quicktest.IsNil)
		stream.Close()
	})
}

// Guards against a new connection for each answer when the end mark comes after the last token, and against waiting for
// an end mark that never comes.
func TestLateEndMark(t *testing.T) {
	for _, late := range []time.Duration{10 * time.Millisecond, time.Hour} {
		t.Run(late.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newFixture(stand.EngineConfig{})
				defer fixture.close()
				fixture.server.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
					fmt.Fprintf(writer, "data: {\"id\":%q,\"position\":0,\"usage\":{\"completion_tokens\":0}}\n\n",
						request.Header.Get(send.HeaderRequestID))
					http.NewResponseController(writer).Flush()
					select {
					case <-time.After(late):
						fmt.Fprint(writer, "data: [DONE]\n\n")
					case <-request.Context().Done():
					}
				})
				start := time.Now()
				for range 2 {
					stream, err := fixture.client.Generate(t.Context(), newRequest("a prompt", nil))
					quicktest.Assert(t, err, quicktest.IsNil)
					_, err = readAll(stream, 0)
					quicktest.Assert(t, err, quicktest.IsNil)
				}
				quicktest.Assert(t, time.Since(start) <= 100*time.Millisecond, quicktest.IsTrue)
				quicktest.Assert(t, fixture.network.Dials() == 1, quicktest.Equals, late < time.Hour)
			})
		})
	}
}

// BenchmarkGenerate measures a request without tokens over a reused connection in memory, with the cost of the server.
func BenchmarkGenerate(b *testing.B) {
	network := stand.NewPipeNetwork()
	request := newRequest(strings.Repeat("p", 1000), nil)
	server := network.Serve(engineAddress, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		io.Copy(io.Discard, request.Body)
		fmt.Fprintf(writer, "data: {\"id\":%q,\"position\":0,\"usage\":{\"completion_tokens\":0}}\n\ndata: [DONE]\n\n",
			request.Header.Get(send.HeaderRequestID))
	}))
	defer server.Close()
	client := infer.New(infer.Config{Dial: network.Dial})
	defer client.Close()
	b.ReportAllocs()
	for b.Loop() {
		stream, err := client.Generate(b.Context(), request)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := readAll(stream, 0); err != nil {
			b.Fatal(err)
		}
	}
}
