package fair_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/share/fair"
	"github.com/clementinewind/clementinewind/internal/wire/peerv1"
)

var (
	start = time.Unix(1_000_000, 0)
	key   = fair.Key{Pool: "chat", Organisation: "acme"}
	other = fair.Key{Pool: "chat", Organisation: "bolt"}
)

// cluster is a set of ledgers that deliver messages to each other immediately.
type cluster struct {
	home    clementinewind.Session
	ledgers map[clementinewind.Session]*fair.Ledger
	sent    int
}

func newCluster(sessions ...clementinewind.Session) *cluster {
	cluster := &cluster{home: sessions[0], ledgers: make(map[clementinewind.Session]*fair.Ledger)}
	for _, session := range sessions {
		cluster.ledgers[session] = fair.NewLedger(fair.LedgerConfig{
			Self: session,
			Home: func(fair.Key) clementinewind.Session { return cluster.home },
			Send: func(receiver clementinewind.Session, service *peerv1.Service) {
				cluster.sent++
				cluster.ledgers[receiver].Handle(session, service, start)
			},
		})
	}
	return cluster
}

func (cluster *cluster) tick(now time.Time) {
	for _, ledger := range cluster.ledgers {
		ledger.Tick(now)
	}
}

// Guards against an owner that misses the service that an organisation received from other routers.
func TestLedgerTotals(t *testing.T) {
	cluster := newCluster(1, 2, 3)
	for _, ledger := range cluster.ledgers {
		ledger.Activate(key, 2, 0, start)
	}
	cluster.tick(start)
	cluster.ledgers[2].Charge(key, 10_000)
	cluster.ledgers[3].Charge(key, 7000)
	cluster.ledgers[3].Charge(key, -1000)
	for second := 1; second < 5; second++ {
		cluster.tick(start.Add(time.Duration(second) * time.Second))
	}
	for session, ledger := range cluster.ledgers {
		quicktest.Assert(t, ledger.Tag(key, start), quicktest.Equals, 8000.0, quicktest.Commentf("session %d", session))
	}

	// Guards against losing the totals when their home router fails.
	cluster.home = 2
	delete(cluster.ledgers, 1)
	for _, ledger := range cluster.ledgers {
		ledger.SetSessions([]clementinewind.Session{2, 3})
	}
	cluster.ledgers[3].Charge(key, 5000)
	for second := 5; second < 9; second++ {
		cluster.tick(start.Add(time.Duration(second) * time.Second))
	}
	for session, ledger := range cluster.ledgers {
		quicktest.Assert(t, ledger.Tag(key, start), quicktest.Equals, 10_500.0, quicktest.Commentf("session %d", session))
	}
}

// Guards against losing totals when a router learns later than others that it is the home router.
func TestLedgerReportBeforeHomeChange(t *testing.T) {
	var sent []*peerv1.Service
	home := clementinewind.Session(1)
	late := fair.NewLedger(fair.LedgerConfig{
		Self: 2,
		Home: func(fair.Key) clementinewind.Session { return home },
		Send: func(_ clementinewind.Session, service *peerv1.Service) { sent = append(sent, service) },
	})
	report := &peerv1.Service{Pool: string(key.Pool), Organisation: string(key.Organisation), Interested: true}
	report.Tokens, report.Total = 9000, true
	late.Handle(3, report, start)
	report.Tokens, report.Total = 500, false
	late.Handle(3, report, start)
	home = 2
	late.Activate(key, 1, 0, start)
	late.Tick(start.Add(time.Second))
	late.Tick(start.Add(2 * time.Second))
	quicktest.Assert(t, late.Tag(key, start), quicktest.Equals, 9500.0)
	quicktest.Assert(t, sent, quicktest.HasLen, 1)
	quicktest.Assert(t, sent[0].Tokens, quicktest.Equals, 9500.0)
	quicktest.Assert(t, sent[0].Seen, quicktest.Equals, uint32(1))
}

// Guards against an organisation that gains credit, or is penalised, for time without demand.
func TestLedgerRaisesTag(t *testing.T) {
	tests := map[string]struct {
		tag      float64
		idle     bool
		wantTag  float64
		fromHome float64
	}{
		"idle below the virtual time":        {idle: true, tag: 10, wantTag: 50_000},
		"idle above the virtual time":        {idle: true, tag: 60_000, wantTag: 60_000},
		"behind within the credit":           {tag: 49_000, wantTag: 49_000},
		"further behind than the credit":     {tag: 10, wantTag: 50_000 - fair.DefaultCredit},
		"ahead of the virtual time, waiting": {tag: 60_000, wantTag: 60_000},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ledger := newCluster(1).ledgers[1]
			if test.idle {
				ledger.Advance(key.Pool, 50_000)
			}
			ledger.Activate(key, 1, test.tag, start)
			ledger.Advance(key.Pool, 50_000)
			ledger.Activate(key, 1, test.tag, start)
			quicktest.Assert(t, ledger.Tag(key, start), quicktest.Equals, test.wantTag)
		})
	}
}

