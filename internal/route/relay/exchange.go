package relay

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/load/board"
	"github.com/clementinewind/clementinewind/internal/load/pick"
	"github.com/clementinewind/clementinewind/internal/load/poison"
	"github.com/clementinewind/clementinewind/internal/load/usage"
	"github.com/clementinewind/clementinewind/internal/route/link"
	"github.com/clementinewind/clementinewind/internal/route/prompt"
	"github.com/clementinewind/clementinewind/internal/route/table"
	"github.com/clementinewind/clementinewind/internal/share/bound"
	"github.com/clementinewind/clementinewind/internal/share/pause"
	"github.com/clementinewind/clementinewind/platform"
)

const (
	// maxPlacements limits how many upstreams a request is offered to when they decline it or cannot be reached.
	maxPlacements = 6
	// placementRetryInterval is the interval between placement attempts while no upstream can take the request. The known load
	// of other routers is updated every 0.2 s.
	placementRetryInterval = 50 * time.Millisecond
	// placementWaitFraction is the fraction of the latency goal that a request may wait for placement.
	placementWaitFraction = 0.125
	// minRetryAfter is the shortest Retry-After while no upstream can take requests. By then cold upstreams may take further
	// requests; newly registered upstreams become known within about a second.
	minRetryAfter = 400 * time.Millisecond
	// attemptTimeoutFactor and attemptTimeoutSlack derive the timeout of an attempt from the expected time to the first event.
	// After the timeout an idempotent request is sent to another upstream.
	attemptTimeoutFactor = 4
	attemptTimeoutSlack  = 150 * time.Millisecond
	// minRetryTime is the remaining time below which a request is not retried.
	minRetryTime = 20 * time.Millisecond
	// attemptTimeoutDivisor divides the remaining time; the quotient is the shortest timeout of an attempt. If an upstream is
	// silent for that long, the cause is the upstream and not a caller that gave up early.
	attemptTimeoutDivisor = 3
)

// exchange is the state of one request from a caller.
type exchange struct {
	relay   *Relay
	writer  http.ResponseWriter
	request *http.Request
	logger  hclog.Logger
	arrived time.Time

	call         platform.Request
	table        *table.Table
	route        table.Route
	service      table.ServiceSettings
	organisation clementinewind.Organisation
	deadline     time.Time
	// noTimeLimit is set for a stream that neither the caller nor the route limits in time.
	noTimeLimit bool
	// body has the pieces of the request body, bodyBytes is its size and bodyMemory what it holds; nil without a body.
	body       [][]byte
	bodyBytes  int
	bodyMemory *bound.Reservation
	// parts are the shared parts of the prompt.
	parts []prompt.PartHash

	// tried lists the upstreams that were attempted; possibleRuns counts the attempts that may have run the request.
	tried        []clementinewind.Upstream
	possibleRuns int
	// sends counts the attempts that may have reached an upstream.
	sends    int
	fallback *fallback
	progress streamProgress
	// origin is the version that began the stream, and endStream records its end.
	origin    pinnedVersion
	endStream func(complete bool)
	// excessLatency is by how much the expected time to the first event exceeds the limit for placement; 0 if that is not known.
	excessLatency time.Duration
	// noRoom is the best choice of the last placement that found no upstream within the limit.
	noRoom board.Refusal
	// throttleTime is how long the organisation is throttled because it is ahead of its fair share, and shareRatio the ratio
	// of what it got to its fair share.
	throttleTime time.Duration
	shareRatio   float64
	// dispatchedAt is when the request was first dispatched; answerStarted is set when an upstream started to answer.
	dispatchedAt  time.Time
	answerStarted bool
	// stale is set while placement waits for the router to refresh its state after a pause of the process.
	stale              bool
	callerDisconnected bool
	// crashCheck is set after an attempt that may have crashed its upstream.
	crashCheck *crashCheck
	// quarantine is why the request must be rejected; probe is set if it tests whether a quarantine may end.
	quarantine poison.Quarantine
	probe      bool
	// withdrawn is set if a part of the prompt was put into quarantine while the request waited for its response header.
	withdrawn bool
}

// fallback is an error response of an upstream that is forwarded to the caller if no other upstream serves the request.
type fallback struct {
	status int
	header http.Header
	body   []byte
	memory *bound.Reservation
}

// attemptResult is the outcome of one attempt.
type attemptResult int

