package auth

import (
	"context"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/wire/callerv1"
	"github.com/clementinewind/clementinewind/internal/wire/operatorv1"
)

// authorizeFunc checks whether an identity may send a message, and fills in the fields that follow from the identity.
type authorizeFunc func(identity Identity, message any) error

// interceptor authenticates and authorizes the requests of one service.
type interceptor struct {
	authenticator *Authenticator
	authorize     authorizeFunc
}

// CallerInterceptor returns the interceptor of the caller service. An organisation may send requests only as itself.
func (authenticator *Authenticator) CallerInterceptor() connect.Interceptor {
	return &interceptor{authenticator: authenticator, authorize: authorizeCaller}
}

// OperatorInterceptor returns the interceptor of the operator service. Operators may do everything as themselves, and an
// organisation may read its own timeline.
func (authenticator *Authenticator) OperatorInterceptor() connect.Interceptor {
	return &interceptor{authenticator: authenticator, authorize: authorizeOperator}
}

// WrapUnary implements connect.Interceptor.
func (interceptor *interceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		if request.Spec().IsClient {
			return next(ctx, request)
		}
		identity, err := interceptor.authenticator.authenticate(request.Header())
		if err != nil {
			return nil, adjustOutcome(err, request.Any())
		}
		if err := interceptor.authorize(identity, request.Any()); err != nil {
			return nil, adjustOutcome(err, request.Any())
		}
		return next(WithIdentity(ctx, identity), request)
	}
}

// WrapStreamingClient implements connect.Interceptor; it changes nothing.
func (*interceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler implements connect.Interceptor. Authorization waits until the handler receives the message.
func (interceptor *interceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		identity, err := interceptor.authenticator.authenticate(conn.RequestHeader())
		checked := &checkedConn{StreamingHandlerConn: conn, identity: identity, authenticateErr: err, authorize: interceptor.authorize}
		return next(WithIdentity(ctx, identity), checked)
	}
}

// checkedConn authorizes each received message.
type checkedConn struct {
	connect.StreamingHandlerConn
	identity Identity
	// authenticateErr is reported by Receive, because the outcome in the refusal depends on the message.
	authenticateErr error
	authorize       authorizeFunc
}

// Receive receives a message and authorizes it.
func (conn *checkedConn) Receive(message any) error {
	if err := conn.StreamingHandlerConn.Receive(message); err != nil {
		return err
	}
	if conn.authenticateErr != nil {
		return adjustOutcome(conn.authenticateErr, message)
	}
	return adjustOutcome(conn.authorize(conn.identity, message), message)
}

// adjustOutcome changes the outcome of a refusal to unknown for a resume, and for a call with an idempotency key. The
// refused message itself is not run, but the earlier request that it resumes or repeats may have run.
func adjustOutcome(err error, message any) error {
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

func authorizeCaller(identity Identity, message any) error {
	if identity == (Identity{}) {
		return nil
	}
	if identity.Operator != "" {
		return refuse(connect.CodePermissionDenied, "an operator's token cannot send requests; use the token of an organisation")
	}
	switch message := message.(type) {
	case *callerv1.LocateRequest:
		return requireOrganisation(identity, &message.Organisation)
	case *callerv1.GenerateRequest:
		return requireOrganisation(identity, &message.Organisation)
	case *callerv1.ResumeRequest:
		return requireOrganisation(identity, &message.Organisation)
	case *callerv1.CallRequest:
		return requireOrganisation(identity, &message.Organisation)
	default:
		return refuse(connect.CodePermissionDenied, "the token gives no right to this request")
	}
}

// requireOrganisation fills in an empty organisation and refuses any other one than that of the identity.
func requireOrganisation(identity Identity, organisation *string) error {
	if *organisation == "" {
		*organisation = string(identity.Organisation)
	}
	if *organisation != string(identity.Organisation) {
		return refuse(connect.CodePermissionDenied, "the token belongs to organisation "+string(identity.Organisation))
	}
	return nil
}

func authorizeOperator(identity Identity, message any) error {
	if identity == (Identity{}) {
		return nil
	}
	if identity.Organisation != "" {
		if request, ok := message.(*operatorv1.TimelineRequest); ok {
			return requireOrganisation(identity, &request.Organisation)
		}
		return refuse(connect.CodePermissionDenied, "the token of an organisation gives no right to this; use an operator's token")
	}
	switch message := message.(type) {
	case *operatorv1.SetSettingsRequest:
		return requireOperator(identity, &message.Who)
	case *operatorv1.SetZoneRequest:
		return requireOperator(identity, &message.Who)
	default:
		return nil
	}
}

// requireOperator fills in an empty operator name and refuses any other one than that of the identity.
func requireOperator(identity Identity, who *string) error {
	if *who == "" {
		*who = identity.Operator
	}
	if *who != identity.Operator {
		return refuse(connect.CodePermissionDenied, "the token belongs to operator "+identity.Operator+"; leave the name out")
	}
	return nil
}

// clientInterceptor adds a token to outgoing requests.
type clientInterceptor struct{ headerValue string }

// ClientInterceptor returns an interceptor that adds a token to requests. The token is the output of Token.Reveal; if
// it is empty, requests are sent without a token.
func ClientInterceptor(token string) connect.Interceptor {
	if token == "" {
		return &clientInterceptor{}
	}
	return &clientInterceptor{headerValue: "Bearer " + token}
}

// WrapUnary implements connect.Interceptor.
func (interceptor *clientInterceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		if interceptor.headerValue != "" {
			request.Header().Set("Authorization", interceptor.headerValue)
		}
		return next(ctx, request)
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (interceptor *clientInterceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		conn := next(ctx, spec)
		if interceptor.headerValue != "" {
			conn.RequestHeader().Set("Authorization", interceptor.headerValue)
		}
		return conn
	}
}

// WrapStreamingHandler implements connect.Interceptor; it changes nothing.
func (*clientInterceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}