// Guards against reports that exceed the budget while no tag has changed by a quantum.
func TestLedgerBudget(t *testing.T) {
	cluster := newCluster(1, 2)
	ledger := cluster.ledgers[2]
	ledger.Activate(key, 1, 0, start)
	ledger.Tick(start)
	before := cluster.sent
	for tick := range 1000 {
		ledger.Charge(key, 100)
		ledger.Tick(start.Add(time.Duration(tick) * time.Millisecond))
	}
	quicktest.Assert(t, cluster.sent-before <= fair.DefaultBudget/32, quicktest.IsTrue)
	ledger.Charge(key, fair.DefaultQuantum)
	before = cluster.sent
	ledger.Tick(start.Add(time.Second))
	quicktest.Assert(t, cluster.sent, quicktest.Equals, before+1)
}

func limits(limits fair.Limits) fair.QueueConfig {
	return fair.QueueConfig{Limits: func(clementinewind.Organisation) fair.Limits { return limits }}
}

func item(value int) *fair.Item[int] {
	return &fair.Item[int]{Key: key, Value: value, Estimate: float64(value)}
}

// Guards against reordering, and against serving a removed or expired request.
func TestQueueOrder(t *testing.T) {
	queue := fair.NewQueue[int](limits(fair.Limits{Running: 3}))
	items := make([]*fair.Item[int], 6)
	for position := range items {
		items[position] = item(position)
		if position == 2 {
			items[position].Deadline = start.Add(time.Second)
		}
		quicktest.Assert(t, queue.Push(items[position], false, start) == nil, quicktest.IsTrue)
	}
	quicktest.Assert(t, queue.Push(item(9), true, start) == nil, quicktest.IsTrue)
	quicktest.Assert(t, queue.Remove(items[0]), quicktest.IsTrue)
	quicktest.Assert(t, queue.Remove(items[0]), quicktest.IsFalse)
	late := start.Add(2 * time.Second)
	for _, want := range []int{9, 1, 3} {
		quicktest.Assert(t, queue.Pop(key, late).Value, quicktest.Equals, want)
	}
	quicktest.Assert(t, queue.Pop(key, late), quicktest.IsNil, quicktest.Commentf("limit of running requests"))
	quicktest.Assert(t, queue.Ready(key), quicktest.IsFalse)
	quicktest.Assert(t, queue.Start(key, late), quicktest.IsFalse)
	queue.Finish(key)
	quicktest.Assert(t, queue.HeadEstimate(key), quicktest.Equals, 4.0)
	quicktest.Assert(t, queue.Pop(key, late).Value, quicktest.Equals, 4)
	quicktest.Assert(t, queue.Waiting(key), quicktest.Equals, 1)
	quicktest.Assert(t, queue.Ready(other), quicktest.IsFalse)
}

// Guards against queueing a request that could be refused immediately, and against a wrong retry time.
func TestQueueRefusal(t *testing.T) {
	queue := fair.NewQueue[int](limits(fair.Limits{Queued: 20, Rate: 2, Burst: 1}))
	quicktest.Assert(t, queue.Arrive(key.Organisation, start) == nil, quicktest.IsTrue)
	refusal := queue.Arrive(key.Organisation, start)
	quicktest.Assert(t, refusal.Reason, quicktest.Equals, clementinewind.ReasonRateLimited)
	quicktest.Assert(t, refusal.RetryAfter, quicktest.Equals, 500*time.Millisecond)
	quicktest.Assert(t, queue.Arrive(key.Organisation, start.Add(refusal.RetryAfter)) == nil, quicktest.IsTrue)

	for value := range 20 {
		quicktest.Assert(t, queue.Push(item(value), false, start) == nil, quicktest.IsTrue)
	}
	quicktest.Assert(t, queue.Push(item(20), false, start).Reason, quicktest.Equals, clementinewind.ReasonQueueFull)
	now := start
	for range 10 {
		now = now.Add(time.Second)
		queue.Pop(key, now)
	}
	quicktest.Assert(t, queue.ExpectedWait(key, now), quicktest.Equals, 10*time.Second)
	urgent := item(21)
	urgent.Deadline = now.Add(4 * time.Second)
	refusal = queue.Push(urgent, false, now)
	quicktest.Assert(t, refusal.Reason, quicktest.Equals, clementinewind.ReasonDeadline)
	quicktest.Assert(t, refusal.Outcome, quicktest.Equals, clementinewind.OutcomeNotRun)
	quicktest.Assert(t, refusal.RetryAfter, quicktest.Equals, 6*time.Second)
	urgent.Deadline = now.Add(11 * time.Second)
	quicktest.Assert(t, queue.Push(urgent, false, now) == nil, quicktest.IsTrue)
}
