package entry

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/clementinewind/clementinewind/internal/route/origin"
	"github.com/clementinewind/clementinewind/internal/route/table"
	"github.com/clementinewind/clementinewind/internal/share/pause"
	"github.com/clementinewind/clementinewind/internal/store/feed"
	"github.com/clementinewind/clementinewind/internal/wire/fleetv1"
	"github.com/clementinewind/clementinewind/platform"
)

const (
	// versionKeyPrefix precedes a hash of the service and the version in the keys of versions in platform.TopicInstances, so that a router
	// that discovers its peers reads them in the same call.
	versionKeyPrefix = "version/"
	// eraKey is the key of the record of the last era in which the records of versions are whole.
	eraKey = versionKeyPrefix + "era"
	// listInterval is how often a router looks for new versions and for those that have gone.
	listInterval = time.Second
	// retireAfter is how long a version must have been without upstreams before its record is deleted. No caller takes up a stream of it
	// after that. A router that sees the version again after confirmAfter writes the record again, so that the two cannot cross.
	retireAfter  = 10 * time.Minute
	confirmAfter = retireAfter / 2
	// takeUpTime is how long after its start a router lists no version beside one that is listed and in service. Until then all streams that
	// callers lost with the routers began at the listed one, if it is the only one.
	takeUpTime = 5 * time.Second
	// storeInterval is the shortest interval at which a router stores the origins of streams. All routers together store at most
	// maxStoresPerSecond times, which leaves room in a partition that takes 4 ms for each.
	storeInterval      = 500 * time.Millisecond
	maxStoresPerSecond = 200
	// maxReadsPerSecond limits the reads of all routers together, minReadInterval those of one.
	maxReadsPerSecond = 500
	minReadInterval   = 20 * time.Millisecond
	// originPollInterval is the interval between reads while a request waits for the origin of its stream.
	originPollInterval = 100 * time.Millisecond
	// The origin of a stream that goes on is stored again after restoreInterval, or after restoreFraction of the retention of the store. Older
	// records than trimAge are deleted: a router that has restarted reads all of them.
	restoreInterval = 10 * time.Second
	restoreFraction = 1.0 / 3
	trimAge         = 3 * restoreInterval
	// undividedInterval is the interval at which ended streams are forgotten while each service has one version.
	undividedInterval = 10 * time.Second
	// confirmTime is how long after a return of the store from a copy a router that ran before confirms that its records of versions are whole. All
	// routers notice the return within that time and write again what they know. A router that has started since confirms it after
	// takeUpLimit, when no caller takes up a stream from before.
	confirmTime = 2500 * time.Millisecond
	takeUpLimit = 30 * time.Second
	// maxStoredStreams limits the streams of one record, which is a quarter of the largest record then.
	maxStoredStreams = 8192
)

var (
	errOriginUnknown    = errors.New("which version began the stream is not known")
	errVersionsNotRead  = errors.New("the store does not tell which versions may have begun the stream")
	errStreamsNotRead   = errors.New("the store does not tell which version began the stream")
	errNothingToTakeUp  = errors.New("the request does not say which stream it takes up")
	errNoListedVersions = errors.New("the store has no version of the service")
	errVersionsLost     = errors.New("the store came back from a copy, and may have lost the version that began the stream")
)

// origins keeps in the store at which versions of a service streams may have begun, and at which one a stream began while there are several.
// Both outlast all routers. With one version nothing is stored of single streams.
//
// A stream may only begin at a version whose record the store has acknowledged. A router that takes up an unknown stream therefore knows from a
// later read whether it can have begun at several versions.
type origins struct {
	router   *Router
	registry *origin.Registry
	versions *sharedRead
	streams  *sharedRead
	// wanted and unstored receive when a version is to be listed, or a stream stored, without waiting for the interval.
	wanted, unstored chan struct{}
	// eraBegan is set until the versions were read in a new era of the store.
	eraBegan atomic.Bool

	mutex sync.Mutex
	// versionsNext is the position up to which the versions were read; loaded is set once they were.
	versionsNext feed.Position
	loaded       bool
	// keys has the versions by the keys of their records.
	keys map[string]origin.Version
	// confirmed is the last era of which the store has a record that its records of versions are whole. eraSince is when this router first read them
	// in the current era, ranBefore is set if it knew all of them in the one before, firstEra if it has read no other one.
	confirmed           int64
	eraSince            time.Time
	ranBefore, firstEra bool
	// lost are versions that this router knows and the store has lost.
	lost map[origin.Version]bool
	// seenAt is when a version last had an upstream, or was read first.
	seenAt map[origin.Version]time.Time
	// streamsNext is the position up to which the origins of streams were read.
	streamsNext feed.Position

	// lookedAt is when store last looked for streams to write, trimmedAt when it last deleted old records. appends are its records that are not as old.
	lookedAt, trimmedAt time.Time
	appends             []appendedRecord
}

