// Package origin remembers which software version of a service began a stream. What two versions write does not fit together, so that a
// stream may go on only at the version that began it. A version that is not known is never guessed.
package origin

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementinewind/clementinewind/internal/route/table"
)

const (
	// memoryTime is how long a stream that has ended is remembered. Callers take up a stream again within their deadline.
	memoryTime = time.Minute
	// maxStreams bounds the remembered streams of other routers and of callers that are gone.
	maxStreams = 1 << 17
)

// Stream identifies a stream by a hash of the identifier of the request that began it.
type Stream uint64

// StreamOf returns the stream that the request with an identifier began.
func StreamOf(requestID string) Stream { return Stream(xxhash.Sum64String(requestID)) }

// Version is a software version of a service.
type Version struct {
	Service table.Service
	Name    string
}

// Group are streams that began at one version.
type Group struct {
	Version Version
	Streams []Stream
}

// Registry holds the versions at which streams may have begun, and the streams that this router knows. It is safe for concurrent use.
type Registry struct {
	// listed has the versions of which the store has a record, and whether streams may begin there. It is replaced at each change.
	listed atomic.Pointer[map[Version]bool]
	// assumed has versions at which streams may begin although the records were not read yet; nil once they were.
	assumed atomic.Pointer[map[Version]bool]

	mutex   sync.Mutex
	streams map[Stream]*stream
}

// stream is what is known of a stream.
type stream struct {
	version Version
	// ambiguous is set if the stream was reported at two versions, for example because two requests have the same identifier.
	ambiguous bool
	// own is set if this router forwarded events of the stream, open counts the answers that are still under way.
	own  bool
	open int
	// changedAt is when an answer last began or ended, or when the record of another router was read.
	changedAt time.Time
	// complete is set if a caller got the end of the stream.
	complete bool
	// storedAt is when the stream was last written to the store; zero if it was not.
	storedAt time.Time
}

// New returns a Registry that knows no versions and no streams.
func New() *Registry {
	registry := &Registry{streams: map[Stream]*stream{}}
	registry.listed.Store(&map[Version]bool{})
	return registry
}

// Assume replaces the versions at which streams may begin until the records of the store are read. A router that has started while the store does
// not answer would serve no streams otherwise. They tell nothing of streams that it does not know.
func (registry *Registry) Assume(versions map[Version]bool) { registry.assumed.Store(&versions) }

// SetListed replaces the versions of which the store has a record.
func (registry *Registry) SetListed(versions []Version) {
	listed := make(map[Version]bool, len(versions))
	for _, version := range versions {
		listed[version] = true
	}
	registry.listed.Store(&listed)
	registry.assumed.Store(nil)
}

// List records that the store has a record of a version.
func (registry *Registry) List(version Version) {
	registry.change(func(listed map[Version]bool) { listed[version] = true })
}

// Suspend keeps streams from beginning at a listed version until it is listed again.
func (registry *Registry) Suspend(version Version) {
	registry.change(func(listed map[Version]bool) {
		if _, ok := listed[version]; ok {
			listed[version] = false
		}
	})
}

// Remove records that the store no longer has a record of a version.
func (registry *Registry) Remove(version Version) {
	registry.change(func(listed map[Version]bool) { delete(listed, version) })
}

func (registry *Registry) change(apply func(listed map[Version]bool)) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	listed := maps.Clone(*registry.listed.Load())
	apply(listed)
	registry.listed.Store(&listed)
}

// MayBegin reports whether streams may begin at a version. The store must have a record of it: otherwise a router that knows one other version
// would take that for the origin of all streams.
func (registry *Registry) MayBegin(version Version) bool {
	if assumed := registry.assumed.Load(); assumed != nil && (*assumed)[version] {
		return true
	}
	return (*registry.listed.Load())[version]
}

// Versions returns the versions of which the store has a record.
func (registry *Registry) Versions() []Version {
	return slices.Collect(maps.Keys(*registry.listed.Load()))
}

// Only returns the version at which all streams of a service began, if the store has a record of one version only.
func (registry *Registry) Only(service table.Service) (string, bool) {
	versions := registry.versionsOf(service)
	if len(versions) != 1 {
		return "", false
	}
	return versions[0], true
}