const (
	// attemptDone means that the caller has the final answer.
	attemptDone attemptResult = iota
	// attemptNotRun means that the upstream declined to run the request.
	attemptNotRun
	// attemptNotSent means that nothing was sent to the upstream.
	attemptNotSent
	// attemptFailed means that the upstream failed or that the request may have run without an answer.
	attemptFailed
)

// retryable reports whether a request that may have run may be sent again.
func (exchange *exchange) retryable() bool {
	return exchange.route.Kind == table.RouteIdempotent || exchange.resumable()
}

// tokenCost returns the weighted token count of the request in the fair shares.
func (exchange *exchange) tokenCost() float64 {
	return usage.TokenCost(exchange.call.Prompt.InputTokens, exchange.call.Prompt.OutputTokens)
}

// recordAnswerStart records that an upstream started to answer.
func (exchange *exchange) recordAnswerStart(ticket *board.Ticket, now time.Time) {
	ticket.FirstEvent(now)
	if !exchange.answerStarted {
		exchange.answerStarted = true
		exchange.countTokens(usage.PartBegun)
	}
}

// returnUnserved subtracts a request that no upstream started to answer from the served tokens of its organisation.
func (exchange *exchange) returnUnserved() {
	if !exchange.dispatchedAt.IsZero() && !exchange.answerStarted {
		exchange.relay.config.Shares.RemoveServed(exchange.organisation, exchange.tokenCost(), exchange.dispatchedAt, time.Now())
	}
}

// countTokens counts the tokens of a model request in the ledger.
func (exchange *exchange) countTokens(part usage.Part) {
	if exchange.service.Engine != nil {
		exchange.relay.ledger.Add(exchange.organisation, part, exchange.tokenCost())
	}
}

// countNoRoom counts the tokens of a model request that is refused for want of room at upstreams in the fair shares.
func (exchange *exchange) countNoRoom() {
	if exchange.service.Engine != nil {
		exchange.relay.config.Shares.AddNoRoom(exchange.organisation, exchange.tokenCost(), time.Now())
	}
}

func (exchange *exchange) remaining() time.Duration { return time.Until(exchange.deadline) }

// run places and sends the request until the caller has a final answer.
func (exchange *exchange) run() {
	exchange.parts = exchange.call.Prompt.SharedParts()
	if exchange.inQuarantine() {
		exchange.rejectUnserved()
		return
	}
	retryBudget := exchange.relay.retryBudget(exchange.service.Name)
	retryBudget.RecordRequest(exchange.arrived)
	tokens := exchange.tokenCost()
	if exchange.service.Engine != nil {
		exchange.relay.recordDemand(exchange.organisation, tokens, exchange.arrived)
	}
	ctx, cancel := context.WithDeadline(exchange.request.Context(), exchange.deadline)
	defer cancel()
	defer context.AfterFunc(exchange.relay.stopped, cancel)()
	defer exchange.returnUnserved()
	if !exchange.findOrigin(ctx) {
		return
	}
	defer func() { exchange.endStream(exchange.progress.complete) }()
	for range maxPlacements {
		if exchange.sends > 0 && !retryBudget.TryRetry(time.Now()) {
			exchange.logger.Info("request not retried", "Request", exchange.call.RequestID, "Cause", "retry budget exhausted")
			break
		}
		if exchange.inQuarantine() {
			break
		}
		ticket := exchange.place(ctx)
		if ticket == nil {
			break
		}
		if exchange.service.Engine != nil && exchange.dispatchedAt.IsZero() {
			exchange.dispatchedAt = time.Now()
			exchange.relay.config.Shares.AddServed(exchange.organisation, tokens, exchange.dispatchedAt)
		}
		switch exchange.attempt(ctx, ticket) {
		case attemptDone:
			return
		case attemptNotRun:
			exchange.sends++
		case attemptNotSent:
		case attemptFailed:
			exchange.sends++
			exchange.possibleRuns++
			if !exchange.retryable() || exchange.possibleRuns >= exchange.route.MaxAttempts || exchange.remaining() < minRetryTime ||
				exchange.mayHaveCrashed(ctx) {
				exchange.fail(ctx)
				return
			}
		}
		if ctx.Err() != nil {
			break
		}
	}
	exchange.fail(ctx)
}

