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

// maxSeries bounds the series of one instrument, so that an unbounded label value cannot exhaust memory. Organisations are
// not a label, because 29,000 of them on 350 routers would be ten million series.
const maxSeries = 2000

// secondsBuckets are the bucket bounds of all histograms of durations. They include 1.7 s, the target for the first token.
var secondsBuckets = []float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.7, 2.5, 5, 10, 30, 60}

// GrantResult is the result of a grant, the permission of an upstream's owner to send it one request.
type GrantResult int

//go:generate stringer -type GrantResult -trimprefix Grant -output grantresult_string.go

const (
	// GrantSent is a grant that an upstream's owner sent to this router.
	GrantSent GrantResult = iota
	// GrantUsed is a grant that was assigned to a request.
	GrantUsed
	// GrantExpired is a grant that was not used before it expired.
	GrantExpired
)

// State holds the values of the gauges.
type State struct {
	// Version is the first log offset that the applied configuration does not include.
	Version clementinewind.Offset
	// FreshAge is the time since the configuration was last known to be current.
	FreshAge     time.Duration
	LogReachable bool
	// Sessions is the number of live sessions in the router's view.
	Sessions int
	// EventsOverwritten and DisclosuresLost count the events since the start that were overwritten in the ring, or not
	// written to the platform's log.
	EventsOverwritten uint64
	DisclosuresLost   uint64
	// CertificateExpires is the earliest expiry of the router's certificates; the zero value omits the metric.
	CertificateExpires time.Time
	// Upstreams are the upstreams that this router owns.
	Upstreams []Upstream
}

// Upstream is the state of one owned upstream.
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
	// State is called at each scrape, so that ages are current and upstreams that are no longer owned disappear; nil omits
	// the gauges.
	State func() State
	// Ready returns the reason why the router accepts no requests, or nil if it does; a nil function means always ready.
	Ready func() error
	// Pprof serves profiles under /debug/pprof/.
	Pprof bool
	// Logger reports failed scrapes; nil logs nothing.
	Logger hclog.Logger
}

// Meter records the metrics of one router. It is safe for concurrent use.
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

// New returns a meter with its own registry and meter provider.
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
			sdk.WithCardinalityLimit(maxSeries),
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

// builder creates instruments and records the first error.
type builder struct {
	meter metric.Meter
	err   error
}

func (builder *builder) setErr(err error) {
	if builder.err == nil {
		builder.err = err
	}
}

func (builder *builder) counter(name, unit, description string) metric.Int64Counter {
	counter, err := builder.meter.Int64Counter(name, metric.WithUnit(unit), metric.WithDescription(description))
	builder.setErr(err)
	return counter
}

func (builder *builder) histogram(name, description string) metric.Float64Histogram {
	histogram, err := builder.meter.Float64Histogram(name, metric.WithUnit("s"), metric.WithDescription(description),
		metric.WithExplicitBucketBoundaries(secondsBuckets...))
	builder.setErr(err)
	return histogram
}

func (builder *builder) gauge(name, unit, description string) metric.Float64ObservableGauge {
	gauge, err := builder.meter.Float64ObservableGauge(name, metric.WithUnit(unit), metric.WithDescription(description))
	builder.setErr(err)
	return gauge
}

func (builder *builder) observableCounter(name, description string) metric.Int64ObservableCounter {
	counter, err := builder.meter.Int64ObservableCounter(name, metric.WithDescription(description))
	builder.setErr(err)
	return counter
}

func (meter *Meter) createInstruments() error {
	builder := &builder{meter: meter.provider.Meter("clementinewind")}
	meter.requests = builder.counter("clementinewind.requests", "", "Requests that ended, by outcome and reason.")
	meter.tokens = builder.counter("clementinewind.tokens", "", "Tokens served.")
	queueLength, err := builder.meter.Int64UpDownCounter("clementinewind.queue.length",
		metric.WithDescription("Requests that wait for an upstream."))
	builder.setErr(err)
	meter.queueLength = queueLength
	meter.queueWait = builder.histogram("clementinewind.queue.wait", "Time that requests waited for an upstream.")
	meter.firstToken = builder.histogram("clementinewind.first.token", "Time from the arrival of a request to its first token.")
	meter.controlSent = builder.counter("clementinewind.control.sent", "By", "Control bytes sent to other routers and the platform.")
	meter.controlReceived = builder.counter("clementinewind.control.received", "By",
		"Control bytes received from other routers and the platform.")
	meter.grants = builder.counter("clementinewind.grants", "", "Grants by result.")
	meter.rejected = builder.counter("clementinewind.rejected", "",
		"Messages of callers and operators that could not be read, by HTTP status.")
	if meter.config.State != nil {
		meter.observeState(builder)
	}
	return builder.err
}

