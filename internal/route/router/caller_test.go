package router_test

import (
	"context"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/tools/demo"
	"github.com/clementinewind/clementinewind/internal/tools/stand"
	"github.com/clementinewind/clementinewind/internal/wire/callerv1"
	"github.com/clementinewind/clementinewind/internal/wire/callerv1/callerv1connect"
	"github.com/clementinewind/clementinewind/internal/wire/operatorv1"
)

// reading is what a caller has of an answer.
type reading struct {
	requestID, token string
	tokens           []string
	ended            bool
	err              error
}

// frames is the stream of an answer.
type frames interface {
	Receive() bool
	Msg() *callerv1.AnswerFrame
	Err() error
}

// read reads a stream until it ends or until the answer has count tokens.
func (reading *reading) read(stream frames, count int) {
	for len(reading.tokens) < count && stream.Receive() {
		frame := stream.Msg()
		reading.requestID = frame.RequestId
		if frame.ResumeToken != "" {
			reading.token = frame.ResumeToken
		}
		reading.tokens = append(reading.tokens, frame.Tokens...)
		reading.ended = reading.ended || frame.End
	}
	reading.err = stream.Err()
}

// begin starts a request and reads count tokens of its answer.
func (world *world) begin(ctx context.Context, t *testing.T, router int, prompt string, tokens int32, count int) *reading {
	t.Helper()
	stream, err := world.Caller(router).Generate(ctx, connect.NewRequest(&callerv1.GenerateRequest{
		Organisation: "Patel", Pool: demo.ModelPool, Prompt: prompt, MaxTokens: tokens,
	}))
	quicktest.Assert(t, err, quicktest.IsNil)
	begun := &reading{}
	begun.read(stream, count)
	quicktest.Assert(t, begun.err, quicktest.IsNil)
	return begun
}

// resume reads the rest of an answer through a router.
func (world *world) resume(ctx context.Context, router int, organisation string, begun *reading) {
	stream, err := world.Caller(router).Resume(ctx, connect.NewRequest(&callerv1.ResumeRequest{
		Organisation: organisation, ResumeToken: begun.token, Position: int64(len(begun.tokens)),
	}))
	if err != nil {
		begun.err = err
		return
	}
	defer stream.Close()
	begun.read(stream, 1<<20)
}

// running returns the number of runs in progress at all engines.
func (world *world) running() int {
	total := 0
	for _, engine := range world.Engines {
		running, waiting := engine.Running()
		total += running + waiting
	}
	return total
}

// Guards against a resume through another router that repeats or loses tokens, or that runs the request again, and
// against a resume by another organisation that gives away the answer.
func TestResumeThroughAnotherRouter(t *testing.T) {
	t.Parallel()
	run(t, config(), func(t *testing.T, ctx context.Context, world *world) {
		for router := range world.Nodes {
			prompt := "resumed through " + demo.RouterName(router)
			callerCtx, leave := context.WithCancel(ctx)
			begun := world.begin(callerCtx, t, router, prompt, 400, 20)
			leave()
			time.Sleep(time.Second)
			foreign := &reading{token: begun.token}
			world.resume(ctx, (router+1)%3, "Fjordvolt", foreign)
			quicktest.Check(t, connect.CodeOf(foreign.err), quicktest.Equals, connect.CodeUnknown)
			quicktest.Check(t, demo.RefusalOf(foreign.err).GetReason(), quicktest.Equals, "Invalid")
			quicktest.Check(t, foreign.tokens, quicktest.HasLen, 0)
			world.resume(ctx, (router+1)%3, "Patel", begun)
			quicktest.Check(t, begun.err, quicktest.IsNil)
			quicktest.Check(t, begun.ended, quicktest.IsTrue)
			quicktest.Check(t, begun.tokens, quicktest.DeepEquals, stand.Answer(prompt, 400))
			quicktest.Check(t, world.modelRuns(begun.requestID), quicktest.Equals, 1)
		}
	})
}

// Guards against work that goes on at an engine for a caller that never comes back, and against a cancellation before
// the resume grace has passed.
func TestCallerGoesAwayForGood(t *testing.T) {
	t.Parallel()
	run(t, config(), func(t *testing.T, ctx context.Context, world *world) {
		callerCtx, leave := context.WithCancel(ctx)
		begun := world.begin(callerCtx, t, 0, "abandoned", 8000, 10)
		leave()
		time.Sleep(4 * time.Second)
		quicktest.Check(t, world.running(), quicktest.Equals, 1)
		time.Sleep(2 * time.Second)
		quicktest.Check(t, world.running(), quicktest.Equals, 0)
		world.resume(ctx, 1, "Patel", begun)
		quicktest.Check(t, demo.RefusalOf(begun.err).GetOutcome(), quicktest.Equals, callerv1.Outcome_OUTCOME_UNKNOWN)
		quicktest.Check(t, world.modelRuns(begun.requestID), quicktest.Equals, 1)
		// The slot of the cancelled run is free again: a full load of requests still fits.
		answer, err := world.generate(ctx, 0, "after", 40)
		quicktest.Check(t, err, quicktest.IsNil)
		quicktest.Check(t, answer, quicktest.DeepEquals, stand.Answer("after", 40))
	})
}

