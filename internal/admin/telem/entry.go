package telem

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/route/table"
)

// EntryConfig configures an EntryMeter.
type EntryConfig struct {
	Instance clementinewind.Instance
	Zone     clementinewind.Zone
	// DroppedLines returns how many log lines were left out.
	DroppedLines func() int64
}

// EntryMeter counts what a router on the users' platform does. Its methods may be called by many goroutines.
type EntryMeter struct {
	handler  http.Handler
	provider *sdk.MeterProvider

	requests    metric.Int64Counter
	duration    metric.Float64Histogram
	firstEvent  metric.Float64Histogram
	modelError  metric.Float64Histogram
	connections metric.Int64Counter
	storeCalls  metric.Int64Counter
	storeTime   metric.Float64Histogram
}

// NewEntry returns a meter with a registry of its own.
func NewEntry(config EntryConfig) (*EntryMeter, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reader, err := exporter.New(exporter.WithRegisterer(registry), exporter.WithoutScopeInfo())
	if err != nil {
		return nil, errors.Wrap(err, "create metrics exporter")
	}
	meter := &EntryMeter{
		handler:  exposition(registry, hclog.NewNullLogger()),
		provider: sdk.NewMeterProvider(sdk.WithReader(reader), sdk.WithCardinalityLimit(seriesLimit)),
	}
	builder := &builder{meter: meter.provider.Meter("clementinewind")}
	meter.requests = builder.counter("clementinewind.entry.requests", "", "Requests that ended, by service and outcome.")
	meter.duration = builder.seconds("clementinewind.entry.duration", "Time from the arrival of a request to its end.")
	meter.firstEvent = builder.seconds("clementinewind.entry.first.event", "Time from the arrival of a request to its first event.")
	meter.modelError = builder.seconds("clementinewind.entry.model.error",
		"Difference between the time to the first event and its estimate.")
	meter.connections = builder.counter("clementinewind.entry.connections", "", "New connections to upstreams.")
	meter.storeCalls = builder.counter("clementinewind.entry.store.calls", "", "Calls to the platform's store, by result.")
	meter.storeTime = builder.seconds("clementinewind.entry.store.time", "Time of calls to the platform's store.")
	leftOut := builder.total("clementinewind.entry.lines.left.out", "Log lines that were left out.")
	if builder.err == nil && config.DroppedLines != nil {
		_, err := builder.meter.RegisterCallback(func(_ context.Context, observer metric.Observer) error {
			observer.ObserveInt64(leftOut, config.DroppedLines())
			return nil
		}, leftOut)
		builder.keep(err)
	}
	if builder.err != nil {
		return nil, errors.Wrap(builder.err, "create instruments")
	}
	return meter, nil
}

// EntryState is what a router on the users' platform knows of itself and of the fleet.
type EntryState struct {
	Ready bool
	// Version is that of the configuration in force, 0 if there is none.
	Version int64
	// CaughtUpAge is how long ago the topics of the platform's store were known to be read to their end.
	CaughtUpAge time.Duration
	// Routers are those that are heard, with the router itself, and Upstreams those that are known.
	Routers, Upstreams int
	// InFlight are the requests that are being served.
	InFlight int64
	// RefusedFraction is the part of the requests that is refused because the processor is not enough.
	RefusedFraction float64
}

// ObserveState has the metrics tell a state, which is asked for whenever they are read. It is called once.
func (meter *EntryMeter) ObserveState(state func() EntryState) error {
	builder := &builder{meter: meter.provider.Meter("clementinewind")}
	ready := builder.gauge("clementinewind.entry.ready", "", "1 while the router takes requests.")
	version := builder.gauge("clementinewind.entry.version", "", "Version of the configuration in force.")
	age := builder.gauge("clementinewind.entry.known.age", "s", "Time since the topics of the platform's store were read to their end.")
	routers := builder.gauge("clementinewind.entry.routers", "", "Routers that are heard, with the router itself.")
	upstreams := builder.gauge("clementinewind.entry.upstreams", "", "Upstreams that are known.")
	inFlight := builder.gauge("clementinewind.entry.in.flight", "", "Requests that are being served.")
	refused := builder.gauge("clementinewind.entry.refused.part", "",
		"Part of the requests that is refused because the processor is not enough.")
	if builder.err != nil {
		return errors.Wrap(builder.err, "create instruments")
	}
	_, err := builder.meter.RegisterCallback(func(_ context.Context, observer metric.Observer) error {
		current := state()
		observer.ObserveFloat64(ready, number(current.Ready))
		observer.ObserveFloat64(version, float64(current.Version))
		observer.ObserveFloat64(age, current.CaughtUpAge.Seconds())
		observer.ObserveFloat64(routers, float64(current.Routers))
		observer.ObserveFloat64(upstreams, float64(current.Upstreams))
		observer.ObserveFloat64(inFlight, float64(current.InFlight))
		observer.ObserveFloat64(refused, current.RefusedFraction)
		return nil
	}, ready, version, age, routers, upstreams, inFlight, refused)
	return errors.Wrap(err, "watch the router")
}

// Handler serves the metrics.
func (meter *EntryMeter) Handler() http.Handler { return meter.handler }

// Ended counts a request by its outcome.
func (meter *EntryMeter) Ended(service table.Service, outcome string, took time.Duration) {
	labels := metric.WithAttributes(serviceLabel(service), attribute.String("outcome", outcome))
	meter.requests.Add(context.Background(), 1, labels)
	meter.duration.Record(context.Background(), took.Seconds(), labels)
}

// FirstEvent records the time to a first event and the error of its estimate.
func (meter *EntryMeter) FirstEvent(service table.Service, took, expected time.Duration) {
	labels := metric.WithAttributes(serviceLabel(service))
	meter.firstEvent.Record(context.Background(), took.Seconds(), labels)
	meter.modelError.Record(context.Background(), (took - expected).Abs().Seconds(), labels)
}

// Connected counts a new connection to an upstream.
func (meter *EntryMeter) Connected(service table.Service) {
	meter.connections.Add(context.Background(), 1, metric.WithAttributes(serviceLabel(service)))
}

// StoreCall counts a call to the platform's store; the status is 0 for a call without an answer.
func (meter *EntryMeter) StoreCall(call string, status int, took time.Duration) {
	labels := metric.WithAttributes(attribute.String("call", call), attribute.String("status", strconv.Itoa(status)))
	meter.storeCalls.Add(context.Background(), 1, labels)
	meter.storeTime.Record(context.Background(), took.Seconds(), labels)
}

func serviceLabel(service table.Service) attribute.KeyValue {
	return attribute.String("service", string(service))
}
