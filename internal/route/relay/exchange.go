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
	"github.com/clementinewind/clementinewind/internal/load/usage"
	"github.com/clementinewind/clementinewind/internal/route/link"
	"github.com/clementinewind/clementinewind/internal/route/table"
	"github.com/clementinewind/clementinewind/internal/share/pause"
	"github.com/clementinewind/clementinewind/platform"
)

const (
	// maxPlacements bounds how many upstreams a request is offered to, when they reject it or cannot be reached.
	maxPlacements = 6
	// placeWait is the pause before the next look when no upstream takes a request; what the other routers do is known
	// every 0.2 s.
	placeWait = 50 * time.Millisecond
	// waitShare is the part of the latency goal that a request waits for an upstream that takes it.
	waitShare = 0.125
	// busyRetry is when to return if no upstream takes requests: cold upstreams get their next allowance, and entries of
	// new upstreams are read within about a second.
	busyRetry = 400 * time.Millisecond
	// hedgeFactor and hedgeSlack say when an idempotent request that got no answer is sent to another upstream.
	hedgeFactor = 4
	hedgeSlack  = 150 * time.Millisecond
	// least is the time that must be left for another attempt.
	least = 20 * time.Millisecond
	// overdueShare is the part of the remaining time after which the silence of an upstream is its own fault and not that
	// of a caller that left early.
	overdueShare = 3
)

// exchange is one request of a caller and its answer.
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
	// unbounded is set for a stream for which neither the caller nor the route sets a limit.
	unbounded bool
	body      []byte

	// tried are the upstreams that had the request; runs counts those that may have run it.
	tried []clementinewind.Upstream
	runs  int
	// sends counts the requests that reached an upstream or may have.
	sends    int
	fallback *fallback
	stream   stream
	// late is by how much the upstreams are behind for this request, surplus how long its organisation has to pause, and share what it
	// got as a part of its fair share.
	late    time.Duration
	surplus time.Duration
	share   float64
	// handed is when the request was first handed to an upstream, and begun is set when one began to answer it.
	handed time.Time
	begun  bool
	// stale is set while the request waits because the router may not know what was decided meanwhile.
	stale bool
	// gone is set when the caller was found to have left.
	gone bool
}

// fallback is a failure of an upstream that the caller gets if no other upstream serves the request.
type fallback struct {
	status int
	header http.Header
	body   []byte
}

// verdict is what to do after an attempt.
type verdict int

const (
	// verdictDone means that the caller has the final answer.
	verdictDone verdict = iota
	// verdictNotRun means that the upstream did not run the request.
	verdictNotRun
	// verdictUnsent means that nothing reached the upstream.
	verdictUnsent
	// verdictFailed means that the upstream failed, or may have run, the request.
	verdictFailed
)

// repeatable reports whether the request may run again.
func (exchange *exchange) repeatable() bool {
	return exchange.route.Kind == table.RouteIdempotent || (exchange.route.Kind == table.RouteStream && exchange.route.Resumable)
}

// tokens returns what the request counts in the shares of the organisations.
func (exchange *exchange) tokens() float64 {
	return usage.TokenCost(exchange.call.Prompt.InputTokens, exchange.call.Prompt.OutputTokens)
}

// begin records that an upstream began to answer the request.
func (exchange *exchange) begin(ticket *board.Ticket, now time.Time) {
	ticket.FirstEvent(now)
	if !exchange.begun {
		exchange.begun = true
		exchange.account(usage.PartBegun)
	}
}

// takeBack no longer counts a request as served that no upstream began to answer.
func (exchange *exchange) takeBack() {
	if !exchange.handed.IsZero() && !exchange.begun {
		exchange.relay.config.Shares.RemoveServed(exchange.organisation, exchange.tokens(), exchange.handed, time.Now())
	}
}

// account counts the request in the ledger of the organisations.
func (exchange *exchange) account(part usage.Part) {
	if exchange.service.Engine != nil {
		exchange.relay.ledger.Add(exchange.organisation, part, exchange.tokens())
	}
}

func (exchange *exchange) left() time.Duration { return time.Until(exchange.deadline) }

