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
	"github.com/clementinewind/clementinewind/internal/share/bound"
)

// EntryConfig configures an EntryMeter.
type EntryConfig struct {
	Instance clementinewind.Instance
	Zone     clementinewind.Zone
	// DroppedLines returns the number of log lines that were dropped; nil omits the metric.
	DroppedLines func() int64
}

// EntryMeter records the metrics of a router behind the platform's HTTP entry. It is safe for concurrent use.
type EntryMeter struct {
	handler  http.Handler
	provider *sdk.MeterProvider

	requests      metric.Int64Counter
	duration      metric.Float64Histogram
	firstEvent    metric.Float64Histogram
	estimateError metric.Float64Histogram
	connections   metric.Int64Counter
	storeCalls    metric.Int64Counter
	storeTime     metric.Float64Histogram
	loadReports   metric.Int64Counter
	reportAge     metric.Float64Histogram
}

// NewEntry returns a meter with its own registry.
func NewEntry(config EntryConfig) (*EntryMeter, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reader, err := exporter.New(exporter.WithRegisterer(registry), exporter.WithoutScopeInfo())
	if err != nil {
		return nil, errors.Wrap(err, "create metrics exporter")
	}
	meter := &EntryMeter{
		handler:  metricsHandler(registry, hclog.NewNullLogger()),
		provider: sdk.NewMeterProvider(sdk.WithReader(reader), sdk.WithCardinalityLimit(maxSeries)),
	}
	builder := &builder{meter: meter.provider.Meter("clementinewind")}
	meter.requests = builder.counter("clementinewind.entry.requests", "", "Requests that ended, by service and outcome.")
	meter.duration = builder.histogram("clementinewind.entry.duration", "Time from the arrival of a request to its end.")
	meter.firstEvent = builder.histogram("clementinewind.entry.first.event", "Time from the arrival of a request to its first event.")
	meter.estimateError = builder.histogram("clementinewind.entry.model.error",
		"Difference between the time to the first event and its estimate.")
	meter.connections = builder.counter("clementinewind.entry.connections", "", "New connections to upstreams.")
	meter.storeCalls = builder.counter("clementinewind.entry.store.calls", "", "Calls to the platform's store, by result.")
	meter.storeTime = builder.histogram("clementinewind.entry.store.time", "Time of calls to the platform's store.")
	meter.loadReports = builder.counter("clementinewind.entry.load.reports", "", "Reports of load by upstreams, by service and result.")
	meter.reportAge = builder.histogram("clementinewind.entry.load.report.age", "Age of the report by which an upstream was chosen.")
	droppedLines := builder.observableCounter("clementinewind.entry.lines.left.out", "Log lines that were left out.")
	if builder.err == nil && config.DroppedLines != nil {
		_, err := builder.meter.RegisterCallback(func(_ context.Context, observer metric.Observer) error {
			observer.ObserveInt64(droppedLines, config.DroppedLines())
			return nil
		}, droppedLines)
		builder.setErr(err)
	}
	if builder.err != nil {
		return nil, errors.Wrap(builder.err, "create instruments")
	}
	return meter, nil
}

// EntryState holds the values of the gauges of an EntryMeter.
type EntryState struct {
	Ready bool
	// Version is the version of the configuration in force, 0 if there is none.
	Version int64
	// CaughtUpAge is the time since the topics of the platform's store were last read to their end.
	CaughtUpAge time.Duration
	// Routers is the number of live routers, including this one, and Upstreams the number of known upstreams.
	Routers, Upstreams int
	// InFlight is the number of requests that are being served.
	InFlight int64
	// Connections is the number of open connections of callers.
	Connections int
	// RefusedFraction is the fraction of requests that load shedding refuses because processor time is short.
	RefusedFraction float64
	// SuspectedParts is the number of prompt parts that may have crashed an upstream, QuarantinedParts the number of those that
	// requests are rejected for.
	SuspectedParts, QuarantinedParts int
	// Memory is what callers and upstreams make the router hold.
	Memory bound.State
	// RolloutsServing, RolloutsComplete and RolloutsRolledBack are the numbers of services by the state of their last roll-out.
	RolloutsServing, RolloutsComplete, RolloutsRolledBack int
	// StreamVersions is the number of versions at which streams may have begun, over all services, and Streams that of the streams whose version
	// the router knows.
	StreamVersions, Streams int
}

