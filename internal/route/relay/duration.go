package relay

import (
	"math"
	"sync"
	"time"

	"github.com/clementinewind/clementinewind/internal/route/table"
)

const (
	// durationHalfLife is how fast the longest duration of a service is forgotten, durationTTL after how long without an answer it is
	// unknown.
	durationHalfLife = 10 * time.Second
	durationTTL      = time.Minute
	// durationFactor and durationSlack derive the time that a request needs from the longest recent duration.
	durationFactor = 1.5
	durationSlack  = 50 * time.Millisecond
)

// durations holds the longest recent durations of requests that do not stream, by service.
type durations struct {
	mutex     sync.Mutex
	byService map[table.Service]longest
}

type longest struct {
	took time.Duration
	at   time.Time
}

func (longest longest) decayed(now time.Time) time.Duration {
	return time.Duration(float64(longest.took) * math.Exp2(-now.Sub(longest.at).Seconds()/durationHalfLife.Seconds()))
}

// record records how long a request took that was answered.
func (durations *durations) record(service table.Service, took time.Duration, now time.Time) {
	durations.mutex.Lock()
	defer durations.mutex.Unlock()
	durations.byService[service] = longest{took: max(took, durations.byService[service].decayed(now)), at: now}
}

// needed returns the time that a request needs, or false if none was answered lately.
func (durations *durations) needed(service table.Service, now time.Time) (time.Duration, bool) {
	durations.mutex.Lock()
	defer durations.mutex.Unlock()
	known, ok := durations.byService[service]
	if !ok || now.Sub(known.at) > durationTTL {
		return 0, false
	}
	return time.Duration(durationFactor*float64(known.decayed(now))) + durationSlack, true
}

// endsBy returns when the request ends, as far as the router can tell: one that may be repeated in the time that others needed lately, any
// other one by its deadline.
func (exchange *exchange) endsBy() time.Time {
	if exchange.route.Kind == table.RouteIdempotent {
		if needed, ok := exchange.relay.durations.needed(exchange.service.Name, time.Now()); ok {
			if end := exchange.arrived.Add(needed); end.Before(exchange.deadline) {
				return end
			}
		}
	}
	return exchange.deadline
}
