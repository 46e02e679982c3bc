package claim

import (
	"context"
	"sync"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/store/plog"
	"github.com/clementinewind/clementinewind/internal/wire/recordv1"
)

const (
	// DefaultLifetime is the age at which a key expires. The log must retain its records for twice as long.
	DefaultLifetime = 24 * time.Hour
	// DefaultMaxSkew bounds how far the clock of a caller may be ahead.
	DefaultMaxSkew = time.Minute
	// DefaultMaxAnswerBytes is the largest body of an answer that is stored.
	DefaultMaxAnswerBytes = 64 << 10
	// DefaultCacheBytes bounds the answers that an index caches in memory. Evicted ones are read from the log.
	DefaultCacheBytes = 16 << 20
	// DefaultMaxReadAge is the age of the last successful read above which new keys are refused at once. It is also how
	// long a claim waits for the replay.
	DefaultMaxReadAge = 5 * time.Second

	// maxConcurrentReleases bounds the releases of abandoned claims that wait for the log at the same time.
	maxConcurrentReleases = 64
	// keepalivesPerLifetime is the number of records that an idle stream gets during the lifetime of a key.
	keepalivesPerLifetime = 24
	// forgetInterval is the minimum time between two searches for abandoned claims that can be forgotten.
	forgetInterval = time.Minute
	// logReadTimeout bounds a read of the bounds of the stream, or of an answer that is not cached.
	logReadTimeout = 2 * time.Second
)

var (
	// ErrNotReplayed is returned until an index has read all claims of its stream. The key may have been claimed
	// before.
	ErrNotReplayed = errors.New("claims stream not replayed yet")
	// ErrStopped is returned after Run has returned.
	ErrStopped = errors.New("claim index stopped")
	// ErrIDReused is returned for a claim id that was used before. Each call of Claim needs a new one.
	ErrIDReused = errors.New("claim id used before")
)

// Config configures an Index. Zero values select the defaults.
type Config struct {
	Log clementinewind.Log
	// Stream is the number of the claims stream.
	Stream int
	// NewWriter returns the writer of the stream, which the index runs. It is called once. If it is nil, the writer has
	// the defaults of plog.
	NewWriter func(stream string) *plog.Writer
	// Session returns the session of this router, which is recorded with its claims. If it is nil, NoSession is
	// recorded.
	Session func() clementinewind.Session
	// Lifetime and MaxSkew must be the same on all routers.
	Lifetime       time.Duration
	MaxSkew        time.Duration
	MaxAnswerBytes int
	CacheBytes     int
	MaxReadAge     time.Duration
	// Wait is how long one read waits at the tail, at most half of MaxReadAge. Backoff is the delay after failed reads.
	Wait    time.Duration
	Backoff plog.Backoff
}

// Index decides claims on one stream by log order alone, so several indexes may serve the same stream.
type Index struct {
	config       Config
	stream       string
	writer       *plog.Writer
	releaseReady chan struct{}
	// replayed is closed when the index has reached the tail for the first time.
	replayed     chan struct{}
	replayedOnce sync.Once
	// stopped is closed when Run returns.
	stopped chan struct{}

	mu      sync.Mutex
	table   *table
	waiters map[ID]*waiter
	// releases are claims that won after their callers had given up.
	releases     []*recordv1.Release
	lastReadAt   time.Time
	lastForgetAt time.Time
	// lastRecordAt is the local time at which a record was last read.
	lastRecordAt time.Time
}

// waiter is a call of Claim whose record has not been read yet.
type waiter struct {
	done     chan struct{}
	decision Decision
	decided  bool
	// abandonedAt is set if the call has failed although its record may still win.
	abandonedAt time.Time
}

