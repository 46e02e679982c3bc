package feed_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind/internal/store/feed"
)

// source is a topic whose reads take latency, in addition to their wait.
type source struct {
	mutex   sync.Mutex
	batch   feed.Batch
	latency time.Duration
	reads   int
	err     error
}

func (source *source) set(batch feed.Batch) {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	source.batch = batch
}

func (source *source) Newest(ctx context.Context, topic string) (feed.Batch, error) {
	return source.Read(ctx, topic, 0, 0)
}

func (source *source) Read(ctx context.Context, _ string, _ feed.Position, wait time.Duration) (feed.Batch, error) {
	source.reads++
	if source.err != nil {
		return feed.Batch{}, source.err
	}
	select {
	case <-ctx.Done():
		return feed.Batch{}, ctx.Err()
	case <-time.After(source.latency + wait):
		source.mutex.Lock()
		defer source.mutex.Unlock()
		return source.batch, nil
	}
}

func follow(mirror *feed.Mirror, source *source, interval, wait time.Duration) *feed.Follower {
	return feed.NewFollower(feed.FollowerConfig{
		Topic: "topic", Mirror: mirror,
		NextPoll: func() feed.PollOptions { return feed.PollOptions{Source: source, Interval: interval, Wait: wait} },
		Apply:    func([]feed.Record, time.Time) {}, Logger: hclog.NewNullLogger(),
	})
}

// Guards against a change that is not read for seconds: heartbeats of many routers trigger reads faster than one read
// completes, and each trigger cancels the read in progress.
func TestTriggersDoNotStarveReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mirror := feed.NewMirror(feed.MirrorConfig{})
		follower := follow(mirror, &source{batch: feed.Batch{Next: 1}, latency: 20 * time.Millisecond}, 0, time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- follower.Run(ctx) }()
		for range 20 {
			follower.TriggerRead()
			time.Sleep(5 * time.Millisecond)
		}
		next, loaded := mirror.Next()
		quicktest.Check(t, loaded, quicktest.IsTrue)
		quicktest.Check(t, next, quicktest.Equals, feed.Position(1))
		cancel()
		quicktest.Check(t, <-ended, quicktest.ErrorIs, context.Canceled)
	})
}

// Guards against a long poll that goes on waiting although another router already has newer records.
func TestTriggerInterruptsLongPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mirror := feed.NewMirror(feed.MirrorConfig{})
		source := &source{latency: time.Millisecond}
		follower := follow(mirror, source, 0, 10*time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- follower.Run(ctx) }()
		time.Sleep(time.Second)
		source.set(feed.Batch{Records: []feed.Record{{Key: "a", Value: []byte("1"), Position: 3}}, Next: 4})
		follower.TriggerRead()
		time.Sleep(10 * time.Millisecond)
		quicktest.Check(t, mirror.LastChange(), quicktest.Equals, feed.Position(3))
		cancel()
		quicktest.Check(t, <-ended, quicktest.ErrorIs, context.Canceled)
	})
}

// Guards against reads without a pause from a store that refuses every call.
func TestFailedReadsBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &source{err: errors.New("refused")}
		follower := follow(feed.NewMirror(feed.MirrorConfig{}), source, 0, time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		quicktest.Check(t, follower.Run(ctx), quicktest.ErrorIs, context.DeadlineExceeded)
		quicktest.Check(t, source.reads <= 20, quicktest.IsTrue, quicktest.Commentf("%d reads", source.reads))
	})
}

// Guards against failed reads of a single router that count as an outage of the store: entries deleted meanwhile did
// not just expire, so their upstreams must get no more requests.
func TestOutageDetection(t *testing.T) {
	tests := map[string]struct {
		failing       time.Duration
		reachedByPeer bool
		wantOutage    bool
	}{
		"store unreachable":                {3 * time.Second, false, true},
		"one failed read":                  {500 * time.Millisecond, false, false},
		"another router reaches the store": {3 * time.Second, true, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				source := &failingSource{until: start.Add(test.failing)}
				var outageEnd time.Time
				follower := feed.NewFollower(feed.FollowerConfig{
					Topic: "topic", Mirror: feed.NewMirror(feed.MirrorConfig{}),
					NextPoll: func() feed.PollOptions { return feed.PollOptions{Source: source, Interval: 100 * time.Millisecond} },
					Apply:    func(_ []feed.Record, end time.Time) { outageEnd = end },
					LastReachedByPeer: func() time.Time {
						if test.reachedByPeer {
							return time.Now()
						}
						return start
					},
					Logger: hclog.NewNullLogger(),
				})
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				quicktest.Check(t, follower.Run(ctx), quicktest.ErrorIs, context.DeadlineExceeded)
				quicktest.Check(t, !outageEnd.IsZero(), quicktest.Equals, test.wantOutage)
			})
		})
	}
}

type failingSource struct {
	until time.Time
}

func (source *failingSource) Newest(ctx context.Context, topic string) (feed.Batch, error) {
	return source.Read(ctx, topic, 0, 0)
}

func (source *failingSource) Read(context.Context, string, feed.Position, time.Duration) (feed.Batch, error) {
	if time.Now().Before(source.until) {
		return feed.Batch{}, errors.New("refused")
	}
	return feed.Batch{}, nil
}

// Guards against two wrong ages of an idle topic: one that ignores the time of the long poll, and one that counts the
// delay of a process that was late to read the response.
func TestLongPollExtendsFreshness(t *testing.T) {
	const wait = time.Second
	for _, test := range []struct {
		name     string
		records  []feed.Record
		latency  time.Duration
		wantIdle time.Duration
	}{
		{"no new records", nil, 0, wait},
		{"no new records, response read late", nil, 3 * time.Second, wait},
		{"new records", []feed.Record{{Key: "key", Position: 1}}, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				source := &source{latency: test.latency}
				source.set(feed.Batch{Records: test.records, Next: 2})
				mirror := feed.NewMirror(feed.MirrorConfig{})
				mirror.Replace(feed.Batch{Next: 1})
				var idleTimes []time.Duration
				follower := feed.NewFollower(feed.FollowerConfig{
					Topic: "topic", Mirror: mirror, Logger: hclog.NewNullLogger(),
					NextPoll: func() feed.PollOptions { return feed.PollOptions{Source: source, Interval: time.Hour, Wait: wait} },
					Apply:    func([]feed.Record, time.Time) {},
					OnRead:   func(idle time.Duration, _ error) { idleTimes = append(idleTimes, idle) },
				})
				ended := make(chan error, 1)
				go func() { ended <- follower.Run(ctx) }()
				time.Sleep(time.Minute)
				cancel()
				quicktest.Check(t, <-ended, quicktest.ErrorIs, context.Canceled)
				quicktest.Check(t, idleTimes, quicktest.DeepEquals, []time.Duration{test.wantIdle})
			})
		})
	}
}
