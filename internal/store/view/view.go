// Package view applies the records of the platform's store to the router: the configuration in force, and the upstreams
// and zones on the board.
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
	// reregistrationTimeout is how long an upstream whose entry expired during an outage of the store may take to
	// register again. The platform specifies about two seconds.
	reregistrationTimeout = 2200 * time.Millisecond
	// outageWindow is how long after an outage of the store a deleted entry may have expired although its upstream is
	// alive.
	outageWindow = 3 * time.Second
)

// Config configures a View.
type Config struct {
	Board  *board.Board
	Logger hclog.Logger
	// OnRemoved is called for each upstream that was removed; it may be nil.
	OnRemoved func(upstream clementinewind.Upstream)
}

// View is a router's view of the platform: its configuration and its upstreams. It is safe for concurrent use.
type View struct {
	config Config
	table  atomic.Pointer[table.Table]

	mutex sync.Mutex
	// entries holds the known upstreams. pendingRemovals holds a timer for each of them whose entry was deleted shortly
	// after an outage of the store; the timer removes the upstream unless it registers again before.
	entries         map[clementinewind.Upstream]table.Entry
	pendingRemovals map[clementinewind.Upstream]*time.Timer
	invalidEntries  int
}

// New returns a view without a configuration and without upstreams.
func New(config Config) *View {
	return &View{config: config, entries: map[clementinewind.Upstream]table.Entry{}, pendingRemovals: map[clementinewind.Upstream]*time.Timer{}}
}

// Table returns the configuration in force, or nil if there is none yet.
func (view *View) Table() *table.Table { return view.table.Load() }

// UpstreamUnchanged reports whether two values of an upstream's key differ at most in their sequence number. If one of
// them is of a cold upstream, any difference counts as a change.
func UpstreamUnchanged(older, newer []byte) bool {
	if bytes.Equal(older, newer) {
		return true
	}
	olderEntry, err := platform.DecodeUpstream("", older)
	if err != nil {
		return false
	}
	newerEntry, err := platform.DecodeUpstream("", newer)
	if err != nil {
		return false
	}
	// Heartbeats of a cold upstream always count: they carry the remaining cold time, and a router may be waiting for
	// one after a failure.
	if newerEntry.ColdLeft > 0 || olderEntry.ColdLeft > 0 {
		return false
	}
	olderEntry.Sequence = newerEntry.Sequence
	return olderEntry == newerEntry
}

// UpstreamNewer reports whether the second of two values of an upstream's key was written later than the first, by its incarnation and sequence number.
func UpstreamNewer(older, newer []byte) bool {
	olderEntry, err := platform.DecodeUpstream("", older)
	if err != nil {
		return false
	}
	newerEntry, err := platform.DecodeUpstream("", newer)
	return err == nil && !olderEntry.Replaces(newerEntry)
}

// ConfigurationNewer reports whether the second of two values of a key of the operators' topic is a configuration with a higher version than the first.
func ConfigurationNewer(older, newer []byte) bool {
	olderConfiguration, err := platform.DecodeConfiguration(older)
	if err != nil {
		return false
	}
	newerConfiguration, err := platform.DecodeConfiguration(newer)
	return err == nil && newerConfiguration.Version > olderConfiguration.Version
}

// ApplyOperator applies records of the operators' topic.
func (view *View) ApplyOperator(records []feed.Record, _ time.Time) {
	for _, record := range records {
		if zone, ok := platform.EvacuatedZone(record.Key); ok {
			view.config.Logger.Info("zone changed", "Zone", zone, "Out", !record.Deleted(), "Offset", record.Position)
			view.config.Board.SetZoneOut(zone, !record.Deleted(), time.Now())
		}
		if platform.IsConfiguration(record.Key) && !record.Deleted() {
			view.applyConfiguration(record)
		}
	}
}

func (view *View) applyConfiguration(record feed.Record) {
	configuration, err := platform.DecodeConfiguration(record.Value)
	if err != nil {
		view.config.Logger.Error("configuration not readable, keeping the one in force", "Offset", record.Position, "Error", err)
		return
	}
	if current := view.table.Load(); current != nil && configuration.Version <= current.Version() {
		view.config.Logger.Info("older configuration ignored", "Version", configuration.Version, "InForce", current.Version())
		return
	}
	updated := table.New(configuration)
	view.config.Board.SetServices(updated.Services())
	view.config.Board.SetThroughput(updated.Limits().TokensPerSecond)
	view.table.Store(updated)
	view.config.Logger.Info("configuration in force", "Version", configuration.Version, "Offset", record.Position,
		"Routes", len(configuration.Routes), "Organisations", len(configuration.Organisations))
}

// ApplyUpstreams applies records of the upstreams' topic. outageEnd is when the last outage of the store ended. An
// upstream whose entry was deleted shortly after it is removed only if it does not register again in time.
func (view *View) ApplyUpstreams(records []feed.Record, outageEnd time.Time) {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	now := time.Now()
	afterOutage := now.Sub(outageEnd) < outageWindow
	for _, record := range records {
		name := clementinewind.Upstream(record.Key)
		switch {
		case !record.Deleted():
			view.setUpstream(name, record, now)
		case afterOutage:
			view.scheduleRemoval(name)
		default:
			view.removeUpstream(name, "entry deleted")
		}
	}
}

func (view *View) setUpstream(name clementinewind.Upstream, record feed.Record, now time.Time) {
	entry, err := platform.DecodeUpstream(record.Key, record.Value)
	if err != nil {
		view.invalidEntries++
		view.config.Logger.Warn("invalid upstream entry ignored", "Upstream", name, "Offset", record.Position, "Dropped", view.invalidEntries, "Error", err)
		return
	}
	if !view.config.Board.Set(entry, now) {
		view.config.Logger.Debug("older upstream entry ignored", "Upstream", name, "Offset", record.Position)
		return
	}
	if timer, ok := view.pendingRemovals[name]; ok {
		timer.Stop()
		delete(view.pendingRemovals, name)
	}
	old, known := view.entries[name]
	view.entries[name] = entry
	if !known || old.Leaving != entry.Leaving || old.Incarnation != entry.Incarnation || (old.ColdLeft > 0) != (entry.ColdLeft > 0) {
		view.config.Logger.Info("upstream changed", "Upstream", name, "Service", entry.Service, "Zone", entry.Zone,
			"Leaving", entry.Leaving, "ColdLeft", entry.ColdLeft, "Incarnation", entry.Incarnation, "Offset", record.Position)
	}
}

// scheduleRemoval removes an upstream after reregistrationTimeout, unless it registers again.
func (view *View) scheduleRemoval(name clementinewind.Upstream) {
	if _, known := view.entries[name]; !known || view.pendingRemovals[name] != nil {
		return
	}
	view.config.Logger.Info("upstream entry deleted after a store outage, removal delayed", "Upstream", name, "Wait", reregistrationTimeout)
	var timer *time.Timer
	timer = time.AfterFunc(reregistrationTimeout, func() {
		view.mutex.Lock()
		defer view.mutex.Unlock()
		if view.pendingRemovals[name] == timer {
			delete(view.pendingRemovals, name)
			view.removeUpstream(name, "not registered again in time")
		}
	})
	view.pendingRemovals[name] = timer
}

func (view *View) removeUpstream(name clementinewind.Upstream, cause string) {
	if _, known := view.entries[name]; !known {
		return
	}
	delete(view.entries, name)
	view.config.Board.Remove(name, time.Now())
	view.config.Logger.Info("upstream gone", "Upstream", name, "Cause", cause)
	if view.config.OnRemoved != nil {
		view.config.OnRemoved(name)
	}
}
