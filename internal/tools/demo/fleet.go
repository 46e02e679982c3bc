package demo

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"golang.org/x/net/http2"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/admin/conf"
	"github.com/clementinewind/clementinewind/internal/route/router"
	"github.com/clementinewind/clementinewind/internal/store/state"
	"github.com/clementinewind/clementinewind/internal/store/tree"
	"github.com/clementinewind/clementinewind/internal/tools/stand"
	"github.com/clementinewind/clementinewind/internal/wire/callerv1/callerv1connect"
	"github.com/clementinewind/clementinewind/internal/wire/operatorv1"
	"github.com/clementinewind/clementinewind/internal/wire/operatorv1/operatorv1connect"
)

const (
	// ModelPool is the pool of the model engines.
	ModelPool = "Quotes"
	// ServicePool is the pool of the booking services.
	ServicePool = "Bookings"
)

// Config configures a Fleet.
type Config struct {
	// Zones, Routers, Engines and Bookings are counts; routers and upstreams are assigned to the zones round-robin.
	Zones, Routers, Engines, Bookings int
	// Organisations gives the weight of each organisation.
	Organisations map[clementinewind.Organisation]int
	Engine        stand.EngineConfig
	Booking       stand.BookingConfig
	// ColdLimit and MaxLimit are the concurrency limits of an upstream of the model pool, in slow start and afterwards.
	ColdLimit, MaxLimit int
	// Settings adjusts the process settings of a router; nil keeps the defaults.
	Settings func(settings conf.Router) conf.Router
	// Log returns the log that a router uses.
	Log func(instance clementinewind.Instance) clementinewind.Log
	// Instances returns the platform's list of instances; if it is nil, the routers get none.
	Instances func(ctx context.Context) ([]router.Listed, error)
	// Host returns the IP address of the named router or upstream.
	Host func(name string) string
	// Listen and Dial form the network. The argument of Dial is the name of the router or client that opens the connection.
	Listen func(ctx context.Context, network, address string) (net.Listener, error)
	Dial   func(name string) func(ctx context.Context, network, address string) (net.Conn, error)
	Logger hclog.Logger
}

// Fleet is a set of routers and simulated upstreams.
type Fleet struct {
	config   Config
	Engines  []*stand.Engine
	Bookings []*stand.Booking
	Nodes    []*Node

	callers, operators *http.Client

	ctx          context.Context
	cancel       context.CancelFunc
	wait         sync.WaitGroup
	settingsText string
}

// Node is one router of a Fleet.
type Node struct {
	Name clementinewind.Instance
	Zone clementinewind.Zone

	// current is the latest run of the router, or nil. It is atomic because callers read it while routers are restarted.
	current atomic.Pointer[routerRun]
}

// routerRun is one run of a router between its start and its end.
type routerRun struct {
	router *router.Router
	cancel context.CancelFunc
	// done is closed when the router has stopped; err must only be read after that.
	done chan struct{}
	err  error
}

// Router returns the router of the latest run, or nil before the first start.
func (node *Node) Router() *router.Router {
	if current := node.current.Load(); current != nil {
		return current.router
	}
	return nil
}

