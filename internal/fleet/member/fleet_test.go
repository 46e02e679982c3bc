package member_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/fleet/lease"
	"github.com/clementinewind/clementinewind/internal/fleet/member"
	"github.com/clementinewind/clementinewind/internal/store/plog"
	"github.com/clementinewind/clementinewind/internal/store/state"
	"github.com/clementinewind/clementinewind/internal/store/tree"
	"github.com/clementinewind/clementinewind/internal/tools/stand"
	"github.com/clementinewind/clementinewind/internal/wire/peerv1"
	"github.com/clementinewind/clementinewind/internal/wire/recordv1"
)

const (
	fleetSize = 9
	// ringSize is a fleet in which a router hears only its neighbours.
	ringSize = 40
	// logIndex stands for the log among the indices of routers.
	logIndex  = -1
	latency   = time.Millisecond
	checkStep = 50 * time.Millisecond
	// settleLimit is more than suspicion, expiry and the longest wait of a new owner take together.
	settleLimit = 40 * time.Second
	// zoneLimit is the promise on zone removal.
	zoneLimit = 3 * time.Second
)

// fleet is a number of routers over an in-memory log and links that can be cut in each direction.
type fleet struct {
	log      *stand.Log
	observer *state.Replica
	writer   *plog.Writer
	cancel   context.CancelFunc
	group    sync.WaitGroup
	seed     *rand.Rand
	// outAt has the zones that are out of service, with the time at which the log took the edit.
	outAt     map[clementinewind.Zone]time.Time
	accepted  int
	mu        sync.Mutex
	cut       map[[2]int]bool
	routers   []*router
	upstreams []tree.Upstream
	violation string
	// noFetch breaks the transfer of states between routers.
	noFetch bool
}

type router struct {
	fleet    *fleet
	index    int
	replica  *state.Replica
	keeper   *lease.Keeper
	detector *member.Detector
	writer   *plog.Writer
	cancel   context.CancelFunc
	group    sync.WaitGroup
	frozen   chan struct{}
	version  clementinewind.Offset
	// exceptAt is when the exception to the promise on zone removal last held.
	exceptAt time.Time
}

func name(index int) string { return fmt.Sprint("I", index) }

func settings() []tree.Change {
	changes := []tree.Change{{Section: "Pools.Quotes"}}
	for zone := range 3 {
		changes = append(changes, tree.Change{Section: fmt.Sprintf("Zones.Z%d", zone)})
	}
	for engine := range 12 {
		path := fmt.Sprintf("Pools.Quotes.Engine%d", engine)
		changes = append(changes,
			tree.Change{Section: path, Key: "Address", Value: fmt.Sprintf("10.0.0.%d:1", engine)},
			tree.Change{Section: path, Key: "Zone", Value: fmt.Sprintf("Z%d", engine%3)})
	}
	return changes
}

func newFleet(seed uint64, size int) *fleet {
	ctx, cancel := context.WithCancel(context.Background())
	fleet := &fleet{
		log: stand.NewLog(), cancel: cancel, seed: rand.New(rand.NewPCG(seed, 1)), outAt: map[clementinewind.Zone]time.Time{},
		cut: map[[2]int]bool{}, routers: make([]*router, size),
	}
	fleet.observer = state.New(state.Config{OnApply: func(applied state.AppliedRecord) {
		for _, change := range applied.Record.GetEdit().GetChanges() {
			if zone := clementinewind.Zone(strings.TrimPrefix(change.GetSection(), "Zones.")); applied.Accepted && change.GetKey() == "InService" {
				delete(fleet.outAt, zone)
				fleet.accepted++
				if change.GetValue() == "false" {
					fleet.outAt[zone] = applied.Time
				}
			}
		}
	}})
	fleet.writer = plog.NewWriter(plog.WriterConfig{Log: fleet.log, Stream: clementinewind.ControlStream})
	fleet.group.Go(func() { _ = fleet.writer.Run(ctx) })
	fleet.append(ctx, fleet.writer, &recordv1.ControlRecord{Body: &recordv1.ControlRecord_Edit{
		Edit: &recordv1.Edit{Changes: state.ChangesToProto(settings())},
	}})
	for index := range fleet.routers {
		fleet.start(index)
	}
	return fleet
}

