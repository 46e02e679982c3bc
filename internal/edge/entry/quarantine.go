package entry

import (
	"context"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/clementinewind/clementinewind/internal/fleet/gossip"
	"github.com/clementinewind/clementinewind/internal/load/poison"
	"github.com/clementinewind/clementinewind/internal/route/prompt"
	"github.com/clementinewind/clementinewind/internal/share/pause"
	"github.com/clementinewind/clementinewind/internal/wire/fleetv1"
	"github.com/clementinewind/clementinewind/platform"
)

const (
	// quarantineKeyPrefix precedes the hash of a prompt part in the keys of its records in platform.TopicInstances, so that a router
	// that discovers its peers reads them in the same call.
	quarantineKeyPrefix = "quarantine/"
	// quarantineInterval is the interval at which changed quarantines are written to the store.
	quarantineInterval = time.Second
)

// quarantineRecords keeps the prompt parts in quarantine in the store, because the routers of a fleet may all restart at once. The
// owner of a part writes it; others know what is stored from the time of their own start.
type quarantineRecords struct {
	router *Router

	mutex sync.Mutex
	// stored holds the parts of which the store has a record, as far as this router knows; false if it may have lost the record.
	stored map[prompt.PartHash]bool
}

// run writes changes until the context ends.
func (records *quarantineRecords) run(ctx context.Context) error {
	for {
		if err := pause.For(ctx, quarantineInterval); err != nil {
			return err
		}
		if err := records.write(ctx, time.Now()); err != nil {
			records.router.config.Logger.Warn("quarantine not stored, retrying", "Error", err)
		}
	}
}

// write adds the parts that are in quarantine and removes those that are no longer.
func (records *quarantineRecords) write(ctx context.Context, now time.Time) error {
	registry, store := records.router.poison, records.router.store
	records.mutex.Lock()
	defer records.mutex.Unlock()
	current := map[prompt.PartHash]bool{}
	for _, report := range registry.Quarantined(now) {
		current[report.Part] = true
		if records.stored[report.Part] || !records.router.ownsPart(report.Part) {
			continue
		}
		value, err := proto.Marshal(gossip.EncodeQuarantine(report, now))
		if err != nil {
			return err
		}
		if err := store.Append(ctx, platform.TopicInstances, quarantineKeyPrefix+report.Part.String(), value); err != nil {
			return err
		}
		records.stored[report.Part] = true
	}
	for part := range records.stored {
		if current[part] || !records.router.ownsPart(part) {
			continue
		}
		if err := store.Append(ctx, platform.TopicInstances, quarantineKeyPrefix+part.String(), nil); err != nil {
			return err
		}
		delete(records.stored, part)
	}
	return nil
}

// storeAgain has all parts that are in quarantine written again, because the store may have lost their records.
func (records *quarantineRecords) storeAgain() {
	records.mutex.Lock()
	defer records.mutex.Unlock()
	for part := range records.stored {
		records.stored[part] = false
	}
}

// load applies a record if it is that of a quarantine, and reports whether it is.
func (records *quarantineRecords) load(key string, value []byte, now time.Time) bool {
	if !strings.HasPrefix(key, quarantineKeyPrefix) {
		return false
	}
	var stored fleetv1.Quarantine
	if err := proto.Unmarshal(value, &stored); err != nil || stored.Suspect == nil {
		records.router.config.Logger.Warn("invalid quarantine record ignored", "Key", key, "Error", err)
		return true
	}
	report := gossip.DecodeQuarantine(&stored, now)
	records.mutex.Lock()
	defer records.mutex.Unlock()
	records.stored[report.Part] = true
	records.router.poison.Merge([]poison.Report{report}, now)
	return true
}

// ownsPart reports whether this router is the one that stores and probes a part.
func (router *Router) ownsPart(part prompt.PartHash) bool {
	return router.roster.Owns(part.String(), time.Now())
}