// appendedRecord is when and where a record was written.
type appendedRecord struct {
	at       time.Time
	position feed.Position
}

func newOrigins(router *Router) *origins {
	created := &origins{
		router: router, registry: origin.New(), wanted: make(chan struct{}, 1), unstored: make(chan struct{}, 1),
		keys: map[string]origin.Version{}, lost: map[origin.Version]bool{}, seenAt: map[origin.Version]time.Time{},
	}
	created.versions = &sharedRead{read: created.readVersions, interval: created.readInterval}
	created.streams = &sharedRead{read: created.readStreams, interval: created.readInterval}
	return created
}

// readInterval keeps the reads of all routers together within their part of the limit of the store.
func (origins *origins) readInterval() time.Duration {
	return max(minReadInterval, time.Second*time.Duration(origins.router.roster.Count())/maxReadsPerSecond)
}

// storeInterval is the same for appends.
func (origins *origins) storeInterval() time.Duration {
	return max(storeInterval, time.Second*time.Duration(origins.router.roster.Count())/maxStoresPerSecond)
}

// MayBegin implements relay.Origins.
func (origins *origins) MayBegin(service table.Service, version string) bool {
	if origins.registry.MayBegin(origin.Version{Service: service, Name: version}) {
		return true
	}
	notify(origins.wanted)
	return false
}

// Begin implements relay.Origins.
func (origins *origins) Begin(service table.Service, version string, requestIDs ...string) (end func(complete bool)) {
	began := origin.Version{Service: service, Name: version}
	for _, id := range requestIDs {
		origins.registry.Begin(origin.StreamOf(id), began, time.Now())
	}
	return func(complete bool) {
		for _, id := range requestIDs {
			origins.registry.End(origin.StreamOf(id), complete, time.Now())
		}
		if !complete {
			// The caller may take it up at another router at once.
			notify(origins.unstored)
		}
	}
}

// Resolve implements relay.Origins.
func (origins *origins) Resolve(ctx context.Context, service table.Service, began string) (origin.Version, error) {
	id := origin.StreamOf(began)
	if version, ok := origins.registry.Origin(id); ok && began != "" {
		return version, nil
	}
	if err := origins.versions.Do(ctx); err != nil {
		return origin.Version{}, errVersionsNotRead
	}
	whole := origins.whole()
	if only, ok := origins.registry.Only(service); ok && whole {
		return origin.Version{Service: service, Name: only}, nil
	}
	if whole && !origins.registry.Several(service) {
		return origin.Version{}, errNoListedVersions
	}
	if began == "" {
		return origin.Version{}, errNothingToTakeUp
	}
	unknown := errOriginUnknown
	if !whole {
		unknown = errVersionsLost
	}
	for {
		if err := origins.streams.Do(ctx); err != nil {
			return origin.Version{}, errStreamsNotRead
		}
		if version, ok := origins.registry.Origin(id); ok {
			return version, nil
		}
		if pause.For(ctx, originPollInterval) != nil {
			return origin.Version{}, unknown
		}
	}
}