func (fleet *fleet) append(ctx context.Context, writer *plog.Writer, record *recordv1.ControlRecord) (clementinewind.Offset, error) {
	payload, err := proto.Marshal(record)
	if err != nil {
		panic(err)
	}
	return writer.Append(ctx, payload)
}

func (fleet *fleet) start(index int) {
	ctx, cancel := context.WithCancel(context.Background())
	router := &router{
		fleet: fleet, index: index, cancel: cancel,
		replica: state.New(state.Config{}), keeper: lease.New(lease.Config{Neighbours: member.Neighbours}),
	}
	router.detector = member.New(member.Config{Keeper: router.keeper})
	router.writer = plog.NewWriter(plog.WriterConfig{Log: router, Stream: clementinewind.ControlStream})
	fleet.mu.Lock()
	fleet.routers[index] = router
	phase := time.Duration(fleet.seed.Int64N(int64(member.Interval)))
	fleet.mu.Unlock()
	router.group.Go(func() { _ = router.writer.Run(ctx) })
	router.group.Go(func() { router.follow(ctx) })
	router.group.Go(func() { router.open(ctx) })
	router.group.Go(func() { router.beat(ctx, phase) })
}

// stop ends a router without a trace of its state.
func (fleet *fleet) stop(index int) {
	router := fleet.routers[index]
	router.thaw()
	router.cancel()
	router.group.Wait()
}

func (router *router) open(ctx context.Context) {
	for ctx.Err() == nil {
		offset, err := router.fleet.append(ctx, router.writer, &recordv1.ControlRecord{Body: &recordv1.ControlRecord_SessionOpened{
			SessionOpened: &recordv1.SessionOpened{Instance: name(router.index)},
		}})
		if err == nil {
			router.detector.SetSession(clementinewind.Session(offset))
			return
		}
	}
}

// follow reads the control stream.
func (router *router) follow(ctx context.Context) {
	_ = plog.NewReader(plog.ReaderConfig{
		Log: router, Stream: clementinewind.ControlStream, Wait: lease.ReadWait, CallTimeout: lease.ReadWait,
		Backoff: plog.Backoff{Max: 250 * time.Millisecond},
		Handle: func(_ context.Context, batch clementinewind.LogBatch) error {
			router.gate()
			if err := router.replica.Apply(batch); err != nil {
				return err
			}
			router.detector.Observe(router.replica.View())
			return nil
		},
		OnFreshness: router.keeper.ReadSucceeded,
		OnError:     router.detector.Failed,
	}).Run(ctx)
}

// beat exchanges heartbeats once an interval, expires sessions and, without the log, fetches newer states.
func (router *router) beat(ctx context.Context, phase time.Duration) {
	for next := time.After(phase); ; {
		select {
		case <-next:
			next = time.After(member.Interval)
			router.gate()
			for _, session := range router.detector.Expirable() {
				view := router.replica.View()
				router.group.Go(func() {
					_, _ = router.fleet.append(ctx, router.writer, &recordv1.ControlRecord{Body: &recordv1.ControlRecord_SessionExpired{
						SessionExpired: &recordv1.SessionExpired{Session: int64(session), By: int64(router.session(view))},
					}})
				})
			}
			router.fetch()
		case <-router.detector.Urgent():
			router.gate()
		case <-ctx.Done():
			return
		}
		for _, session := range router.detector.Neighbours() {
			router.send(session)
		}
	}
}

func (router *router) session(view state.View) clementinewind.Session {
	for _, session := range view.Sessions {
		if session.Instance == clementinewind.Instance(name(router.index)) {
			return session.ID
		}
	}
	return clementinewind.NoSession
}

