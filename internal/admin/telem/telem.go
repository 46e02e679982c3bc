package telem

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"

	"github.com/clementinewind/clementinewind"
)

// seriesLimit bounds the series of one instrument, so that a mistake in a label cannot fill the memory. Organisations
// are not a label, because 29,000 of them on 350 routers would be ten million series.
const seriesLimit = 2000

// secondsBuckets include 1.7 s, the target for the first token.
var secondsBuckets = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.7, 2.5, 5, 10, 30, 60}

// GrantResult tells what became of a grant.
type GrantResult int

//go:generate stringer -type GrantResult -trimprefix Grant -output grantresult_string.go

const (
	// GrantSent is a grant that an owner sent to this router.
	GrantSent GrantResult = iota
	// GrantUsed is a grant that a request was bound to.
	GrantUsed
	// GrantExpired is a grant that was not used in time.
	GrantExpired
)

// State is what the gauges show.
type State struct {
	Version clementinewind.Offset
	// FreshAge is the age of the newest proof that the configuration is current.
	FreshAge     time.Duration
	LogReachable bool
	// Sessions is the number of live sessions in the router's view.
	Sessions int
	// EventsOverwritten and DisclosuresLost count events since the start.
	EventsOverwritten uint64
	DisclosuresLost   uint64
	// CertificateExpires is when the first of the router's certificates expires; the zero value is not shown.
	CertificateExpires time.Time
	// Upstreams are those that this router owns.
	Upstreams []Upstream
}

// Upstream is the state of one upstream.
type Upstream struct {
	Upstream clementinewind.Upstream
	Pool     clementinewind.Pool
	State    clementinewind.UpstreamState
	Limit    int
	Running  int
}

// Config configures a Meter.
type Config struct {
	Instance clementinewind.Instance
	Zone     clementinewind.Zone
	// State is read at each scrape, so that ages are current and upstreams that are no longer owned disappear; nil shows
	// no gauges.
	State func() State
	// Ready returns why the router takes no work, or nil; a nil function is always ready.
	Ready func() error
	// Pprof serves profiles under /debug/pprof/.
	Pprof bool
	// Logger reports scrapes that fail; nil writes nothing.
	Logger hclog.Logger
}

// Meter counts what one router does. Its methods may be called by many goroutines.
type Meter struct {
	config   Config
	registry *prometheus.Registry
	provider *sdk.MeterProvider

	requests        metric.Int64Counter
	tokens          metric.Int64Counter
	queueLength     metric.Int64UpDownCounter
	queueWait       metric.Float64Histogram
	firstToken      metric.Float64Histogram
	controlSent     metric.Int64Counter
	controlReceived metric.Int64Counter
	grants          metric.Int64Counter
	rejected        metric.Int64Counter
}