// New returns a fleet with running upstreams; its routers are not started yet.
func New(ctx context.Context, config Config) (*Fleet, error) {
	if config.Logger == nil {
		config.Logger = hclog.NewNullLogger()
	}
	fleet := &Fleet{config: config}
	fleet.callers, fleet.operators = fleet.httpClient("Caller"), fleet.httpClient("Operator")
	fleet.ctx, fleet.cancel = context.WithCancel(ctx)
	var text strings.Builder
	for zone := range config.Zones {
		fmt.Fprintf(&text, "[Zones.%s]\nInService = true\n", ZoneName(zone))
	}
	for organisation, weight := range config.Organisations {
		fmt.Fprintf(&text, "[Organisations.%s]\nWeight = %d\n", organisation, weight)
	}
	fmt.Fprintf(&text, "[Pools.%s]\nKind = Model\nColdLimit = %d\nMaxLimit = %d\n", ModelPool, config.ColdLimit, config.MaxLimit)
	fmt.Fprintf(&text, "[Pools.%s]\nKind = Service\nColdLimit = 8\nMaxLimit = 64\n", ServicePool)
	for i := range config.Engines {
		engine := stand.NewEngine(config.Engine)
		fleet.Engines = append(fleet.Engines, engine)
		if err := fleet.serve(&text, ModelPool, EngineName(i), i, engine); err != nil {
			fleet.Close()
			return nil, err
		}
	}
	for i := range config.Bookings {
		booking := stand.NewBooking(config.Booking)
		fleet.Bookings = append(fleet.Bookings, booking)
		if err := fleet.serve(&text, ServicePool, BookingName(i), i, booking); err != nil {
			fleet.Close()
			return nil, err
		}
	}
	for i := range config.Routers {
		fleet.Nodes = append(fleet.Nodes, &Node{
			Name: clementinewind.Instance(RouterName(i)), Zone: clementinewind.Zone(ZoneName(i % config.Zones)),
		})
	}
	fleet.settingsText = text.String()
	return fleet, nil
}

// ZoneName returns the name of an availability zone.
func ZoneName(number int) string { return fmt.Sprintf("Zone%c", 'A'+number) }

// RouterName returns the name of a router.
func RouterName(number int) string { return fmt.Sprintf("Router%d", number+1) }

// EngineName returns the name of a model engine.
func EngineName(number int) string { return fmt.Sprintf("Engine%d", number+1) }

// BookingName returns the name of a booking service.
func BookingName(number int) string { return fmt.Sprintf("Booking%d", number+1) }

// serve starts the server of an upstream and appends its settings to text.
func (fleet *Fleet) serve(text *strings.Builder, pool, name string, number int, handler http.Handler) error {
	listener, err := fleet.config.Listen(fleet.ctx, "tcp", net.JoinHostPort(fleet.config.Host(name), fleet.portOrEphemeral("8000")))
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	fleet.wait.Go(func() { server.Serve(listener) })
	fleet.wait.Go(func() {
		<-fleet.ctx.Done()
		server.Close()
	})
	fmt.Fprintf(text, "[Pools.%s.%s]\nAddress = %s\nZone = %s\n", pool, name, listener.Addr(), ZoneName(number%fleet.config.Zones))
	return nil
}

// portOrEphemeral returns port if each host has its own address, or 0 on loopback, so that the system assigns a free port.
func (fleet *Fleet) portOrEphemeral(port string) string {
	if strings.HasPrefix(fleet.config.Host(""), "127.") {
		return "0"
	}
	return port
}

// StartRouter starts a router, or restarts a stopped one; no state is kept between runs.
func (fleet *Fleet) StartRouter(number int) error {
	node := fleet.Nodes[number]
	host := fleet.config.Host(string(node.Name))
	address := func(port string) netip.AddrPort {
		return netip.MustParseAddrPort(net.JoinHostPort(host, fleet.portOrEphemeral(port)))
	}
	settings := conf.Default().WithName(node.Name).WithZone(node.Zone).WithCaller(address("7000")).
		WithPeer(address("7001")).WithAdmin(address("7002"))
	if fleet.config.Settings != nil {
		settings = fleet.config.Settings(settings)
	}
	ctx, cancel := context.WithCancel(fleet.ctx)
	started, err := router.New(ctx, router.Config{
		Settings:  settings,
		Log:       fleet.config.Log(node.Name),
		Instances: fleet.config.Instances,
		Dial:      fleet.config.Dial(string(node.Name)),
		Listen:    fleet.config.Listen,
		Logger:    fleet.config.Logger,
	})
	if err != nil {
		cancel()
		return err
	}
	run := &routerRun{router: started, cancel: cancel, done: make(chan struct{})}
	node.current.Store(run)
	fleet.wait.Go(func() {
		defer close(run.done)
		run.err = started.Run(ctx)
	})
	return nil
}