// place waits until an upstream can take the request. It returns nil if none can in time.
func (exchange *exchange) place(ctx context.Context) *board.Ticket {
	goal := exchange.route.LatencyGoal
	placementDeadline := time.Now().Add(time.Duration(placementWaitFraction * float64(goal)))
	for {
		now := time.Now()
		if exchange.relay.config.CallerDisconnected(exchange.request.Context()) {
			exchange.callerDisconnected = true
			return nil
		}
		if exchange.stale = exchange.relay.config.Stale(); exchange.stale {
			if now.After(placementDeadline) || pause.For(ctx, placementRetryInterval) != nil {
				return nil
			}
			continue
		}
		limit, ok := exchange.placementLimit(now)
		if !ok {
			return nil
		}
		ticket, excessLatency := exchange.placeAtVersion(board.Request{
			Service: exchange.service.Name, Zone: exchange.relay.config.Zone, Prompt: exchange.call.Prompt,
			Goal: goal - now.Sub(exchange.arrived), Tried: exchange.tried,
			Limit: limit, Refused: &exchange.noRoom,
		}, now)
		exchange.excessLatency = excessLatency
		if ticket != nil {
			exchange.logger.Info("placed", "Request", exchange.call.RequestID, "Upstream", ticket.Entry.Upstream,
				"Route", exchange.route.Name, "Version", exchange.table.Version(), "Expected", ticket.Expected,
				"Uncached", ticket.UncachedTokens, "Candidates", ticket.Candidates, "Cold", ticket.Cold, "Attempt", exchange.sends+1,
				"ReportAge", ticket.ReportAge, "Pace", ticket.Pace)
			if ticket.ReportAge > 0 {
				exchange.relay.config.Meter.ReportUsed(exchange.service.Name, ticket.ReportAge, ticket.Corrected)
			}
			return ticket
		}
		// The backlog will not clear within the time that the request may wait, or others need the room first.
		if exchange.throttleTime > 0 || now.Add(excessLatency).After(placementDeadline) {
			return nil
		}
		if pause.For(ctx, placementRetryInterval) != nil {
			return nil
		}
	}
}

// placementLimit returns the limit for the placement of the request, by the standing of its organisation. The second result is false if
// the organisation must pause.
func (exchange *exchange) placementLimit(now time.Time) (pick.Limit, bool) {
	exchange.throttleTime = 0
	goal := exchange.route.LatencyGoal
	standing, scarce := exchange.relay.config.Shares.Standing(exchange.organisation, now)
	if !scarce {
		return pick.LatencyLimit(goal), true
	}
	exchange.shareRatio = standing.Share
	if exchange.service.Engine != nil && exchange.dispatchedAt.IsZero() {
		exchange.throttleTime = pick.ThrottleTime(standing)
	}
	if exchange.throttleTime > 0 {
		return pick.SpareLimit(goal), pick.PauseTime(standing) == 0
	}
	return pick.ShareLimit(goal, standing), true
}

// attempt sends the request to one upstream and forwards the answer.
func (exchange *exchange) attempt(ctx context.Context, ticket *board.Ticket) attemptResult {
	exchange.tried = append(exchange.tried, ticket.Entry.Upstream)
	sendCtx, cancel := exchange.attemptContext(ctx, ticket)
	defer cancel()
	sendCtx, withdraw := context.WithCancelCause(sendCtx)
	defer withdraw(nil)
	finish, ok := exchange.startUpload(ticket)
	if !ok {
		return attemptNotSent
	}
	defer finish()
	pool := exchange.relay.pool(ticket.Entry, exchange.service, ticket.RemoteRunning)
	exchange.relay.addWaiting(exchange, withdraw)
	answer, err := pool.Do(sendCtx, exchange.upstreamRequest(ticket))
	exchange.relay.removeWaiting(exchange)
	if err != nil {
		if errors.Is(context.Cause(sendCtx), errWithdrawn) {
			err = errors.WithMessage(err, errWithdrawn.Error())
			exchange.withdrawn = true
		}
		return exchange.handleNoResponse(ctx, ticket, pool, err)
	}
	defer answer.Close()
	if answer.Sent() {
		finish()
	}
	decoded := platform.DecodeResponse(answer.Response.StatusCode, answer.Response.Header)
	switch {
	case decoded.NotRun:
		ticket.End(board.ResultDeclined, time.Now())
		exchange.logger.Info("declined", "Request", exchange.call.RequestID, "Upstream", ticket.Entry.Upstream,
			"Status", answer.Response.StatusCode, "Misdirected", decoded.Misdirected)
		if decoded.Misdirected {
			pool.CloseIdle()
		}
		return attemptNotRun
	case !decoded.Sealed, answer.Response.Header.Get("Content-Encoding") != "":
		ticket.End(board.ResultFailed, time.Now())
		exchange.logger.Warn("answer not sealed or content-encoded", "Request", exchange.call.RequestID, "Upstream", ticket.Entry.Upstream)
		return attemptFailed
	case !exchange.retryable() && answer.Sent():
		// The request is not sent again.
		exchange.releaseBody()
	}
	switch {
	case exchange.route.Kind == table.RouteStream && answer.Response.StatusCode == http.StatusOK:
		return exchange.relayStream(ctx, ticket, answer)
	case exchange.progress.started:
		// The caller has part of a stream, which an error response cannot complete.
		ticket.End(board.ResultFailed, time.Now())
		exchange.logger.Info("not resumed", "Request", exchange.call.RequestID, "Upstream", ticket.Entry.Upstream,
			"Status", answer.Response.StatusCode)
		return attemptFailed
	default:
		return exchange.relayAnswer(ctx, ticket, answer)
	}
}

