package poison

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/route/prompt"
)

const (
	// probeInterval is the time between two such requests. The result of a probe is known within it.
	probeInterval = 10 * time.Second
	// maxSuspects and maxAnswered limit the memory for suspected parts and for parts that were answered lately.
	maxSuspects = 512
	maxAnswered = 8192
	// maxCrashes limits the crashes that are kept of a part.
	maxCrashes = 32
)

// CrashID identifies one crash of an upstream in the whole fleet.
type CrashID uint64

// NewCrashID returns the identifier of the crash that ended an incarnation of an upstream.
func NewCrashID(upstream clementinewind.Upstream, incarnation int64) CrashID {
	return CrashID(xxhash.Sum64String(string(upstream) + "\x00" + strconv.FormatInt(incarnation, 10)))
}

// Suspicion says that a part of a prompt may have caused a crash.
type Suspicion struct {
	Crash CrashID
	// At is when the crash was noticed.
	At time.Time
	// Answering is set if the upstream had sent a response header to a request with the part. While such a request is known of a
	// crash, requests that still waited for their response header are not suspected of it.
	Answering bool
}

// Config configures a Registry.
type Config struct {
	// Owns reports whether this router is the one of the fleet that probes a part after its quarantine; nil means always.
	Owns func(part prompt.PartHash) bool
	// OnQuarantine is called in a goroutine of its own after a part was put into quarantine; it may be nil.
	OnQuarantine func()
	// Logger may be nil.
	Logger hclog.Logger
}

// Registry keeps the suspected parts. It is safe for concurrent use.
type Registry struct {
	config Config

	mutex    sync.Mutex
	suspects map[prompt.PartHash]*suspect
	// answering holds the crashes that interrupted a request whose response header had arrived.
	answering map[CrashID]bool
	answered  recentParts
	// unsettled is set while a part may be due for quarantine.
	unsettled   bool
	quarantined map[prompt.PartHash]*suspect
	sweptAt     time.Time
	// allowed are the parts for which an operator wants no request rejected.
	allowed map[prompt.PartHash]bool
}

// suspect is a part that is or was suspected.
type suspect struct {
	crashes map[CrashID]Suspicion
	// clearedAt is when an answer to a prompt with the part last got going, at any router.
	clearedAt time.Time
	// quarantinedUntil is the end of the quarantine, and probedAt when a request with the part was let pass after that.
	quarantinedUntil time.Time
	probedAt         time.Time
	// changedAt is when something was learnt of the part, sentAt when that was last told to other routers.
	changedAt, sentAt time.Time
}

// New returns a Registry that suspects no part.
func New(config Config) *Registry {
	if config.Owns == nil {
		config.Owns = func(prompt.PartHash) bool { return true }
	}
	if config.Logger == nil {
		config.Logger = hclog.NewNullLogger()
	}
	return &Registry{
		config: config, suspects: map[prompt.PartHash]*suspect{}, answering: map[CrashID]bool{},
		answered: newRecentParts(maxAnswered), quarantined: map[prompt.PartHash]*suspect{},
	}
}

// RecordCrash records that a crash interrupted a request with the given parts before its answer got going.
func (registry *Registry) RecordCrash(parts []prompt.PartHash, suspicion Suspicion, now time.Time) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	for _, part := range parts {
		known := registry.suspectLocked(part, now)
		if answeredAt := registry.answered.at(part); answeredAt.After(known.clearedAt) {
			known.clearedAt = answeredAt
		}
		registry.addLocked(known, suspicion, now)
	}
	registry.settleLocked(now)
}

// RecordAnswer records that the answer to a prompt with the given parts got going, which clears them.
func (registry *Registry) RecordAnswer(parts []prompt.PartHash, now time.Time) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	for _, part := range parts {
		registry.answered.add(part, now)
		if known, ok := registry.suspects[part]; ok {
			registry.clearLocked(part, known, now, now)
		}
	}
}

// Allow replaces the parts for which no request is rejected.
func (registry *Registry) Allow(parts []prompt.PartHash) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.allowed = make(map[prompt.PartHash]bool, len(parts))
	for _, part := range parts {
		registry.allowed[part] = true
	}
}

// Quarantine is why a request is rejected.
type Quarantine struct {
	Part    prompt.PartHash
	Crashes int
	// Left is the time until the part is probed.
	Left time.Duration
	// Probe is set if the quarantine is over and this request, which is not rejected, is to show whether it may end.
	Probe bool
}