// list keeps the records of versions until the context ends.
func (origins *origins) list(ctx context.Context) error {
	for {
		if err := origins.listOnce(ctx); err != nil && ctx.Err() == nil {
			origins.router.config.Logger.Warn("versions not stored, retrying", "Error", err)
			if err := pause.For(ctx, registerRetryInterval); err != nil {
				return err
			}
			continue
		}
		timer := time.NewTimer(listInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-origins.wanted:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// listOnce writes records of versions that are in service and have none, and deletes those of versions that are gone.
func (origins *origins) listOnce(ctx context.Context) error {
	if origins.eraBegan.Swap(false) {
		if err := origins.versions.Do(ctx); err != nil {
			origins.eraBegan.Store(true)
			return err
		}
	}
	now := time.Now()
	missing := origins.missing(now)
	if len(missing) > 0 {
		// The routers of a large fleet all see a new version at once. Most of them find the record of another one.
		if err := origins.spreadWrites(ctx); err != nil {
			return err
		}
		if err := origins.versions.Do(ctx); err != nil {
			return err
		}
	}
	for _, version := range origins.missing(now) {
		value, err := proto.Marshal(&fleetv1.ServiceVersion{Service: string(version.Service), Version: version.Name})
		if err != nil {
			return err
		}
		if err := origins.router.store.Append(ctx, platform.TopicInstances, versionKey(version), value); err != nil {
			return err
		}
		origins.setListed(version)
		origins.router.config.Logger.Info("version listed", "Service", version.Service, "Version", version.Name)
		notify(origins.unstored)
	}
	if err := origins.confirm(ctx, now); err != nil {
		return err
	}
	return origins.retire(ctx, now)
}

// spreadWrites waits a part of the time that one write of each router takes.
func (origins *origins) spreadWrites(ctx context.Context) error {
	spread := time.Second * time.Duration(origins.router.roster.Count()) / maxStoresPerSecond
	return pause.For(ctx, time.Duration(rand.Float64()*float64(spread)))
}

func (origins *origins) setListed(version origin.Version) {
	origins.mutex.Lock()
	defer origins.mutex.Unlock()
	delete(origins.lost, version)
	origins.registry.List(version)
}

// storeAgain has the versions and streams that this router knows written again, because the store may have lost them.
func (origins *origins) storeAgain() {
	origins.eraBegan.Store(true)
	origins.registry.ForgetStored()
	notify(origins.wanted)
	notify(origins.unstored)
}

// whole reports whether the store has the records of all versions at which streams may have begun, as of the last read.
func (origins *origins) whole() bool {
	origins.mutex.Lock()
	defer origins.mutex.Unlock()
	return origins.wholeLocked()
}

func (origins *origins) wholeLocked() bool { return origins.confirmed >= origins.versionsNext.Era() }

// confirm writes the record that those of versions are whole in the current era, when all routers have had the time to write what they know.
func (origins *origins) confirm(ctx context.Context, now time.Time) error {
	origins.mutex.Lock()
	era, wait := origins.versionsNext.Era(), takeUpLimit
	switch {
	case origins.ranBefore:
		wait = confirmTime
	case origins.confirmed == 0 && origins.firstEra && origins.router.config.Settings.StoreNew:
		wait = 0
	}
	due := origins.loaded && !origins.wholeLocked() && len(origins.lost) == 0 && now.Sub(origins.eraSince) > wait
	origins.mutex.Unlock()
	if !due {
		return nil
	}
	value, err := proto.Marshal(&fleetv1.ServiceVersion{Version: strconv.FormatInt(era, 10)})
	if err != nil {
		return err
	}
	// Another router may have written it, or the store may have come back again.
	if err := origins.spreadWrites(ctx); err != nil {
		return err
	}
	if err := origins.versions.Do(ctx); err != nil || origins.whole() {
		return err
	}
	if err := origins.router.store.Append(ctx, platform.TopicInstances, eraKey, value); err != nil {
		return err
	}
	origins.router.config.Logger.Info("versions are listed again", "Era", era)
	return origins.versions.Do(ctx)
}

// missing returns the versions of resumable routes that are in service and not listed, and notes those that are in service.
func (origins *origins) missing(now time.Time) []origin.Version {
	current := origins.router.view.Table()
	if current == nil {
		return nil
	}
	origins.mutex.Lock()
	defer origins.mutex.Unlock()
	if !origins.loaded {
		origins.assumeLocked(current.ResumableServices())
	}
	missing := slices.Collect(maps.Keys(origins.lost))
	for _, service := range current.ResumableServices() {
		loads := origins.router.board.Versions(service)
		only, ok := origins.registry.Only(service)
		keepsOnly := ok && loads[only].Upstreams > 0 && now.Sub(origins.router.started) < takeUpTime && origins.wholeLocked()
		for name, load := range loads {
			version := origin.Version{Service: service, Name: name}
			if load.Upstreams == 0 || (keepsOnly && name != only) {
				continue
			}
			if seenAt, ok := origins.seenAt[version]; ok && now.Sub(seenAt) > confirmAfter {
				origins.registry.Suspend(version)
			}
			origins.seenAt[version] = now
			if !origins.lost[version] && (!origins.loaded || !origins.registry.MayBegin(version)) {
				missing = append(missing, version)
			}
		}
	}
	return missing
}

// assumeLocked lets streams begin at the only version of a service that is in service while this router, which has just started, cannot read the
// records. The other routers have listed that version, or do so when the store answers again.
func (origins *origins) assumeLocked(services []table.Service) {
	assumed := map[origin.Version]bool{}
	for _, service := range services {
		if loads := origins.router.board.Versions(service); len(loads) == 1 {
			for name := range loads {
				assumed[origin.Version{Service: service, Name: name}] = true
			}
		}
	}
	origins.registry.Assume(assumed)
}

// retire deletes the record of a version that has been without upstreams for long, if this router owns it.
func (origins *origins) retire(ctx context.Context, now time.Time) error {
	origins.mutex.Lock()
	var gone []origin.Version
	next := origins.versionsNext
	for _, version := range origins.registry.Versions() {
		if now.Sub(origins.seenAt[version]) > retireAfter && origins.router.roster.Owns(versionKey(version), now) {
			gone = append(gone, version)
		}
	}
	origins.mutex.Unlock()
	for _, version := range gone {
		if err := origins.versions.Do(ctx); err != nil {
			return err
		}
		err := origins.router.store.AppendAt(ctx, platform.TopicInstances, next, feed.Record{Key: versionKey(version)})
		if errors.Is(err, platform.ErrMoved) {
			// Another router may have seen the version again. The next interval tells.
			return nil
		}
		if err != nil {
			return err
		}
		origins.registry.Remove(version)
		origins.router.config.Logger.Info("version no longer listed", "Service", version.Service, "Version", version.Name)
	}
	return nil
}

// load applies a full read of platform.TopicInstances, unless the versions were read before.
func (origins *origins) load(batch feed.Batch) {
	origins.mutex.Lock()
	defer origins.mutex.Unlock()
	if !origins.loaded {
		origins.replaceLocked(batch)
	}
}

func (origins *origins) replaceLocked(batch feed.Batch) {
	var versions, before []origin.Version
	if origins.loaded && batch.Next.Era() > origins.versionsNext.Era() {
		before = origins.registry.Versions()
		origins.eraSince, origins.ranBefore, origins.firstEra = time.Now(), origins.wholeLocked(), false
	} else if !origins.loaded {
		origins.eraSince, origins.firstEra = time.Now(), true
	}
	origins.keys = map[string]origin.Version{}
	for _, record := range batch.Records {
		if version, ok := origins.decodeLocked(record); ok {
			versions = append(versions, version)
		}
	}
	origins.registry.SetListed(versions)
	clear(origins.lost)
	for _, version := range before {
		if !slices.Contains(versions, version) {
			origins.lost[version] = true
			origins.registry.List(version)
			origins.registry.Suspend(version)
		}
	}
	origins.versionsNext, origins.loaded = batch.Next, true
}

// decodeLocked returns the version in a record of platform.TopicInstances, if it has one, and notes the era that is confirmed.
func (origins *origins) decodeLocked(record feed.Record) (origin.Version, bool) {
	if !strings.HasPrefix(record.Key, versionKeyPrefix) || record.Deleted() {
		return origin.Version{}, false
	}
	var stored fleetv1.ServiceVersion
	if record.Key == eraKey {
		if err := proto.Unmarshal(record.Value, &stored); err == nil {
			era, _ := strconv.ParseInt(stored.Version, 10, 64)
			origins.confirmed = max(origins.confirmed, era)
		}
		return origin.Version{}, false
	}
	if err := proto.Unmarshal(record.Value, &stored); err != nil || stored.Service == "" {
		origins.router.config.Logger.Warn("invalid version record ignored", "Key", record.Key, "Error", err)
		return origin.Version{}, false
	}
	version := origin.Version{Service: table.Service(stored.Service), Name: stored.Version}
	origins.keys[record.Key], origins.seenAt[version] = version, time.Now()
	return version, true
}

func (origins *origins) applyLocked(record feed.Record) {
	if version, ok := origins.decodeLocked(record); ok {
		origins.registry.List(version)
		return
	}
	if version, known := origins.keys[record.Key]; known && record.Deleted() {
		origins.registry.Remove(version)
		delete(origins.keys, record.Key)
	}
}

// readVersions reads the records of versions that were written since the last read.
func (origins *origins) readVersions(ctx context.Context) error {
	origins.mutex.Lock()
	defer origins.mutex.Unlock()
	store := origins.router.store
	if origins.loaded {
		batch, err := store.Read(ctx, platform.TopicInstances, origins.versionsNext, 0)
		if err == nil {
			for _, record := range batch.Records {
				origins.applyLocked(record)
			}
			origins.versionsNext = batch.Next
			return nil
		}
		if !errors.Is(err, feed.ErrTruncated) {
			return err
		}
	}
	batch, err := store.Newest(ctx, platform.TopicInstances)
	if err != nil {
		return err
	}
	origins.replaceLocked(batch)
	return nil
}

// store stores the origins of own streams until the context ends.
func (origins *origins) store(ctx context.Context) error {
	for {
		interval := origins.storeInterval()
		if err := pause.For(ctx, interval/2+time.Duration(rand.Float64()*float64(interval)/2)); err != nil {
			return err
		}
		timer := time.NewTimer(interval / 2)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-origins.unstored:
			timer.Stop()
		case <-timer.C:
		}
		if err := origins.storeOnce(ctx, time.Now()); err != nil && ctx.Err() == nil {
			origins.router.config.Logger.Warn("origins of streams not stored, retrying", "Error", err)
		}
	}
}

func (origins *origins) storeOnce(ctx context.Context, now time.Time) error {
	if !origins.registry.Divided() && now.Sub(origins.lookedAt) < undividedInterval {
		return nil
	}
	origins.lookedAt = now
	restoreAfter := min(restoreInterval, time.Duration(restoreFraction*float64(origins.router.settings.Load().StoreRetention)))
	for groups := range slices.Chunk(origins.registry.Due(now.Add(-restoreAfter), now), maxGroups) {
		encoded := &fleetv1.StreamOrigins{}
		for i, group := range groups {
			groups[i].Streams = group.Streams[:min(len(group.Streams), maxStoredStreams/len(groups))]
			streams := make([]uint64, len(groups[i].Streams))
			for j, id := range groups[i].Streams {
				streams[j] = uint64(id)
			}
			encoded.Groups = append(encoded.Groups, &fleetv1.StreamGroup{
				Service: string(group.Version.Service), Version: group.Version.Name, Streams: streams,
			})
		}
		value, err := proto.Marshal(encoded)
		if err != nil {
			return err
		}
		position, err := origins.router.store.AppendRecord(ctx, platform.TopicStreams, feed.Record{
			Key: string(origins.router.roster.Self().Instance), Value: value,
		})
		if err != nil {
			return err
		}
		origins.registry.SetStored(groups, now)
		origins.appends = append(origins.appends, appendedRecord{at: now, position: position})
	}
	return origins.trim(ctx, now)
}

// trim deletes old records, if this router is the one that does.
func (origins *origins) trim(ctx context.Context, now time.Time) error {
	old := 0
	for old < len(origins.appends) && now.Sub(origins.appends[old].at) > trimAge {
		old++
	}
	if old == 0 || now.Sub(origins.trimmedAt) < restoreInterval {
		return nil
	}
	before := origins.appends[old-1].position
	origins.appends = slices.Delete(origins.appends, 0, old)
	if !origins.router.roster.Owns(platform.TopicStreams, now) {
		return nil
	}
	origins.trimmedAt = now
	return origins.router.store.Trim(ctx, platform.TopicStreams, before)
}

// maxGroups limits the versions in one record.
const maxGroups = 16

// readStreams reads the origins of streams that were written since the last read.
func (origins *origins) readStreams(ctx context.Context) error {
	batch, err := origins.router.store.ReadToEnd(ctx, platform.TopicStreams, origins.streamsNext)
	if err != nil {
		return err
	}
	now := time.Now()
	for _, record := range batch.Records {
		var stored fleetv1.StreamOrigins
		if err := proto.Unmarshal(record.Value, &stored); err != nil {
			origins.router.config.Logger.Warn("invalid origins of streams ignored", "Offset", record.Position, "Error", err)
			continue
		}
		origins.registry.Merge(decodeGroups(&stored), now)
	}
	origins.streamsNext = batch.Next
	return nil
}

func decodeGroups(stored *fleetv1.StreamOrigins) []origin.Group {
	groups := make([]origin.Group, 0, len(stored.Groups))
	for _, encoded := range stored.Groups {
		group := origin.Group{Version: origin.Version{Service: table.Service(encoded.Service), Name: encoded.Version}}
		for _, id := range encoded.Streams {
			group.Streams = append(group.Streams, origin.Stream(id))
		}
		groups = append(groups, group)
	}
	return groups
}

func versionKey(version origin.Version) string {
	return fmt.Sprintf("%s%016x", versionKeyPrefix, xxhash.Sum64String(string(version.Service)+"\x00"+version.Name))
}
