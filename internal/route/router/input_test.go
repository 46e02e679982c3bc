package router_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/admin/conf"
	"github.com/clementinewind/clementinewind/internal/tools/demo"
	"github.com/clementinewind/clementinewind/internal/tools/stand"
	"github.com/clementinewind/clementinewind/internal/wire/callerv1"
	"github.com/clementinewind/clementinewind/internal/wire/operatorv1"
)

// Guards against bad input that gets no clear error, runs something, or ends the process.
func TestBadInput(t *testing.T) {
	config := config()
	config.Settings = func(settings conf.Router) conf.Router { return settings.WithRequestBytes(64 << 10) }
	run(t, config, func(t *testing.T, ctx context.Context, world *world) {
		generate := func(change func(request *callerv1.GenerateRequest)) error {
			request := &callerv1.GenerateRequest{Organisation: "Patel", Pool: demo.ModelPool, Prompt: "wheel", MaxTokens: 3}
			change(request)
			stream, err := world.Caller(0).Generate(ctx, connect.NewRequest(request))
			if err != nil {
				return err
			}
			defer stream.Close()
			for stream.Receive() {
			}
			return stream.Err()
		}
		call := func(change func(request *callerv1.CallRequest)) error {
			request := &callerv1.CallRequest{
				Organisation: "Patel", Pool: demo.ServicePool, Path: "/book", IdempotencyKey: "key",
				KeyIssuedMillis: time.Now().UnixMilli(),
			}
			change(request)
			_, err := world.Caller(0).Call(ctx, connect.NewRequest(request))
			return err
		}
		tests := []struct {
			name string
			err  error
			code connect.Code
			text string
		}{
			{"organisation", generate(func(request *callerv1.GenerateRequest) { request.Organisation = "Nobody" }), connect.CodeInvalidArgument, "unknown organisation"},
			{"pool", generate(func(request *callerv1.GenerateRequest) { request.Pool = "Nothing" }), connect.CodeInvalidArgument, "unknown pool"},
			{"kind of pool", generate(func(request *callerv1.GenerateRequest) { request.Pool = demo.ServicePool }), connect.CodeInvalidArgument, "of kind Service"},
			{"tokens", generate(func(request *callerv1.GenerateRequest) { request.MaxTokens = -1 }), connect.CodeInvalidArgument, "MaxTokens"},
			{"deadline", generate(func(request *callerv1.GenerateRequest) { request.DeadlineMillis = -1 }), connect.CodeInvalidArgument, "deadline"},
			{"long prompt", generate(func(request *callerv1.GenerateRequest) { request.Prompt = strings.Repeat("x", 65<<10) }), connect.CodeResourceExhausted, "max"},
			{"no key", call(func(request *callerv1.CallRequest) { request.IdempotencyKey = "" }), connect.CodeInvalidArgument, "IdempotencyKey"},
			{"no time of issue", call(func(request *callerv1.CallRequest) { request.KeyIssuedMillis = 0 }), connect.CodeInvalidArgument, "KeyIssuedMillis"},
			{"path", call(func(request *callerv1.CallRequest) { request.Path = "" }), connect.CodeInvalidArgument, "Path"},
		}
		for _, test := range tests {
			quicktest.Check(t, connect.CodeOf(test.err), quicktest.Equals, test.code, quicktest.Commentf("%s: %v", test.name, test.err))
			quicktest.Check(t, test.err, quicktest.ErrorMatches, "(?s).*"+test.text+".*", quicktest.Commentf("%s", test.name))
			if refusal := demo.RefusalOf(test.err); test.code == connect.CodeInvalidArgument {
				quicktest.Check(t, refusal.GetOutcome(), quicktest.Equals, callerv1.Outcome_OUTCOME_NOT_RUN, quicktest.Commentf("%s", test.name))
			}
		}
		for _, booking := range world.Bookings {
			quicktest.Check(t, booking.RunsByBody(), quicktest.HasLen, 0)
		}
		_, err := world.generate(ctx, 0, "wheel", 3)
		quicktest.Check(t, err, quicktest.IsNil)
	})
}

