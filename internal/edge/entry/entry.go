package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/run"
	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/admin/conf"
	"github.com/clementinewind/clementinewind/internal/admin/telem"
	"github.com/clementinewind/clementinewind/internal/edge/gate"
	"github.com/clementinewind/clementinewind/internal/fleet/gossip"
	"github.com/clementinewind/clementinewind/internal/fleet/roster"
	"github.com/clementinewind/clementinewind/internal/load/board"
	"github.com/clementinewind/clementinewind/internal/load/budget"
	"github.com/clementinewind/clementinewind/internal/load/usage"
	"github.com/clementinewind/clementinewind/internal/route/relay"
	"github.com/clementinewind/clementinewind/internal/route/table"
	"github.com/clementinewind/clementinewind/internal/share/boot"
	"github.com/clementinewind/clementinewind/internal/store/view"
	"github.com/clementinewind/clementinewind/platform"
)

const (
	// timeToLive is how long callers keep an answer of Locate: long enough that asking costs little, short enough that few
	// callers still use a router that stops.
	timeToLive = time.Second
	// The parts of the grace period after which new streams, and all new requests and connections, are refused, and the part after
	// which the process ends, whatever still runs. Some callers keep addresses for three times timeToLive, and some stay with
	// one router. Plain requests end within a second.
	streamShare  = 0.35
	requestShare = 0.8
	lastShare    = 0.92
	// flushShare is the part of the grace period in which the last answers are flushed.
	flushShare = 0.05
	// drainPoll is how often a stopping router looks whether its requests have ended, and quietPolls how often in a row it must
	// find none: a request that has just been accepted is not counted yet.
	drainPoll  = 50 * time.Millisecond
	quietPolls = 4
)

// Config configures an Entry.
type Config struct {
	Settings conf.Entry
	Meter    Meter
	Logger   hclog.Logger
}

// Meter counts what the entry does.
type Meter interface {
	relay.Meter
	// StoreCall counts a call to the platform's store.
	StoreCall(call string, status int, took time.Duration)
	// Handler serves the metrics.
	Handler() http.Handler
}

// Entry is a router on the users' platform.
type Entry struct {
	settings atomic.Pointer[conf.Entry]
	config   Config

	roster  *roster.Roster
	board   *board.Board
	shares  *usage.Shares
	view    *view.View
	relay   *relay.Relay
	store   *platform.Store
	readers readers
	// chatter is nil until Run.
	chatter atomic.Pointer[gossip.Gossip]

	// started is when the process started, and lookedUp is set after the first try to learn of other routers.
	started  time.Time
	lookedUp atomic.Bool

	inFlight atomic.Int64
	load     *load
	lag      lag
	closing  atomic.Bool
	// refusingStreams and refusing are set while new streams, and all new requests, are refused because the router stops.
	refusingStreams atomic.Bool
	refusing        atomic.Bool
	stop            chan struct{}
	stopped         atomic.Bool
}

// New returns an entry that has not started.
func New(config Config) *Entry {
	entry := &Entry{config: config, started: time.Now(), stop: make(chan struct{}), load: newLoad(config.Settings.CoreShare)}
	entry.settings.Store(&config.Settings)
	settings := config.Settings
	self := roster.Member{
		Instance: settings.Name, Zone: settings.Zone, Incarnation: time.Now().UnixNano(),
		CallerAddress: settings.CallerListen.String(), PeerAddress: entry.peerAddress().String(), Cores: settings.CoreShare,
	}
	entry.roster = roster.New(roster.Config{Self: self})
	entry.board = board.New(board.Config{
		ColdRatio: settings.ColdRatio, ColdExtra: settings.ColdExtra,
		Owns: func(upstream clementinewind.Upstream) bool { return entry.roster.Owns(string(upstream), time.Now()) },
	})
	entry.shares = usage.NewShares(settings.ShareWindow)
	entry.view = view.New(view.Config{
		Board: entry.board, Logger: config.Logger,
		OnRemoved: func(upstream clementinewind.Upstream) { entry.relay.RemoveUpstream(upstream) },
	})
	dialer := dialer()
	entry.store = platform.NewStore(platform.StoreConfig{
		Address: settings.StoreAddress.String(), Dial: dialer.DialContext, Observe: config.Meter.StoreCall,
	})
	entry.relay = relay.New(relay.Config{
		Zone: settings.Zone, Board: entry.board, Shares: entry.shares, Table: entry.view.Table, RouterCount: entry.roster.Count,
		Closing: entry.sendsAway, Draining: entry.refuses, Stale: entry.stale, CallerDisconnected: callerLeft, Overloaded: entry.overloaded, EventBatchDelay: entry.gather,
		Dial: dialer.DialContext, ProcessStalled: entry.lag.delayed, RetryBudget: entry.budget,
		Meter: config.Meter, Logger: config.Logger,
	})
	entry.readers = newReaders(entry)
	entry.lag.shed = newShed(settings.MaxRefusedFraction)
	entry.lag.watch = boot.NewPauseDetector(boot.PauseDetectorConfig{
		Clock: boot.Now, PauseThreshold: pauseLimit, StaleTimeout: pauseTrust, RefreshedAt: entry.readers.knownAt, OnResume: entry.resume,
	})
	return entry
}

