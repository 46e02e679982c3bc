package relay

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/load/board"
	"github.com/clementinewind/clementinewind/internal/route/link"
	"github.com/clementinewind/clementinewind/internal/share/bound"
	"github.com/clementinewind/clementinewind/platform"
)

const (
	// maxBufferedBytes is the size below which an answer is buffered, so that a truncated one can be replaced by an error or
	// by another upstream's answer. A larger answer is forwarded as it arrives.
	maxBufferedBytes = 256 << 10
	copyBufferBytes  = 32 << 10
	// minBufferBytes is the initial size of the buffer for an answer.
	minBufferBytes = 1 << 10
	// writeDeadlineSlack extends the write deadline beyond the request deadline, for callers that are still reading.
	writeDeadlineSlack = 500 * time.Millisecond
)

// errUnread is the error of an answer whose caller did not read while others needed its memory or connection.
var errUnread = errors.New("caller did not read the answer while others needed its place")

// relayAnswer forwards an answer that is not an event stream.
func (exchange *exchange) relayAnswer(ctx context.Context, ticket *board.Ticket, answer *link.Answer) attemptResult {
	exchange.recordAnswerStart(ticket, time.Now())
	memory := exchange.claimAnswer(bound.KindAnswer)
	kept := false
	defer func() {
		if !kept {
			memory.Release()
		}
	}()
	body, complete, err := readBuffered(answer, memory)
	status := answer.Response.StatusCode
	switch {
	case err != nil && exchange.request.Context().Err() != nil:
		ticket.End(board.ResultAbandoned, time.Now())
		return attemptFailed
	case err != nil:
		ticket.End(board.ResultFailed, time.Now())
		if ctx.Err() == nil {
			exchange.recordInterruption(ticket, true, 0)
		}
		exchange.logger.Info("answer broke off", "Request", exchange.call.RequestID, "Upstream", ticket.Entry.Upstream, "Error", err)
		return attemptFailed
	case !complete:
		return exchange.copyRemainder(ctx, ticket, answer, body, memory)
	}
	header := platform.ResponseHeader(answer.Response.Header)
	if status >= http.StatusInternalServerError {
		ticket.End(board.ResultFailed, time.Now())
		if exchange.retryable() {
			if exchange.fallback != nil {
				exchange.fallback.memory.Release()
			}
			exchange.fallback, kept = &fallback{status: status, header: header, body: body, memory: memory}, true
			return attemptFailed
		}
	} else {
		exchange.relay.config.Meter.FirstEvent(exchange.service.Name, time.Since(exchange.arrived), ticket.Expected)
		ticket.End(board.ResultServed, time.Now())
		exchange.recordSound(status)
		exchange.relay.durations.record(exchange.service.Name, time.Since(exchange.arrived), time.Now())
	}
	exchange.writeAnswer(status, header, body, memory)
	exchange.recordEnd("Answered", strconv.Itoa(status))
	return attemptDone
}

// readBuffered reads an answer up to maxBufferedBytes, or less while the buffers of all answers are full. It reports whether the answer
// is complete.
func readBuffered(answer io.Reader, memory *bound.Reservation) (body []byte, complete bool, err error) {
	body = make([]byte, 0, minBufferBytes)
	for {
		count, err := answer.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		switch {
		case err == io.EOF:
			return body, true, nil
		case err != nil:
			return body, false, err
		case len(body) < cap(body):
			continue
		case cap(body) >= maxBufferedBytes || !memory.Hold(2*cap(body)):
			return body, false, nil
		}
		body = slices.Grow(body, cap(body))
	}
}

