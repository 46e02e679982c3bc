package cli_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
	urfave "github.com/urfave/cli/v3"
	"google.golang.org/protobuf/proto"

	"github.com/clementinewind/clementinewind/internal/admin/cli"
	"github.com/clementinewind/clementinewind/internal/edge/auth"
	"github.com/clementinewind/clementinewind/internal/wire/callerv1"
	"github.com/clementinewind/clementinewind/internal/wire/callerv1/callerv1connect"
	"github.com/clementinewind/clementinewind/internal/wire/operatorv1"
	"github.com/clementinewind/clementinewind/internal/wire/operatorv1/operatorv1connect"
)

var update = flag.Bool("update", false, "rewrite the expected output in testdata")

// fakeRouter implements the services of a router. Some names in requests select failures, and Status refuses any token. It
// writes those requests to the transcript whose fields are checked.
type fakeRouter struct {
	callerv1connect.UnimplementedCallerServiceHandler
	operatorv1connect.UnimplementedOperatorServiceHandler
	transcript *bytes.Buffer
}

func (fakeRouter *fakeRouter) recordRequest(message proto.Message) {
	text := strings.Join(strings.Fields(fmt.Sprintf("%v", message)), " ")
	fmt.Fprintf(fakeRouter.transcript, "[received %s %s]\n", message.ProtoReflect().Descriptor().Name(), text)
}

// refusedError returns the error with which a router refuses a request.
func refusedError(code connect.Code, outcome callerv1.Outcome, reason string, retryAfterMillis int64) error {
	connectErr := connect.NewError(code, errors.New(reason))
	detail, err := connect.NewErrorDetail(&callerv1.Refusal{Outcome: outcome, Reason: reason, RetryAfterMillis: retryAfterMillis})
	if err != nil {
		return err
	}
	connectErr.AddDetail(detail)
	return connectErr
}

func (fakeRouter *fakeRouter) GetSettings(_ context.Context, request *connect.Request[operatorv1.GetSettingsRequest]) (*connect.Response[operatorv1.GetSettingsResponse], error) {
	fakeRouter.recordRequest(request.Msg)
	return connect.NewResponse(&operatorv1.GetSettingsResponse{Version: 41, Text: "[Organisations.Patel]\nWeight = 2\n"}), nil
}

func (fakeRouter *fakeRouter) SetSettings(_ context.Context, request *connect.Request[operatorv1.SetSettingsRequest]) (*connect.Response[operatorv1.SetSettingsResponse], error) {
	fakeRouter.recordRequest(request.Msg)
	response := &operatorv1.SetSettingsResponse{Accepted: true, Version: 42}
	switch request.Msg.GetChanges()[0].GetKey() {
	case "Conflict":
		response = &operatorv1.SetSettingsResponse{Conflict: "mori changed Conflict in version 41"}
	case "Missing":
		response.Missing = []string{"b1", "c1"}
	case "Lost":
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("connection reset"))
	case "Invalid":
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("Weight: want a number above 0"))
	}
	return connect.NewResponse(response), nil
}

func (fakeRouter *fakeRouter) SetZone(_ context.Context, request *connect.Request[operatorv1.SetZoneRequest]) (*connect.Response[operatorv1.SetZoneResponse], error) {
	fakeRouter.recordRequest(request.Msg)
	if request.Msg.GetUrgent() {
		return connect.NewResponse(&operatorv1.SetZoneResponse{Accepted: true, Missing: []string{"c1"}}), nil
	}
	return connect.NewResponse(&operatorv1.SetZoneResponse{Accepted: true, Version: 43}), nil
}

func (fakeRouter *fakeRouter) History(context.Context, *connect.Request[operatorv1.HistoryRequest]) (*connect.Response[operatorv1.HistoryResponse], error) {
	changes := []*operatorv1.Change{{Section: "Organisations.Patel", Key: "Weight", Value: "2"}, {Section: "Zones.b", Key: "InService", Unset: true}}
	return connect.NewResponse(&operatorv1.HistoryResponse{Entries: []*operatorv1.HistoryEntry{
		{Version: 41, TimeMillis: 1_700_000_000_000, Who: "sato", Why: "new\tcontract\x1b[2J", Changes: changes, Accepted: true},
		{Version: 42, TimeMillis: 1_700_000_001_000, Who: "mori", Changes: changes[:1], Conflict: "version 41 won"},
	}}), nil
}