// New returns an index. While Run runs, it replays its stream and decides claims.
func New(config Config) *Index {
	if config.NewWriter == nil {
		config.NewWriter = func(stream string) *plog.Writer {
			return plog.NewWriter(plog.WriterConfig{Log: config.Log, Stream: stream})
		}
	}
	if config.Session == nil {
		config.Session = func() clementinewind.Session { return clementinewind.NoSession }
	}
	if config.Lifetime <= 0 {
		config.Lifetime = DefaultLifetime
	}
	if config.MaxSkew <= 0 {
		config.MaxSkew = DefaultMaxSkew
	}
	if config.MaxAnswerBytes <= 0 {
		config.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	if config.CacheBytes <= 0 {
		config.CacheBytes = DefaultCacheBytes
	}
	if config.MaxReadAge <= 0 {
		config.MaxReadAge = DefaultMaxReadAge
	}
	if config.Wait <= 0 {
		config.Wait = plog.DefaultReadWait
	}
	// A read that waits at the tail must not count as an outage.
	config.Wait = min(config.Wait, config.MaxReadAge/2)
	stream := StreamName(config.Stream)
	return &Index{
		config:       config,
		stream:       stream,
		writer:       config.NewWriter(stream),
		releaseReady: make(chan struct{}, 1),
		replayed:     make(chan struct{}),
		stopped:      make(chan struct{}),
		table:        newTable(config),
		waiters:      map[ID]*waiter{},
	}
}

// Len returns the number of keys in memory.
func (index *Index) Len() int {
	index.mu.Lock()
	defer index.mu.Unlock()
	return len(index.table.entries)
}

// Run replays the stream, follows it and appends claims until ctx ends.
func (index *Index) Run(ctx context.Context) error {
	defer close(index.stopped)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group run.Group
	for _, actor := range []func(context.Context) error{index.writer.Run, index.follow, index.releaseAbandoned, index.sendKeepalives} {
		group.Add(func() error { return actor(ctx) }, func(error) { cancel() })
	}
	return group.Run()
}

// Claim decides a key. Only StateWon permits the caller to run the request, once, and only the call that returned it.
// After an error this call does not hold the key: if its record still wins, the index releases it. The error matches
// ErrNotReplayed if the key may have been claimed before, and clementinewind.ErrLogUnavailable if the log is down and
// the key is not known. Each call needs a new id.
func (index *Index) Claim(ctx context.Context, key Key, digest Digest, id ID, issued time.Time) (Decision, error) {
	if decision, decided := index.lookup(ctx, key, digest, issued); decided {
		return decision, nil
	}
	if err := index.available(ctx); err != nil {
		return Decision{}, err
	}
	if decision, decided := index.lookup(ctx, key, digest, issued); decided {
		return decision, nil
	}
	payload, err := proto.Marshal(&recordv1.ClaimRecord{Body: &recordv1.ClaimRecord_Claim{Claim: &recordv1.Claim{
		Key: key[:], Digest: digest[:], ClaimId: id[:],
		KeyIssuedMillis: issued.UnixMilli(), Session: int64(index.config.Session()),
	}}})
	if err != nil {
		return Decision{}, errors.Wrap(err, "encode claim")
	}
	waiter, err := index.register(id)
	if err != nil {
		return Decision{}, err
	}
	// The claim is decided when follow reads its record, not by the offset that Append returns.
	if _, err = index.writer.Append(ctx, payload); err == nil {
		select {
		case <-waiter.done:
		case <-ctx.Done():
			err = ctx.Err()
		case <-index.stopped:
			err = ErrStopped
		}
	}
	decision, decided := index.unregister(id, waiter, err)
	if !decided {
		return Decision{}, errors.Wrapf(err, "claim %v", id)
	}
	return decision, nil
}

// Settle completes a won claim with the answer of its request. The body of an answer above Config.MaxAnswerBytes is not
// stored. After an error, which is that of plog.Writer.Append, Settle may be called again.
func (index *Index) Settle(ctx context.Context, key Key, id ID, answer Answer) error {
	done := &recordv1.Done{
		Key: key[:], ClaimId: id[:], Status: int32(answer.Status), Body: answer.Body, RequestId: answer.RequestID,
		TooLarge: answer.BodyOmitted,
	}
	if len(answer.Body) > index.config.MaxAnswerBytes {
		done.Body, done.TooLarge = nil, true
	}
	return index.append(ctx, &recordv1.ClaimRecord{Body: &recordv1.ClaimRecord_Done{Done: done}})
}

// Release gives up a claim whose request has not been sent and never will be, so that the key may be claimed again. It
// has no effect on claims with other ids.
func (index *Index) Release(ctx context.Context, key Key, id ID) error {
	return index.append(ctx, &recordv1.ClaimRecord{Body: &recordv1.ClaimRecord_Release{
		Release: &recordv1.Release{Key: key[:], ClaimId: id[:]},
	}})
}

func (index *Index) append(ctx context.Context, record *recordv1.ClaimRecord) error {
	payload, err := proto.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encode claim record")
	}
	_, err = index.writer.Append(ctx, payload)
	return err
}