// run places the request until it has a final answer.
func (exchange *exchange) run() {
	budget := exchange.relay.budget(exchange.service.Name)
	budget.RecordRequest(exchange.arrived)
	tokens := exchange.tokens()
	if exchange.service.Engine != nil {
		exchange.relay.asked(exchange.organisation, tokens, exchange.arrived)
	}
	ctx, cancel := context.WithDeadline(exchange.request.Context(), exchange.deadline)
	defer cancel()
	defer exchange.takeBack()
	for range maxPlacements {
		if exchange.sends > 0 && !budget.TryRetry(time.Now()) {
			exchange.logger.Info("not sent again", "Request", exchange.call.RequestID, "Cause", "retry budget is used up")
			break
		}
		ticket := exchange.place(ctx)
		if ticket == nil {
			break
		}
		if exchange.service.Engine != nil && exchange.handed.IsZero() {
			exchange.handed = time.Now()
			exchange.relay.config.Shares.AddServed(exchange.organisation, tokens, exchange.handed)
		}
		switch exchange.attempt(ctx, ticket) {
		case verdictDone:
			return
		case verdictNotRun:
			exchange.sends++
		case verdictUnsent:
		case verdictFailed:
			exchange.sends++
			exchange.runs++
			if !exchange.repeatable() || exchange.runs >= exchange.route.MaxAttempts || exchange.left() < least {
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

// place waits for an upstream that takes the request. It returns nil if there is none.
func (exchange *exchange) place(ctx context.Context) *board.Ticket {
	goal := exchange.route.LatencyGoal
	giveUp := time.Now().Add(time.Duration(waitShare * float64(goal)))
	for {
		now := time.Now()
		if exchange.relay.config.CallerDisconnected(exchange.request.Context()) {
			exchange.gone = true
			return nil
		}
		if exchange.stale = exchange.relay.config.Stale(); exchange.stale {
			if now.After(giveUp) || pause.For(ctx, placeWait) != nil {
				return nil
			}
			continue
		}
		patience := goal
		if standing, scarce := exchange.relay.config.Shares.Standing(exchange.organisation, now); scarce {
			exchange.share = standing.Share
			patience = pick.MaxLatency(goal, standing.Share)
			if exchange.service.Engine != nil && exchange.handed.IsZero() {
				exchange.surplus = pick.ThrottleTime(standing)
			}
			if exchange.surplus > 0 {
				return nil
			}
		}
		ticket, late := exchange.relay.config.Board.Place(board.Request{
			Service: exchange.service.Name, Zone: exchange.relay.config.Zone, Prompt: exchange.call.Prompt,
			Goal: goal - now.Sub(exchange.arrived), Tried: exchange.tried,
			MaxLatency: patience,
		}, now)
		exchange.late = late
		if ticket != nil {
			exchange.logger.Info("placed", "Request", exchange.call.RequestID, "Upstream", ticket.Entry.Upstream,
				"Route", exchange.route.Name, "Version", exchange.table.Version(), "Expected", ticket.Expected,
				"Uncached", ticket.UncachedTokens, "Candidates", ticket.Candidates, "Cold", ticket.Cold, "Attempt", exchange.sends+1)
			return ticket
		}
		// Upstreams that are further behind than the request may wait are not waited for.
		if now.Add(late).After(giveUp) {
			return nil
		}
		if pause.For(ctx, placeWait) != nil {
			return nil
		}
	}
}

// attempt sends the request to one upstream and passes its answer on.
func (exchange *exchange) attempt(ctx context.Context, ticket *board.Ticket) verdict {
	exchange.tried = append(exchange.tried, ticket.Entry.Upstream)
	sendCtx, cancel := exchange.patience(ctx, ticket)
	defer cancel()
	pool := exchange.relay.pool(ticket.Entry, exchange.service, ticket.RemoteRunning)
	answer, err := pool.Do(sendCtx, exchange.outgoing(ticket))
	if err != nil {
		return exchange.unanswered(ctx, ticket, pool, err)
	}
	defer answer.Close()
	meaning := platform.DecodeResponse(answer.Response.StatusCode, answer.Response.Header)
	switch {
	case meaning.NotRun:
		ticket.End(board.ResultDeclined, time.Now())
		exchange.logger.Info("declined", "Request", exchange.call.RequestID, "Upstream", ticket.Entry.Upstream,
			"Status", answer.Response.StatusCode, "Misdirected", meaning.Misdirected)
		if meaning.Misdirected {
			pool.CloseIdle()
		}
		return verdictNotRun
	case !meaning.Sealed, answer.Response.Header.Get("Content-Encoding") != "":
		ticket.End(board.ResultFailed, time.Now())
		exchange.logger.Warn("answer is not the upstream's", "Request", exchange.call.RequestID, "Upstream", ticket.Entry.Upstream)
		return verdictFailed
	case exchange.route.Kind == table.RouteStream && answer.Response.StatusCode == http.StatusOK:
		return exchange.pass(ctx, ticket, answer)
	case exchange.stream.started:
		// The caller has the beginning of a stream, which the failure of another upstream cannot complete.
		ticket.End(board.ResultFailed, time.Now())
		exchange.logger.Info("not resumed", "Request", exchange.call.RequestID, "Upstream", ticket.Entry.Upstream,
			"Status", answer.Response.StatusCode)
		return verdictFailed
	default:
		return exchange.whole(ctx, ticket, answer)
	}
}

// patience bounds the wait for the first byte where the request may go to another upstream after it.
func (exchange *exchange) patience(ctx context.Context, ticket *board.Ticket) (context.Context, context.CancelFunc) {
	if exchange.route.Kind != table.RouteIdempotent || exchange.runs+1 >= exchange.route.MaxAttempts {
		return context.WithCancel(ctx)
	}
	wait := max(hedgeFactor*ticket.Expected+hedgeSlack, exchange.left()/overdueShare)
	return context.WithTimeout(ctx, wait)
}

func (exchange *exchange) outgoing(ticket *board.Ticket) link.Request {
	maxIdle := link.DefaultIdle
	if !exchange.repeatable() {
		maxIdle = link.OnceIdle
	}
	lastEvent := exchange.stream.last
	return link.Request{
		Method: exchange.request.Method, Target: exchange.request.RequestURI, Host: exchange.request.Host,
		Header: platform.ForwardHeader(exchange.request.Header, platform.Forward{
			Upstream: ticket.Entry.Upstream, Organisation: exchange.organisation, HasPlatformKey: exchange.table.Keyed(),
			Remaining: exchange.left(), LastEventID: lastEvent,
		}),
		Body: exchange.body, MaxIdle: maxIdle,
		Mine: func(response *http.Response) bool {
			meaning := platform.DecodeResponse(response.StatusCode, response.Header)
			return meaning.RequestID == exchange.call.RequestID
		},
		Unnamed: func(response *http.Response) bool {
			meaning := platform.DecodeResponse(response.StatusCode, response.Header)
			return meaning.RequestID == "" && meaning.NotRun
		},
		Permitted: func() bool {
			return !exchange.relay.config.CallerDisconnected(exchange.request.Context()) && !exchange.relay.config.Stale() && ticket.Permitted()
		},
	}
}

// unanswered handles an attempt without the header of an answer.
func (exchange *exchange) unanswered(ctx context.Context, ticket *board.Ticket, pool *link.Pool, err error) verdict {
	now := time.Now()
	result := board.ResultFailed
	var unreachable *link.UnreachableError
	switch {
	case exchange.request.Context().Err() != nil:
		result = board.ResultAbandoned
	case errors.As(err, &unreachable) && unreachable.Delayed:
		result = board.ResultAbandoned
	case errors.Is(err, link.ErrBusy), errors.Is(err, link.ErrRetired):
		result = board.ResultDeclined
	case errors.Is(err, link.ErrExpired):
		result = board.ResultAbandoned
	case !link.Sent(err) && ctx.Err() == nil:
		result = board.ResultUnreachable
	}
	ticket.End(result, now)
	var broken *link.BrokenError
	if errors.As(err, &broken) {
		// Connections of the same age have probably ended too.
		pool.CloseIdle()
	}
	exchange.logger.Info("attempt failed", "Request", exchange.call.RequestID, "Upstream", ticket.Entry.Upstream,
		"Result", result, "Took", now.Sub(exchange.arrived), "Error", err)
	if !link.Sent(err) {
		return verdictUnsent
	}
	return verdictFailed
}

// fail gives the caller the final answer of a request that no upstream served.
func (exchange *exchange) fail(ctx context.Context) {
	switch {
	case exchange.request.Context().Err() != nil:
		exchange.abandon("caller left")
	case exchange.gone && exchange.runs == 0:
		exchange.refuse(clementinewind.ReasonNoCapacity, 0, "caller closed its connection")
	case exchange.stream.started:
		exchange.abort("stream broke off")
	case exchange.fallback != nil:
		exchange.write(exchange.fallback.status, exchange.fallback.header, exchange.fallback.body)
		exchange.ended("Failed", fmt.Sprintf("upstream answered %d", exchange.fallback.status))
	case exchange.runs == 0 && ctx.Err() == nil:
		exchange.refuseUnserved()
	case exchange.runs == 0:
		exchange.account(usage.PartLate)
		exchange.refuse(clementinewind.ReasonDeadline, 0, "no upstream took the request before the deadline")
	case ctx.Err() != nil:
		exchange.account(usage.PartLate)
		exchange.reject(http.StatusGatewayTimeout, clementinewind.ReasonDeadline, 0, "no answer before the deadline")
	default:
		exchange.reject(http.StatusBadGateway, clementinewind.ReasonUpstreamFailed, 0, "upstream failed")
	}
}

// refuseUnserved refuses a request that did not run although there is time left, and tells the caller when to return.
func (exchange *exchange) refuseUnserved() {
	switch {
	case exchange.stale:
		exchange.account(usage.PartStale)
		exchange.refuse(clementinewind.ReasonStale, busyRetry, "router does not know yet what changed while it did not run")
	case exchange.surplus > 0:
		exchange.account(usage.PartAhead)
		exchange.refuse(clementinewind.ReasonNoCapacity, max(busyRetry, exchange.surplus), "organisation got far more than one that waits")
	default:
		exchange.account(usage.PartQueued)
		exchange.refuse(clementinewind.ReasonNoCapacity, max(busyRetry, exchange.late), "no upstream took the request")
	}
}