// New returns a meter with a registry and a meter provider of its own.
func New(config Config) (*Meter, error) {
	if config.Logger == nil {
		config.Logger = hclog.NewNullLogger()
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reader, err := exporter.New(exporter.WithRegisterer(registry), exporter.WithoutScopeInfo())
	if err != nil {
		return nil, errors.Wrap(err, "create metrics exporter")
	}
	meter := &Meter{
		config:   config,
		registry: registry,
		provider: sdk.NewMeterProvider(
			sdk.WithReader(reader),
			sdk.WithCardinalityLimit(seriesLimit),
			sdk.WithResource(resource.NewSchemaless(
				attribute.String("instance", string(config.Instance)), attribute.String("zone", string(config.Zone)),
			)),
		),
	}
	if err := meter.createInstruments(); err != nil {
		return nil, errors.Wrap(err, "create instruments")
	}
	return meter, nil
}

// builder creates instruments and keeps the first error.
type builder struct {
	meter metric.Meter
	err   error
}

func (builder *builder) keep(err error) {
	if builder.err == nil {
		builder.err = err
	}
}

func (builder *builder) counter(name, unit, description string) metric.Int64Counter {
	counter, err := builder.meter.Int64Counter(name, metric.WithUnit(unit), metric.WithDescription(description))
	builder.keep(err)
	return counter
}

func (builder *builder) seconds(name, description string) metric.Float64Histogram {
	histogram, err := builder.meter.Float64Histogram(name, metric.WithUnit("s"), metric.WithDescription(description),
		metric.WithExplicitBucketBoundaries(secondsBuckets...))
	builder.keep(err)
	return histogram
}

func (builder *builder) gauge(name, unit, description string) metric.Float64ObservableGauge {
	gauge, err := builder.meter.Float64ObservableGauge(name, metric.WithUnit(unit), metric.WithDescription(description))
	builder.keep(err)
	return gauge
}

func (builder *builder) total(name, description string) metric.Int64ObservableCounter {
	counter, err := builder.meter.Int64ObservableCounter(name, metric.WithDescription(description))
	builder.keep(err)
	return counter
}

func (meter *Meter) createInstruments() error {
	builder := &builder{meter: meter.provider.Meter("clementinewind")}
	meter.requests = builder.counter("clementinewind.requests", "", "Requests that ended, by outcome and reason.")
	meter.tokens = builder.counter("clementinewind.tokens", "", "Tokens served.")
	queueLength, err := builder.meter.Int64UpDownCounter("clementinewind.queue.length",
		metric.WithDescription("Requests that wait for an upstream."))
	builder.keep(err)
	meter.queueLength = queueLength
	meter.queueWait = builder.seconds("clementinewind.queue.wait", "Time that requests waited for an upstream.")
	meter.firstToken = builder.seconds("clementinewind.first.token", "Time from the arrival of a request to its first token.")
	meter.controlSent = builder.counter("clementinewind.control.sent", "By", "Control bytes sent to other routers and the platform.")
	meter.controlReceived = builder.counter("clementinewind.control.received", "By",
		"Control bytes received from other routers and the platform.")
	meter.grants = builder.counter("clementinewind.grants", "", "Grants by result.")
	meter.rejected = builder.counter("clementinewind.rejected", "",
		"Messages of callers and operators that could not be read, by HTTP status.")
	if meter.config.State != nil {
		meter.observe(builder)
	}
	return builder.err
}

// observe registers the gauges that are read from Config.State.
func (meter *Meter) observe(builder *builder) {
	version := builder.gauge("clementinewind.version", "", "Log offset up to which the configuration was applied.")
	freshAge := builder.gauge("clementinewind.freshness.age", "s", "Age of the newest proof that the configuration is current.")
	logReachable := builder.gauge("clementinewind.log.reachable", "", "1 if the platform's log can be reached.")
	sessions := builder.gauge("clementinewind.sessions", "", "Live sessions in the view of this router.")
	expires := builder.gauge("clementinewind.certificate.expires", "s", "Time at which the first certificate expires, since 1970.")
	upstreams := builder.gauge("clementinewind.upstreams", "", "Owned upstreams by state.")
	limit := builder.gauge("clementinewind.upstream.limit", "", "Concurrency limit of an owned upstream.")
	running := builder.gauge("clementinewind.upstream.running", "", "Requests that run at an owned upstream.")
	overwritten := builder.total("clementinewind.events.overwritten", "Time line events that were dropped for newer ones.")
	lost := builder.total("clementinewind.disclosures.lost", "Disclosed events that could not be written to the log.")
	if builder.err != nil {
		return
	}
	_, err := builder.meter.RegisterCallback(func(_ context.Context, observer metric.Observer) error {
		state := meter.config.State()
		observer.ObserveFloat64(version, float64(state.Version))
		observer.ObserveFloat64(freshAge, state.FreshAge.Seconds())
		observer.ObserveFloat64(logReachable, number(state.LogReachable))
		observer.ObserveFloat64(sessions, float64(state.Sessions))
		observer.ObserveInt64(overwritten, int64(state.EventsOverwritten))
		observer.ObserveInt64(lost, int64(state.DisclosuresLost))
		if !state.CertificateExpires.IsZero() {
			observer.ObserveFloat64(expires, float64(state.CertificateExpires.Unix()))
		}
		type poolState struct {
			pool  clementinewind.Pool
			state clementinewind.UpstreamState
		}
		counts := map[poolState]int{}
		for _, upstream := range state.Upstreams {
			counts[poolState{upstream.Pool, upstream.State}]++
			labels := metric.WithAttributes(pool(upstream.Pool), attribute.String("upstream", string(upstream.Upstream)))
			observer.ObserveFloat64(limit, float64(upstream.Limit), labels)
			observer.ObserveFloat64(running, float64(upstream.Running), labels)
		}
		for key, count := range counts {
			observer.ObserveFloat64(upstreams, float64(count), metric.WithAttributes(
				pool(key.pool), attribute.String("state", key.state.String())))
		}
		return nil
	}, version, freshAge, logReachable, sessions, expires, upstreams, limit, running, overwritten, lost)
	builder.keep(err)
}

func number(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

func pool(name clementinewind.Pool) attribute.KeyValue {
	return attribute.String("pool", string(name))
}

// Request counts a request that ended. The pool must exist, since callers can send any name.
func (meter *Meter) Request(name clementinewind.Pool, outcome clementinewind.Outcome, reason clementinewind.Reason) {
	meter.requests.Add(context.Background(), 1, metric.WithAttributes(
		pool(name), attribute.String("outcome", outcome.String()), attribute.String("reason", reason.String())))
}

// Tokens counts tokens that an upstream of the pool served.
func (meter *Meter) Tokens(name clementinewind.Pool, count int) {
	meter.tokens.Add(context.Background(), int64(count), metric.WithAttributes(pool(name)))
}

// Queued changes the number of waiting requests: 1 for one that starts to wait, -1 for one that stops.
func (meter *Meter) Queued(name clementinewind.Pool, change int) {
	meter.queueLength.Add(context.Background(), int64(change), metric.WithAttributes(pool(name)))
}

// Waited records how long a request waited for an upstream.
func (meter *Meter) Waited(name clementinewind.Pool, wait time.Duration) {
	meter.queueWait.Record(context.Background(), wait.Seconds(), metric.WithAttributes(pool(name)))
}

// FirstToken records the time from the arrival of a request to its first token.
func (meter *Meter) FirstToken(name clementinewind.Pool, delay time.Duration) {
	meter.firstToken.Record(context.Background(), delay.Seconds(), metric.WithAttributes(pool(name)))
}

// ControlSent counts control bytes sent to other routers and the platform.
func (meter *Meter) ControlSent(bytes int) {
	meter.controlSent.Add(context.Background(), int64(bytes))
}

// ControlReceived counts control bytes received from other routers and the platform.
func (meter *Meter) ControlReceived(bytes int) {
	meter.controlReceived.Add(context.Background(), int64(bytes))
}

// Rejected counts a message that was malformed or too large to be read.
func (meter *Meter) Rejected(status int) {
	meter.rejected.Add(context.Background(), 1, metric.WithAttributes(attribute.Int("status", status)))
}

// Grant counts a grant.
func (meter *Meter) Grant(name clementinewind.Pool, result GrantResult) {
	meter.grants.Add(context.Background(), 1, metric.WithAttributes(pool(name), attribute.String("result", result.String())))
}

// Shutdown releases the meter provider.
func (meter *Meter) Shutdown(ctx context.Context) error {
	return errors.Wrap(meter.provider.Shutdown(ctx), "shut down metrics")
}
