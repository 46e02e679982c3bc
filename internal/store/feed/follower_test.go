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

// source is a topic whose reads take a time.
type source struct {
	mutex sync.Mutex
	batch feed.Batch
	took  time.Duration
	reads int
	fail  error
}

func (source *source) set(batch feed.Batch) {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	source.batch = batch
}

func (source *source) Newest(ctx context.Context, topic string) (feed.Batch, error) {
	return source.Read(ctx, topic, 0, 0)
}

func (source *source) Read(ctx context.Context, _ string, _ int64, wait time.Duration) (feed.Batch, error) {
	source.reads++
	if source.fail != nil {
		return feed.Batch{}, source.fail
	}
	select {
	case <-ctx.Done():
		return feed.Batch{}, ctx.Err()
	case <-time.After(source.took + wait):
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

// Guards against beats of many routers that arrive faster than a read of the store ends and cancel each of them, so that a
// change is not seen for seconds.
func TestNudgesDoNotStarveReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mirror := feed.NewMirror(feed.MirrorConfig{})
		follower := follow(mirror, &source{batch: feed.Batch{Next: 1}, took: 20 * time.Millisecond}, 0, time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- follower.Run(ctx) }()
		for range 20 {
			follower.TriggerRead()
			time.Sleep(5 * time.Millisecond)
		}
		next, loaded := mirror.Next()
		quicktest.Check(t, loaded, quicktest.IsTrue)
		quicktest.Check(t, next, quicktest.Equals, int64(1))
		cancel()
		quicktest.Check(t, <-ended, quicktest.ErrorIs, context.Canceled)
	})
}

// Guards against a read that waits for records while another router already has newer ones.
func TestNudgeEndsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mirror := feed.NewMirror(feed.MirrorConfig{})
		source := &source{took: time.Millisecond}
		follower := follow(mirror, source, 0, 10*time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- follower.Run(ctx) }()
		time.Sleep(time.Second)
		source.set(feed.Batch{Records: []feed.Record{{Key: "a", Value: []byte("1"), Offset: 3}}, Next: 4})
		follower.TriggerRead()
		time.Sleep(10 * time.Millisecond)
		quicktest.Check(t, mirror.LastChange(), quicktest.Equals, int64(3))
		cancel()
		quicktest.Check(t, <-ended, quicktest.ErrorIs, context.Canceled)
	})
}

// Guards against a store that is asked without pause while it refuses every call.
func TestFailedReadsPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &source{fail: errors.New("refused")}
		follower := follow(feed.NewMirror(feed.MirrorConfig{}), source, 0, time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		quicktest.Check(t, follower.Run(ctx), quicktest.ErrorIs, context.DeadlineExceeded)
		quicktest.Check(t, source.reads <= 20, quicktest.IsTrue, quicktest.Commentf("%d reads", source.reads))
	})
}

// Guards against taking the failed reads of one router for an outage of the store: entries that are deleted meanwhile did
// not lapse, and their upstreams must get no more requests.
func TestOutage(t *testing.T) {
	tests := map[string]struct {
		failing   time.Duration
		elsewhere bool
		outage    bool
	}{
		"store away":                       {3 * time.Second, false, true},
		"one failed read":                  {500 * time.Millisecond, false, false},
		"another router reaches the store": {3 * time.Second, true, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				source := &failingSource{until: began.Add(test.failing)}
				var outageEnd time.Time
				follower := feed.NewFollower(feed.FollowerConfig{
					Topic: "topic", Mirror: feed.NewMirror(feed.MirrorConfig{}),
					NextPoll: func() feed.PollOptions { return feed.PollOptions{Source: source, Interval: 100 * time.Millisecond} },
					Apply:    func(_ []feed.Record, end time.Time) { outageEnd = end },
					LastReachedByPeer: func() time.Time {
						if test.elsewhere {
							return time.Now()
						}
						return began
					},
					Logger: hclog.NewNullLogger(),
				})
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				quicktest.Check(t, follower.Run(ctx), quicktest.ErrorIs, context.DeadlineExceeded)
				quicktest.Check(t, !outageEnd.IsZero(), quicktest.Equals, test.outage)
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

func (source *failingSource) Read(context.Context, string, int64, time.Duration) (feed.Batch, error) {
	if time.Now().Before(source.until) {
		return feed.Batch{}, errors.New("refused")
	}
	return feed.Batch{}, nil
}

// Guards against a topic without news that counts as read up to the beginning of a long read only, and against one that counts as read up
// to a moment after the source answered, because the process was late to read the answer.
func TestHeldReadsAreAsNewAsTheirEnd(t *testing.T) {
	const wait = time.Second
	for _, test := range []struct {
		name    string
		records []feed.Record
		took    time.Duration
		held    time.Duration
	}{
		{"nothing new", nil, 0, wait},
		{"nothing new, answer read late", nil, 3 * time.Second, wait},
		{"news", []feed.Record{{Key: "key", Offset: 1}}, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				source := &source{took: test.took}
				source.set(feed.Batch{Records: test.records, Next: 2})
				mirror := feed.NewMirror(feed.MirrorConfig{})
				mirror.Replace(feed.Batch{Next: 1})
				var reached []time.Duration
				follower := feed.NewFollower(feed.FollowerConfig{
					Topic: "topic", Mirror: mirror, Logger: hclog.NewNullLogger(),
					NextPoll: func() feed.PollOptions { return feed.PollOptions{Source: source, Interval: time.Hour, Wait: wait} },
					Apply:    func([]feed.Record, time.Time) {},
					OnRead:   func(held time.Duration, _ error) { reached = append(reached, held) },
				})
				ended := make(chan error, 1)
				go func() { ended <- follower.Run(ctx) }()
				time.Sleep(time.Minute)
				cancel()
				quicktest.Check(t, <-ended, quicktest.ErrorIs, context.Canceled)
				quicktest.Check(t, reached, quicktest.DeepEquals, []time.Duration{test.held})
			})
		})
	}
}