// slowCaller returns a client that buffers little, so that what it does not read must wait in the fleet.
func (world *world) slowCaller(router int) callerv1connect.CallerServiceClient {
	dial := world.network.Dialer("10.0.1.1")
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		Protocols: protocols,
		HTTP2:     &http.HTTP2Config{MaxReceiveBufferPerStream: 64 << 10},
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return dial(ctx, address)
		},
	}
	return callerv1connect.NewCallerServiceClient(&http.Client{Transport: transport},
		"http://"+world.Nodes[router].Router().CallerAddress().String())
}

// Guards against reading ahead of a slow caller without bound, and against a slow answer that is cut short.
func TestSlowReader(t *testing.T) {
	t.Parallel()
	const (
		tokens = 40_000
		// maxAhead is far above what the windows of the three connections hold, and far below the answer.
		maxAhead = 12_000
	)
	config := config()
	config.Engine.TokenTime = 100 * time.Microsecond
	run(t, config, func(t *testing.T, ctx context.Context, world *world) {
		prompt := "slow reader"
		want := stand.Answer(prompt, tokens)
		stream, err := world.slowCaller(0).Generate(ctx, connect.NewRequest(&callerv1.GenerateRequest{
			Organisation: "Patel", Pool: demo.ModelPool, Prompt: prompt, MaxTokens: tokens,
		}))
		quicktest.Assert(t, err, quicktest.IsNil)
		defer stream.Close()
		read := &reading{}
		read.read(stream, 10)
		time.Sleep(time.Minute)
		var produced int64
		for _, engine := range world.Engines {
			produced += engine.AllRunTotals()[read.requestID].Tokens
		}
		t.Logf("the engine produced %d of %d tokens for a reader that took %d", produced, len(want), len(read.tokens))
		quicktest.Check(t, produced < maxAhead, quicktest.IsTrue)
		read.read(stream, 1<<20)
		quicktest.Check(t, read.err, quicktest.IsNil)
		quicktest.Check(t, slices.Equal(read.tokens, want), quicktest.IsTrue)
		quicktest.Check(t, world.modelRuns(read.requestID), quicktest.Equals, 1)
	})
}

// ownerOf returns the router that owns an upstream.
func (world *world) ownerOf(ctx context.Context, t *testing.T, upstream string) int {
	t.Helper()
	list, err := world.Operator(0).ListUpstreams(ctx, connect.NewRequest(&operatorv1.ListUpstreamsRequest{}))
	quicktest.Assert(t, err, quicktest.IsNil)
	for _, shown := range list.Msg.Upstreams {
		if shown.Upstream == upstream {
			return slices.IndexFunc(world.Nodes, func(node *demo.Node) bool { return string(node.Name) == shown.Owner })
		}
	}
	t.Fatalf("no upstream %s in %v", upstream, list.Msg.Upstreams)
	return 0
}

// Guards against a refusal "not run" for a request whose first attempt ran at an owner whose replies are lost, and whose
// second attempt found no slot before the deadline.
func TestRefusalAfterLostAdmission(t *testing.T) {
	t.Parallel()
	engine := demo.ModelPool + "." + demo.EngineName(0)
	for _, upstream := range []string{engine, demo.ServicePool + "." + demo.BookingName(0)} {
		config := config()
		config.Engines, config.Bookings = 1, 1
		run(t, config, func(t *testing.T, ctx context.Context, world *world) {
			// A new owner waits 2.5 s before it sends; until then it would refuse the first attempt.
			time.Sleep(5 * time.Second)
			owner := world.ownerOf(ctx, t, upstream)
			entry := (owner + 1) % 3
			cutFrom(world, owner, true)
			const deadline = 6 * time.Second
			var err error
			if upstream == engine {
				made := attempt{organisation: "Patel", router: entry, prompt: "lost"}
				world.askModelWithin(ctx, &made, deadline)
				err = made.err
			} else {
				call := callOf("", "lost", time.Now())
				call.Repeatable, call.DeadlineMillis = true, deadline.Milliseconds()
				_, err = world.Caller(entry).Call(ctx, connect.NewRequest(call))
			}
			ran := len(world.Engines[0].AllRunTotals()) + world.bookingRuns("lost")
			t.Logf("%s: runs %d, error %v", upstream, ran, err)
			quicktest.Check(t, ran > 0, quicktest.IsTrue)
			quicktest.Check(t, demo.RefusalOf(err).GetOutcome(), quicktest.Equals, callerv1.Outcome_OUTCOME_UNKNOWN)
			cutFrom(world, owner, false)
		})
	}
}

// Guards against a refusal "not run" of a resume, whose request has run, when the owner of the engine cannot be reached.
func TestRefusedResume(t *testing.T) {
	t.Parallel()
	config := config()
	config.Engines = 1
	run(t, config, func(t *testing.T, ctx context.Context, world *world) {
		owner := world.ownerOf(ctx, t, demo.ModelPool+"."+demo.EngineName(0))
		entry := (owner + 1) % 3
		callerCtx, leave := context.WithCancel(ctx)
		begun := world.begin(callerCtx, t, owner, "unreachable", 400, 20)
		leave()
		// Without the log nobody expires the session of the owner, so the engine keeps it.
		world.log.SetFaults(stand.LogFaults{Down: true})
		quicktest.Assert(t, world.StopRouter(owner), quicktest.IsNil)
		world.resume(ctx, entry, "Patel", begun)
		t.Logf("resume: %v", begun.err)
		quicktest.Check(t, demo.RefusalOf(begun.err).GetOutcome(), quicktest.Equals, callerv1.Outcome_OUTCOME_UNKNOWN)
		quicktest.Check(t, world.modelRuns(begun.requestID), quicktest.Equals, 1)
	})
}
