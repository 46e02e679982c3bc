package event

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/clementinewind/clementinewind"
)

const (
	// defaultRate and defaultBurst are the budget of one router. At 350 routers the rate is 70 appends/s, a fraction of
	// the several hundred that the log accepts for all streams.
	defaultRate  rate.Limit = 0.2
	defaultBurst            = 8
	// defaultBacklog is the number of events that wait during an outage, about 200 B each.
	defaultBacklog = 1024
	appendTimeout  = 10 * time.Second
	// minRetry and maxRetry bound the exponential delay between attempts, on top of the budget.
	minRetry = time.Second
	maxRetry = 30 * time.Second
)

// Appender adds a payload to the events stream of the platform's log.
type Appender interface {
	Append(ctx context.Context, payload []byte) (clementinewind.Offset, error)
}

// DiscloserConfig configures a Discloser.
type DiscloserConfig struct {
	Instance clementinewind.Instance
	Zone     clementinewind.Zone
	// Clock stamps the event that reports losses; nil takes a clock of its own.
	Clock    *Clock
	Appender Appender
	// Logger reports failed appends; nil writes nothing.
	Logger hclog.Logger
	// Rate and Burst are the budget of appends, failed ones included; 0 takes 0.2 appends/s and a burst of 8.
	Rate  rate.Limit
	Burst int
	// Backlog is the number of events that may wait; 0 takes 1,024.
	Backlog int
}

// Discloser writes events to the events stream. During an outage it keeps the oldest events, because they tell how the
// outage began, and counts those that it drops; a later event reports their number and times.
type Discloser struct {
	config  DiscloserConfig
	limiter *rate.Limiter
	offered chan struct{}
	// appending serves one append at a time, so that Run and Flush keep the order.
	appending sync.Mutex

	mu      sync.Mutex
	backlog []clementinewind.Event
	gap     gap
	lost    uint64
}

// gap describes the events that were dropped since the last report.
type gap struct {
	count       int
	first, last time.Time
}

// NewDiscloser returns a discloser with an empty backlog. Run must be called for events to be written.
func NewDiscloser(config DiscloserConfig) *Discloser {
	if config.Clock == nil {
		config.Clock = NewClock(ClockConfig{})
	}
	if config.Logger == nil {
		config.Logger = hclog.NewNullLogger()
	}
	if config.Rate <= 0 {
		config.Rate = defaultRate
	}
	if config.Burst <= 0 {
		config.Burst = defaultBurst
	}
	if config.Backlog <= 0 {
		config.Backlog = defaultBacklog
	}
	return &Discloser{
		config:  config,
		limiter: rate.NewLimiter(config.Rate, config.Burst),
		offered: make(chan struct{}, 1),
	}
}

// Offer adds an event to the backlog, or counts it as lost if the backlog is full. It does not block.
func (discloser *Discloser) Offer(event clementinewind.Event) {
	discloser.mu.Lock()
	defer discloser.mu.Unlock()
	if len(discloser.backlog) >= discloser.config.Backlog {
		if discloser.gap.count == 0 {
			discloser.gap.first = event.Time
		}
		discloser.gap.last = event.Time
		discloser.gap.count++
		discloser.lost++
		return
	}
	discloser.backlog = append(discloser.backlog, event)
	select {
	case discloser.offered <- struct{}{}:
	default:
	}
}

// Lost returns the number of events that were dropped since the start.
func (discloser *Discloser) Lost() uint64 {
	discloser.mu.Lock()
	defer discloser.mu.Unlock()
	return discloser.lost
}

// Waiting returns the number of events in the backlog.
func (discloser *Discloser) Waiting() int {
	discloser.mu.Lock()
	defer discloser.mu.Unlock()
	return len(discloser.backlog)
}

// Run appends events within the budget until the context ends. An append that failed is repeated, and may then be in
// the stream twice; Merge removes the repetition.
func (discloser *Discloser) Run(ctx context.Context) error {
	for retry := minRetry; ; {
		if discloser.Waiting() == 0 {
			select {
			case <-discloser.offered:
			case <-ctx.Done():
				return nil
			}
			continue
		}
		if err := discloser.limiter.Wait(ctx); err != nil {
			return nil
		}
		if err := discloser.appendFirst(ctx); err == nil {
			retry = minRetry
			continue
		} else if ctx.Err() == nil {
			discloser.config.Logger.Warn("DisclosureFailed", "Error", err, "Retry", retry, "Waiting", discloser.Waiting())
		}
		select {
		case <-time.After(retry):
		case <-ctx.Done():
			return nil
		}
		retry = min(2*retry, maxRetry)
	}
}

// Flush appends the backlog without regard to the budget, for a router that is about to exit. It stops at the first
// failure.
func (discloser *Discloser) Flush(ctx context.Context) error {
	for discloser.Waiting() > 0 {
		if err := discloser.appendFirst(ctx); err != nil {
			return errors.Wrapf(err, "%d disclosed events not written", discloser.Waiting())
		}
	}
	return nil
}

func (discloser *Discloser) appendFirst(ctx context.Context) error {
	discloser.appending.Lock()
	defer discloser.appending.Unlock()
	event, ok := discloser.first()
	if !ok {
		return nil
	}
	payload, err := EncodeDisclosure(event)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := discloser.config.Appender.Append(ctx, payload); err != nil {
		return err
	}
	discloser.removeFirst()
	return nil
}

func (discloser *Discloser) first() (clementinewind.Event, bool) {
	discloser.mu.Lock()
	defer discloser.mu.Unlock()
	if len(discloser.backlog) == 0 {
		return clementinewind.Event{}, false
	}
	return discloser.backlog[0], true
}

// removeFirst drops the event that was written. If events were lost, their report takes its place in the backlog.
func (discloser *Discloser) removeFirst() {
	discloser.mu.Lock()
	defer discloser.mu.Unlock()
	discloser.backlog = discloser.backlog[1:]
	if discloser.gap.count == 0 {
		return
	}
	discloser.backlog = append(discloser.backlog, clementinewind.Event{
		Stamp:    discloser.config.Clock.Stamp(),
		Time:     discloser.config.Clock.now().UTC().Truncate(time.Millisecond),
		Instance: discloser.config.Instance,
		Zone:     discloser.config.Zone,
		Kind:     clementinewind.EventLogRegained,
		Detail: fmt.Sprintf("%d events from %s to %s are lost because the backlog was full", discloser.gap.count,
			discloser.gap.first.UTC().Format(time.RFC3339), discloser.gap.last.UTC().Format(time.RFC3339)),
	})
	discloser.gap = gap{}
}
