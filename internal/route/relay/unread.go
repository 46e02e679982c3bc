package relay

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/load/usage"
	"github.com/clementinewind/clementinewind/platform"
)

const (
	// maxLogsPerSecond limits the log lines per second, because a log line costs as much CPU as the refusal itself.
	maxLogsPerSecond = 20
	// refusalBufferBytes is the initial buffer size, which holds a refusal and its request ID.
	refusalBufferBytes = 256
)

// logLimiter limits the log lines about requests that are refused unread.
type logLimiter struct {
	mutex       sync.Mutex
	windowStart time.Time
	logged      int
	suppressed  int
}

// allow reports whether to log a refusal, and how many were left out since the last one that was logged.
func (limiter *logLimiter) allow(now time.Time) (suppressed int, logged bool) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if now.Sub(limiter.windowStart) >= time.Second {
		limiter.windowStart, limiter.logged = now, 0
	}
	if limiter.logged >= maxLogsPerSecond {
		limiter.suppressed++
		return 0, false
	}
	limiter.logged++
	suppressed, limiter.suppressed = limiter.suppressed, 0
	return suppressed, true
}

// recordRefusedDemand counts the requested tokens of a request that is refused for overload before its route is matched.
// Otherwise an organisation whose callers all stay connected to a router that serves only a tenth of their requests would seem
// to need little, and others would get its share.
func (relay *Relay) recordRefusedDemand(key string, inputTokens, outputTokens int) {
	current := relay.config.Table()
	tokens := usage.TokenCost(inputTokens, outputTokens)
	if current == nil || tokens == 0 {
		return
	}
	if organisation, known := current.Organisation(key); known {
		relay.recordDemand(organisation, tokens, time.Now())
		relay.ledger.Add(organisation, usage.PartOverloaded, tokens)
	}
}

// OverloadRefusal returns the raw HTTP response to a request that is refused for overload, given the bytes of its head. It is
// equivalent to the refusal by ServeHTTP at a fraction of the CPU cost.
func (relay *Relay) OverloadRefusal(head []byte) []byte {
	scanned := platform.ScanHead(head)
	id := scanned.RequestID
	relay.recordRefusedDemand(scanned.Key, scanned.InputTokens, scanned.OutputTokens)
	if suppressed, logged := relay.overloadLog.allow(time.Now()); logged {
		relay.config.Logger.Warn("rejected", "Request", id, "Status", http.StatusServiceUnavailable, "Reason", clementinewind.ReasonBusy,
			"Detail", overloadDetail, "RetryAfter", overloadRetryAfter, "NotLogged", suppressed)
	}
	relay.config.Meter.Ended("", clementinewind.ReasonBusy.String(), 0)
	body := clementinewind.ReasonBusy.String() + ": " + overloadDetail + "\n"
	answer := make([]byte, 0, refusalBufferBytes)
	answer = append(answer, "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: "...)
	answer = append(strconv.AppendInt(answer, int64(len(body)), 10), "\r\n"...)
	answer = platform.AppendRefusal(answer, id, overloadRetryAfter)
	return append(append(answer, "\r\n"...), body...)
}
