package feed

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

const (
	// initialRetryDelay is the first backoff delay. It keeps the reads of all routers of the largest fleet below the
	// store's rate limit.
	initialRetryDelay = 250 * time.Millisecond
	// maxRetryDelay caps the backoff, so that routers notice the end of an outage within the time limit for a new
	// configuration.
	maxRetryDelay = 600 * time.Millisecond
	// minOutageDuration is the shortest run of failed reads that counts as an outage. Entries of upstreams expire only
	// after several missed heartbeats, and other routers need this time to notice an outage too.
	minOutageDuration = time.Second
)

// errInterrupted cancels a long poll because another router has newer records.
var errInterrupted = errors.New("long poll interrupted, another router has newer records")

// PollOptions are the options of one read of a topic.
type PollOptions struct {
	// Source is where to read. If it is nil, the follower only waits for Interval.
	Source Source
	// Wait is how long the read waits for new records at the end of the topic, Interval the pause after the read.
	Wait     time.Duration
	Interval time.Duration
	// RetryDelay is the pause after a failed read; 0 uses an exponential backoff.
	RetryDelay time.Duration
}

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Topic  string
	Mirror *Mirror
	// NextPoll returns the options of the next read. It is called before each read, so that a failed source can be
	// replaced.
	NextPoll func() PollOptions
	// Apply receives the changes of each read and the end of the last outage of the source, which is zero if there was
	// none.
	Apply func(records []Record, outageEnd time.Time)
	// LastReachedByPeer returns when another router last reached the source; it may be nil. Failed reads do not count
	// as an outage if another router reached the source meanwhile.
	LastReachedByPeer func() time.Time
	// OnRead is called after each read that succeeded or failed, but not after a long poll that TriggerRead interrupted;
	// it may be nil. On success, idle is the part of the long poll in which the source had no new records: the mirror is
	// then up to date as of the start of the read plus idle. After a failure, idle is 0.
	OnRead func(idle time.Duration, err error)
	// OnEra is called with the new era after the store came back from a copy; it may be nil.
	OnEra  func(era int64)
	Logger hclog.Logger
}

// Follower keeps a mirror up to date by polling its topic.
type Follower struct {
	config  FollowerConfig
	trigger chan struct{}
	// healthy is set unless the last completed read failed.
	healthy bool
	// failingSince is the time of the first failed read of the current run, lastOutageEnd the end of the last outage.
	failingSince  time.Time
	lastOutageEnd time.Time
	// triggered is set for the read after TriggerRead. That read does not wait for records and cannot be interrupted,
	// because triggers that arrive faster than a read completes would otherwise keep it from ever completing.
	triggered bool
	// unreadable is set while the source neither has the records after the known ones nor says that its era has changed.
	unreadable bool
}

// NewFollower returns a follower of the topic. It reads while Run runs.
func NewFollower(config FollowerConfig) *Follower {
	return &Follower{config: config, trigger: make(chan struct{}, 1), healthy: true}
}

// TriggerRead ends the current pause or long poll and reads at once, because another router has newer records.
func (follower *Follower) TriggerRead() {
	select {
	case follower.trigger <- struct{}{}:
	default:
	}
}

// Run polls the topic until the context ends.
func (follower *Follower) Run(ctx context.Context) error {
	delay := initialRetryDelay
	for ctx.Err() == nil {
		options := follower.config.NextPoll()
		pause := options.Interval
		if changes := follower.config.Mirror.Settle(time.Now()); len(changes) > 0 {
			follower.config.Logger.Warn("records were not written again, following the store", "Topic", follower.config.Topic, "Records", len(changes))
			follower.config.Apply(changes, follower.lastOutageEnd)
		}
		if options.Source == nil {
			follower.sleep(ctx, pause)
			continue
		}
		if err := follower.read(ctx, options); err != nil && ctx.Err() == nil {
			follower.recordFailure(err)
			if pause = options.RetryDelay; pause == 0 {
				pause = delay
				delay = min(delay*2, maxRetryDelay)
			}
		} else {
			delay = initialRetryDelay
			if follower.unreadable {
				pause = max(pause, initialRetryDelay)
			}
		}
		follower.sleep(ctx, pause)
	}
	return ctx.Err()
}