var upstreams = []*operatorv1.UpstreamStatus{
	{Upstream: "m1", Pool: "large", Zone: "a", Owner: "a1", State: "Warm", Limit: 16, Running: 9},
	{Upstream: "booking-1", Pool: "booking", Zone: "b", State: "Cold", Limit: 2},
}

func (fakeRouter *fakeRouter) ListUpstreams(context.Context, *connect.Request[operatorv1.ListUpstreamsRequest]) (*connect.Response[operatorv1.ListUpstreamsResponse], error) {
	return connect.NewResponse(&operatorv1.ListUpstreamsResponse{Upstreams: upstreams}), nil
}

func (fakeRouter *fakeRouter) Status(_ context.Context, request *connect.Request[operatorv1.StatusRequest]) (*connect.Response[operatorv1.StatusResponse], error) {
	if request.Header().Get("Authorization") != "" {
		return nil, refusedError(connect.CodeUnauthenticated, callerv1.Outcome_OUTCOME_NOT_RUN, "Unauthorized", 0)
	}
	return connect.NewResponse(&operatorv1.StatusResponse{
		Instance: "a1", Zone: "a", State: "Ready", Version: 41, FreshMillisAgo: 250, Upstreams: upstreams,
		Sessions:      []*operatorv1.SessionStatus{{Session: 7, Instance: "a1", Zone: "a", State: "Live", Version: 41, HeardMillisAgo: 900}},
		Organisations: []*operatorv1.OrganisationStatus{{Organisation: "patel", Weight: 2, ServedTokens: 12345, Queued: 3, Running: 9}},
	}), nil
}

func (fakeRouter *fakeRouter) Timeline(_ context.Context, request *connect.Request[operatorv1.TimelineRequest]) (*connect.Response[operatorv1.TimelineResponse], error) {
	fakeRouter.recordRequest(request.Msg)
	return connect.NewResponse(&operatorv1.TimelineResponse{Missing: []string{"c1"}, Events: []*operatorv1.TimelineEvent{
		{Stamp: 2, TimeMillis: 1_700_000_001_000, Instance: "b1", Zone: "b", Kind: "ZoneOut"},
		{Stamp: 1, TimeMillis: 1_700_000_000_000, Instance: "a1", Zone: "a", Kind: "SettingsAccepted"},
	}}), nil
}

func (fakeRouter *fakeRouter) Locate(_ context.Context, request *connect.Request[callerv1.LocateRequest]) (*connect.Response[callerv1.LocateResponse], error) {
	if request.Msg.GetPool() == "none" {
		return connect.NewResponse(&callerv1.LocateResponse{}), nil
	}
	return connect.NewResponse(&callerv1.LocateResponse{Addresses: []string{"10.0.0.1:7000", "10.0.0.2:7000"}, TimeToLiveMillis: 30_000}), nil
}

func (fakeRouter *fakeRouter) Generate(_ context.Context, request *connect.Request[callerv1.GenerateRequest], stream *connect.ServerStream[callerv1.AnswerFrame]) error {
	fakeRouter.recordRequest(request.Msg)
	frames := []*callerv1.AnswerFrame{
		{ResumeToken: "token-1", Tokens: []string{"a ", "b "}},
		{Heartbeat: true},
		{Position: 1, Tokens: []string{"b ", "c "}},
		{Position: 3, Tokens: []string{"d"}, End: true},
	}
	var failed error
	switch request.Msg.GetPrompt() {
	case "queue full":
		return refusedError(connect.CodeResourceExhausted, callerv1.Outcome_OUTCOME_NOT_RUN, "QueueFull", 2000)
	case "short":
		frames = frames[:3]
	case "gap":
		frames[2].Position = 3
	case "broken":
		frames, failed = frames[:1], refusedError(connect.CodeUnavailable, callerv1.Outcome_OUTCOME_UNKNOWN, "ConnectionLost", 0)
	}
	for _, frame := range frames {
		if err := stream.Send(frame); err != nil {
			return err
		}
	}
	return failed
}

func (fakeRouter *fakeRouter) Resume(_ context.Context, request *connect.Request[callerv1.ResumeRequest], stream *connect.ServerStream[callerv1.AnswerFrame]) error {
	fakeRouter.recordRequest(request.Msg)
	return stream.Send(&callerv1.AnswerFrame{Position: 2, Tokens: []string{"c ", "d"}, End: true})
}

