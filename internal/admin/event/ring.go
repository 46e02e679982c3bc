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
	// defaultSize is the number of events of a ring without a configured size.
	defaultSize = 8192
	// lineBacklog is the number of events that may wait for the logger, so that Record never waits for a slow output.
	lineBacklog = 1024
	// maxNameBytes and maxDetailBytes bound the memory of a ring, since parts of an event may come from a caller.
	maxNameBytes   = 128
	maxDetailBytes = 512
)

// RingConfig configures a Ring.
type RingConfig struct {
	Instance clementinewind.Instance
	Zone     clementinewind.Zone
	// Clock stamps the events; nil takes a clock of its own.
	Clock *Clock
	// Size is the number of events kept; 0 takes 8,192.
	Size int
	// Logger gets one line for each event; nil writes none.
	Logger hclog.Logger
	// Discloser gets the events whose kind must be disclosed; nil discloses none.
	Discloser *Discloser
}

// Ring holds the newest events of one router. It implements clementinewind.Recorder.
type Ring struct {
	config RingConfig
	lines  chan clementinewind.Event

	mu          sync.Mutex
	events      []clementinewind.Event
	next        int
	overwritten uint64
	unlogged    uint64
}

var _ clementinewind.Recorder = (*Ring)(nil)

// NewRing returns an empty ring. Run must be called for its log lines to be written.
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
	return &Ring{config: config, lines: make(chan clementinewind.Event, lineBacklog)}
}

// Record adds an event. It sets the stamp, and sets time, instance and zone where they are empty.
func (ring *Ring) Record(event clementinewind.Event) {
	event = ring.complete(event)
	ring.add(&event)
	if ring.config.Discloser != nil && event.Kind.Disclosed() {
		ring.config.Discloser.Offer(event)
	}
}

func (ring *Ring) complete(event clementinewind.Event) clementinewind.Event {
	if event.Instance == "" {
		event.Instance = ring.config.Instance
	}
	if event.Zone == "" {
		event.Zone = ring.config.Zone
	}
	event.Instance = clean(event.Instance, maxNameBytes)
	event.Zone = clean(event.Zone, maxNameBytes)
	event.Organisation = clean(event.Organisation, maxNameBytes)
	event.Upstream = clean(event.Upstream, maxNameBytes)
	event.RequestID = clean(event.RequestID, maxNameBytes)
	event.Detail = clean(event.Detail, maxDetailBytes)
	return event
}

// clean shortens a text and replaces control characters, so that an event stays on one log line.
func clean[T ~string](text T, limit int) T {
	cleaned := string(text)
	if len(cleaned) > limit {
		cleaned = cleaned[:limit]
	}
	return T(strings.Map(func(letter rune) rune {
		if unicode.IsControl(letter) {
			return ' '
		}
		return letter
	}, strings.ToValidUTF8(cleaned, "?")))
}

// add stamps and stores an event. Stamping under the lock keeps the ring in the order of the stamps.
func (ring *Ring) add(event *clementinewind.Event) {
	ring.mu.Lock()
	defer ring.mu.Unlock()
	event.Stamp = ring.config.Clock.Stamp()
	if event.Time.IsZero() {
		event.Time = ring.config.Clock.now()
	}
	// The wire format carries milliseconds; a finer time would make the ring and the wire differ.
	event.Time = event.Time.UTC().Truncate(time.Millisecond)
	if len(ring.events) < ring.config.Size {
		ring.events = append(ring.events, *event)
	} else {
		ring.events[ring.next] = *event
		ring.next = (ring.next + 1) % ring.config.Size
		ring.overwritten++
	}
	select {
	case ring.lines <- *event:
	default:
		ring.unlogged++
	}
}

// Events returns the selected events in the order of their stamps.
func (ring *Ring) Events(query Query) []clementinewind.Event {
	ring.mu.Lock()
	defer ring.mu.Unlock()
	var selected []clementinewind.Event
	// From the newest on, so that a limit ends the search early.
	for age := 1; age <= len(ring.events) && (query.Limit <= 0 || len(selected) < query.Limit); age++ {
		if event := ring.events[(ring.next+len(ring.events)-age)%len(ring.events)]; query.Matches(event) {
			selected = append(selected, event)
		}
	}
	slices.Reverse(selected)
	return selected
}

// Overwritten returns the number of events that were dropped to make room for newer ones.
func (ring *Ring) Overwritten() uint64 {
	ring.mu.Lock()
	defer ring.mu.Unlock()
	return ring.overwritten
}

// Run writes the log lines until the context ends, and then those that are left.
func (ring *Ring) Run(ctx context.Context) error {
	for {
		select {
		case event := <-ring.lines:
			ring.log(event)
		case <-ctx.Done():
			for {
				select {
				case event := <-ring.lines:
					ring.log(event)
				default:
					return nil
				}
			}
		}
	}
}

func (ring *Ring) log(event clementinewind.Event) {
	ring.mu.Lock()
	unlogged := ring.unlogged
	ring.unlogged = 0
	ring.mu.Unlock()
	if unlogged > 0 {
		ring.config.Logger.Warn("EventLinesLost", "Count", unlogged)
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
	ring.config.Logger.Log(levelOf(event.Kind), event.Kind.String(), fields...)
}

// levelOf returns the log level of a kind: a warning if operators may have to act.
func levelOf(kind clementinewind.EventKind) hclog.Level {
	switch kind {
	case clementinewind.EventSessionExpired, clementinewind.EventPeerSuspected, clementinewind.EventEjected,
		clementinewind.EventUnknownOutcome, clementinewind.EventLogLost, clementinewind.EventStale,
		clementinewind.EventSettingsRejected, clementinewind.EventOverload:
		return hclog.Warn
	default:
		return hclog.Info
	}
}
