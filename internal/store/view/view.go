// Package view turns the records of the platform's store into what the router acts on: the configuration in force, and the
// upstreams and zones on the board.
package view

import (
	"bytes"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/load/board"
	"github.com/clementinewind/clementinewind/internal/route/table"
	"github.com/clementinewind/clementinewind/internal/store/feed"
	"github.com/clementinewind/clementinewind/platform"
)

const (
	// returnTime is how long entries that lapsed while the store was away may take to come back; the platform says about
	// two seconds.
	returnTime = 2200 * time.Millisecond
	// outageMemory is how long after an outage of the store a deleted entry may be one that lapsed.
	outageMemory = 3 * time.Second
)

// Config configures a View.
type Config struct {
	Board  *board.Board
	Logger hclog.Logger
	// OnRemoved is called for each upstream that was removed; nil is not called.
	OnRemoved func(upstream clementinewind.Upstream)
}

// View is what a router believes of the platform. Its methods may be called by many goroutines.
type View struct {
	config Config
	table  atomic.Pointer[table.Table]

	mutex sync.Mutex
	// services of the known upstreams, and the upstreams that wait for their removal.
	known   map[clementinewind.Upstream]table.Entry
	lapsing map[clementinewind.Upstream]*time.Timer
	dropped int
}

// New returns a view that knows nothing.
func New(config Config) *View {
	return &View{config: config, known: map[clementinewind.Upstream]table.Entry{}, lapsing: map[clementinewind.Upstream]*time.Timer{}}
}

// Table returns the configuration in force, or nil before the first one.
func (view *View) Table() *table.Table { return view.table.Load() }

// UpstreamUnchanged reports whether two values of an upstream's key say the same but for their sequence.
func UpstreamUnchanged(older, newer []byte) bool {
	if bytes.Equal(older, newer) {
		return true
	}
	first, err := platform.DecodeUpstream("", older)
	if err != nil {
		return false
	}
	second, err := platform.DecodeUpstream("", newer)
	if err != nil {
		return false
	}
	// A cold upstream counts down, and a router that waits for a heartbeat after a failure needs to see one.
	if second.ColdLeft > 0 || first.ColdLeft > 0 {
		return false
	}
	first.Sequence = second.Sequence
	return first == second
}

// ApplyOperator applies records that operators wrote.
func (view *View) ApplyOperator(records []feed.Record, _ time.Time) {
	for _, record := range records {
		if zone, ok := platform.EvacuatedZone(record.Key); ok {
			view.config.Logger.Info("zone changed", "Zone", zone, "Out", !record.Deleted(), "Offset", record.Offset)
			view.config.Board.SetZoneOut(zone, !record.Deleted(), time.Now())
		}
		if platform.IsConfiguration(record.Key) && !record.Deleted() {
			view.configure(record)
		}
	}
}

func (view *View) configure(record feed.Record) {
	configuration, err := platform.DecodeConfiguration(record.Value)
	if err != nil {
		view.config.Logger.Error("configuration not readable, keeping the one in force", "Offset", record.Offset, "Error", err)
		return
	}
	if current := view.table.Load(); current != nil && configuration.Version <= current.Version() {
		view.config.Logger.Info("older configuration ignored", "Version", configuration.Version, "InForce", current.Version())
		return
	}
	current := table.New(configuration)
	view.config.Board.SetServices(current.Services())
	view.table.Store(current)
	view.config.Logger.Info("configuration in force", "Version", configuration.Version, "Offset", record.Offset,
		"Routes", len(configuration.Routes), "Organisations", len(configuration.Organisations))
}

// ApplyUpstreams applies records that upstreams wrote.
func (view *View) ApplyUpstreams(records []feed.Record, outageEnd time.Time) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	now := time.Now()
	lapsed := now.Sub(outageEnd) < outageMemory
	for _, record := range records {
		name := clementinewind.Upstream(record.Key)
		switch {
		case !record.Deleted():
			view.set(name, record, now)
		case lapsed:
			view.lapse(name)
		default:
			view.remove(name, "entry deleted")
		}
	}
}

func (view *View) set(name clementinewind.Upstream, record feed.Record, now time.Time) {
	entry, err := platform.DecodeUpstream(record.Key, record.Value)
	if err != nil {
		view.dropped++
		view.config.Logger.Warn("entry dropped", "Upstream", name, "Offset", record.Offset, "Dropped", view.dropped, "Error", err)
		return
	}
	if !view.config.Board.Set(entry, now) {
		view.config.Logger.Debug("older entry ignored", "Upstream", name, "Offset", record.Offset)
		return
	}
	if timer, ok := view.lapsing[name]; ok {
		timer.Stop()
		delete(view.lapsing, name)
	}
	old, known := view.known[name]
	view.known[name] = entry
	if !known || old.Leaving != entry.Leaving || old.Incarnation != entry.Incarnation || (old.ColdLeft > 0) != (entry.ColdLeft > 0) {
		view.config.Logger.Info("upstream changed", "Upstream", name, "Service", entry.Service, "Zone", entry.Zone,
			"Leaving", entry.Leaving, "ColdLeft", entry.ColdLeft, "Incarnation", entry.Incarnation, "Offset", record.Offset)
	}
}

// lapse removes an upstream later, unless its entry comes back.
func (view *View) lapse(name clementinewind.Upstream) {
	if _, known := view.known[name]; !known || view.lapsing[name] != nil {
		return
	}
	view.config.Logger.Info("upstream lapsed", "Upstream", name, "Wait", returnTime)
	var timer *time.Timer
	timer = time.AfterFunc(returnTime, func() {
		view.mutex.Lock()
		defer view.mutex.Unlock()
		if view.lapsing[name] == timer {
			delete(view.lapsing, name)
			view.remove(name, "entry did not come back")
		}
	})
	view.lapsing[name] = timer
}

func (view *View) remove(name clementinewind.Upstream, cause string) {
	if _, known := view.known[name]; !known {
		return
	}
	delete(view.known, name)
	view.config.Board.Remove(name)
	view.config.Logger.Info("upstream gone", "Upstream", name, "Cause", cause)
	if view.config.OnRemoved != nil {
		view.config.OnRemoved(name)
	}
}