// Check reports whether a request with the given parts must be rejected. After the quarantine of a part it lets single requests pass,
// as probes.
func (registry *Registry) Check(parts []prompt.PartHash, now time.Time) (Quarantine, bool) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.settleLocked(now)
	var probe Quarantine
	for _, part := range parts {
		known, ok := registry.quarantined[part]
		if !ok || registry.allowed[part] || registry.explainedLocked(part, known, parts) {
			continue
		}
		left := known.quarantinedUntil.Sub(now)
		if left <= 0 {
			if registry.config.Owns(part) && now.Sub(known.probedAt) >= probeInterval {
				known.probedAt = now
				registry.config.Logger.Warn("prompt part probed", "Part", part)
				probe = Quarantine{Part: part, Crashes: len(known.crashes), Probe: true}
				continue
			}
			left = probeInterval
		}
		return Quarantine{Part: part, Crashes: len(known.crashes), Left: left}, true
	}
	return probe, false
}

// Trusted reports whether an interrupted request with the given parts may be sent to another upstream: all parts were answered
// lately, and none is suspected of more than one crash.
func (registry *Registry) Trusted(parts []prompt.PartHash) bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return !slices.ContainsFunc(parts, func(part prompt.PartHash) bool {
		known, ok := registry.suspects[part]
		return registry.answered.at(part).IsZero() || (ok && len(registry.countedLocked(known)) > 1)
	})
}

// Counts returns the number of suspected parts and how many of them are in quarantine.
func (registry *Registry) Counts(now time.Time) (suspected, quarantined int) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.settleLocked(now)
	for _, known := range registry.suspects {
		if len(known.crashes) > 0 {
			suspected++
		}
	}
	return suspected, len(registry.quarantined)
}

func (registry *Registry) suspectLocked(part prompt.PartHash, now time.Time) *suspect {
	known, ok := registry.suspects[part]
	if !ok {
		if len(registry.suspects) >= maxSuspects {
			registry.evictLocked(now)
		}
		known = &suspect{crashes: map[CrashID]Suspicion{}}
		registry.suspects[part] = known
	}
	return known
}

// evictLocked makes room: it forgets the parts with the fewest crashes, of those the ones of which nothing was learnt for longest.
func (registry *Registry) evictLocked(now time.Time) {
	registry.expireLocked(now)
	excess := len(registry.suspects) - maxSuspects*3/4
	if excess <= 0 {
		return
	}
	parts := slices.SortedFunc(maps.Keys(registry.suspects), func(a, b prompt.PartHash) int {
		first, second := registry.suspects[a], registry.suspects[b]
		return cmp.Or(cmp.Compare(len(first.crashes), len(second.crashes)), first.changedAt.Compare(second.changedAt))
	})
	for _, part := range parts[:excess] {
		delete(registry.suspects, part)
		delete(registry.quarantined, part)
	}
}

// addLocked adds a suspicion, unless the part was cleared of it.
func (registry *Registry) addLocked(known *suspect, suspicion Suspicion, now time.Time) {
	if suspicion.Answering {
		registry.answering[suspicion.Crash] = true
	}
	previous, ok := known.crashes[suspicion.Crash]
	if !suspicion.At.After(known.clearedAt) || (ok && (previous.Answering || !suspicion.Answering)) {
		return
	}
	if !ok && len(known.crashes) >= maxCrashes {
		newest := slices.MaxFunc(slices.Collect(maps.Values(known.crashes)), func(a, b Suspicion) int { return a.At.Compare(b.At) })
		delete(known.crashes, newest.Crash)
	}
	if ok && previous.At.Before(suspicion.At) {
		suspicion.At = previous.At
	}
	known.crashes[suspicion.Crash] = suspicion
	known.changedAt = now
	registry.unsettled = true
}

// clearLocked drops the crashes up to the time of an answer, and ends the quarantine if none is left.
func (registry *Registry) clearLocked(part prompt.PartHash, known *suspect, answeredAt, now time.Time) {
	if !answeredAt.After(known.clearedAt) {
		return
	}
	before := len(known.crashes)
	known.clearedAt = answeredAt
	maps.DeleteFunc(known.crashes, func(_ CrashID, crash Suspicion) bool { return !crash.At.After(answeredAt) })
	if len(known.crashes) < before {
		known.changedAt = now
	}
	if _, ok := registry.quarantined[part]; ok && len(known.crashes) == 0 {
		delete(registry.quarantined, part)
		registry.config.Logger.Warn("prompt part cleared", "Part", part)
	}
}