// Start starts all routers, waits until they are ready and publishes the settings.
func (fleet *Fleet) Start(ctx context.Context) error {
	for i := range fleet.Nodes {
		if err := fleet.StartRouter(i); err != nil {
			return err
		}
	}
	if err := fleet.AwaitReady(ctx); err != nil {
		return err
	}
	return fleet.writeSettings(ctx)
}

// RouterRunning reports whether a router has been started and has not stopped.
func (fleet *Fleet) RouterRunning(number int) bool {
	run := fleet.Nodes[number].current.Load()
	if run == nil {
		return false
	}
	select {
	case <-run.done:
		return false
	default:
		return true
	}
}

// AwaitReady waits until all started routers are ready.
func (fleet *Fleet) AwaitReady(ctx context.Context) error {
	for _, node := range fleet.Nodes {
		run := node.current.Load()
		for run != nil && run.router.Ready() != nil {
			select {
			case <-time.After(50 * time.Millisecond):
			case <-run.done:
				return errors.Wrapf(run.err, "router %s stopped", node.Name)
			case <-ctx.Done():
				return errors.Wrapf(run.router.Ready(), "router %s is not ready", node.Name)
			}
		}
	}
	return nil
}

func (fleet *Fleet) writeSettings(ctx context.Context) error {
	settings, err := tree.Parse(fleet.settingsText)
	if err != nil {
		return err
	}
	response, err := fleet.Operator(0).SetSettings(ctx, connect.NewRequest(&operatorv1.SetSettingsRequest{
		Changes: state.ChangesToProto(changesFromEmpty(settings)), Who: "demo", Why: "first settings", Wait: true,
	}))
	if err != nil {
		return err
	}
	if !response.Msg.Accepted || len(response.Msg.Missing) > 0 {
		return errors.Errorf("settings not in force: %s, missing at %v", response.Msg.Conflict, response.Msg.Missing)
	}
	return nil
}

// changesFromEmpty returns the changes that turn an empty tree into settings.
func changesFromEmpty(settings tree.Tree) []tree.Change {
	changes := slices.Concat(settings.ValuesWithin(tree.OrganisationsSection), settings.ValuesWithin(tree.ZonesSection),
		settings.ValuesWithin(tree.PoolsSection))
	for i, change := range changes {
		changes[i].Value, _ = settings.Own(change.Section, change.Key)
	}
	return changes
}

// StopRouter stops a router without draining it. Unlike a killed process, it still reports the outcomes of open requests.
func (fleet *Fleet) StopRouter(number int) error {
	run := fleet.Nodes[number].current.Load()
	run.cancel()
	<-run.done
	return run.err
}

// DrainRouter drains a router and waits until it has stopped.
func (fleet *Fleet) DrainRouter(number int) error {
	run := fleet.Nodes[number].current.Load()
	run.router.Drain()
	<-run.done
	return run.err
}

// Caller returns a client for the caller API of a router.
func (fleet *Fleet) Caller(number int) callerv1connect.CallerServiceClient {
	return callerv1connect.NewCallerServiceClient(fleet.callers, fleet.url(number))
}

// CallerHTTPClient returns the HTTP client that the callers use. It speaks HTTP/2 without TLS.
func (fleet *Fleet) CallerHTTPClient() *http.Client { return fleet.callers }

// Operator returns a client for the operator API of a router.
func (fleet *Fleet) Operator(number int) operatorv1connect.OperatorServiceClient {
	return operatorv1connect.NewOperatorServiceClient(fleet.operators, fleet.url(number))
}

func (fleet *Fleet) url(number int) string {
	return "http://" + fleet.Nodes[number].Router().CallerAddress().String()
}

func (fleet *Fleet) httpClient(name string) *http.Client {
	dial := fleet.config.Dial(name)
	return &http.Client{Transport: &http2.Transport{
		AllowHTTP: true,
		DialTLSContext: func(ctx context.Context, network, address string, _ *tls.Config) (net.Conn, error) {
			return dial(ctx, network, address)
		},
	}}
}

// Close stops all routers and upstreams.
func (fleet *Fleet) Close() {
	fleet.cancel()
	fleet.callers.CloseIdleConnections()
	fleet.operators.CloseIdleConnections()
	fleet.wait.Wait()
}
