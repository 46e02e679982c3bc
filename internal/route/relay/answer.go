package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/load/board"
	"github.com/clementinewind/clementinewind/internal/route/link"
	"github.com/clementinewind/clementinewind/platform"
)

const (
	// heldBytes is the largest answer that is held until it is complete, so that one that breaks off can be replaced by a
	// failure or by the answer of another upstream. A larger one is passed on as it arrives.
	heldBytes = 256 << 10
	copyBytes = 32 << 10
	// writeSlack is how long after the deadline a caller may still read.
	writeSlack = 500 * time.Millisecond
)

// whole passes on an answer that is not a stream.
func (exchange *exchange) whole(ctx context.Context, ticket *board.Ticket, answer *link.Answer) verdict {
	exchange.begin(ticket, time.Now())
	body, err := io.ReadAll(io.LimitReader(answer, heldBytes))
	status := answer.Response.StatusCode
	switch {
	case err != nil && exchange.request.Context().Err() != nil:
		ticket.End(board.ResultAbandoned, time.Now())
		return verdictFailed
	case err != nil:
		ticket.End(board.ResultFailed, time.Now())
		exchange.logger.Info("answer broke off", "Request", exchange.call.RequestID, "Upstream", ticket.Entry.Upstream, "Error", err)
		return verdictFailed
	case len(body) == heldBytes:
		return exchange.copyRest(ctx, ticket, answer, body)
	}
	header := platform.ResponseHeader(answer.Response.Header)
	if status >= http.StatusInternalServerError {
		ticket.End(board.ResultFailed, time.Now())
		if exchange.repeatable() {
			exchange.fallback = &fallback{status: status, header: header, body: body}
			return verdictFailed
		}
	} else {
		exchange.relay.config.Meter.FirstEvent(exchange.service.Name, time.Since(exchange.arrived), ticket.Expected)
		ticket.End(board.ResultServed, time.Now())
	}
	exchange.write(status, header, body)
	exchange.ended("Answered", strconv.Itoa(status))
	return verdictDone
}

// copyRest passes on an answer that is too large to hold.
func (exchange *exchange) copyRest(ctx context.Context, ticket *board.Ticket, answer *link.Answer, held []byte) verdict {
	exchange.setHeader(platform.ResponseHeader(answer.Response.Header))
	if length := answer.Response.ContentLength; length >= 0 {
		exchange.writer.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	exchange.writer.WriteHeader(answer.Response.StatusCode)
	_, err := exchange.writer.Write(held)
	buffer := make([]byte, copyBytes)
	for err == nil {
		var count int
		count, err = answer.Read(buffer)
		if count > 0 {
			if _, writeErr := exchange.writer.Write(buffer[:count]); writeErr != nil {
				err = writeErr
			}
		}
	}
	if err != io.EOF {
		ticket.End(board.ResultFailed, time.Now())
		exchange.stream.started = true
		exchange.runs = exchange.route.MaxAttempts
		exchange.fail(ctx)
		return verdictDone
	}
	ticket.End(board.ResultServed, time.Now())
	exchange.ended("Answered", strconv.Itoa(answer.Response.StatusCode))
	return verdictDone
}

func (exchange *exchange) setHeader(header http.Header) {
	target := exchange.writer.Header()
	for name, values := range header {
		target[name] = values
	}
	// An answer without a type must not get a guessed one.
	if _, ok := target["Content-Type"]; !ok {
		target["Content-Type"] = nil
	}
}

func (exchange *exchange) write(status int, header http.Header, body []byte) {
	exchange.setHeader(header)
	if exchange.request.Method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified {
		exchange.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	exchange.writer.WriteHeader(status)
	if _, err := exchange.writer.Write(body); err != nil && exchange.request.Method != http.MethodHead {
		exchange.logger.Debug("answer not delivered", "Request", exchange.call.RequestID, "Error", err)
	}
}

// deny answers a request that is not allowed. It returns false, so that a check can return its result.
func (exchange *exchange) deny(status int, reason clementinewind.Reason, detail string) bool {
	exchange.reject(status, reason, 0, detail)
	return false
}

// refuse answers a request that has not run and never will. It returns false.
func (exchange *exchange) refuse(reason clementinewind.Reason, retryAfter time.Duration, detail string) bool {
	exchange.reject(http.StatusServiceUnavailable, reason, retryAfter, detail)
	return false
}

func (exchange *exchange) reject(status int, reason clementinewind.Reason, retryAfter time.Duration, detail string) {
	platform.SetRefusal(exchange.writer.Header(), exchange.call.RequestID, retryAfter)
	http.Error(exchange.writer, reason.String()+": "+detail, status)
	exchange.logger.Warn("rejected", "Request", exchange.call.RequestID, "Status", status, "Reason", reason,
		"Detail", detail, "Route", exchange.route.Name, "Organisation", exchange.organisation, "RetryAfter", retryAfter,
		"Late", exchange.late, "Share", exchange.share, "Tried", len(exchange.tried), "Took", time.Since(exchange.arrived))
	exchange.relay.config.Meter.Ended(exchange.service.Name, reason.String(), time.Since(exchange.arrived))
}

// abort ends an answer whose beginning the caller already has, so that it does not look complete.
func (exchange *exchange) abort(detail string) {
	exchange.logger.Warn("answer broken off", "Request", exchange.call.RequestID, "Detail", detail,
		"Route", exchange.route.Name, "Tried", exchange.tried, "Events", exchange.stream.events, "Took", time.Since(exchange.arrived))
	exchange.relay.config.Meter.Ended(exchange.service.Name, "BrokenOff", time.Since(exchange.arrived))
	panic(http.ErrAbortHandler)
}

// abandon ends a request whose caller has left. A handler that returned would answer with an empty success, which a caller that
// closed only its own side would read.
func (exchange *exchange) abandon(detail string) {
	exchange.ended("Abandoned", detail)
	panic(http.ErrAbortHandler)
}

func (exchange *exchange) ended(outcome, detail string) {
	exchange.logger.Info("ended", "Request", exchange.call.RequestID, "Outcome", outcome, "Detail", detail,
		"Route", exchange.route.Name, "Tried", len(exchange.tried), "Took", time.Since(exchange.arrived))
	exchange.relay.config.Meter.Ended(exchange.service.Name, outcome, time.Since(exchange.arrived))
}