// send builds a heartbeat and carries it to the router that has the session.
func (router *router) send(to clementinewind.Session) {
	session, ok := router.replica.View().Session(to)
	heartbeat := router.detector.Heartbeat(to)
	if !ok || heartbeat == nil {
		return
	}
	index, _ := strconv.Atoi(string(session.Instance[1:]))
	router.fleet.group.Go(func() {
		router.gate()
		time.Sleep(latency)
		peer, cut := router.fleet.link(router.index, index)
		if !cut && peer.session(peer.replica.View()) == to {
			peer.receive(heartbeat)
		}
	})
}

func (router *router) receive(heartbeat *peerv1.Heartbeat) {
	router.gate()
	if router.detector.Receive(heartbeat) {
		router.send(clementinewind.Session(heartbeat.GetSession()))
	}
}

// fetch takes the state of a peer when the log cannot be read.
func (router *router) fetch() {
	if router.fleet.noFetch || !router.keeper.Status().LogLost {
		return
	}
	for index := range router.fleet.routers {
		peer, there := router.fleet.link(router.index, index)
		_, back := router.fleet.link(index, router.index)
		if !there && !back && !peer.isFrozen() && peer.replica.View().Version > router.replica.View().Version {
			if router.replica.Restore(peer.replica.Snapshot()) == nil {
				router.detector.Observe(router.replica.View())
			}
		}
	}
}

func (fleet *fleet) link(from, to int) (*router, bool) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.routers[to], fleet.cut[[2]int{from, to}]
}

// gate holds a frozen router.
func (router *router) gate() {
	for {
		router.fleet.mu.Lock()
		frozen := router.frozen
		router.fleet.mu.Unlock()
		if frozen == nil {
			return
		}
		<-frozen
	}
}

func (router *router) isFrozen() bool {
	router.fleet.mu.Lock()
	defer router.fleet.mu.Unlock()
	return router.frozen != nil
}

func (router *router) freeze() {
	router.fleet.mu.Lock()
	defer router.fleet.mu.Unlock()
	if router.frozen == nil {
		router.frozen = make(chan struct{})
	}
}

func (router *router) thaw() {
	router.fleet.mu.Lock()
	defer router.fleet.mu.Unlock()
	if router.frozen != nil {
		close(router.frozen)
		router.frozen = nil
	}
}

func (router *router) logCut() bool {
	router.fleet.mu.Lock()
	defer router.fleet.mu.Unlock()
	return router.fleet.cut[[2]int{router.index, logIndex}]
}

// Append is the router's own connection to the log.
func (router *router) Append(ctx context.Context, stream string, records []clementinewind.Record) (clementinewind.Offset, error) {
	router.gate()
	if router.logCut() {
		return 0, clementinewind.ErrLogUnavailable
	}
	return router.fleet.log.Append(ctx, stream, records)
}

// Read hangs when the log is cut off, as a connection does that has gone silent.
func (router *router) Read(ctx context.Context, query clementinewind.LogQuery) (clementinewind.LogBatch, error) {
	time.Sleep(latency)
	router.gate()
	if router.logCut() {
		<-ctx.Done()
		return clementinewind.LogBatch{}, ctx.Err()
	}
	batch, err := router.fleet.log.Read(ctx, query)
	router.gate()
	if router.logCut() {
		return clementinewind.LogBatch{}, clementinewind.ErrLogUnavailable
	}
	return batch, err
}

// run lets time pass and checks the invariants at every step. It returns the smallest number of upstreams that a router
// could send to at any step.
func (fleet *fleet) run(duration time.Duration) int {
	lowest := len(settings())
	for range duration / checkStep {
		time.Sleep(checkStep)
		synctest.Wait()
		for {
			version := fleet.observer.View().Version
			if _, err := fleet.observer.Read(context.Background(), fleet.log, 0); err != nil || fleet.observer.View().Version == version {
				break
			}
			fleet.upstreams = fleet.observer.View().Tree.AllUpstreams()
		}
		lowest = min(lowest, fleet.check())
	}
	return lowest
}

