package relay

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/load/board"
	"github.com/clementinewind/clementinewind/internal/load/poison"
	"github.com/clementinewind/clementinewind/internal/route/link"
	"github.com/clementinewind/clementinewind/internal/route/prompt"
	"github.com/clementinewind/clementinewind/internal/route/table"
	"github.com/clementinewind/clementinewind/internal/share/pause"
)

const (
	// crashCheckDelay is the time after the first lost connection at which an upstream is checked. The connections of a process
	// that crashes do not all close at once, and its listener may close last.
	crashCheckDelay = 30 * time.Millisecond
	// crashRecordTime is how long further lost connections count to a crash that was found.
	crashRecordTime = time.Second
	// soundEvents is the number of events after which an answer cannot crash its upstream any more by what its prompt holds. The
	// first event may be on its way before an upstream crashes.
	soundEvents = 2
	// maxLoggedRequests limits the requests of each kind in the log line of a crash.
	maxLoggedRequests = 16
)

// errWithdrawn is the cause of the end of a request that its upstream may not begin to answer any more.
var errWithdrawn = errors.New("a part of the prompt was put into quarantine")

// interruptedRequest is a request whose connection to the upstream was lost.
type interruptedRequest struct {
	id    string
	parts []prompt.PartHash
	// answering is set if the upstream had sent a response header, and events counts the events that it sent in this attempt.
	answering bool
	events    int
}

// incarnation identifies one start of an upstream.
type incarnation struct {
	upstream clementinewind.Upstream
	started  int64
}

// crashCheck finds out whether an upstream crashed after connections to it were lost.
type crashCheck struct {
	interrupted []interruptedRequest
	startedAt   time.Time
	// done is closed when the result is known; crashed is set before that.
	done    chan struct{}
	crashed bool
}

// recordInterruption records that the connection of a request was lost although neither the router nor its caller closed it. The
// first one of an upstream starts a check.
func (relay *Relay) recordInterruption(entry table.Entry, request interruptedRequest, now time.Time) *crashCheck {
	key := incarnation{upstream: entry.Upstream, started: entry.Incarnation}
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	check, ok := relay.crashChecks[key]
	if !ok {
		check = &crashCheck{startedAt: now, done: make(chan struct{})}
		relay.crashChecks[key] = check
		go relay.runCrashCheck(key, entry, check)
	}
	check.interrupted = append(check.interrupted, request)
	if check.crashed {
		relay.suspect(key, check.startedAt, request)
	}
	return check
}

// suspect reports the prompt parts of a request that a crash interrupted before its answer got going.
func (relay *Relay) suspect(key incarnation, at time.Time, request interruptedRequest) {
	if request.events >= soundEvents {
		return
	}
	relay.config.Poison.RecordCrash(request.parts, poison.Suspicion{
		Crash: poison.NewCrashID(key.upstream, key.started), At: at, Answering: request.answering,
	}, time.Now())
}

// runCrashCheck connects to an upstream once. A refused connection means that its process has ended. Any other result may be due
// to the network, or to an answer that the upstream itself broke off.
func (relay *Relay) runCrashCheck(key incarnation, entry table.Entry, check *crashCheck) {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckDelay+link.DialTimeout)
	defer cancel()
	// The context ends later than the pause.
	_ = pause.For(ctx, crashCheckDelay)
	conn, err := relay.config.Dial(ctx, "tcp", entry.Address)
	if err == nil {
		// The connection was never used.
		_ = conn.Close()
	}
	crashed := errors.Is(err, syscall.ECONNREFUSED)
	relay.mutex.Lock()
	if check.crashed = crashed; crashed {
		for _, request := range check.interrupted {
			relay.suspect(key, check.startedAt, request)
		}
	}
	relay.mutex.Unlock()
	close(check.done)
	if crashed {
		relay.config.Board.RecordCrash(entry.Upstream, entry.Incarnation, time.Now())
		time.Sleep(crashRecordTime)
	}
	relay.mutex.Lock()
	interrupted := check.interrupted
	delete(relay.crashChecks, key)
	relay.mutex.Unlock()
	if crashed {
		relay.logCrash(entry, interrupted)
	}
}

// logCrash logs which requests a crash interrupted before their second event, with the parts of their prompts, and how many it
// interrupted in all.
func (relay *Relay) logCrash(entry table.Entry, interrupted []interruptedRequest) {
	var waiting, answering []string
	parts := map[string][]prompt.PartHash{}
	for _, request := range interrupted {
		switch {
		case request.events >= soundEvents:
		case request.answering && len(answering) < maxLoggedRequests:
			answering = append(answering, request.id)
			parts[request.id] = request.parts
		case !request.answering && len(waiting) < maxLoggedRequests:
			waiting = append(waiting, request.id)
			parts[request.id] = request.parts
		}
	}
	relay.config.Logger.Warn("upstream crashed", "Upstream", entry.Upstream, "Incarnation", entry.Incarnation, "Service", entry.Service,
		"Waiting", waiting, "Answering", answering, "Parts", parts, "Interrupted", len(interrupted))
}

// recordInterruption records that the connection of the current attempt was lost after a number of events.
func (exchange *exchange) recordInterruption(ticket *board.Ticket, answering bool, events int) {
	if len(exchange.parts) == 0 {
		return
	}
	check := exchange.relay.recordInterruption(ticket.Entry, interruptedRequest{
		id: exchange.call.RequestID, parts: exchange.parts, answering: answering, events: events,
	}, time.Now())
	if events < soundEvents {
		exchange.crashCheck = check
	}
}

// mayHaveCrashed waits for the result of the check that the last attempt started, if any. It reports whether the upstream crashed
// and the request may be the cause, so that it must not be sent to another one.
func (exchange *exchange) mayHaveCrashed(ctx context.Context) bool {
	check := exchange.crashCheck
	if check == nil {
		return false
	}
	exchange.crashCheck = nil
	select {
	case <-check.done:
	case <-ctx.Done():
		return true
	}
	return check.crashed && !exchange.relay.config.Poison.Trusted(exchange.parts)
}

// inQuarantine reports whether the request must be rejected because its prompt has a part that crashes upstreams.
func (exchange *exchange) inQuarantine() bool {
	if len(exchange.parts) == 0 || exchange.probe {
		return false
	}
	quarantine, rejected := exchange.relay.config.Poison.Check(exchange.parts, time.Now())
	exchange.quarantine, exchange.probe = quarantine, quarantine.Probe
	return rejected
}

// addWaiting adds an attempt that waits for its response header. The function withdraw ends it.
func (relay *Relay) addWaiting(exchange *exchange, withdraw context.CancelCauseFunc) {
	if len(exchange.parts) == 0 || exchange.probe {
		return
	}
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	relay.waiting[exchange] = withdraw
}

func (relay *Relay) removeWaiting(exchange *exchange) {
	if len(exchange.parts) == 0 {
		return
	}
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	delete(relay.waiting, exchange)
}

// WithdrawQuarantined ends the requests that wait at their upstreams although a part of their prompt is in quarantine. Each of them
// would crash its upstream when its turn comes.
func (relay *Relay) WithdrawQuarantined() {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	for exchange, withdraw := range relay.waiting {
		if _, rejected := relay.config.Poison.Check(exchange.parts, time.Now()); rejected {
			withdraw(errWithdrawn)
		}
	}
}

// recordSound records that an answer with the given status got going, which shows that no part of the prompt crashes upstreams.
func (exchange *exchange) recordSound(status int) {
	if len(exchange.parts) > 0 && status < http.StatusMultipleChoices {
		exchange.relay.config.Poison.RecordAnswer(exchange.parts, time.Now())
	}
}