// lookup returns a decision that needs no new record. An answer that is not cached is read from the log.
func (index *Index) lookup(ctx context.Context, key Key, digest Digest, issued time.Time) (Decision, bool) {
	index.mu.Lock()
	decision, stored, decided := index.table.decide(key, digest, issued.UnixMilli(), time.Now().UnixMilli())
	index.mu.Unlock()
	if decision.State != StateDone || !decision.Answer.BodyOmitted || stored.tooLarge {
		return decision, decided
	}
	ctx, cancel := context.WithTimeout(ctx, logReadTimeout)
	defer cancel()
	batch, err := index.config.Log.Read(ctx, clementinewind.LogQuery{Stream: index.stream, From: stored.offset, Limit: 1})
	if err != nil || len(batch.Records) == 0 {
		return decision, true
	}
	if done := decode(batch.Records[0].Payload).GetDone(); done != nil && Key(done.Key) == key && ID(done.ClaimId) == decision.Holder {
		decision.Answer.Body, decision.Answer.BodyOmitted = done.Body, false
	}
	return decision, true
}

// available returns nil if a claim can be appended and read back. A new key is refused at once while the log is known
// to be down, because refusals must not be delayed.
func (index *Index) available(ctx context.Context) error {
	waitCtx, cancel := context.WithTimeout(ctx, index.config.MaxReadAge)
	defer cancel()
	select {
	case <-index.replayed:
	case <-waitCtx.Done():
		return errors.Wrapf(ErrNotReplayed, "stream %s: %v", index.stream, waitCtx.Err())
	case <-index.stopped:
		return ErrStopped
	}
	index.mu.Lock()
	defer index.mu.Unlock()
	if age := time.Since(index.lastReadAt); age > index.config.MaxReadAge {
		return errors.Wrapf(clementinewind.ErrLogUnavailable, "stream %s last read %v ago", index.stream, age)
	}
	return nil
}

func (index *Index) register(id ID) (*waiter, error) {
	index.mu.Lock()
	defer index.mu.Unlock()
	if _, used := index.waiters[id]; used {
		return nil, errors.Wrapf(ErrIDReused, "%v", id)
	}
	waiter := &waiter{done: make(chan struct{})}
	index.waiters[id] = waiter
	return waiter, nil
}

// unregister ends a call of Claim whose append returned err. It returns the decision if follow has made one. Otherwise
// the waiter stays registered as abandoned as long as its record may still win.
func (index *Index) unregister(id ID, waiter *waiter, err error) (Decision, bool) {
	index.mu.Lock()
	defer index.mu.Unlock()
	var appendError *plog.AppendError
	if !waiter.decided && !(errors.As(err, &appendError) && !appendError.MayHaveTakenEffect) {
		waiter.abandonedAt = time.Now()
		return Decision{}, false
	}
	delete(index.waiters, id)
	return waiter.decision, waiter.decided
}

// follow replays the stream and follows it. After a truncation it starts again at the oldest record.
func (index *Index) follow(ctx context.Context) error {
	for attempt := 0; ; {
		oldest, tail, err := index.bounds(ctx)
		if err != nil {
			if err := index.config.Backoff.Wait(ctx, attempt); err != nil {
				return err
			}
			attempt++
			continue
		}
		attempt = 0
		index.reset(oldest, tail)
		err = plog.NewReader(plog.ReaderConfig{
			Log: index.config.Log, Stream: index.stream, From: oldest, Wait: index.config.Wait,
			Backoff: index.config.Backoff, Handle: index.apply, OnFreshness: index.onFreshness,
		}).Run(ctx)
		if !errors.Is(err, clementinewind.ErrTruncated) {
			return err
		}
	}
}