func (fleet *fleet) check() int {
	served := 0
	fleet.noteExceptions()
	for _, router := range fleet.routers {
		if version := router.replica.View().Version; version < router.version {
			fleet.fail("version of %s fell from %d to %d", name(router.index), router.version, version)
		} else {
			router.version = version
		}
	}
	for _, upstream := range fleet.upstreams {
		var senders []string
		for _, router := range fleet.routers {
			if router.isFrozen() || router.keeper.MaySend(upstream.Name) != nil {
				continue
			}
			senders = append(senders, fmt.Sprintf("%s at version %d", name(router.index), router.replica.View().Version))
			if at, out := fleet.outAt[upstream.Zone]; out && min(time.Since(at), time.Since(router.exceptAt)) > zoneLimit {
				fleet.fail("%s may send to %s, out for %v", senders[len(senders)-1], upstream.Name, time.Since(at))
			}
		}
		if len(senders) > 1 {
			fleet.fail("%s may be sent to by %v", upstream.Name, senders)
		}
		served += len(senders)
	}
	return served
}

// noteExceptions finds the routers for which the design page makes an exception on zone removal: the log accepts appends
// only from a minority, and the router has no path to any of them.
func (fleet *fleet) noteExceptions() {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	reached, front := map[int]bool{}, []int{}
	for index := range fleet.routers {
		if !fleet.cut[[2]int{index, logIndex}] {
			reached[index] = true
			front = append(front, index)
		}
	}
	if 2*len(front) > len(fleet.routers) {
		return
	}
	for len(front) > 0 {
		at := front[0]
		front = front[1:]
		for index := range fleet.routers {
			if !reached[index] && !fleet.cut[[2]int{at, index}] && !fleet.cut[[2]int{index, at}] && fleet.routers[index].frozen == nil {
				reached[index] = true
				front = append(front, index)
			}
		}
	}
	for index, router := range fleet.routers {
		if !reached[index] {
			router.exceptAt = time.Now()
		}
	}
}

func (fleet *fleet) fail(format string, args ...any) {
	if fleet.violation == "" {
		fleet.violation = time.Now().Format("04:05.000 ") + fmt.Sprintf(format, args...)
	}
}

func (fleet *fleet) edit(router *router, zone int, inService bool) {
	fleet.editAgainst(router.replica.View().Version, router, zone, inService)
}

func (fleet *fleet) editAgainst(against clementinewind.Offset, router *router, zone int, inService bool) {
	change := tree.Change{Section: fmt.Sprintf("Zones.Z%d", zone), Key: "InService", Value: fmt.Sprint(inService)}
	router.group.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, _ = fleet.append(ctx, router.writer, &recordv1.ControlRecord{Body: &recordv1.ControlRecord_Edit{Edit: &recordv1.Edit{
			Against: int64(against), Who: name(router.index), Changes: state.ChangesToProto([]tree.Change{change}),
		}}})
	})
}

func (fleet *fleet) restart(index int) {
	fleet.stop(index)
	fleet.start(index)
}

// setCut cuts the links from one set of routers to another, or to the log.
func (fleet *fleet) setCut(from, to []int) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	for _, a := range from {
		for _, b := range to {
			fleet.cut[[2]int{a, b}] = a != b
		}
	}
}

func (fleet *fleet) heal() {
	fleet.log.SetFaults(stand.LogFaults{})
	fleet.mu.Lock()
	clear(fleet.cut)
	fleet.mu.Unlock()
	for _, router := range fleet.routers {
		router.thaw()
	}
}

func (fleet *fleet) close() {
	fleet.heal()
	for index := range fleet.routers {
		fleet.stop(index)
	}
	fleet.cancel()
	fleet.group.Wait()
}

func upTo(count int) []int {
	numbers := make([]int, count)
	for i := range numbers {
		numbers[i] = i
	}
	return numbers
}

// settle lets time pass until every upstream in service has a router that may send to it.
func (fleet *fleet) settle(after string) {
	for range settleLimit / time.Second {
		if fleet.run(time.Second); fleet.check() == 12-4*len(fleet.outAt) {
			fleet.run(2 * time.Second)
			return
		}
	}
	fleet.fail("fleet serves %d upstreams %v after %s, %d zones are out", fleet.check(), settleLimit, after, len(fleet.outAt))
}

