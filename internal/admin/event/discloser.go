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
	// defaultAppendRate and defaultAppendBurst limit the appends of one router. 350 routers make 70 appends/s, a fraction
	// of the several hundred that the log accepts for all streams.
	defaultAppendRate  rate.Limit = 0.2
	defaultAppendBurst            = 8
	// defaultBacklogSize is the number of events kept during an outage of the log, about 200 B each.
	defaultBacklogSize = 1024
	appendTimeout      = 10 * time.Second
	// minRetryDelay and maxRetryDelay bound the exponential backoff, which comes on top of the rate limit.
	minRetryDelay = time.Second
	maxRetryDelay = 30 * time.Second
)

// Appender appends a payload to the events stream of the platform's log.
type Appender interface {
	Append(ctx context.Context, payload []byte) (clementinewind.Offset, error)
}

// DiscloserConfig configures a Discloser.
type DiscloserConfig struct {
	Instance clementinewind.Instance
	Zone     clementinewind.Zone
	// Clock stamps the event that reports lost events; nil creates a new clock.
	Clock    *Clock
	Appender Appender
	// Logger reports failed appends; nil logs nothing.
	Logger hclog.Logger
	// Rate and Burst limit the appends, including failed ones; 0 means 0.2 appends/s and a burst of 8.
	Rate  rate.Limit
	Burst int
	// Backlog is the largest number of pending events; 0 means 1,024.
	Backlog int
}

// Discloser appends events to the events stream asynchronously. If the backlog fills up during an outage, it keeps the
// oldest events, because they show how the outage began, and drops new ones; a later event reports their number and times.
type Discloser struct {
	config  DiscloserConfig
	limiter *rate.Limiter
	wake    chan struct{}
	// appendMutex serialises appends, so that Run and Flush together keep the order.
	appendMutex sync.Mutex

	mu         sync.Mutex
	backlog    []clementinewind.Event
	unreported lossSummary
	lostTotal  uint64
}

// lossSummary describes the events that were dropped since the last report of losses.
type lossSummary struct {
	count       int
	first, last time.Time
}

// NewDiscloser returns a discloser with an empty backlog. Events are appended only while Run runs, and by Flush.
func NewDiscloser(config DiscloserConfig) *Discloser {
	if config.Clock == nil {
		config.Clock = NewClock(ClockConfig{})
	}
	if config.Logger == nil {
		config.Logger = hclog.NewNullLogger()
	}
	if config.Rate <= 0 {
		config.Rate = defaultAppendRate
	}
	if config.Burst <= 0 {
		config.Burst = defaultAppendBurst
	}
	if config.Backlog <= 0 {
		config.Backlog = defaultBacklogSize
	}
	return &Discloser{
		config:  config,
		limiter: rate.NewLimiter(config.Rate, config.Burst),
		wake:    make(chan struct{}, 1),
	}
}

// Enqueue adds an event to the backlog, or drops it and counts it as lost if the backlog is full. It does not block.
func (discloser *Discloser) Enqueue(event clementinewind.Event) {
	discloser.mu.Lock()
	defer discloser.mu.Unlock()
	if len(discloser.backlog) >= discloser.config.Backlog {
		if discloser.unreported.count == 0 {
			discloser.unreported.first = event.Time
		}
		discloser.unreported.last = event.Time
		discloser.unreported.count++
		discloser.lostTotal++
		return
	}
	discloser.backlog = append(discloser.backlog, event)
	select {
	case discloser.wake <- struct{}{}:
	default:
	}
}

// Lost returns the number of events that were dropped since the start.
func (discloser *Discloser) Lost() uint64 {
	discloser.mu.Lock()
	defer discloser.mu.Unlock()
	return discloser.lostTotal
}

// Pending returns the number of events in the backlog.
func (discloser *Discloser) Pending() int {
	discloser.mu.Lock()
	defer discloser.mu.Unlock()
	return len(discloser.backlog)
}

// Run appends events within the rate limit until the context ends. It retries a failed append, so that an event may be in
// the stream twice; Merge removes duplicates.
func (discloser *Discloser) Run(ctx context.Context) error {
	for retryDelay := minRetryDelay; ; {
		if discloser.Pending() == 0 {
			select {
			case <-discloser.wake:
			case <-ctx.Done():
				return nil
			}
			continue
		}
		if err := discloser.limiter.Wait(ctx); err != nil {
			return nil
		}
		if err := discloser.appendFirst(ctx); err == nil {
			retryDelay = minRetryDelay
			continue
		} else if ctx.Err() == nil {
			discloser.config.Logger.Warn("DisclosureFailed", "Error", err, "Retry", retryDelay, "Waiting", discloser.Pending())
		}
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
			return nil
		}
		retryDelay = min(2*retryDelay, maxRetryDelay)
	}
}

// Flush appends the backlog without the rate limit; a router calls it before it exits. It stops at the first failure.
func (discloser *Discloser) Flush(ctx context.Context) error {
	for discloser.Pending() > 0 {
		if err := discloser.appendFirst(ctx); err != nil {
			return errors.Wrapf(err, "%d disclosed events not written", discloser.Pending())
		}
	}
	return nil
}

func (discloser *Discloser) appendFirst(ctx context.Context) error {
	discloser.appendMutex.Lock()
	defer discloser.appendMutex.Unlock()
	event, ok := discloser.peek()
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

func (discloser *Discloser) peek() (clementinewind.Event, bool) {
	discloser.mu.Lock()
	defer discloser.mu.Unlock()
	if len(discloser.backlog) == 0 {
		return clementinewind.Event{}, false
	}
	return discloser.backlog[0], true
}

// removeFirst removes the event that was appended. If events were lost, it uses the free place for an event that reports
// them.
func (discloser *Discloser) removeFirst() {
	discloser.mu.Lock()
	defer discloser.mu.Unlock()
	discloser.backlog = discloser.backlog[1:]
	if discloser.unreported.count == 0 {
		return
	}
	discloser.backlog = append(discloser.backlog, clementinewind.Event{
		Stamp:    discloser.config.Clock.Stamp(),
		Time:     discloser.config.Clock.now().UTC().Truncate(time.Millisecond),
		Instance: discloser.config.Instance,
		Zone:     discloser.config.Zone,
		Kind:     clementinewind.EventLogRegained,
		Detail: fmt.Sprintf("%d events from %s to %s are lost because the backlog was full", discloser.unreported.count,
			discloser.unreported.first.UTC().Format(time.RFC3339), discloser.unreported.last.UTC().Format(time.RFC3339)),
	})
	discloser.unreported = lossSummary{}
}
