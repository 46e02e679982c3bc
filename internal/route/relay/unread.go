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
	// unreadLogged is how many refusals of unread requests are logged in a second. A line costs as much as a refusal.
	unreadLogged = 20
	// refusalBytes is above the size of a refusal with the id of its request.
	refusalBytes = 256
)

// unread counts the refusals of unread requests that are not logged one by one.
type unread struct {
	mutex  sync.Mutex
	second time.Time
	logged int
	left   int
}

// count reports whether a refusal is logged, and how many before it were not.
func (unread *unread) count(now time.Time) (left int, logged bool) {
	unread.mutex.Lock()
	defer unread.mutex.Unlock()
	if now.Sub(unread.second) >= time.Second {
		unread.second, unread.logged = now, 0
	}
	if unread.logged >= unreadLogged {
		unread.left++
		return 0, false
	}
	unread.logged++
	left, unread.left = unread.left, 0
	return left, true
}

// ask counts what a caller asked for with a request that is refused before its route is known. The load it answers: an organisation
// whose callers stay with a router that can serve a tenth of them seems to ask for little, and the others get its share.
func (relay *Relay) ask(key string, inputTokens, outputTokens int) {
	current := relay.config.Table()
	tokens := usage.TokenCost(inputTokens, outputTokens)
	if current == nil || tokens == 0 {
		return
	}
	if organisation, known := current.Organisation(key); known {
		relay.asked(organisation, tokens, time.Now())
		relay.ledger.Add(organisation, usage.PartOverloaded, tokens)
	}
}

// OverloadRefusal returns the answer to a request that is refused because the processor is not enough, as it is sent, from the bytes of the
// request's head. It is the refusal of ServeHTTP at a small part of the cost.
func (relay *Relay) OverloadRefusal(head []byte) []byte {
	scanned := platform.ScanHead(head)
	id := scanned.RequestID
	relay.ask(scanned.Key, scanned.InputTokens, scanned.OutputTokens)
	if left, logged := relay.unread.count(time.Now()); logged {
		relay.config.Logger.Warn("rejected", "Request", id, "Status", http.StatusServiceUnavailable, "Reason", clementinewind.ReasonBusy,
			"Detail", overloadDetail, "RetryAfter", overloadRetry, "NotLogged", left)
	}
	relay.config.Meter.Ended("", clementinewind.ReasonBusy.String(), 0)
	body := clementinewind.ReasonBusy.String() + ": " + overloadDetail + "\n"
	answer := make([]byte, 0, refusalBytes)
	answer = append(answer, "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: "...)
	answer = append(strconv.AppendInt(answer, int64(len(body)), 10), "\r\n"...)
	answer = platform.AppendRefusal(answer, id, overloadRetry)
	return append(append(answer, "\r\n"...), body...)
}
