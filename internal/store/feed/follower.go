package feed

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

const (
	// retryDelay is the pause after a failed read. At the largest fleet the reads of all routers stay below the rate
	// limit of the store.
	retryDelay = 250 * time.Millisecond
	// maxRetryDelay bounds the pauses, so that the end of an outage is seen within the time for a new configuration.
	maxRetryDelay = 600 * time.Millisecond
	// outageTime is the shortest series of failed reads that counts as an outage: entries of upstreams lapse after several
	// heartbeats only, and another router needs this time to notice an outage too.
	outageTime = time.Second
)

// errNudged ends a read for which a better source is known.
var errNudged = errors.New("a newer record is known elsewhere")

// PollOptions is how a topic is read.
type PollOptions struct {
	// Source is where to read; nil reads nothing yet.
	Source Source
	// Wait is how long the read waits for new records, Interval the pause after it.
	Wait     time.Duration
	Interval time.Duration
	// RetryDelay is the pause after a failed read; 0 takes one that grows with each failure.
	RetryDelay time.Duration
}

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Topic  string
	Mirror *Mirror
	// NextPoll returns how to read next. It is asked before each read, so that a source that is gone is replaced.
	NextPoll func() PollOptions
	// Apply gets the changes of each read, and when the last outage of the source ended; it is zero before the first one.
	Apply func(records []Record, outageEnd time.Time)
	// LastReachedByPeer returns when another router last reached the source; nil knows of none. Failed reads during which
	// another router reached the source are no outage of the source.
	LastReachedByPeer func() time.Time
	// OnRead is told whether the last read succeeded, and for how much of its wait the source had no records: what was read is as new
	// as that, counted from the beginning of the read. Nil is not called.
	OnRead func(held time.Duration, err error)
	Logger hclog.Logger
}

// Follower keeps a mirror up to date.
type Follower struct {
	config  FollowerConfig
	nudge   chan struct{}
	healthy bool
	// failingSince is the first failed read of the current series, outageEnd the end of the last outage.
	failingSince time.Time
	outageEnd    time.Time
	// nudged is set for the read after a nudge. It does not wait for records and takes no further nudge, because nudges
	// that come faster than a read takes would otherwise keep it from ever ending.
	nudged bool
}

// NewFollower returns a follower that has not read anything.
func NewFollower(config FollowerConfig) *Follower {
	return &Follower{config: config, nudge: make(chan struct{}, 1), healthy: true}
}

// TriggerRead ends the current pause or read, because newer records are known to exist elsewhere.
func (follower *Follower) TriggerRead() {
	select {
	case follower.nudge <- struct{}{}:
	default:
	}
}

// Run reads until the context ends.
func (follower *Follower) Run(ctx context.Context) error {
	delay := retryDelay
	for ctx.Err() == nil {
		plan := follower.config.NextPoll()
		pause := plan.Interval
		if plan.Source == nil {
			follower.sleep(ctx, pause)
			continue
		}
		if err := follower.read(ctx, plan); err != nil && ctx.Err() == nil {
			follower.fail(err)
			if pause = plan.RetryDelay; pause == 0 {
				pause = delay
				delay = min(delay*2, maxRetryDelay)
			}
		} else {
			delay = retryDelay
		}
		follower.sleep(ctx, pause)
	}
	return ctx.Err()
}

func (follower *Follower) sleep(ctx context.Context, pause time.Duration) {
	if pause <= 0 || follower.nudged {
		return
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-follower.nudge:
		follower.nudged = true
	}
}

func (follower *Follower) read(ctx context.Context, plan PollOptions) error {
	if follower.nudged {
		follower.nudged = false
		return follower.readFrom(ctx, plan.Source, 0)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-done:
		case <-follower.nudge:
			cancel(errNudged)
		}
	}()
	err := follower.readFrom(ctx, plan.Source, plan.Wait)
	if errors.Is(context.Cause(ctx), errNudged) {
		follower.nudged = true
		return nil
	}
	return err
}

func (follower *Follower) readFrom(ctx context.Context, source Source, wait time.Duration) error {
	from, loaded := follower.config.Mirror.Next()
	if loaded {
		began := time.Now()
		batch, err := source.Read(ctx, follower.config.Topic, from, wait)
		if err == nil {
			held := time.Duration(0)
			if len(batch.Records) == 0 {
				held = min(wait, time.Since(began))
			}
			follower.recover(held)
			follower.config.Apply(follower.config.Mirror.Apply(batch), follower.outageEnd)
			return nil
		}
		if !errors.Is(err, ErrTruncated) {
			return err
		}
		follower.config.Logger.Info("history dropped, reading all records", "Topic", follower.config.Topic, "From", from)
	}
	batch, err := source.Newest(ctx, follower.config.Topic)
	if err != nil {
		return err
	}
	follower.recover(0)
	follower.config.Apply(follower.config.Mirror.Replace(batch), follower.outageEnd)
	return nil
}

func (follower *Follower) fail(err error) {
	if follower.healthy {
		follower.failingSince = time.Now()
		follower.config.Logger.Warn("dependency lost", "Dependency", follower.config.Topic, "Error", err)
	}
	follower.healthy = false
	if follower.config.OnRead != nil {
		follower.config.OnRead(0, err)
	}
}

func (follower *Follower) recover(held time.Duration) {
	if !follower.healthy {
		follower.endOutage(time.Now())
		follower.config.Logger.Info("dependency regained", "Dependency", follower.config.Topic)
	}
	follower.healthy = true
	if follower.config.OnRead != nil {
		follower.config.OnRead(held, nil)
	}
}

// endOutage records an outage of the source, unless it was short or only this router could not reach the source.
func (follower *Follower) endOutage(now time.Time) {
	if now.Sub(follower.failingSince) < outageTime {
		return
	}
	if elsewhere := follower.config.LastReachedByPeer; elsewhere != nil && elsewhere().After(follower.failingSince.Add(outageTime)) {
		return
	}
	follower.outageEnd = now
}