func (follower *Follower) sleep(ctx context.Context, pause time.Duration) {
	if pause <= 0 || follower.triggered {
		return
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-follower.trigger:
		follower.triggered = true
	}
}

func (follower *Follower) read(ctx context.Context, options PollOptions) error {
	if follower.triggered {
		follower.triggered = false
		return follower.readFrom(ctx, options.Source, 0)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-done:
		case <-follower.trigger:
			cancel(errInterrupted)
		}
	}()
	err := follower.readFrom(ctx, options.Source, options.Wait)
	if errors.Is(context.Cause(ctx), errInterrupted) {
		follower.triggered = true
		return nil
	}
	return err
}

func (follower *Follower) readFrom(ctx context.Context, source Source, wait time.Duration) error {
	from, loaded := follower.config.Mirror.Next()
	if loaded {
		start := time.Now()
		batch, err := source.Read(ctx, follower.config.Topic, from, wait)
		if err == nil {
			idle := time.Duration(0)
			if len(batch.Records) == 0 {
				idle = min(wait, time.Since(start))
			}
			follower.unreadable = false
			follower.recordSuccess(idle)
			follower.config.Apply(follower.config.Mirror.Apply(batch), follower.lastOutageEnd)
			return nil
		}
		if !errors.Is(err, ErrTruncated) {
			return err
		}
		follower.config.Logger.Info("topic truncated, reading all records", "Topic", follower.config.Topic, "From", from)
	}
	batch, err := source.Newest(ctx, follower.config.Topic)
	if err != nil {
		return err
	}
	if loaded && batch.Next.Era() < from.Era() {
		return ErrEarlierEra
	}
	if follower.unreadable = loaded && batch.Next < from; follower.unreadable {
		follower.config.Logger.Warn("topic ends before the records that were read of it", "Topic", follower.config.Topic, "Read", from, "End", batch.Next)
	}
	follower.recordSuccess(0)
	changes := follower.config.Mirror.Replace(batch)
	if loaded && batch.Next.Era() > from.Era() {
		follower.beginEra(from, batch.Next)
	}
	follower.config.Apply(changes, follower.lastOutageEnd)
	return nil
}

// beginEra records that the store came back from a copy. Entries that are missing there are written again, as after an outage.
func (follower *Follower) beginEra(read, end Position) {
	follower.lastOutageEnd = time.Now()
	follower.config.Logger.Warn("store came back from a copy", "Topic", follower.config.Topic, "Era", end.Era(), "Read", read, "End", end)
	if follower.config.OnEra != nil {
		follower.config.OnEra(end.Era())
	}
}

func (follower *Follower) recordFailure(err error) {
	if follower.healthy {
		follower.failingSince = time.Now()
		follower.config.Logger.Warn("dependency lost", "Dependency", follower.config.Topic, "Error", err)
	}
	follower.healthy = false
	if follower.config.OnRead != nil {
		follower.config.OnRead(0, err)
	}
}

func (follower *Follower) recordSuccess(idle time.Duration) {
	if !follower.healthy {
		follower.recordOutage(time.Now())
		follower.config.Logger.Info("dependency regained", "Dependency", follower.config.Topic)
	}
	follower.healthy = true
	if follower.config.OnRead != nil {
		follower.config.OnRead(idle, nil)
	}
}

// recordOutage records an outage of the source, unless it was short or affected only this router.
func (follower *Follower) recordOutage(now time.Time) {
	if now.Sub(follower.failingSince) < minOutageDuration {
		return
	}
	if lastReachedByPeer := follower.config.LastReachedByPeer; lastReachedByPeer != nil && lastReachedByPeer().After(follower.failingSince.Add(minOutageDuration)) {
		return
	}
	follower.lastOutageEnd = now
}