// attemptContext returns the context of an attempt. For an idempotent request with attempts left it limits the duration of the
// attempt, which includes reading the answer, so that another upstream can be tried.
func (exchange *exchange) attemptContext(ctx context.Context, ticket *board.Ticket) (context.Context, context.CancelFunc) {
	if exchange.route.Kind != table.RouteIdempotent || exchange.possibleRuns+1 >= exchange.route.MaxAttempts {
		return context.WithCancel(ctx)
	}
	timeout := max(attemptTimeoutFactor*ticket.Expected+attemptTimeoutSlack, exchange.remaining()/attemptTimeoutDivisor)
	return context.WithTimeout(ctx, timeout)
}

func (exchange *exchange) upstreamRequest(ticket *board.Ticket) link.Request {
	maxIdle := link.DefaultMaxIdle
	switch {
	case exchange.call.RequestID == "":
		// A response on a connection that served other requests could be one of theirs.
		maxIdle = link.NoReuse
	case !exchange.retryable():
		maxIdle = link.OnceMaxIdle
	}
	lastEventID := exchange.progress.lastEventID
	return link.Request{
		Method: exchange.request.Method, Target: exchange.request.RequestURI, Host: exchange.request.Host,
		Header: platform.ForwardHeader(exchange.request.Header, platform.Forward{
			Upstream: ticket.Entry.Upstream, Organisation: exchange.organisation, HasPlatformKey: exchange.table.RequiresKey(),
			Remaining: exchange.remaining(), LastEventID: lastEventID,
		}),
		Body: exchange.body, MaxIdle: maxIdle,
		Matches: func(response *http.Response) bool {
			decoded := platform.DecodeResponse(response.StatusCode, response.Header)
			return decoded.RequestID == exchange.call.RequestID
		},
		MatchesWithoutID: func(response *http.Response) bool {
			decoded := platform.DecodeResponse(response.StatusCode, response.Header)
			return decoded.RequestID == "" && decoded.NotRun
		},
		Observe: func(response *http.Response, matches bool) { exchange.heed(ticket, response, matches) },
		Permitted: func() bool {
			return !exchange.relay.config.CallerDisconnected(exchange.request.Context()) && !exchange.relay.config.Stale() &&
				!exchange.inQuarantine() && exchange.relay.config.Rollouts.Allows(ticket.Entry.Service, ticket.Entry.Version) && ticket.Permitted()
		},
	}
}

// heed records what a response says of its upstream. Of an answer to another request only counts that the upstream leaves, because
// a refusal that is sent again would prolong the pause that it asked for.
func (exchange *exchange) heed(ticket *board.Ticket, response *http.Response, matches bool) {
	decoded := platform.DecodeResponse(response.StatusCode, response.Header)
	if decoded.Misdirected {
		// Another upstream has the address.
		return
	}
	notice := board.Notice{Leaving: decoded.Leaving}
	if matches {
		exchange.recordReport(ticket, decoded)
		notice.Pause = decoded.RetryAfter
	}
	if (notice.Leaving || notice.Pause > 0) && ticket.Heed(notice, time.Now()) {
		exchange.logger.Info("upstream wants no requests", "Upstream", ticket.Entry.Upstream, "Leaving", notice.Leaving, "For", notice.Pause,
			"Status", response.StatusCode, "By", exchange.call.RequestID)
	}
}

