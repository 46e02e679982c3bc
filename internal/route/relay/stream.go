package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind/internal/load/board"
	"github.com/clementinewind/clementinewind/internal/route/link"
	"github.com/clementinewind/clementinewind/internal/share/bound"
	"github.com/clementinewind/clementinewind/internal/share/pause"
	"github.com/clementinewind/clementinewind/internal/share/reply"
	"github.com/clementinewind/clementinewind/platform"
)

const (
	// maxEventBytes is the largest event; a larger one fails the stream.
	maxEventBytes = 1 << 20
	// readBufferBytes is larger than most events.
	readBufferBytes = 4 << 10
	// The stall timeout is the longest of minStallTimeout, stallGoalFactor times the latency goal, and stallGapFactor times the
	// goal for the gap between two events.
	minStallTimeout = 2 * time.Second
	stallGoalFactor = 4
	stallGapFactor  = 8
)

// streamProgress describes the part of an answer that was forwarded to the caller.
type streamProgress struct {
	// started is set when the caller has part of the answer. It then cannot get an error response. complete is set when it has all of it.
	started, complete bool
	// eventCount counts the forwarded events that have an ID.
	eventCount  int
	lastEventID string
	// contentType is the media type of the stream.
	contentType string
}

var (
	errStalled = errors.New("stream sent no event within the stall timeout")
	// errNotContinued is the error of a resumed stream that does not go on after the last event that the caller has.
	errNotContinued = errors.New("stream does not continue after the last event")
	// errBuffersFull is the error of a stream whose event is not complete while unfinished answers use up the memory for them.
	errBuffersFull = errors.New("memory for unfinished answers is used up")
)

// stallTimeout returns the time without an event after which a stream without a deadline is cut. A stream with a deadline is
// never cut for being silent.
func (exchange *exchange) stallTimeout() time.Duration {
	return max(minStallTimeout, stallGoalFactor*exchange.route.LatencyGoal, stallGapFactor*exchange.route.GapGoal)
}

// endOfEvents returns the number of bytes up to the end of the last complete event. A blank line ends an event.
func endOfEvents(pending []byte) int {
	end := 0
	for _, blank := range []string{"\n\n", "\n\r\n"} {
		if index := bytes.LastIndex(pending, []byte(blank)); index >= 0 {
			end = max(end, index+len(blank))
		}
	}
	return end
}

