package router

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/admin/telem"
	"github.com/clementinewind/clementinewind/internal/route/answer"
	"github.com/clementinewind/clementinewind/internal/share/sched"
	"github.com/clementinewind/clementinewind/internal/store/tree"
	"github.com/clementinewind/clementinewind/internal/wire/callerv1"
	"github.com/clementinewind/clementinewind/internal/wire/peerv1"
)

// arrival is a request as it arrived from a caller, with the settings that apply to it.
type arrival struct {
	requestID    clementinewind.RequestID
	organisation tree.Organisation
	pool         tree.Pool
	started      time.Time
	// deadline is the time by which the request must have been placed.
	deadline time.Time
	dispatch *peerv1.Dispatch
	// mayHaveRun is set when an attempt ended and may have run.
	mayHaveRun bool
}

// arrive checks the names in a request and returns it with its settings.
func (router *Router) arrive(organisation, pool string, kind clementinewind.PoolKind, deadlineMillis int64) (*arrival, *clementinewind.Refusal) {
	invalid := func(detail string) (*arrival, *clementinewind.Refusal) {
		return nil, clementinewind.NewRefusal(clementinewind.ProgressQueued, clementinewind.ReasonInvalid, detail)
	}
	switch router.phase() {
	case phaseStarting:
		// Owners cannot grant slots to a router without a session, so a request that has to queue would wait in vain.
		refusal := clementinewind.NewRefusal(clementinewind.ProgressQueued, clementinewind.ReasonStale, "the router has no session yet")
		return nil, refusal.WithRetryAfter(startRetryAfter)
	case phaseClosed:
		return nil, clementinewind.NewRefusal(clementinewind.ProgressQueued, clementinewind.ReasonShutdown, "the router is stopping")
	}
	view := router.replica.View()
	organisationSettings, ok := view.Tree.Organisation(clementinewind.Organisation(organisation))
	if !ok {
		return invalid("unknown organisation " + organisation)
	}
	poolSettings, ok := view.Tree.Pool(clementinewind.Pool(pool))
	if !ok {
		return invalid("unknown pool " + pool)
	}
	if poolSettings.Kind != kind {
		return invalid("pool " + pool + " is of kind " + poolSettings.Kind.String())
	}
	if deadlineMillis < 0 || deadlineMillis > maxDeadline.Milliseconds() {
		return invalid("deadline must lie between 0 and " + maxDeadline.String())
	}
	allowed := time.Duration(deadlineMillis) * time.Millisecond
	if allowed == 0 {
		allowed = poolSettings.Deadline
		if organisationSettings.Deadline > 0 {
			allowed = organisationSettings.Deadline
		}
	}
	now := time.Now()
	arrival := &arrival{
		requestID:    clementinewind.NewRequestID(),
		organisation: organisationSettings,
		pool:         poolSettings,
		started:      now,
		deadline:     now.Add(allowed),
	}
	arrival.dispatch = &peerv1.Dispatch{
		RequestId:      arrival.requestID.String(),
		Organisation:   organisation,
		Pool:           pool,
		DeadlineMillis: allowed.Milliseconds(),
	}
	return arrival, nil
}

// startRetryAfter is when a caller should retry at a router that has no session yet.
const startRetryAfter = time.Second

// maxDeadline is the longest deadline that a caller may ask for.
const maxDeadline = time.Hour