func (fakeRouter *fakeRouter) Call(_ context.Context, request *connect.Request[callerv1.CallRequest]) (*connect.Response[callerv1.CallResponse], error) {
	// A key of 32 characters was generated; replacing it keeps the transcript reproducible.
	if key := request.Msg.GetIdempotencyKey(); len(key) == 32 {
		request.Msg.IdempotencyKey = "random"
	}
	fakeRouter.recordRequest(request.Msg)
	switch request.Msg.GetPath() {
	case "/lost":
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("connection reset"))
	case "/busy":
		return nil, refusedError(connect.CodeUnavailable, callerv1.Outcome_OUTCOME_NOT_RUN, "LogUnavailable", 500)
	case "/taken":
		return connect.NewResponse(&callerv1.CallResponse{Status: 409, Body: []byte("seat taken")}), nil
	}
	return connect.NewResponse(&callerv1.CallResponse{Status: 200, Body: []byte("booked"), Replayed: request.Msg.GetIdempotencyKey() == "k"}), nil
}

// runCommand runs one command against the router and adds its output and exit code to the transcript.
func (fakeRouter *fakeRouter) runCommand(t *testing.T, args []string) {
	mux := http.NewServeMux()
	mux.Handle(callerv1connect.NewCallerServiceHandler(fakeRouter))
	mux.Handle(operatorv1connect.NewOperatorServiceHandler(fakeRouter))
	server := httptest.NewServer(mux)
	defer server.Close()
	var stdout, stderr bytes.Buffer
	commandLine := cli.New(cli.Config{
		Stdin: strings.NewReader("from input"), Stdout: &stdout, Stderr: &stderr,
		Now:      func() time.Time { return time.UnixMilli(1_700_000_000_000) },
		NewToken: func() auth.Token { return fixedToken(t) },
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			if address == "10.0.0.9:7000" {
				return nil, errors.New("connection refused")
			}
			return new(net.Dialer).DialContext(ctx, network, server.Listener.Addr().String())
		},
		CheckSettings: func(file string, _ []byte) error { return errors.Errorf("%s: [Zones] unknown key", file) },
		Extra: []*urfave.Command{{
			Name: "extra", Usage: "fail", Category: "Other",
			Action: func(context.Context, *urfave.Command) error { return errors.New("the extra command failed") },
		}},
	})
	fmt.Fprintf(fakeRouter.transcript, "$ clementinewind %s\n", strings.Join(args, " "))
	code := commandLine.Run(t.Context(), append([]string{"clementinewind"}, args...))
	key := ""
	if _, after, found := strings.Cut(stderr.String(), "--key "); found {
		key, _, _ = strings.Cut(after, " ")
	}
	errorText := stderr.String()
	if len(key) == 32 {
		errorText = strings.ReplaceAll(errorText, key, "random")
	}
	fakeRouter.transcript.WriteString(stdout.String())
	for line := range strings.Lines(errorText) {
		fakeRouter.transcript.WriteString("[stderr] " + line)
	}
	fmt.Fprintf(fakeRouter.transcript, "[exit %d]\n\n", code)
}

func fixedToken(t *testing.T) auth.Token {
	token, err := auth.ParseToken("cw_0123456789ab_" + strings.Repeat("0f", 32))
	quicktest.Assert(t, err, quicktest.IsNil)
	return token
}

// Guards against a changed exit code, a flag that is not sent, output that omits part of an answer, success for an incomplete
// answer, and an error that reports a request as not run although it may have run. Each testdata/*.commands file has one
// command per line, with | between the arguments; the expected transcript is in the .txt file beside it.
func TestCommands(t *testing.T) {
	files, err := filepath.Glob("testdata/*.commands")
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, len(files), quicktest.Equals, 3)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".commands"), func(t *testing.T) {
			commands, err := os.ReadFile(file)
			quicktest.Assert(t, err, quicktest.IsNil)
			fakeRouter := &fakeRouter{transcript: &bytes.Buffer{}}
			for line := range strings.Lines(string(commands)) {
				fakeRouter.runCommand(t, strings.Split(strings.TrimSpace(line), "|"))
			}
			transcript := strings.TrimSuffix(file, ".commands") + ".txt"
			if *update {
				quicktest.Assert(t, os.WriteFile(transcript, fakeRouter.transcript.Bytes(), 0o644), quicktest.IsNil)
			}
			want, err := os.ReadFile(transcript)
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Assert(t, fakeRouter.transcript.String(), quicktest.Equals, string(want))
		})
	}
}
