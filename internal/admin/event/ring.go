package event

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"
	"unicode"

	"github.com/hashicorp/go-hclog"

	"github.com/clementinewind/clementinewind"
)

const (
	defaultSize = 8192
	// logQueueSize is the number of events that may wait to be logged, so that Record does not block on a slow log output.
	logQueueSize = 1024
	// maxNameBytes and maxDetailBytes bound the memory of a ring, because parts of an event may come from callers.
	maxNameBytes   = 128
	maxDetailBytes = 512
)

// RingConfig configures a Ring.
type RingConfig struct {
	Instance clementinewind.Instance
	Zone     clementinewind.Zone
	// Clock stamps the events; nil creates a new clock.
	Clock *Clock
	// Size is the number of events kept; 0 means 8,192.
	Size int
	// Logger logs one line for each event; nil logs nothing.
	Logger hclog.Logger
	// Discloser receives the events whose kind must be disclosed; nil discloses none.
	Discloser *Discloser
}

// Ring is a ring buffer of the newest events of one router. It implements clementinewind.Recorder.
type Ring struct {
	config   RingConfig
	logQueue chan clementinewind.Event

	mu            sync.Mutex
	events        []clementinewind.Event
	next          int
	overwritten   uint64
	unloggedCount uint64
}

var _ clementinewind.Recorder = (*Ring)(nil)

// NewRing returns an empty ring. Events are logged only while Run runs.
func NewRing(config RingConfig) *Ring {
	if config.Clock == nil {
		config.Clock = NewClock(ClockConfig{})
	}
	if config.Size <= 0 {
		config.Size = defaultSize
	}
	if config.Logger == nil {
		config.Logger = hclog.NewNullLogger()
	}
	return &Ring{config: config, logQueue: make(chan clementinewind.Event, logQueueSize)}
}

// Record adds an event. It sets the stamp, and time, instance and zone if they are empty. Long texts are truncated, and control
// characters are replaced.
func (ring *Ring) Record(event clementinewind.Event) {
	event = ring.normalize(event)
	ring.add(&event)
	if ring.config.Discloser != nil && event.Kind.Disclosed() {
		ring.config.Discloser.Enqueue(event)
	}
}

func (ring *Ring) normalize(event clementinewind.Event) clementinewind.Event {
	if event.Instance == "" {
		event.Instance = ring.config.Instance
	}
	if event.Zone == "" {
		event.Zone = ring.config.Zone
	}
	event.Instance = sanitize(event.Instance, maxNameBytes)
	event.Zone = sanitize(event.Zone, maxNameBytes)
	event.Organisation = sanitize(event.Organisation, maxNameBytes)
	event.Upstream = sanitize(event.Upstream, maxNameBytes)
	event.RequestID = sanitize(event.RequestID, maxNameBytes)
	event.Detail = sanitize(event.Detail, maxDetailBytes)
	return event
}

// sanitize truncates a text and replaces control characters, so that an event stays on one log line. It also replaces invalid
// UTF-8.
func sanitize[T ~string](text T, limit int) T {
	sanitized := string(text)
	if len(sanitized) > limit {
		sanitized = sanitized[:limit]
	}
	return T(strings.Map(func(char rune) rune {
		if unicode.IsControl(char) {
			return ' '
		}
		return char
	}, strings.ToValidUTF8(sanitized, "?")))
}

// add stamps and stores an event. Stamping under the lock keeps the ring ordered by stamp.
func (ring *Ring) add(event *clementinewind.Event) {
	ring.mu.Lock()
	defer ring.mu.Unlock()
	event.Stamp = ring.config.Clock.Stamp()
	if event.Time.IsZero() {
		event.Time = ring.config.Clock.now()
	}
	// The protobuf message has milliseconds. With a finer time, an event from the ring and its copy from the log would differ.
	event.Time = event.Time.UTC().Truncate(time.Millisecond)
	if len(ring.events) < ring.config.Size {
		ring.events = append(ring.events, *event)
	} else {
		ring.events[ring.next] = *event
		ring.next = (ring.next + 1) % ring.config.Size
		ring.overwritten++
	}
	select {
	case ring.logQueue <- *event:
	default:
		ring.unloggedCount++
	}
}

// Events returns the matching events ordered by stamp.
func (ring *Ring) Events(query Query) []clementinewind.Event {
	ring.mu.Lock()
	defer ring.mu.Unlock()
	var selected []clementinewind.Event
	// Search from the newest event backwards, so that a limit ends the search early.
	for age := 1; age <= len(ring.events) && (query.Limit <= 0 || len(selected) < query.Limit); age++ {
		if event := ring.events[(ring.next+len(ring.events)-age)%len(ring.events)]; query.Matches(event) {
			selected = append(selected, event)
		}
	}
	slices.Reverse(selected)
	return selected
}

// Overwritten returns the number of events that were overwritten by newer ones.
func (ring *Ring) Overwritten() uint64 {
	ring.mu.Lock()
	defer ring.mu.Unlock()
	return ring.overwritten
}

// Run logs events until the context ends, and then those that are still queued.
func (ring *Ring) Run(ctx context.Context) error {
	for {
		select {
		case event := <-ring.logQueue:
			ring.logEvent(event)
		case <-ctx.Done():
			for {
				select {
				case event := <-ring.logQueue:
					ring.logEvent(event)
				default:
					return nil
				}
			}
		}
	}
}

func (ring *Ring) logEvent(event clementinewind.Event) {
	ring.mu.Lock()
	unloggedCount := ring.unloggedCount
	ring.unloggedCount = 0
	ring.mu.Unlock()
	if unloggedCount > 0 {
		ring.config.Logger.Warn("EventLinesLost", "Count", unloggedCount)
	}
	fields := []any{"Instance", string(event.Instance), "Zone", string(event.Zone), "Stamp", event.Stamp}
	for _, field := range [][2]string{
		{"Organisation", string(event.Organisation)},
		{"Upstream", string(event.Upstream)},
		{"Request", event.RequestID},
		{"Detail", event.Detail},
	} {
		if field[1] != "" {
			fields = append(fields, field[0], field[1])
		}
	}
	ring.config.Logger.Log(logLevel(event.Kind), event.Kind.String(), fields...)
}

// logLevel returns Warn for the kinds of events on which operators may have to act, and Info for the others.
func logLevel(kind clementinewind.EventKind) hclog.Level {
	switch kind {
	case clementinewind.EventSessionExpired, clementinewind.EventPeerSuspected, clementinewind.EventEjected,
		clementinewind.EventUnknownOutcome, clementinewind.EventLogLost, clementinewind.EventStale,
		clementinewind.EventSettingsRejected, clementinewind.EventOverload:
		return hclog.Warn
	default:
		return hclog.Info
	}
}