func (index *Index) bounds(ctx context.Context) (oldest, tail clementinewind.Offset, err error) {
	ctx, cancel := context.WithTimeout(ctx, logReadTimeout)
	defer cancel()
	return plog.Bounds(ctx, index.config.Log, index.stream)
}

func (index *Index) reset(oldest, tail clementinewind.Offset) {
	index.mu.Lock()
	defer index.mu.Unlock()
	index.table = newTable(index.config)
	switch {
	case oldest == 0:
	case oldest == tail:
		// The age of the truncated records is unknown.
		index.table.recordTruncation(time.Now().UnixMilli())
	default:
		index.table.truncationPending = true
	}
}

func (index *Index) onFreshness(freshness plog.Freshness) {
	index.mu.Lock()
	index.lastReadAt = freshness.Sent
	index.mu.Unlock()
	if freshness.AtTail() {
		index.replayedOnce.Do(func() { close(index.replayed) })
	}
}

// apply applies a batch of the stream and decides the claims of this index in it.
func (index *Index) apply(_ context.Context, batch clementinewind.LogBatch) error {
	index.mu.Lock()
	defer index.mu.Unlock()
	for i, record := range batch.Records {
		claim, decision := index.table.apply(record, batch.First+clementinewind.Offset(i))
		if claim == nil || record.Writer != index.writer.ID() {
			continue
		}
		id := ID(claim.ClaimId)
		waiter, registered := index.waiters[id]
		switch {
		case !registered || waiter.decided:
			// A decided waiter can occur again because its record is read again after a truncation.
		case waiter.abandonedAt.IsZero():
			waiter.decision, waiter.decided = decision, true
			close(waiter.done)
		default:
			delete(index.waiters, id)
			if decision.State == StateWon {
				index.releases = append(index.releases, &recordv1.Release{Key: claim.Key, ClaimId: claim.ClaimId})
				index.notifyRelease()
			}
		}
	}
	index.lastRecordAt = time.Now()
	index.forgetAbandoned()
	return nil
}

// forgetAbandoned drops waiters whose records can no longer win, because a record is never retried for as long as
// readers remember its writer.
func (index *Index) forgetAbandoned() {
	if time.Since(index.lastForgetAt) < forgetInterval {
		return
	}
	index.lastForgetAt = time.Now()
	for id, waiter := range index.waiters {
		if !waiter.abandonedAt.IsZero() && time.Since(waiter.abandonedAt) > plog.DefaultDedupWindow {
			delete(index.waiters, id)
		}
	}
}

func (index *Index) notifyRelease() {
	select {
	case index.releaseReady <- struct{}{}:
	default:
	}
}

// sendKeepalives appends an empty record to a stream that has been idle, so that the oldest retained record dates the
// truncated ones. Otherwise a restart after a long idle time would refuse recent keys as expired.
func (index *Index) sendKeepalives(ctx context.Context) error {
	interval := index.config.Lifetime / keepalivesPerLifetime
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		index.mu.Lock()
		idle := time.Since(index.lastRecordAt)
		index.mu.Unlock()
		if idle < interval {
			continue
		}
		// A failed keepalive is made up for by the next one.
		appendCtx, cancel := context.WithTimeout(ctx, interval/2)
		index.append(appendCtx, &recordv1.ClaimRecord{})
		cancel()
	}
}

// releaseAbandoned appends the releases of claims that won after their callers had given up. Otherwise their keys would
// stay unfinished until they expire.
func (index *Index) releaseAbandoned(ctx context.Context) error {
	for {
		select {
		case <-index.releaseReady:
		case <-ctx.Done():
			return ctx.Err()
		}
		index.mu.Lock()
		releases := index.releases
		index.releases = nil
		index.mu.Unlock()
		var group errgroup.Group
		group.SetLimit(maxConcurrentReleases)
		for _, release := range releases {
			group.Go(func() error {
				return index.append(ctx, &recordv1.ClaimRecord{Body: &recordv1.ClaimRecord_Release{Release: release}})
			})
		}
		// A release fails only after the retry limit of the writer, or when Run ends. The key then stays unfinished
		// until it expires, which is safe.
		group.Wait()
	}
}