// inBubble runs a fleet in virtual time until it has settled, then the scenario, and returns the first violation.
func inBubble(t *testing.T, seed uint64, size int, scenario func(*fleet)) (violation string) {
	synctest.Test(t, func(*testing.T) {
		fleet := newFleet(seed, size)
		defer fleet.close()
		fleet.settle("its start")
		scenario(fleet)
		fleet.heal()
		fleet.settle("all faults")
		violation = fleet.violation
	})
	return violation
}

// Guards against two owners of an upstream, a version that falls, work for a removed zone, and service that stops where
// the design says that it goes on.
func TestFaults(t *testing.T) {
	rest, some := []int{2, 3, 4, 5, 6, 7, 8}, []int{0, 1}
	tests := map[string]func(*fleet){
		"log down": func(fleet *fleet) {
			fleet.log.SetFaults(stand.LogFaults{Down: true})
			if lowest := fleet.run(time.Minute); lowest < 12 {
				fleet.fail("only %d upstreams were served while the log was down", lowest)
			}
		},
		"log silent": func(fleet *fleet) {
			fleet.setCut(upTo(fleetSize), []int{logIndex})
			fleet.run(3 * time.Second)
			if lowest := fleet.run(time.Minute); lowest < 12 {
				fleet.fail("only %d upstreams were served while the log was silent", lowest)
			}
		},
		"lost replies": func(fleet *fleet) {
			fleet.log.SetFaults(stand.LogFaults{LoseReplies: true})
			fleet.edit(fleet.routers[0], 1, false)
			fleet.run(500 * time.Millisecond)
			fleet.restart(3)
			fleet.run(10 * time.Second)
		},
		"one router without log": func(fleet *fleet) {
			fleet.setCut([]int{4}, []int{logIndex})
			if lowest := fleet.run(30 * time.Second); lowest < 12 {
				fleet.fail("only %d upstreams were served while one router lost the log", lowest)
			}
		},
		"minority cut off": func(fleet *fleet) {
			fleet.setCut(some, rest)
			fleet.setCut(rest, some)
			fleet.setCut(some, []int{logIndex})
			fleet.edit(fleet.routers[5], 2, false)
			fleet.run(8 * time.Second)
			if served := fleet.check(); served != 8 {
				fleet.fail("%d upstreams are served without the minority", served)
			}
		},
		"majority without log": func(fleet *fleet) {
			fleet.setCut(rest, []int{logIndex})
			fleet.setCut(some, rest)
			fleet.setCut(rest, some)
			fleet.restart(0)
			fleet.run(20 * time.Second)
		},
		"zone out that most cannot read": func(fleet *fleet) {
			fleet.noFetch = true
			fleet.setCut(rest, []int{logIndex})
			fleet.run(3 * time.Second)
			fleet.edit(fleet.routers[0], 1, false)
			fleet.run(10 * time.Second)
		},
		"minority keeps the log": func(fleet *fleet) {
			fleet.setCut([]int{0, 1, 2, 3, 4}, []int{5, 6, 7, 8, logIndex})
			fleet.setCut([]int{5, 6, 7, 8}, []int{0, 1, 2, 3, 4})
			fleet.run(15 * time.Second)
			if live := len(fleet.observer.View().Sessions); live != 9 {
				fleet.fail("%d sessions live, the minority expired the majority", live)
			}
		},
		"one-way cut": func(fleet *fleet) {
			fleet.setCut(rest, some)
			fleet.setCut(some, []int{logIndex})
			fleet.run(10 * time.Second)
			if live := len(fleet.observer.View().Sessions); live != 7 {
				fleet.fail("%d sessions live, want 7 after a one-way cut of 2", live)
			}
		},
		"frozen owner": func(fleet *fleet) {
			fleet.routers[6].freeze()
			fleet.run(12 * time.Second)
			fleet.routers[6].thaw()
			fleet.run(time.Second)
		},
		"restart of one": func(fleet *fleet) { fleet.restart(5) },
		"restart of all": func(fleet *fleet) {
			for index := range fleet.routers {
				fleet.stop(index)
			}
			for index := range fleet.routers {
				fleet.start(index)
			}
			fleet.run(10 * time.Second)
			if served := fleet.check(); served != 12 {
				fleet.fail("%d upstreams are served 10 s after a restart of all", served)
			}
		},
		"racing operators": func(fleet *fleet) {
			before, against := fleet.accepted, fleet.routers[1].replica.View().Version
			fleet.editAgainst(against, fleet.routers[1], 0, false)
			fleet.editAgainst(against, fleet.routers[8], 0, true)
			fleet.run(5 * time.Second)
			if fleet.accepted != before+1 {
				fleet.fail("%d of 2 racing edits accepted", fleet.accepted-before)
			}
		},
		"restart while log down": func(fleet *fleet) {
			fleet.log.SetFaults(stand.LogFaults{Down: true})
			fleet.run(5 * time.Second)
			fleet.restart(2)
			fleet.run(5 * time.Second)
		},
	}
	for _, name := range slices.Sorted(maps.Keys(tests)) {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(2) {
				if violation := inBubble(t, seed, fleetSize, tests[name]); violation != "" {
					t.Errorf("seed %d: %s", seed, violation)
				}
			}
		})
	}
}