func mediaType(response *http.Response) string {
	name, _, _ := strings.Cut(response.Header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// continues reports whether the first of some whole events follows the event with the given ID. Numeric IDs increase. An event without
// an ID comes from something else than the run that is resumed.
func continues(events []byte, lastEventID string) bool {
	id, isEvent := "", false
	for line := range bytes.Lines(events) {
		line = bytes.TrimRight(line, "\r\n")
		value, hasID := bytes.CutPrefix(line, []byte("id:"))
		switch {
		case hasID:
			id, isEvent = string(bytes.TrimSpace(value)), true
		case len(line) == 0 && isEvent:
			return follows(id, lastEventID)
		case len(line) > 0 && line[0] != ':':
			isEvent = true
		}
	}
	return true
}

func follows(id, lastEventID string) bool {
	next, err := strconv.ParseInt(id, 10, 64)
	last, lastErr := strconv.ParseInt(lastEventID, 10, 64)
	if err == nil && lastErr == nil {
		return next > last
	}
	return id != "" && id != lastEventID
}

// relayStream forwards a stream by whole events, so that another upstream can resume it after the last one.
func (exchange *exchange) relayStream(ctx context.Context, ticket *board.Ticket, answer *link.Answer) attemptResult {
	controller := http.NewResponseController(exchange.writer)
	exchange.limitWriting()
	var stallTimer *time.Timer
	if exchange.noTimeLimit {
		stallTimer = time.AfterFunc(exchange.stallTimeout(), func() { answer.Abort(errStalled) })
		defer stallTimer.Stop()
	}
	var pending []byte
	memory := exchange.claimAnswer(bound.KindStream)
	defer memory.Release()
	eventsBefore, sound := exchange.progress.eventCount, false
	buffer := make([]byte, readBufferBytes)
	awaitingFirst, forwarded := true, false
	resuming := exchange.progress.started
	if resuming && mediaType(answer.Response) != exchange.progress.contentType {
		return exchange.handleBrokenStream(ctx, ticket, 0, errNotContinued)
	}
	for {
		count, err := answer.Read(buffer)
		if count > 0 && awaitingFirst {
			awaitingFirst = false
			now := time.Now()
			exchange.recordAnswerStart(ticket, now)
			exchange.relay.config.Meter.FirstEvent(exchange.service.Name, now.Sub(exchange.arrived), ticket.Expected)
		}
		pending = append(pending, buffer[:count]...)
		complete := endOfEvents(pending)
		switch {
		case err != io.EOF:
		case complete < len(pending), reply.EndsWithConnection(answer.Response) && complete == 0 && !forwarded:
			// An upstream that fails may end its answer inside an event, and before the first one.
			err = io.ErrUnexpectedEOF
		}
		if resuming && !forwarded && complete > 0 && !continues(pending[:complete], exchange.progress.lastEventID) {
			complete, err = 0, errNotContinued
		}
		if complete > 0 || err == io.EOF {
			countBefore := exchange.progress.eventCount
			if writeErr := exchange.writeEvents(ticket, answer, pending[:complete], controller, memory); writeErr != nil {
				ticket.End(board.ResultAbandoned, time.Now())
				if errors.Is(writeErr, errUnread) {
					exchange.abandon(writeErr.Error())
				}
				exchange.recordEnd("Abandoned", "caller left during the stream")
				return attemptDone
			}
			pending, forwarded = pending[complete:], true
			if events := exchange.progress.eventCount - eventsBefore; !sound && (events >= soundEvents || (err == io.EOF && events > 0)) {
				sound = true
				exchange.recordSound(answer.Response.StatusCode)
			}
			if stallTimer != nil && exchange.progress.eventCount > countBefore {
				// Only events count as progress; comments and partial events do not.
				stallTimer.Reset(exchange.stallTimeout())
			}
			if delay := exchange.relay.config.EventBatchDelay(); err == nil && delay > 0 {
				// Batching saves CPU, because each read and write costs more than an event. If the context ends during the
				// pause, the next read fails.
				_ = pause.For(ctx, delay)
			}
		}
		switch {
		case err == io.EOF:
			exchange.progress.complete = true
			ticket.End(board.ResultServed, time.Now())
			exchange.recordEnd("Answered", "stream complete")
			return attemptDone
		case err == nil && !memory.Hold(len(pending)):
			return exchange.handleBrokenStream(ctx, ticket, exchange.progress.eventCount-eventsBefore, errBuffersFull)
		case err != nil || len(pending) > maxEventBytes:
			return exchange.handleBrokenStream(ctx, ticket, exchange.progress.eventCount-eventsBefore, err)
		}
	}
}

// writeEvents writes complete events to the caller and flushes them.
func (exchange *exchange) writeEvents(
	ticket *board.Ticket, answer *link.Answer, events []byte, controller *http.ResponseController, memory *bound.Reservation,
) error {
	if !exchange.progress.started {
		exchange.beginStream(ticket.Entry.Version)
		exchange.progress.started, exchange.progress.contentType = true, mediaType(answer.Response)
		exchange.setAnswerHeader(platform.ResponseHeader(answer.Response.Header))
		exchange.writer.Header().Del("Content-Length")
		exchange.writer.WriteHeader(answer.Response.StatusCode)
	}
	for line := range bytes.Lines(events) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			exchange.progress.lastEventID = string(bytes.TrimSpace(id))
			exchange.progress.eventCount++
		}
	}
	memory.Await(time.Now())
	_, err := exchange.writer.Write(events)
	if err == nil {
		err = controller.Flush()
	}
	if !memory.Settle() {
		return errUnread
	}
	return err
}

// handleBrokenStream records a stream that ended before it was complete, after a number of events in this attempt.
func (exchange *exchange) handleBrokenStream(ctx context.Context, ticket *board.Ticket, events int, err error) attemptResult {
	result := board.ResultFailed
	switch {
	case exchange.request.Context().Err() != nil:
		result = board.ResultAbandoned
	case ctx.Err() == nil && err != nil && !errors.Is(err, errStalled) && !errors.Is(err, errNotContinued) && !errors.Is(err, errBuffersFull):
		exchange.recordInterruption(ticket, true, events)
	}
	ticket.End(result, time.Now())
	exchange.logger.Info("stream broke off", "Request", exchange.call.RequestID, "Upstream", ticket.Entry.Upstream,
		"Events", exchange.progress.eventCount, "Deadline", ctx.Err() != nil, "Error", err)
	return attemptFailed
}