func (entry *Entry) budget() budget.Config {
	settings := entry.settings.Load()
	return budget.Config{Window: settings.RetryWindow, Ratio: settings.RetryRatio, Extra: settings.RetryExtra}
}

// peerAddress is the first of the ports that are free for traffic between routers.
func (entry *Entry) peerAddress() netip.AddrPort {
	settings := entry.settings.Load()
	return netip.AddrPortFrom(settings.CallerListen.Addr(), uint16(settings.FirstPort))
}

// ready reports whether the router can serve requests.
func (entry *Entry) ready() bool {
	return !entry.closing.Load() && entry.view.Table() != nil && entry.board.Count() > 0
}

// stale reports whether the process was paused, or has so little processor time, that it does not know yet what others decided
// meanwhile.
func (entry *Entry) stale() bool {
	return entry.lag.watch.Stale() || (entry.lag.overloaded() && entry.readers.behind())
}

// refuses reports whether requests of a kind are refused because the router stops.
func (entry *Entry) refuses(kind table.RouteKind) bool {
	return entry.refusing.Load() || (kind == table.RouteStream && entry.refusingStreams.Load())
}

// overloaded decides whether a request is refused because the processor is not enough. For the first one of a connection that was
// decided when the connection was accepted.
func (entry *Entry) overloaded(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(*gate.Conn)
	return (!ok || !conn.TakeAdmission()) && entry.lag.refuses()
}

// gather returns how long events of streams gather, which callers see as a delay.
func (entry *Entry) gather() time.Duration { return entry.lag.gather(entry.settings.Load().EventDelay) }

// resume is called after a pause of the process.
func (entry *Entry) resume(paused time.Duration) {
	entry.config.Logger.Warn("process was paused, reading what changed meanwhile", "Paused", paused)
	entry.readers.refresh()
	if chatter := entry.chatter.Load(); chatter != nil {
		chatter.DiscardZoneState()
	}
}

// refresh brings the router's own state in the roster up to date.
func (entry *Entry) refresh() {
	load := entry.load.measure(time.Now())
	if entry.lag.overloaded() {
		load = max(load, roster.OverloadedRPSPerCore)
	}
	entry.roster.UpdateSelf(entry.ready(), entry.closing.Load(), entry.readers.store.reachable(), load)
}

func (entry *Entry) locate(zone clementinewind.Zone, caller string) ([]string, time.Duration) {
	entry.refresh()
	return entry.roster.Addresses(zone, caller, time.Now()), min(timeToLive, entry.settings.Load().AddressTimeToLive)
}

// Reload applies new settings. Addresses stay as they were at the start.
func (entry *Entry) Reload(settings conf.Entry) {
	entry.settings.Store(&settings)
	entry.config.Logger.Info("settings reloaded", "Name", settings.Name)
}

