package auth_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"connectrpc.com/connect"
	"github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/edge/auth"
	"github.com/clementinewind/clementinewind/internal/wire/callerv1"
	"github.com/clementinewind/clementinewind/internal/wire/callerv1/callerv1connect"
	"github.com/clementinewind/clementinewind/internal/wire/operatorv1"
	"github.com/clementinewind/clementinewind/internal/wire/operatorv1/operatorv1connect"
)

type tokenStore struct {
	access  auth.Access
	entries map[string]auth.TokenEntry
}

func (store tokenStore) Access() auth.Access { return store.access }

func (store tokenStore) Lookup(id string) (auth.TokenEntry, bool) {
	entry, ok := store.entries[id]
	return entry, ok
}

// services responds with the organisation, operator or identity that the interceptors let through.
type services struct {
	callerv1connect.UnimplementedCallerServiceHandler
	operatorv1connect.UnimplementedOperatorServiceHandler
}

func (services) Locate(_ context.Context, request *connect.Request[callerv1.LocateRequest]) (*connect.Response[callerv1.LocateResponse], error) {
	return connect.NewResponse(&callerv1.LocateResponse{Addresses: []string{request.Msg.GetOrganisation()}}), nil
}

func (services) Generate(ctx context.Context, request *connect.Request[callerv1.GenerateRequest], stream *connect.ServerStream[callerv1.AnswerFrame]) error {
	identity := auth.IdentityFromContext(ctx)
	return stream.Send(&callerv1.AnswerFrame{Tokens: []string{request.Msg.GetOrganisation(), string(identity.Organisation)}})
}

func (services) SetZone(_ context.Context, request *connect.Request[operatorv1.SetZoneRequest]) (*connect.Response[operatorv1.SetZoneResponse], error) {
	return connect.NewResponse(&operatorv1.SetZoneResponse{Conflict: request.Msg.GetWho()}), nil
}

func (services) Status(context.Context, *connect.Request[operatorv1.StatusRequest]) (*connect.Response[operatorv1.StatusResponse], error) {
	return connect.NewResponse(&operatorv1.StatusResponse{Instance: "a1"}), nil
}

func (services) Timeline(_ context.Context, request *connect.Request[operatorv1.TimelineRequest]) (*connect.Response[operatorv1.TimelineResponse], error) {
	return connect.NewResponse(&operatorv1.TimelineResponse{Missing: []string{request.Msg.GetOrganisation()}}), nil
}

type clients struct {
	caller   callerv1connect.CallerServiceClient
	operator operatorv1connect.OperatorServiceClient
}

func serve(t *testing.T, access auth.Access, entries map[string]auth.TokenEntry, token string) clients {
	authenticator := auth.New(auth.Config{Store: tokenStore{access, entries}})
	mux := http.NewServeMux()
	mux.Handle(callerv1connect.NewCallerServiceHandler(services{}, connect.WithInterceptors(authenticator.CallerInterceptor())))
	mux.Handle(operatorv1connect.NewOperatorServiceHandler(services{}, connect.WithInterceptors(authenticator.OperatorInterceptor())))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	option := connect.WithInterceptors(auth.ClientInterceptor(token))
	return clients{
		callerv1connect.NewCallerServiceClient(server.Client(), server.URL, option),
		operatorv1connect.NewOperatorServiceClient(server.Client(), server.URL, option),
	}
}

// describe returns answer, or the code of the error and the outcome in its refusal.
func describe(answer string, err error) string {
	if err == nil {
		return answer
	}
	var refused *connect.Error
	if !errors.As(err, &refused) || len(refused.Details()) != 1 {
		return err.Error()
	}
	value, err := refused.Details()[0].Value()
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(refused.Code(), " ", value.(*callerv1.Refusal).GetOutcome())
}

// send sends a unary request and describes its answer or error.
func send[Request, Response any](
	method func(context.Context, *connect.Request[Request]) (*connect.Response[Response], error), request *Request, answer func(*Response) string,
) string {
	response, err := method(context.Background(), connect.NewRequest(request))
	if err != nil {
		return describe("", err)
	}
	return answer(response.Msg)
}

func (clients clients) locate(organisation string) string {
	return send(clients.caller.Locate, &callerv1.LocateRequest{Organisation: organisation}, func(response *callerv1.LocateResponse) string {
		return response.GetAddresses()[0]
	})
}

func (clients clients) generate(organisation string) string {
	stream, err := clients.caller.Generate(context.Background(), connect.NewRequest(&callerv1.GenerateRequest{Organisation: organisation}))
	if err != nil {
		return describe("", err)
	}
	defer stream.Close()
	if !stream.Receive() {
		return describe("", stream.Err())
	}
	return fmt.Sprint(stream.Msg().GetTokens())
}

func (clients clients) resume() string {
	stream, err := clients.caller.Resume(context.Background(), connect.NewRequest(&callerv1.ResumeRequest{Organisation: "okafor"}))
	if err != nil {
		return describe("", err)
	}
	defer stream.Close()
	stream.Receive()
	return describe("resumed", stream.Err())
}

func (clients clients) call() string {
	return send(clients.caller.Call, &callerv1.CallRequest{Organisation: "okafor", IdempotencyKey: "k"}, (*callerv1.CallResponse).String)
}

func (clients clients) setZone(who string) string {
	return send(clients.operator.SetZone, &operatorv1.SetZoneRequest{Who: who}, (*operatorv1.SetZoneResponse).GetConflict)
}