// Guards against an API that needs more than an HTTP client and JSON.
func TestPlainJSON(t *testing.T) {
	run(t, config(), func(t *testing.T, ctx context.Context, world *world) {
		post := func(method, body string) (int, map[string]any) {
			url := "http://" + world.Nodes[0].Router().CallerAddress().String() + "/caller.v1.CallerService/" + method
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
			quicktest.Assert(t, err, quicktest.IsNil)
			request.Header.Set("Content-Type", "application/json")
			response, err := world.CallerHTTPClient().Do(request)
			quicktest.Assert(t, err, quicktest.IsNil)
			defer response.Body.Close()
			data, err := io.ReadAll(response.Body)
			quicktest.Assert(t, err, quicktest.IsNil)
			var fields map[string]any
			quicktest.Assert(t, json.Unmarshal(data, &fields), quicktest.IsNil, quicktest.Commentf("%s", data))
			return response.StatusCode, fields
		}
		status, located := post("Locate", `{"Organisation":"Patel"}`)
		quicktest.Check(t, status, quicktest.Equals, http.StatusOK)
		quicktest.Check(t, located["Addresses"], quicktest.HasLen, 3)
		status, fault := post("Locate", `{"Organisation":`)
		quicktest.Check(t, status, quicktest.Equals, http.StatusBadRequest)
		quicktest.Check(t, fault["code"], quicktest.Equals, "invalid_argument")
		quicktest.Check(t, world.metrics(ctx, t), quicktest.Contains, `clementinewind_rejected_total{status="400"} 1`)
		status, fault = post("Call", `{"Organisation":"Nobody","Pool":"Bookings","Path":"/book"}`)
		quicktest.Check(t, status, quicktest.Equals, http.StatusBadRequest)
		quicktest.Check(t, fault["message"], quicktest.Contains, "unknown organisation")
		metrics := world.metrics(ctx, t)
		quicktest.Check(t, metrics, quicktest.Contains, `clementinewind_rejected_total{status="400"} 1`)
		quicktest.Check(t, metrics, quicktest.Contains, `outcome="NotRun",pool="Bookings",reason="Invalid"`)
	})
}

// metrics returns the metrics of the first router.
func (world *world) metrics(ctx context.Context, t *testing.T) string {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet,
		"http://"+world.Nodes[0].Router().AdminAddress().String()+"/metrics", nil)
	quicktest.Assert(t, err, quicktest.IsNil)
	response, err := world.CallerHTTPClient().Do(request)
	quicktest.Assert(t, err, quicktest.IsNil)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	quicktest.Assert(t, err, quicktest.IsNil)
	return string(data)
}

// Guards against a status that shows nothing of what the organisations do.
func TestStatusCountsUsage(t *testing.T) {
	run(t, config(), func(t *testing.T, ctx context.Context, world *world) {
		// New owners wait 2.5 s before they send.
		time.Sleep(5 * time.Second)
		done := make(chan error, 1)
		go func() {
			_, err := world.generate(ctx, 0, "long", 200)
			done <- err
		}()
		time.Sleep(time.Second)
		status := func() *operatorv1.OrganisationStatus {
			response, err := world.Operator(0).Status(ctx, connect.NewRequest(&operatorv1.StatusRequest{}))
			quicktest.Assert(t, err, quicktest.IsNil)
			for _, organisation := range response.Msg.Organisations {
				if organisation.Organisation == "Patel" {
					return organisation
				}
			}
			return nil
		}
		quicktest.Check(t, status().Running, quicktest.Equals, int32(1))
		quicktest.Assert(t, <-done, quicktest.IsNil)
		time.Sleep(time.Second)
		quicktest.Check(t, status().Running, quicktest.Equals, int32(0))
		quicktest.Check(t, status().ServedTokens, quicktest.Equals, int64(len(stand.Answer("long", 200))))
	})
}
