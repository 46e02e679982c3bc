package router

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/route/answer"
	"github.com/clementinewind/clementinewind/internal/wire/callerv1"
)

// callerService serves the callers of organisations.
type callerService struct {
	router *Router
}

// Locate returns the router addresses that a caller should use.
func (service *callerService) Locate(_ context.Context, request *connect.Request[callerv1.LocateRequest]) (*connect.Response[callerv1.LocateResponse], error) {
	addresses := service.router.locate(clementinewind.Organisation(request.Msg.Organisation))
	if len(addresses) == 0 {
		refusal := clementinewind.NewRefusal(clementinewind.ProgressQueued, clementinewind.ReasonNoCapacity, "no router is in service")
		return nil, connectError(refusal.WithRetryAfter(time.Second), "")
	}
	return connect.NewResponse(&callerv1.LocateResponse{
		Addresses:        addresses,
		TimeToLiveMillis: service.router.config.Settings.AddressTimeToLive.Milliseconds(),
	}), nil
}

// Generate runs a model request and streams the answer.
func (service *callerService) Generate(ctx context.Context, request *connect.Request[callerv1.GenerateRequest], stream *connect.ServerStream[callerv1.AnswerFrame]) error {
	router, message := service.router, request.Msg
	end := router.arrivals.begin()
	defer end()
	ctx, cancel := router.whileRunning(ctx)
	defer cancel()
	arrival, refusal := router.arrive(message.Organisation, message.Pool, clementinewind.PoolModel, message.DeadlineMillis)
	if refusal != nil {
		return router.refuse(refusal, "", message.Organisation, message.Pool)
	}
	if message.MaxTokens < 0 {
		return router.refuse(clementinewind.NewRefusal(clementinewind.ProgressQueued, clementinewind.ReasonInvalid,
			"MaxTokens must not be negative"), "", message.Organisation, message.Pool)
	}
	arrival.dispatch.Prompt = message.Prompt
	arrival.dispatch.MaxTokens = message.MaxTokens
	if message.MaxTokens == 0 {
		arrival.dispatch.MaxTokens = int32(arrival.pool.DefaultMaxTokens)
	}
	arrival.dispatch.Estimate = router.costs.estimate(arrival.organisation.Name, float64(arrival.dispatch.MaxTokens))
	defer router.usage.begin(arrival.organisation.Name)()
	var tokens int64
	refusal = router.generate(ctx, arrival, func(frame *callerv1.AnswerFrame) error {
		tokens += int64(len(frame.Tokens))
		router.usage.addServed(arrival.organisation.Name, int64(len(frame.Tokens)))
		return stream.Send(frame)
	})
	if refusal != nil {
		return router.refuse(refusal, arrival.dispatch.RequestId, message.Organisation, message.Pool)
	}
	router.costs.observe(arrival.organisation.Name, float64(tokens))
	router.meter.Request(arrival.pool.Name, clementinewind.OutcomeAnswered, clementinewind.ReasonNone)
	return nil
}

// Resume streams the rest of an answer.
func (service *callerService) Resume(ctx context.Context, request *connect.Request[callerv1.ResumeRequest], stream *connect.ServerStream[callerv1.AnswerFrame]) error {
	router, message := service.router, request.Msg
	end := router.arrivals.begin()
	defer end()
	ctx, cancel := router.whileRunning(ctx)
	defer cancel()
	invalid := func(detail string) error {
		refusal := clementinewind.NewRefusal(clementinewind.ProgressDispatched, clementinewind.ReasonInvalid, detail)
		return router.refuse(refusal, "", message.Organisation, "")
	}
	token, err := answer.ParseResumeToken(message.ResumeToken, clementinewind.Organisation(message.Organisation))
	if err != nil {
		return invalid(err.Error())
	}
	if message.Position < 0 {
		return invalid("Position must not be negative")
	}
	upstream, ok := router.replica.View().Tree.Upstream(token.Upstream)
	if !ok {
		return invalid("the upstream of the answer no longer exists")
	}
	answerCtx, cancelAnswer := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelAnswer()
	current := &holder{}
	resumed := answer.NewStream(answerCtx, answer.StreamConfig{
		RequestID: token.RequestID, Position: message.Position, Reopen: router.reopen(token, current),
	})
	defer resumed.Close()
	delivery := router.pass(ctx, &passing{
		pool: upstream.Pool, requestID: token.RequestID, started: time.Now(),
		chunks: readChunks(answerCtx, resumed), current: current, emit: stream.Send,
	})
	if delivery.refusal != nil {
		return router.refuse(delivery.refusal, token.RequestID.String(), message.Organisation, string(upstream.Pool))
	}
	router.meter.Request(upstream.Pool, clementinewind.OutcomeAnswered, clementinewind.ReasonNone)
	return nil
}

// Call runs a call to a plain service.
func (service *callerService) Call(ctx context.Context, request *connect.Request[callerv1.CallRequest]) (*connect.Response[callerv1.CallResponse], error) {
	router, message := service.router, request.Msg
	end := router.arrivals.begin()
	defer end()
	ctx, cancel := router.whileRunning(ctx)
	defer cancel()
	arrival, refusal := router.arrive(message.Organisation, message.Pool, clementinewind.PoolService, message.DeadlineMillis)
	if refusal != nil {
		return nil, router.refuse(refusal, "", message.Organisation, message.Pool)
	}
	arrival.dispatch.Path = message.Path
	arrival.dispatch.Body = message.Body
	arrival.dispatch.Repeatable = message.Repeatable
	arrival.dispatch.Estimate = 1
	defer router.usage.begin(arrival.organisation.Name)()
	response, refusal := router.call(ctx, arrival, message)
	if refusal != nil {
		return nil, router.refuse(refusal, arrival.dispatch.RequestId, message.Organisation, message.Pool)
	}
	router.meter.Request(arrival.pool.Name, clementinewind.OutcomeAnswered, clementinewind.ReasonNone)
	return connect.NewResponse(response), nil
}

// refuse records a refusal and returns it as a Connect error.
func (router *Router) refuse(refusal *clementinewind.Refusal, requestID, organisation, pool string) error {
	kind := clementinewind.EventRefused
	if refusal.Outcome == clementinewind.OutcomeUnknown && refusal.Reason != clementinewind.ReasonInvalid {
		kind = clementinewind.EventUnknownOutcome
	}
	router.record(clementinewind.Event{
		Kind: kind, RequestID: requestID, Organisation: clementinewind.Organisation(organisation), Detail: refusal.Error(),
	})
	if _, ok := router.replica.View().Tree.Pool(clementinewind.Pool(pool)); !ok {
		// A caller must not be able to add series to the metrics.
		pool = "unknown"
	}
	router.meter.Request(clementinewind.Pool(pool), refusal.Outcome, refusal.Reason)
	return connectError(refusal, requestID)
}
