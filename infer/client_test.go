package infer_test

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/infer"
	"github.com/clementinewind/clementinewind/stand"
)

const engineAddress = "engine:80"

// fixture is an engine behind a network in memory with a client.
type fixture struct {
	network *stand.PipeNetwork
	engine  *stand.Engine
	server  *http.Server
	client  *infer.Client
}

func newFixture(config stand.EngineConfig) *fixture {
	network := stand.NewPipeNetwork()
	engine := stand.NewEngine(config)
	server := &http.Server{Handler: engine}
	go server.Serve(network.Listen(engineAddress))
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
		Prompt: prompt, MaxTokens: 32, Dispatch: dispatch,
	}
}

// readAll reads a stream up to its end.
func readAll(stream *infer.Stream) ([]string, error) {
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
		if chunk.Position != int64(len(tokens)) {
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
			tokens, err := readAll(stream)
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Assert(t, tokens, quicktest.DeepEquals, stand.Answer("a prompt", 32))
			quicktest.Assert(t, dispatched, quicktest.Equals, 1)
			quicktest.Assert(t, fixture.engine.Ran(request.RequestID).Runs, quicktest.Equals, 1)
		}
		quicktest.Assert(t, fixture.network.Dials(), quicktest.Equals, 1)
		load, err := fixture.client.Load(t.Context(), engineAddress, 0)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, load.BootID, quicktest.Equals, fixture.engine.BootID())
	})
}
