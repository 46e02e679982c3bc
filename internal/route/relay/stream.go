package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

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
	// leastStall, goalStalls and gapStalls are the callers' patience with a stream that makes no progress: the longest of
	// leastStall, goalStalls times the goal of the first event and gapStalls times the longest pause between two events.
	leastStall = 2 * time.Second
	goalStalls = 4
	gapStalls  = 8
)

// stream is the part of a stream of events that the caller already has.
type stream struct {
	started bool
	events  int
	// last is the identifier of the last event.
	last string
}

// errStalled is the cause of a stream that was cut because it made no progress.
var errStalled = errors.New("no event within the callers' patience")

// stallTime is the time without an event after which a stream that has no deadline is cut. Streams with a deadline are never
// cut for their silence.
func (exchange *exchange) stallTime() time.Duration {
	return max(leastStall, goalStalls*exchange.route.LatencyGoal, gapStalls*exchange.route.GapGoal)
}

// endOfEvents returns the number of bytes up to the end of the last complete event, which a blank line ends.
func endOfEvents(pending []byte) int {
	end := 0
	for _, blank := range []string{"\n\n", "\n\r\n"} {
		if at := bytes.LastIndex(pending, []byte(blank)); at >= 0 {
			end = max(end, at+len(blank))
		}
	}
	return end
}

// untilClose reports whether the end of the connection is the end of an answer, so that nothing tells a complete answer from
// one that broke off.
func untilClose(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// pass passes on a stream, event by event, so that it can go on at another upstream after the last complete event.
func (exchange *exchange) pass(ctx context.Context, ticket *board.Ticket, answer *link.Answer) verdict {
	controller := http.NewResponseController(exchange.writer)
	// A caller that does not read must not hold the router's memory for longer than it may wait.
	if err := controller.SetWriteDeadline(exchange.deadline.Add(writeSlack)); err != nil {
		exchange.logger.Debug("no write deadline", "Request", exchange.call.RequestID, "Error", err)
	}
	var stall *time.Timer
	if exchange.unbounded {
		stall = time.AfterFunc(exchange.stallTime(), func() { answer.Cut(errStalled) })
		defer stall.Stop()
	}
	var pending []byte
	buffer := make([]byte, eventBytes)
	first := true
	for {
		count, err := answer.Read(buffer)
		if count > 0 && first {
			first = false
			now := time.Now()
			exchange.begin(ticket, now)
			exchange.relay.config.Meter.FirstEvent(exchange.service.Name, now.Sub(exchange.arrived), ticket.Expected)
		}
		pending = append(pending, buffer[:count]...)
		complete := endOfEvents(pending)
		switch {
		case err != io.EOF:
		case untilClose(answer.Response) && complete < len(pending):
			err = io.ErrUnexpectedEOF
		default:
			complete = len(pending)
		}
		if complete > 0 || err == io.EOF {
			events := exchange.stream.events
			if writeErr := exchange.forward(answer, pending[:complete], controller); writeErr != nil {
				ticket.End(board.ResultAbandoned, time.Now())
				exchange.ended("Abandoned", "caller left during the stream")
				return verdictDone
			}
			pending = pending[complete:]
			if stall != nil && exchange.stream.events > events {
				// Bytes that are no event, such as comments, are no progress.
				stall.Reset(exchange.stallTime())
			}
			if gather := exchange.relay.config.EventBatchDelay(); err == nil && gather > 0 {
				// Each read and write costs more than the event itself. The next read tells that the caller has left.
				_ = pause.For(ctx, gather)
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
		exchange.setHeader(platform.ResponseHeader(answer.Response.Header))
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