// copyRemainder forwards an answer that is too large to buffer; buffered is what was read of it before.
func (exchange *exchange) copyRemainder(ctx context.Context, ticket *board.Ticket, answer *link.Answer, buffered []byte, memory *bound.Reservation) attemptResult {
	exchange.setAnswerHeader(platform.ResponseHeader(answer.Response.Header))
	if length := answer.Response.ContentLength; length >= 0 {
		exchange.writer.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	exchange.limitWriting()
	exchange.writer.WriteHeader(answer.Response.StatusCode)
	writeErr := exchange.write(buffered, memory)
	size := copyBufferBytes
	if !memory.Hold(size) {
		// Others use up the budget, and the part that is free must do.
		size = freeBufferBytes
	}
	buffer := make([]byte, size)
	var err error
	for err == nil && writeErr == nil {
		var count int
		count, err = answer.Read(buffer)
		if count > 0 {
			writeErr = exchange.write(buffer[:count], memory)
		}
	}
	switch {
	case writeErr != nil:
		ticket.End(board.ResultAbandoned, time.Now())
		exchange.abandon("caller did not read the answer")
	case err != io.EOF:
		ticket.End(board.ResultFailed, time.Now())
		// The caller has part of the answer, so that fail must reset the connection.
		exchange.progress.started = true
		exchange.possibleRuns = exchange.route.MaxAttempts
		exchange.fail(ctx)
		return attemptDone
	}
	ticket.End(board.ResultServed, time.Now())
	exchange.recordEnd("Answered", strconv.Itoa(answer.Response.StatusCode))
	return attemptDone
}

// limitWriting keeps a caller that does not read from holding its part of the router beyond the deadline of the request. The server ends
// that with the answer.
func (exchange *exchange) limitWriting() {
	// The process may have been stopped past the deadline.
	deadline := later(exchange.deadline, time.Now()).Add(writeDeadlineSlack)
	if err := http.NewResponseController(exchange.writer).SetWriteDeadline(deadline); err != nil {
		exchange.logger.Debug("cannot set write deadline", "Request", exchange.call.RequestID, "Error", err)
	}
}

func later(one, other time.Time) time.Time {
	if one.Before(other) {
		return other
	}
	return one
}

// write writes to the caller, which may lose its place until that is done. Its error means that the connection cannot be used any more.
func (exchange *exchange) write(content []byte, memory *bound.Reservation) error {
	memory.Await(time.Now())
	_, err := exchange.writer.Write(content)
	if !memory.Settle() {
		return errUnread
	}
	return err
}

func (exchange *exchange) setAnswerHeader(header http.Header) {
	target := exchange.writer.Header()
	for name, values := range header {
		target[name] = values
	}
	// A nil value keeps net/http from sniffing a content type.
	if _, ok := target["Content-Type"]; !ok {
		target["Content-Type"] = nil
	}
}

func (exchange *exchange) writeAnswer(status int, header http.Header, body []byte, memory *bound.Reservation) {
	exchange.setAnswerHeader(header)
	if exchange.request.Method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified {
		exchange.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	if len(body) > freeBufferBytes {
		exchange.limitWriting()
	}
	exchange.writer.WriteHeader(status)
	err := exchange.write(body, memory)
	if errors.Is(err, errUnread) {
		exchange.abandon(err.Error())
	}
	if err != nil && exchange.request.Method != http.MethodHead {
		exchange.logger.Debug("cannot write answer to caller", "Request", exchange.call.RequestID, "Error", err)
	}
}

// reject answers an invalid or unauthorised request. It always returns false, so that a check can return its result.
func (exchange *exchange) reject(status int, reason clementinewind.Reason, detail string) bool {
	exchange.writeRejection(status, reason, 0, detail)
	return false
}

// rejectUnavailable answers with 503, which guarantees that the request has not run and will not run. It always returns false.
func (exchange *exchange) rejectUnavailable(reason clementinewind.Reason, retryAfter time.Duration, detail string) bool {
	exchange.writeRejection(http.StatusServiceUnavailable, reason, retryAfter, detail)
	return false
}

func (exchange *exchange) writeRejection(status int, reason clementinewind.Reason, retryAfter time.Duration, detail string) {
	platform.SetRefusal(exchange.writer.Header(), exchange.call.RequestID, retryAfter)
	http.Error(exchange.writer, reason.String()+": "+detail, status)
	fields := []any{
		"Request", exchange.call.RequestID, "Status", status, "Reason", reason,
		"Detail", detail, "Route", exchange.route.Name, "Organisation", exchange.organisation, "RetryAfter", retryAfter,
		"Late", exchange.excessLatency, "Share", exchange.shareRatio, "Tried", len(exchange.tried), "Took", time.Since(exchange.arrived),
	}
	if best := exchange.noRoom; best.Candidates > 0 {
		wait := best.Wait
		fields = append(fields, "Best", best.Upstream, "Candidates", best.Candidates, "Expected", best.Expected, "Tokens", best.EffectiveTokens,
			"Base", wait.Base, "Prefill", wait.Prefill, "Recent", best.PrefillTime,
			"Queue", wait.Queue, "Overdue", wait.Overdue, "Slots", wait.Slots, "Busy", wait.Busy, "Memory", wait.Memory)
	}
	exchange.logger.Warn("rejected", fields...)
	exchange.relay.config.Meter.Ended(exchange.service.Name, reason.String(), time.Since(exchange.arrived))
}

// abortAnswer resets the connection of a caller that has part of the answer, so that the answer does not look complete.
func (exchange *exchange) abortAnswer(detail string) {
	exchange.logger.Warn("answer broken off", "Request", exchange.call.RequestID, "Detail", detail,
		"Route", exchange.route.Name, "Tried", exchange.tried, "Events", exchange.progress.eventCount, "Took", time.Since(exchange.arrived))
	exchange.relay.config.Meter.Ended(exchange.service.Name, "BrokenOff", time.Since(exchange.arrived))
	panic(http.ErrAbortHandler)
}

// abandon ends a request whose caller has disconnected. If the handler returned, net/http would send an empty 200, which a
// caller that closed only its sending side would still read.
func (exchange *exchange) abandon(detail string) {
	exchange.recordEnd("Abandoned", detail)
	panic(http.ErrAbortHandler)
}

func (exchange *exchange) recordEnd(outcome, detail string) {
	exchange.logger.Info("ended", "Request", exchange.call.RequestID, "Outcome", outcome, "Detail", detail,
		"Route", exchange.route.Name, "Tried", len(exchange.tried), "Took", time.Since(exchange.arrived))
	exchange.relay.config.Meter.Ended(exchange.service.Name, outcome, time.Since(exchange.arrived))
}