func (clients clients) status() string {
	return send(clients.operator.Status, &operatorv1.StatusRequest{}, (*operatorv1.StatusResponse).GetInstance)
}

func (clients clients) timeline(organisation string) string {
	return send(clients.operator.Timeline, &operatorv1.TimelineRequest{Organisation: organisation}, func(response *operatorv1.TimelineResponse) string {
		return response.GetMissing()[0]
	})
}

// Guards against an organisation that acts or reads as another one, a change of a zone under another operator's name,
// access without a valid token, and a refusal that says "not run" although the stream that the message resumes, or an
// earlier call with its idempotency key, may have run.
func TestAuthorization(t *testing.T) {
	patel, sato, mismatched, both := auth.NewToken(), auth.NewToken(), auth.NewToken(), auth.NewToken()
	entries := map[string]auth.TokenEntry{
		patel.ID:      {Hash: patel.Hash(), Organisation: "patel"},
		sato.ID:       {Hash: sato.Hash(), Operator: "sato"},
		mismatched.ID: {Hash: patel.Hash(), Organisation: "patel"},
		both.ID:       {Hash: both.Hash(), Organisation: "patel", Operator: "sato"},
	}
	const (
		unauthenticated = "unauthenticated OUTCOME_NOT_RUN"
		denied          = "permission_denied OUTCOME_NOT_RUN"
		pending         = "unavailable OUTCOME_NOT_RUN"
	)
	tests := map[string]struct {
		access auth.Access
		token  string
		// results of locate and generate for patel, for okafor, and without an organisation
		own, other, empty string
		resume, call      string
		// results of setZone as sato and as mori
		sato, mori       string
		status, timeline string
	}{
		"organisation": {
			auth.AccessTokens, patel.Reveal(), "patel", denied, "patel", "permission_denied OUTCOME_UNKNOWN",
			"permission_denied OUTCOME_UNKNOWN", denied, denied, denied, "patel",
		},
		"operator": {
			auth.AccessTokens, sato.Reveal(), denied, denied, denied, "permission_denied OUTCOME_UNKNOWN",
			"permission_denied OUTCOME_UNKNOWN", "sato", denied, "a1", "patel",
		},
		"open":    {auth.AccessOpen, "", "patel", "okafor", "", "unimplemented", "unimplemented", "sato", "mori", "a1", "patel"},
		"pending": {auth.AccessPending, sato.Reveal(), pending, pending, pending, "unavailable OUTCOME_UNKNOWN", "unavailable OUTCOME_UNKNOWN", pending, pending, pending, pending},
	}
	for name, token := range map[string]string{
		"no token": "", "malformed": "cw_1_2", "other secret": mismatched.Reveal(), "unknown": auth.NewToken().Reveal(), "two holders": both.Reveal(),
	} {
		test := tests["pending"]
		test.access, test.token = auth.AccessTokens, token
		for _, field := range []*string{&test.own, &test.other, &test.empty, &test.sato, &test.mori, &test.status, &test.timeline} {
			*field = unauthenticated
		}
		test.resume, test.call = "unauthenticated OUTCOME_UNKNOWN", "unauthenticated OUTCOME_UNKNOWN"
		tests[name] = test
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			clients := serve(t, test.access, entries, test.token)
			for organisation, want := range map[string]string{"patel": test.own, "okafor": test.other, "": test.empty} {
				quicktest.Check(t, clients.locate(organisation), quicktest.Equals, want)
				if want == organisation || want == "patel" {
					identity := clementinewind.Organisation("")
					if test.access == auth.AccessTokens {
						identity = "patel"
					}
					want = fmt.Sprint([]string{want, string(identity)})
				}
				quicktest.Check(t, clients.generate(organisation), quicktest.Equals, want)
			}
			quicktest.Check(t, clients.resume(), quicktest.Contains, test.resume)
			quicktest.Check(t, clients.call(), quicktest.Contains, test.call)
			quicktest.Check(t, clients.setZone("sato"), quicktest.Equals, test.sato)
			quicktest.Check(t, clients.setZone("mori"), quicktest.Equals, test.mori)
			quicktest.Check(t, clients.status(), quicktest.Equals, test.status)
			quicktest.Check(t, clients.timeline("patel"), quicktest.Equals, test.timeline)
		})
	}
}

// Guards against a secret in a log, a token that cannot be parsed again, and a start with open access that is not
// logged.
func TestToken(t *testing.T) {
	token := auth.NewToken()
	parsed, err := auth.ParseToken(token.Reveal())
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, parsed, quicktest.Equals, token)
	hash, err := auth.ParseHash(token.Hash().String())
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, hash, quicktest.Equals, token.Hash())
	printed := fmt.Sprintf("%v %s %#v %+v", token, token, token, struct{ Token auth.Token }{token})
	quicktest.Assert(t, printed, quicktest.Equals, fmt.Sprintf("%[1]s %[1]s %[1]s {Token:%[1]s}", "cw_"+token.ID+"_..."))

	var output bytes.Buffer
	logger := hclog.New(&hclog.LoggerOptions{Output: &output})
	auth.New(auth.Config{Store: tokenStore{access: auth.AccessTokens}, Logger: logger}).WarnIfOpen()
	quicktest.Assert(t, output.String(), quicktest.Equals, "")
	auth.New(auth.Config{Store: tokenStore{access: auth.AccessOpen}, Logger: logger}).WarnIfOpen()
	quicktest.Assert(t, output.String(), quicktest.Contains, "[WARN]  OpenAccess")
}