// Several reports whether streams of a service may have begun at more than one version, so that they must be told apart.
func (registry *Registry) Several(service table.Service) bool {
	return len(registry.versionsOf(service)) > 1
}

// Divided reports whether there is a service with several versions.
func (registry *Registry) Divided() bool {
	for listed := range *registry.listed.Load() {
		if registry.Several(listed.Service) {
			return true
		}
	}
	return false
}

func (registry *Registry) versionsOf(service table.Service) []string {
	var versions []string
	for listed := range *registry.listed.Load() {
		if listed.Service == service {
			versions = append(versions, listed.Name)
		}
	}
	return versions
}

// Begin records that events of a stream at a version are about to be forwarded to a caller.
func (registry *Registry) Begin(id Stream, version Version, now time.Time) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	known := registry.knowLocked(id, version, now)
	known.own = true
	known.open++
	known.changedAt = now
}

// End records that an answer with events of a stream has ended, and whether the caller got the end of the stream.
func (registry *Registry) End(id Stream, complete bool, now time.Time) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if known, ok := registry.streams[id]; ok {
		known.open--
		known.complete = known.complete || complete
		known.changedAt = now
	}
}

// Merge records streams of other routers.
func (registry *Registry) Merge(groups []Group, now time.Time) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	for _, group := range groups {
		for _, id := range group.Streams {
			registry.knowLocked(id, group.Version, now).changedAt = now
		}
	}
}

func (registry *Registry) knowLocked(id Stream, version Version, now time.Time) *stream {
	known, ok := registry.streams[id]
	if !ok {
		if len(registry.streams) >= maxStreams {
			registry.forgetLocked(now)
		}
		known = &stream{version: version}
		registry.streams[id] = known
	}
	known.ambiguous = known.ambiguous || known.version != version
	return known
}

// forgetLocked makes room by forgetting the stream that changed first of some that are not under way.
func (registry *Registry) forgetLocked(now time.Time) {
	oldest, changedAt := Stream(0), now
	looked := 0
	for id, known := range registry.streams {
		if known.open == 0 && known.changedAt.Before(changedAt) {
			oldest, changedAt = id, known.changedAt
		}
		if looked++; looked >= 64 && changedAt.Before(now) {
			break
		}
	}
	delete(registry.streams, oldest)
}

// Origin returns the version at which a stream began. The second result is false if that is not known.
func (registry *Registry) Origin(id Stream) (Version, bool) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	known, ok := registry.streams[id]
	if !ok || known.ambiguous {
		return Version{}, false
	}
	return known.version, true
}

// Due returns the own streams that must be written to the store: those of services with several versions that were not written yet, and
// those that a caller may still take up and that were written before the given time. It also forgets streams that ended long ago.
func (registry *Registry) Due(writtenBefore, now time.Time) []Group {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	due := map[Version][]Stream{}
	several := map[table.Service]bool{}
	for id, known := range registry.streams {
		if known.open == 0 && now.Sub(known.changedAt) > memoryTime {
			delete(registry.streams, id)
			continue
		}
		if !known.own {
			continue
		}
		service := known.version.Service
		if _, ok := several[service]; !ok {
			several[service] = registry.Several(service)
		}
		again := !known.complete && (known.open > 0 || known.changedAt.After(writtenBefore)) && known.storedAt.Before(writtenBefore)
		if several[service] && (known.storedAt.IsZero() || again) {
			due[known.version] = append(due[known.version], id)
		}
	}
	groups := make([]Group, 0, len(due))
	for version, streams := range due {
		groups = append(groups, Group{Version: version, Streams: streams})
	}
	return groups
}

// SetStored records that streams were written to the store.
func (registry *Registry) SetStored(groups []Group, now time.Time) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	for _, group := range groups {
		for _, id := range group.Streams {
			if known, ok := registry.streams[id]; ok {
				known.storedAt = now
			}
		}
	}
}

// ForgetStored has all own streams written to the store again, because it may have lost them.
func (registry *Registry) ForgetStored() {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	for _, known := range registry.streams {
		known.storedAt = time.Time{}
	}
}

// Counts returns the number of versions and of streams that are known.
func (registry *Registry) Counts() (versions, streams int) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return len(*registry.listed.Load()), len(registry.streams)
}