// handleNoResponse handles an attempt that got no response header.
func (exchange *exchange) handleNoResponse(ctx context.Context, ticket *board.Ticket, pool *link.Pool, err error) attemptResult {
	now := time.Now()
	result := board.ResultFailed
	var unreachable *link.UnreachableError
	switch {
	case exchange.request.Context().Err() != nil, exchange.withdrawn:
		result = board.ResultAbandoned
	case errors.As(err, &unreachable) && unreachable.ProcessStalled:
		result = board.ResultAbandoned
	case errors.Is(err, link.ErrPoolExhausted), errors.Is(err, link.ErrPoolClosed):
		result = board.ResultDeclined
	case errors.Is(err, link.ErrNotPermitted):
		result = board.ResultAbandoned
	case !link.MaybeSent(err) && ctx.Err() == nil:
		result = board.ResultUnreachable
	}
	ticket.End(result, now)
	var broken *link.BrokenError
	if errors.As(err, &broken) {
		timedOut := errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
		if result == board.ResultFailed && !timedOut {
			exchange.recordInterruption(ticket, false, 0)
		}
		// The idle connections to this upstream are of a similar age and have probably been closed too.
		pool.CloseIdle()
	}
	exchange.logger.Info("attempt failed", "Request", exchange.call.RequestID, "Upstream", ticket.Entry.Upstream,
		"Result", result, "Took", now.Sub(exchange.arrived), "Error", err)
	if !link.MaybeSent(err) {
		return attemptNotSent
	}
	return attemptFailed
}

// fail sends the caller the final answer to a request that no upstream served.
func (exchange *exchange) fail(ctx context.Context) {
	switch {
	case exchange.request.Context().Err() != nil:
		exchange.abandon("caller left")
	case exchange.callerDisconnected && exchange.possibleRuns == 0:
		exchange.rejectUnavailable(clementinewind.ReasonNoCapacity, 0, "caller closed its connection")
	case exchange.progress.started:
		exchange.abortAnswer("stream broke off")
	case exchange.fallback != nil:
		exchange.writeAnswer(exchange.fallback.status, exchange.fallback.header, exchange.fallback.body, exchange.fallback.memory)
		exchange.recordEnd("Failed", fmt.Sprintf("upstream answered %d", exchange.fallback.status))
	case exchange.possibleRuns == 0 && ctx.Err() == nil:
		exchange.rejectUnserved()
	case exchange.possibleRuns == 0 && exchange.relay.stopped.Err() != nil:
		exchange.rejectUnavailable(clementinewind.ReasonShutdown, 0, "router stops")
	case exchange.possibleRuns == 0:
		exchange.countTokens(usage.PartLate)
		exchange.rejectUnavailable(clementinewind.ReasonDeadline, 0, "no upstream took the request before the deadline")
	case exchange.relay.stopped.Err() != nil:
		exchange.writeRejection(http.StatusGatewayTimeout, clementinewind.ReasonShutdown, 0, "router stopped before the answer")
	case ctx.Err() != nil:
		exchange.countTokens(usage.PartLate)
		exchange.writeRejection(http.StatusGatewayTimeout, clementinewind.ReasonDeadline, 0, "no answer before the deadline")
	case exchange.withdrawn:
		exchange.writeRejection(http.StatusBadGateway, clementinewind.ReasonQuarantined, 0, "withdrawn from its upstream")
	default:
		exchange.writeRejection(http.StatusBadGateway, clementinewind.ReasonUpstreamFailed, 0, "upstream failed")
	}
}

// rejectUnserved refuses a request that no upstream took although time is left, with a Retry-After that fits the cause.
func (exchange *exchange) rejectUnserved() {
	switch {
	case exchange.quarantine.Part != 0 && !exchange.probe:
		exchange.rejectUnavailable(clementinewind.ReasonQuarantined, exchange.quarantine.Left,
			fmt.Sprintf("prompt part %v crashed %d upstreams", exchange.quarantine.Part, exchange.quarantine.Crashes))
	case exchange.stale:
		exchange.countTokens(usage.PartStale)
		exchange.rejectUnavailable(clementinewind.ReasonStale, minRetryAfter, "router does not know yet what changed while it did not run")
	case exchange.throttleTime > 0:
		exchange.countTokens(usage.PartAhead)
		exchange.countNoRoom()
		exchange.rejectUnavailable(clementinewind.ReasonNoCapacity, max(minRetryAfter, exchange.throttleTime), "organisation got far more than one that waits")
	case !exchange.hasOriginUpstream():
		exchange.rejectUnavailable(clementinewind.ReasonOriginGone, 0, fmt.Sprintf("no upstream of version %q, which began the stream", exchange.origin.name))
	default:
		exchange.countTokens(usage.PartQueued)
		exchange.countNoRoom()
		exchange.rejectUnavailable(clementinewind.ReasonNoCapacity, max(minRetryAfter, exchange.excessLatency), "no upstream took the request")
	}
}