// observeState registers the gauges that are read from Config.State.
func (meter *Meter) observeState(builder *builder) {
	version := builder.gauge("clementinewind.version", "", "Log offset up to which the configuration was applied.")
	freshAge := builder.gauge("clementinewind.freshness.age", "s", "Age of the newest proof that the configuration is current.")
	logReachable := builder.gauge("clementinewind.log.reachable", "", "1 if the platform's log can be reached.")
	sessions := builder.gauge("clementinewind.sessions", "", "Live sessions in the view of this router.")
	expires := builder.gauge("clementinewind.certificate.expires", "s", "Time at which the first certificate expires, since 1970.")
	upstreams := builder.gauge("clementinewind.upstreams", "", "Owned upstreams by state.")
	limit := builder.gauge("clementinewind.upstream.limit", "", "Concurrency limit of an owned upstream.")
	running := builder.gauge("clementinewind.upstream.running", "", "Requests that run at an owned upstream.")
	overwritten := builder.observableCounter("clementinewind.events.overwritten", "Time line events that were dropped for newer ones.")
	lost := builder.observableCounter("clementinewind.disclosures.lost", "Disclosed events that could not be written to the log.")
	if builder.err != nil {
		return
	}
	_, err := builder.meter.RegisterCallback(func(_ context.Context, observer metric.Observer) error {
		state := meter.config.State()
		observer.ObserveFloat64(version, float64(state.Version))
		observer.ObserveFloat64(freshAge, state.FreshAge.Seconds())
		observer.ObserveFloat64(logReachable, boolToFloat(state.LogReachable))
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
			labels := metric.WithAttributes(poolLabel(upstream.Pool), attribute.String("upstream", string(upstream.Upstream)))
			observer.ObserveFloat64(limit, float64(upstream.Limit), labels)
			observer.ObserveFloat64(running, float64(upstream.Running), labels)
		}
		for key, count := range counts {
			observer.ObserveFloat64(upstreams, float64(count), metric.WithAttributes(
				poolLabel(key.pool), attribute.String("state", key.state.String())))
		}
		return nil
	}, version, freshAge, logReachable, sessions, expires, upstreams, limit, running, overwritten, lost)
	builder.setErr(err)
}

func boolToFloat(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

func poolLabel(pool clementinewind.Pool) attribute.KeyValue {
	return attribute.String("pool", string(pool))
}

// Request counts a request that ended. The pool must be an existing one: callers can send any name, and each would become a
// series.
func (meter *Meter) Request(pool clementinewind.Pool, outcome clementinewind.Outcome, reason clementinewind.Reason) {
	meter.requests.Add(context.Background(), 1, metric.WithAttributes(
		poolLabel(pool), attribute.String("outcome", outcome.String()), attribute.String("reason", reason.String())))
}

// Tokens counts the tokens that an upstream of the pool served.
func (meter *Meter) Tokens(pool clementinewind.Pool, count int) {
	meter.tokens.Add(context.Background(), int64(count), metric.WithAttributes(poolLabel(pool)))
}

// Queued adjusts the queue length: 1 for a request that enters the queue, -1 for one that leaves it.
func (meter *Meter) Queued(pool clementinewind.Pool, change int) {
	meter.queueLength.Add(context.Background(), int64(change), metric.WithAttributes(poolLabel(pool)))
}

// Waited records how long a request was queued for an upstream.
func (meter *Meter) Waited(pool clementinewind.Pool, wait time.Duration) {
	meter.queueWait.Record(context.Background(), wait.Seconds(), metric.WithAttributes(poolLabel(pool)))
}

// FirstToken records the time from the arrival of a request to its first token.
func (meter *Meter) FirstToken(pool clementinewind.Pool, delay time.Duration) {
	meter.firstToken.Record(context.Background(), delay.Seconds(), metric.WithAttributes(poolLabel(pool)))
}

// ControlSent counts the bytes of control traffic sent to other routers and the platform.
func (meter *Meter) ControlSent(bytes int) {
	meter.controlSent.Add(context.Background(), int64(bytes))
}

// ControlReceived counts the bytes of control traffic received from other routers and the platform.
func (meter *Meter) ControlReceived(bytes int) {
	meter.controlReceived.Add(context.Background(), int64(bytes))
}

// Rejected counts a message that was malformed or too large, by the HTTP status of the answer.
func (meter *Meter) Rejected(status int) {
	meter.rejected.Add(context.Background(), 1, metric.WithAttributes(attribute.Int("status", status)))
}

// Grant counts a grant by its result.
func (meter *Meter) Grant(pool clementinewind.Pool, result GrantResult) {
	meter.grants.Add(context.Background(), 1, metric.WithAttributes(poolLabel(pool), attribute.String("result", result.String())))
}

// Shutdown shuts down the meter provider.
func (meter *Meter) Shutdown(ctx context.Context) error {
	return errors.Wrap(meter.provider.Shutdown(ctx), "shut down metrics")
}