// ObserveState registers the gauges, which call state at each scrape. It must be called at most once.
func (meter *EntryMeter) ObserveState(state func() EntryState) error {
	builder := &builder{meter: meter.provider.Meter("clementinewind")}
	ready := builder.gauge("clementinewind.entry.ready", "", "1 while the router takes requests.")
	version := builder.gauge("clementinewind.entry.version", "", "Version of the configuration in force.")
	caughtUpAge := builder.gauge("clementinewind.entry.known.age", "s", "Time since the topics of the platform's store were read to their end.")
	routers := builder.gauge("clementinewind.entry.routers", "", "Routers that are heard, with the router itself.")
	upstreams := builder.gauge("clementinewind.entry.upstreams", "", "Upstreams that are known.")
	inFlight := builder.gauge("clementinewind.entry.in.flight", "", "Requests that are being served.")
	connections := builder.gauge("clementinewind.entry.caller.connections", "", "Open connections of callers, idle ones included.")
	refusedFraction := builder.gauge("clementinewind.entry.refused.part", "",
		"Part of the requests that is refused because the processor is not enough.")
	suspectedParts := builder.gauge("clementinewind.entry.suspected.parts", "", "Prompt parts that may have crashed an upstream.")
	quarantinedParts := builder.gauge("clementinewind.entry.quarantined.parts", "",
		"Prompt parts that crashed several upstreams; requests with them are rejected.")
	held := builder.gauge("clementinewind.entry.held", "By", "Memory that callers and upstreams make the router hold, by kind.")
	heldLimit := builder.gauge("clementinewind.entry.held.limit", "By", "Limit of that memory.")
	evictions := builder.observableCounter("clementinewind.entry.evictions", "Requests that lost their place because they stopped while others waited.")
	rollouts := builder.gauge("clementinewind.entry.rollouts", "", "Services by the state of their last roll-out.")
	streamVersions := builder.gauge("clementinewind.entry.stream.versions", "", "Versions of services at which streams may have begun.")
	streams := builder.gauge("clementinewind.entry.known.streams", "", "Streams of which the router knows the version that began them.")
	if builder.err != nil {
		return errors.Wrap(builder.err, "create instruments")
	}
	_, err := builder.meter.RegisterCallback(func(_ context.Context, observer metric.Observer) error {
		current := state()
		observer.ObserveFloat64(streamVersions, float64(current.StreamVersions))
		observer.ObserveFloat64(streams, float64(current.Streams))
		observer.ObserveFloat64(ready, boolToFloat(current.Ready))
		observer.ObserveFloat64(version, float64(current.Version))
		observer.ObserveFloat64(caughtUpAge, current.CaughtUpAge.Seconds())
		observer.ObserveFloat64(routers, float64(current.Routers))
		observer.ObserveFloat64(upstreams, float64(current.Upstreams))
		observer.ObserveFloat64(inFlight, float64(current.InFlight))
		observer.ObserveFloat64(connections, float64(current.Connections))
		observer.ObserveFloat64(refusedFraction, current.RefusedFraction)
		observer.ObserveFloat64(suspectedParts, float64(current.SuspectedParts))
		observer.ObserveFloat64(quarantinedParts, float64(current.QuarantinedParts))
		for kind, bytes := range current.Memory.Held {
			observer.ObserveFloat64(held, float64(bytes), metric.WithAttributes(attribute.String("kind", bound.Kind(kind).String())))
		}
		observer.ObserveFloat64(heldLimit, float64(current.Memory.Limit))
		observer.ObserveInt64(evictions, current.Memory.Evictions)
		for stateName, count := range map[string]int{
			"Serving": current.RolloutsServing, "Complete": current.RolloutsComplete, "RolledBack": current.RolloutsRolledBack,
		} {
			observer.ObserveFloat64(rollouts, float64(count), metric.WithAttributes(attribute.String("state", stateName)))
		}
		return nil
	}, ready, version, caughtUpAge, routers, upstreams, inFlight, connections, refusedFraction, suspectedParts, quarantinedParts, held, heldLimit, evictions,
		rollouts, streamVersions, streams)
	return errors.Wrap(err, "register gauges")
}

// Handler serves the metrics for a Prometheus scrape.
func (meter *EntryMeter) Handler() http.Handler { return meter.handler }

// Ended records the outcome and the duration of a request that ended.
func (meter *EntryMeter) Ended(service table.Service, outcome string, took time.Duration) {
	labels := metric.WithAttributes(serviceLabel(service), attribute.String("outcome", outcome))
	meter.requests.Add(context.Background(), 1, labels)
	meter.duration.Record(context.Background(), took.Seconds(), labels)
}

// FirstEvent records the time to the first event of an answer and the absolute error of its estimate.
func (meter *EntryMeter) FirstEvent(service table.Service, took, estimate time.Duration) {
	labels := metric.WithAttributes(serviceLabel(service))
	meter.firstEvent.Record(context.Background(), took.Seconds(), labels)
	meter.estimateError.Record(context.Background(), (took - estimate).Abs().Seconds(), labels)
}

// Connected counts a new connection to an upstream.
func (meter *EntryMeter) Connected(service table.Service) {
	meter.connections.Add(context.Background(), 1, metric.WithAttributes(serviceLabel(service)))
}

// LoadReport counts a report of load in an answer of an upstream by what became of it.
func (meter *EntryMeter) LoadReport(service table.Service, result string) {
	meter.loadReports.Add(context.Background(), 1, metric.WithAttributes(serviceLabel(service), attribute.String("result", result)))
}

// ReportUsed records the age of the report by which an upstream was chosen; corrected is set if it said something else than was known
// without it.
func (meter *EntryMeter) ReportUsed(service table.Service, age time.Duration, corrected bool) {
	labels := metric.WithAttributes(serviceLabel(service), attribute.Bool("corrected", corrected))
	meter.reportAge.Record(context.Background(), age.Seconds(), labels)
}

// StoreCall records a call to the platform's store; status is the HTTP status, or 0 if there was no answer.
func (meter *EntryMeter) StoreCall(call string, status int, took time.Duration) {
	labels := metric.WithAttributes(attribute.String("call", call), attribute.String("status", strconv.Itoa(status)))
	meter.storeCalls.Add(context.Background(), 1, labels)
	meter.storeTime.Record(context.Background(), took.Seconds(), labels)
}

func serviceLabel(service table.Service) attribute.KeyValue {
	return attribute.String("service", string(service))
}