// whileRunning returns a context that also ends when the router stops, so that its requests get a typed outcome before the
// servers close their connections.
func (router *Router) whileRunning(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(router.ctx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

func stopped(progress clementinewind.Progress) *clementinewind.Refusal {
	return clementinewind.NewRefusal(progress, clementinewind.ReasonShutdown, "the router was stopped")
}

// place waits for a slot and forwards the request to its owner. A router that is busy, or that can no longer be reached,
// gives the request back to the queue.
func (router *Router) place(ctx context.Context, arrival *arrival, attempt int) (*remote, sched.Placement, *clementinewind.Refusal) {
	for ; ; attempt++ {
		router.meter.Queued(arrival.pool.Name, 1)
		placement, refusal := router.entry.Acquire(ctx, sched.Request{
			Pool:         arrival.pool.Name,
			Organisation: arrival.organisation.Name,
			Estimate:     arrival.dispatch.Estimate,
			Prefix:       prefixOf(arrival.dispatch.Prompt),
			Deadline:     arrival.deadline,
			Attempt:      attempt,
		})
		router.meter.Queued(arrival.pool.Name, -1)
		if refusal != nil {
			if router.ctx.Err() != nil {
				refusal = stopped(clementinewind.ProgressQueued)
			}
			return nil, placement, refusal
		}
		dispatch := arrival.dispatch
		dispatch.GrantId = placement.GrantID
		dispatch.Tag = placement.Tag
		dispatch.Weight = placement.Weight
		remote, err := router.open(context.WithoutCancel(ctx), placement.Session, dispatch)
		router.countGrant(arrival.pool.Name, placement, err)
		if err == nil {
			router.meter.Waited(arrival.pool.Name, time.Since(arrival.started))
			return remote, placement, nil
		}
		refusal = asRefusal(err, clementinewind.ProgressDispatched, clementinewind.ReasonConnectionLost)
		if !mayPlaceAgain(refusal) || time.Now().After(arrival.deadline) || ctx.Err() != nil {
			placement.Finish()
			return nil, placement, refusal
		}
		placement.Busy()
	}
}

// countGrant counts what became of the grant of a placement, if it had one.
func (router *Router) countGrant(pool clementinewind.Pool, placement sched.Placement, err error) {
	switch {
	case placement.GrantID == 0:
	case err == nil:
		router.meter.Grant(pool, telem.GrantUsed)
	default:
		router.meter.Grant(pool, telem.GrantExpired)
	}
}

// mayPlaceAgain reports whether a refusal says that the request has not run and that another owner may have a slot.
func mayPlaceAgain(refusal *clementinewind.Refusal) bool {
	if refusal.Outcome != clementinewind.OutcomeNotRun {
		return false
	}
	switch refusal.Reason {
	case clementinewind.ReasonBusy, clementinewind.ReasonStale, clementinewind.ReasonNoCapacity,
		clementinewind.ReasonConnectionLost, clementinewind.ReasonShutdown:
		return true
	default:
		return false
	}
}

// emitFunc sends a part of an answer to the caller.
type emitFunc func(frame *callerv1.AnswerFrame) error

// generate runs a model request to its end. A request that failed before the caller got a token is tried again on
// another upstream, because model requests are repeatable.
func (router *Router) generate(ctx context.Context, arrival *arrival, emit emitFunc) *clementinewind.Refusal {
	for attempt := 0; ; attempt++ {
		remote, placement, refusal := router.place(ctx, arrival, attempt)
		var tokens int64
		if refusal == nil {
			delivery := router.deliver(ctx, arrival, remote, emit)
			placement.Finish()
			refusal, tokens = delivery.refusal, delivery.tokens
			if refusal == nil {
				return nil
			}
			if tokens == 0 && ctx.Err() == nil && mayPlaceAgain(refusal) && time.Now().Before(arrival.deadline) {
				continue
			}
		}
		final := arrival.refused(refusal)
		if tokens > 0 || ctx.Err() != nil || attempt+1 >= maxAttempts || !router.mayRetry(arrival, refusal) {
			return final
		}
		arrival.renew()
	}
}

// refused returns the refusal of a request whose last attempt ended with a refusal. It is unknown whether the request ran
// if that is unknown of any of its attempts.
func (arrival *arrival) refused(refusal *clementinewind.Refusal) *clementinewind.Refusal {
	if refusal.Outcome != clementinewind.OutcomeNotRun {
		arrival.mayHaveRun = true
		return refusal
	}
	if !arrival.mayHaveRun {
		return refusal
	}
	copied := *refusal
	copied.Outcome = clementinewind.OutcomeUnknown
	copied.Detail = "an earlier attempt may have run: " + refusal.Detail
	return &copied
}

// renew gives the next attempt an id of its own, because the last one may still be in progress at its upstream.
func (arrival *arrival) renew() {
	arrival.requestID = clementinewind.NewRequestID()
	arrival.dispatch.RequestId = arrival.requestID.String()
}

// mayRetry takes a retry from the budget for a request that failed at an upstream or on the way to it.
func (router *Router) mayRetry(arrival *arrival, refusal *clementinewind.Refusal) bool {
	switch refusal.Reason {
	case clementinewind.ReasonUpstreamFailed, clementinewind.ReasonConnectionLost:
		return time.Now().Before(arrival.deadline) && router.entry.Retry(arrival.pool.Name)
	default:
		return false
	}
}

// delivery is what a caller got of an answer.
type delivery struct {
	tokens  int64
	refusal *clementinewind.Refusal
}

// deliver passes the answer of a forwarded request on to the caller, resuming it where needed.
func (router *Router) deliver(ctx context.Context, arrival *arrival, remote *remote, emit emitFunc) delivery {
	token := answer.ResumeToken{RequestID: arrival.requestID, Upstream: remote.upstream, Organisation: arrival.organisation.Name}
	// The answer outlives the caller's connection for the resume grace, so its context is not the caller's.
	answerCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	current := &holder{}
	current.remote.Store(remote)
	stream := answer.NewStream(answerCtx, answer.StreamConfig{
		RequestID: arrival.requestID,
		First:     remote,
		Reopen:    router.reopen(token, current),
	})
	defer stream.Close()
	passing := &passing{
		pool: arrival.pool.Name, requestID: arrival.requestID, started: arrival.started,
		chunks: readChunks(answerCtx, stream), current: current, emit: emit,
	}
	if err := emit(&callerv1.AnswerFrame{RequestId: arrival.dispatch.RequestId, ResumeToken: token.String()}); err != nil {
		return router.abandon(ctx, passing)
	}
	return router.pass(ctx, passing)
}

// holder holds the remote that an answer is read from at present.
type holder struct{ remote atomic.Pointer[remote] }

// reopen returns a function that resumes an answer through the present owner of its upstream.
func (router *Router) reopen(token answer.ResumeToken, current *holder) func(ctx context.Context, position int64) (answer.Source, error) {
	return func(ctx context.Context, position int64) (answer.Source, error) {
		owner, ok := router.assignment.Load().owner(token.Upstream)
		if !ok {
			return nil, lost(clementinewind.ProgressDispatched, errors.New("upstream has no owner"))
		}
		remote, err := router.open(ctx, owner, &peerv1.Dispatch{
			RequestId:    token.RequestID.String(),
			Organisation: string(token.Organisation),
			Upstream:     string(token.Upstream),
			Resume:       true,
			Position:     position,
		})
		if err != nil {
			return nil, final(err)
		}
		current.remote.Store(remote)
		return remote, nil
	}
}

// passing is an answer on its way to a caller.
type passing struct {
	pool      clementinewind.Pool
	requestID clementinewind.RequestID
	started   time.Time
	chunks    <-chan chunkRead
	current   *holder
	emit      emitFunc
	// tokens is the number of tokens that the caller got.
	tokens int64
	// cancelled is set when the owner was asked to cancel the answer.
	cancelled bool
}

// pass sends an answer to the caller until its end.
func (router *Router) pass(ctx context.Context, passing *passing) delivery {
	heartbeat := time.NewTicker(answerHeartbeat)
	defer heartbeat.Stop()
	for {
		var frame *callerv1.AnswerFrame
		select {
		case read := <-passing.chunks:
			if read.err == io.EOF {
				return delivery{tokens: passing.tokens}
			}
			if read.err != nil {
				return delivery{tokens: passing.tokens, refusal: answerRefusal(read.err)}
			}
			frame = frameOf(read.chunk)
		case <-heartbeat.C:
			frame = &callerv1.AnswerFrame{RequestId: passing.requestID.String(), Heartbeat: true}
		case <-ctx.Done():
			return router.abandon(ctx, passing)
		}
		if len(frame.Tokens) > 0 && frame.Position == 0 {
			router.meter.FirstToken(passing.pool, time.Since(passing.started))
		}
		if err := passing.emit(frame); err != nil {
			return router.abandon(ctx, passing)
		}
		passing.tokens += int64(len(frame.Tokens))
		router.meter.Tokens(passing.pool, len(frame.Tokens))
	}
}

// answerRefusal returns the refusal for an answer that broke: the request was dispatched, unless its owner said otherwise.
func answerRefusal(err error) *clementinewind.Refusal {
	return asRefusal(err, clementinewind.ProgressDispatched, clementinewind.ReasonConnectionLost)
}

// abandon keeps an answer whose caller went away for the resume grace, and then cancels it. It reads on in the meantime,
// so that the engine does not stall. A resume makes the owner end this reader, and ignore its cancellation.
func (router *Router) abandon(ctx context.Context, passing *passing) delivery {
	gone := delivery{
		tokens:  passing.tokens,
		refusal: clementinewind.NewRefusal(clementinewind.ProgressDispatched, contextReason(ctx), "the caller went away"),
	}
	if router.ctx.Err() != nil {
		gone.refusal = stopped(clementinewind.ProgressDispatched)
		return gone
	}
	grace := time.NewTimer(router.config.Settings.ResumeGrace)
	defer grace.Stop()
	for {
		select {
		case read := <-passing.chunks:
			if read.err != nil {
				return gone
			}
		case <-grace.C:
			remote := passing.current.remote.Load()
			if remote == nil {
				return gone
			}
			remote.Cancel()
			grace.Reset(cancelTimeout)
			if passing.cancelled {
				return gone
			}
			passing.cancelled = true
		case <-router.ctx.Done():
			return gone
		}
	}
}