// Guards against waits that never end, and a loss of the log that is not known in time, where a router hears only its
// neighbours.
func TestRingFaults(t *testing.T) {
	violation := inBubble(t, 1, ringSize, func(fleet *fleet) {
		fleet.routers[6].freeze()
		fleet.run(10 * time.Second)
		if live := len(fleet.observer.View().Sessions); live != ringSize-1 {
			fleet.fail("%d sessions live after the freeze of one", live)
		}
		fleet.routers[6].thaw()
		fleet.restart(7)
		fleet.settle("a restart of one")
		fleet.log.SetFaults(stand.LogFaults{Down: true})
		if lowest := fleet.run(20 * time.Second); lowest < 12 {
			fleet.fail("only %d upstreams were served while the log was down", lowest)
		}
	})
	if violation != "" {
		t.Error(violation)
	}
}

// Guards against combinations of faults that nobody thought of.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		type event struct {
			kind, a, b int
			wait       time.Duration
		}
		var events []event
		for range rapid.IntRange(1, 14).Draw(r, "events") {
			events = append(events, event{
				kind: rapid.IntRange(0, 11).Draw(r, "kind"),
				a:    rapid.IntRange(0, fleetSize-1).Draw(r, "a"),
				b:    rapid.IntRange(logIndex, fleetSize-1).Draw(r, "b"),
				wait: time.Duration(rapid.IntRange(0, 40).Draw(r, "wait")) * 100 * time.Millisecond,
			})
		}
		violation := inBubble(t, rapid.Uint64().Draw(r, "seed"), fleetSize, func(fleet *fleet) {
			for _, event := range events {
				router := fleet.routers[event.a]
				side, other := upTo(fleetSize)[:event.a], upTo(fleetSize)[event.a:]
				switch event.kind {
				case 0:
					fleet.log.SetFaults(stand.LogFaults{Down: true})
				case 1:
					fleet.log.SetFaults(stand.LogFaults{LoseReplies: true})
				case 2:
					fleet.log.SetFaults(stand.LogFaults{})
				case 3:
					fleet.setCut([]int{event.a}, []int{event.b})
				case 4:
					fleet.setCut(side, other)
					fleet.setCut(other, side)
				case 5:
					fleet.setCut(side, append(other, logIndex))
				case 6:
					router.freeze()
				case 7:
					router.thaw()
				case 8:
					fleet.restart(event.a)
				case 9:
					fleet.edit(router, (event.b+1)%3, event.b%2 == 0)
				case 10:
					fleet.heal()
				default:
					fleet.setCut(side, []int{logIndex})
				}
				fleet.run(event.wait)
			}
		})
		if violation != "" {
			r.Fatalf("%s\nevents %+v", violation, events)
		}
	})
}