// Run serves until Stop is called and the requests have ended, or the context ends.
func (entry *Entry) Run(ctx context.Context) error {
	settings := entry.settings.Load()
	logger := entry.config.Logger
	conn, err := net.ListenPacket("udp4", entry.peerAddress().String())
	if err != nil {
		return errors.Wrap(err, "listen for beats")
	}
	defer conn.Close()
	chatter := gossip.New(gossip.Config{
		Conn: conn, Roster: entry.roster, Board: entry.board, Shares: entry.shares, Offsets: entry.readers.offsets, OnPeerAhead: entry.readers.ahead,
		ConfigurationVersion: entry.version, Refresh: entry.refresh, Logger: logger,
	})
	entry.chatter.Store(chatter)
	callers, err := entry.callerServer()
	if err != nil {
		return err
	}
	servers := []*server{callers}
	for _, other := range []struct {
		name    string
		address netip.AddrPort
		handler http.Handler
	}{
		{"Ready", settings.ReadyListen, platform.ReadyHandler(entry.ready)},
		{"Locate", settings.LocateListen, platform.LocateHandler(entry.locate, logger)},
		{"Peer", entry.peerAddress(), gossip.FeedHandler(entry.readers.mirrors(), logger)},
		{"Metrics", settings.MetricsListen, entry.config.Meter.Handler()},
	} {
		if !other.address.IsValid() {
			continue
		}
		started, err := listen(other.address, other.handler, gate.Config{}, logger)
		if err != nil {
			return errors.Wrapf(err, "listen at [Listen] %s", other.name)
		}
		servers = append(servers, started)
	}
	logger.Info("started", "Instance", settings.Name, "Zone", settings.Zone, "Callers", settings.CallerListen, "Store", settings.StoreAddress)
	var group run.Group
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	actor := func(work func(ctx context.Context) error) {
		group.Add(func() error { return work(ctx) }, func(error) { cancel() })
	}
	actor(entry.readers.operator.follower.Run)
	actor(entry.readers.upstreams.follower.Run)
	actor(entry.announce)
	actor(entry.lag.run)
	actor(entry.relay.LogLoad)
	actor(chatter.Send)
	group.Add(func() error { return chatter.Receive(ctx) }, func(error) { cancel(); conn.Close() })
	for _, server := range servers {
		group.Add(server.serve, func(error) { server.close() })
	}
	group.Add(func() error { return entry.drain(ctx, callers) }, func(error) { cancel() })
	err = group.Run()
	logger.Info("stopped", "Instance", settings.Name, "InFlight", entry.inFlight.Load())
	if errors.Is(err, errDrained) {
		return nil
	}
	return err
}

// State returns the state at this moment, for the metrics.
func (entry *Entry) State() telem.EntryState {
	state := telem.EntryState{
		Ready: entry.ready(), Version: entry.version(), Routers: len(entry.roster.Alive(time.Now())), Upstreams: entry.board.Count(),
		InFlight: entry.inFlight.Load(), RefusedFraction: entry.lag.shed.RefusedFraction(), CaughtUpAge: boot.Now(),
	}
	if known := entry.readers.knownAt(); known > 0 {
		state.CaughtUpAge -= known
	}
	return state
}

func (entry *Entry) version() int64 {
	if current := entry.view.Table(); current != nil {
		return int64(current.Version())
	}
	return 0
}

// sendsAway reports whether a caller should open its next connection elsewhere.
func (entry *Entry) sendsAway() bool {
	return entry.closing.Load() || entry.lag.overloaded() || rand.Float64() < entry.roster.ExcessFraction(time.Now())
}

// refusal answers a request that is refused before it is read by the server.
func (entry *Entry) refusal(head []byte) []byte {
	entry.load.count.Add(1)
	return entry.relay.OverloadRefusal(head)
}

// serving counts the requests.
func (entry *Entry) serving(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		entry.inFlight.Add(1)
		entry.load.count.Add(1)
		defer entry.inFlight.Add(-1)
		handler.ServeHTTP(writer, request)
	})
}

// errDrained ends the run group after a planned stop.
var errDrained = errors.New("drained")

// Stop begins the drain. Later calls do nothing.
func (entry *Entry) Stop() {
	if entry.stopped.CompareAndSwap(false, true) {
		close(entry.stop)
	}
}

// drain waits for Stop and then leaves in steps: callers are told to connect elsewhere at once, new streams are refused when they
// could not end in time, and everything when the last request has ended. The load it answers: routers are replaced one after the
// other, and callers that keep their addresses for long, or stay with one router, meet it while its last streams run.
func (entry *Entry) drain(ctx context.Context, callers *server) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-entry.stop:
	}
	started := time.Now()
	grace := entry.settings.Load().Grace
	entry.closing.Store(true)
	entry.refresh()
	entry.config.Logger.Info("stopping", "Grace", grace, "InFlight", entry.inFlight.Load())
	part := func(share float64) time.Duration { return time.Duration(share * float64(grace)) }
	callers.flushTime.Store(int64(part(flushShare)))
	leaving, quiet := false, 0
	for ; ; time.Sleep(drainPoll) {
		waited, idle := time.Since(started), entry.inFlight.Load() == 0 && callers.gate.PendingRefusals() == 0
		entry.refusingStreams.Store(waited >= part(streamShare))
		if !leaving && (waited >= part(requestShare) || (waited >= part(streamShare) && idle)) {
			leaving = true
			entry.refusing.Store(true)
			callers.stopAccepting()
		}
		if quiet++; !leaving || !idle {
			quiet = 0
		}
		if quiet >= quietPolls || waited >= part(lastShare) {
			return errDrained
		}
	}
}
