package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/clementinewind/clementinewind/internal/load/board"
	"github.com/clementinewind/clementinewind/internal/route/link"
	"github.com/clementinewind/clementinewind/internal/share/pause"
	"github.com/clementinewind/clementinewind/platform"
)

const (
	// maxEventBytes bounds one event; a larger one breaks off the answer.
	maxEventBytes = 1 << 20
	// eventBytes is read at once; events are mostly smaller.
	eventBytes = 4 << 10
	// gatherTime is how long events gather before they are passed on while the processor is short. Each read and write costs
	// more than the event itself. Callers see it as a delay, of which the users allow 120 ms.
	gatherTime = 50 * time.Millisecond
)

// stream is the part of a stream of events that the caller already has.
type stream struct {
	started bool
	events  int
	// last is the identifier of the last event.
	last string
}

// pass passes on a stream, event by event, so that it can go on at another upstream after the last complete event.
func (exchange *exchange) pass(ctx context.Context, ticket *board.Ticket, answer *link.Answer) verdict {
	controller := http.NewResponseController(exchange.writer)
	// A caller that does not read must not hold the router's memory for longer than it may wait.
	if err := controller.SetWriteDeadline(exchange.deadline.Add(writeSlack)); err != nil {
		exchange.logger.Debug("no write deadline", "Request", exchange.call.RequestID, "Error", err)
	}
	var pending []byte
	buffer := make([]byte, eventBytes)
	first := true
	for {
		count, err := answer.Read(buffer)
		if count > 0 && first {
			first = false
			now := time.Now()
			ticket.First(now)
			exchange.relay.config.Meter.FirstEvent(exchange.service.Name, now.Sub(exchange.arrived), ticket.Expected)
		}
		pending = append(pending, buffer[:count]...)
		complete := bytes.LastIndex(pending, []byte("\n\n")) + len("\n\n")
		if err == io.EOF {
			complete = len(pending)
		}
		if complete > 1 || err == io.EOF {
			if writeErr := exchange.forward(answer, pending[:complete], controller); writeErr != nil {
				ticket.End(board.ResultAbandoned, time.Now())
				exchange.ended("Abandoned", "caller left during the stream")
				return verdictDone
			}
			pending = pending[complete:]
			if err == nil && exchange.relay.config.Busy() {
				// The next read tells that the caller has left.
				_ = pause.For(ctx, gatherTime)
			}
		}
		switch {
		case err == io.EOF:
			ticket.End(board.ResultServed, time.Now())
			exchange.ended("Answered", "stream complete")
			return verdictDone
		case err != nil || len(pending) > maxEventBytes:
			return exchange.broken(ctx, ticket, err)
		}
	}
}

// forward writes complete events to the caller.
func (exchange *exchange) forward(answer *link.Answer, events []byte, controller *http.ResponseController) error {
	if !exchange.stream.started {
		exchange.stream.started = true
		exchange.setHeader(platform.AnswerHeader(answer.Response.Header))
		exchange.writer.Header().Del("Content-Length")
		exchange.writer.WriteHeader(answer.Response.StatusCode)
	}
	for line := range bytes.Lines(events) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			exchange.stream.last = string(bytes.TrimSpace(id))
			exchange.stream.events++
		}
	}
	if _, err := exchange.writer.Write(events); err != nil {
		return err
	}
	return controller.Flush()
}

// broken handles a stream that ended before its last event.
func (exchange *exchange) broken(ctx context.Context, ticket *board.Ticket, err error) verdict {
	result := board.ResultFailed
	if exchange.request.Context().Err() != nil {
		result = board.ResultAbandoned
	}
	ticket.End(result, time.Now())
	exchange.logger.Info("stream broke off", "Request", exchange.call.RequestID, "Upstream", ticket.Entry.Upstream,
		"Events", exchange.stream.events, "Deadline", ctx.Err() != nil, "Error", err)
	return verdictFailed
}
