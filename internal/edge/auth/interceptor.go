package auth

import (
	"context"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/wire/callerv1"
	"github.com/clementinewind/clementinewind/internal/wire/operatorv1"
)

// permission checks a message against the rights of its sender and completes the fields that the identity determines.
type permission func(identity Identity, message any) error

// interceptor applies a permission to the handlers of one service.
type interceptor struct {
	authenticator *Authenticator
	permit        permission
}

// CallerInterceptor returns the interceptor of the caller service: an organisation sends requests in its own name only.
func (authenticator *Authenticator) CallerInterceptor() connect.Interceptor {
	return &interceptor{authenticator: authenticator, permit: permitCaller}
}

// OperatorInterceptor returns the interceptor of the operator service: operators may do everything under their own name,
// and an organisation may read its own time line.
func (authenticator *Authenticator) OperatorInterceptor() connect.Interceptor {
	return &interceptor{authenticator: authenticator, permit: permitOperator}
}

// WrapUnary implements connect.Interceptor.
func (interceptor *interceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		if request.Spec().IsClient {
			return next(ctx, request)
		}
		identity, err := interceptor.authenticator.identify(request.Header())
		if err != nil {
			return nil, correctOutcome(err, request.Any())
		}
		if err := interceptor.permit(identity, request.Any()); err != nil {
			return nil, correctOutcome(err, request.Any())
		}
		return next(WithIdentity(ctx, identity), request)
	}
}

// WrapStreamingClient implements connect.Interceptor; it changes nothing.
func (*interceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler implements connect.Interceptor. The rights are checked when the handler receives the message.
func (interceptor *interceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		identity, err := interceptor.authenticator.identify(conn.RequestHeader())
		checked := &checkedConn{StreamingHandlerConn: conn, identity: identity, err: err, permit: interceptor.permit}
		return next(WithIdentity(ctx, identity), checked)
	}
}

// checkedConn checks each received message.
type checkedConn struct {
	connect.StreamingHandlerConn
	identity Identity
	// err is why the sender has no identity.
	err    error
	permit permission
}

// Receive receives a message and checks it.
func (conn *checkedConn) Receive(message any) error {
	if err := conn.StreamingHandlerConn.Receive(message); err != nil {
		return err
	}
	if conn.err != nil {
		return correctOutcome(conn.err, message)
	}
	return correctOutcome(conn.permit(conn.identity, message), message)
}

// correctOutcome changes the outcome of a refusal to unknown for a message that may belong to an earlier attempt: a
// resume, or a call with an idempotency key. Nothing is run now, but the earlier attempt may have run.
func correctOutcome(err error, message any) error {
	var refused *connect.Error
	if err == nil || !errors.As(err, &refused) {
		return err
	}
	switch message := message.(type) {
	case *callerv1.ResumeRequest:
	case *callerv1.CallRequest:
		if message.GetIdempotencyKey() == "" {
			return err
		}
	default:
		return err
	}
	var refusal *clementinewind.Refusal
	if !errors.As(refused.Unwrap(), &refusal) {
		return err
	}
	return refuseAt(clementinewind.ProgressDispatched, refused.Code(), refusal.Detail)
}

func permitCaller(identity Identity, message any) error {
	if identity == (Identity{}) {
		return nil
	}
	if identity.Operator != "" {
		return refuse(connect.CodePermissionDenied, "an operator's token cannot send requests; use the token of an organisation")
	}
	switch message := message.(type) {
	case *callerv1.LocateRequest:
		return checkOrganisation(identity, &message.Organisation)
	case *callerv1.GenerateRequest:
		return checkOrganisation(identity, &message.Organisation)
	case *callerv1.ResumeRequest:
		return checkOrganisation(identity, &message.Organisation)
	case *callerv1.CallRequest:
		return checkOrganisation(identity, &message.Organisation)
	default:
		return refuse(connect.CodePermissionDenied, "the token gives no right to this request")
	}
}

// checkOrganisation fills in the organisation of the token if a message names none, and refuses another one.
func checkOrganisation(identity Identity, organisation *string) error {
	if *organisation == "" {
		*organisation = string(identity.Organisation)
	}
	if *organisation != string(identity.Organisation) {
		return refuse(connect.CodePermissionDenied, "the token belongs to organisation "+string(identity.Organisation))
	}
	return nil
}

func permitOperator(identity Identity, message any) error {
	if identity == (Identity{}) {
		return nil
	}
	if identity.Organisation != "" {
		if request, ok := message.(*operatorv1.TimelineRequest); ok {
			return checkOrganisation(identity, &request.Organisation)
		}
		return refuse(connect.CodePermissionDenied, "the token of an organisation gives no right to this; use an operator's token")
	}
	switch message := message.(type) {
	case *operatorv1.SetSettingsRequest:
		return checkOperator(identity, &message.Who)
	case *operatorv1.SetZoneRequest:
		return checkOperator(identity, &message.Who)
	default:
		return nil
	}
}

// checkOperator fills in the name of the operator if a message names none, and refuses that of another operator.
func checkOperator(identity Identity, who *string) error {
	if *who == "" {
		*who = identity.Operator
	}
	if *who != identity.Operator {
		return refuse(connect.CodePermissionDenied, "the token belongs to operator "+identity.Operator+"; leave the name out")
	}
	return nil
}

// clientInterceptor adds a token to requests.
type clientInterceptor struct{ header string }

// ClientInterceptor returns an interceptor that sends a token, which is in the form that Token.Reveal returns. An empty
// token sends none.
func ClientInterceptor(token string) connect.Interceptor {
	if token == "" {
		return &clientInterceptor{}
	}
	return &clientInterceptor{header: "Bearer " + token}
}

// WrapUnary implements connect.Interceptor.
func (interceptor *clientInterceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		if interceptor.header != "" {
			request.Header().Set("Authorization", interceptor.header)
		}
		return next(ctx, request)
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (interceptor *clientInterceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		conn := next(ctx, spec)
		if interceptor.header != "" {
			conn.RequestHeader().Set("Authorization", interceptor.header)
		}
		return conn
	}
}

// WrapStreamingHandler implements connect.Interceptor; it changes nothing.
func (*clientInterceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}
