package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/admin/conf"
	"github.com/clementinewind/clementinewind/internal/admin/event"
	"github.com/clementinewind/clementinewind/internal/share/pause"
	"github.com/clementinewind/clementinewind/internal/store/plog"
	"github.com/clementinewind/clementinewind/internal/tools/stand"
	"github.com/clementinewind/clementinewind/internal/wire/callerv1"
	"github.com/clementinewind/clementinewind/internal/wire/operatorv1"
)

const (
	// loadDuration is how long the demo sends requests. A zone is out of service during the second third of it.
	loadDuration = 12 * time.Second
	// callersPerOrganisation is the number of concurrent callers; each sends one request after the other.
	callersPerOrganisation = 4
	// zoneGrace is how long a zone may still get new requests after it was taken out of service.
	zoneGrace = 3 * time.Second
	maxTokens = 24
)

// RunConfig configures a run of the demo.
type RunConfig struct {
	// Serve keeps the fleet running until the context ends, without sending requests.
	Serve  bool
	Output io.Writer
	Logger hclog.Logger
}

// Loopback returns the configuration of a small fleet on loopback addresses.
func Loopback(log func(instance clementinewind.Instance) clementinewind.Log, logger hclog.Logger) Config {
	return Config{
		Zones: 3, Routers: 3, Engines: 3, Bookings: 3, ColdLimit: 2, MaxLimit: 8,
		Organisations: map[clementinewind.Organisation]int{"Patel": 1, "Fjordvolt": 2},
		Engine:        stand.EngineConfig{MaxBatch: 8, ColdBatch: 2, TokenTime: 5 * time.Millisecond},
		Settings: func(settings conf.Router) conf.Router {
			return settings.WithAddressTimeToLive(time.Second).WithResumeGrace(2 * time.Second)
		},
		Log:    log,
		Host:   func(string) string { return "127.0.0.1" },
		Listen: (&net.ListenConfig{}).Listen,
		Dial: func(string) func(ctx context.Context, network, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext
		},
		Logger: logger,
	}
}

// Run runs a fleet on loopback with a simulated platform. It returns an error if a guarantee was violated.
func Run(ctx context.Context, config RunConfig) error {
	ctx, cancel := context.WithCancel(ctx)
	var wait sync.WaitGroup
	defer wait.Wait()
	defer cancel()
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	platform := stand.NewPlatform(stand.PlatformConfig{Listener: listener})
	wait.Go(func() { platform.Run(ctx) })
	url := "http://" + listener.Addr().String()
	fleet, err := New(ctx, Loopback(func(clementinewind.Instance) clementinewind.Log {
		return plog.NewClient(plog.ClientConfig{HTTPClient: plog.NewHTTPClient(nil), URL: url})
	}, config.Logger))
	if err != nil {
		return err
	}
	defer fleet.Close()
	if err := fleet.Start(ctx); err != nil {
		return err
	}
	if config.Serve {
		return fleet.serveUntilDone(ctx, config.Output)
	}
	return fleet.runLoad(ctx, config.Output)
}

// serveUntilDone prints the addresses and waits until the context ends.
func (fleet *Fleet) serveUntilDone(ctx context.Context, output io.Writer) error {
	for i, node := range fleet.Nodes {
		fmt.Fprintf(output, "%s in %s serves at %s\n", node.Name, node.Zone, fleet.url(i))
	}
	fmt.Fprintf(output, "organisations: Patel, Fjordvolt; pools: %s (model), %s (service); end with Ctrl-C\n", ModelPool, ServicePool)
	<-ctx.Done()
	return nil
}

// tally counts the results of the callers' requests.
type tally struct {
	answered, refused, unknown, wrong, booked atomic.Int64
}

// runLoad sends requests while a zone is taken out of service and returned, and prints the results.
func (fleet *Fleet) runLoad(ctx context.Context, output io.Writer) error {
	var tally tally
	loadCtx, cancel := context.WithTimeout(ctx, loadDuration)
	defer cancel()
	var callers sync.WaitGroup
	for organisation := range fleet.config.Organisations {
		for number := range callersPerOrganisation {
			callers.Go(func() { fleet.runCaller(loadCtx, &tally, organisation, number) })
		}
	}
	lateRequests, err := fleet.cycleZone(ctx, output)
	callers.Wait()
	if err != nil {
		return err
	}
	if err := fleet.printTimeline(ctx, output); err != nil {
		return err
	}
	doubleBookings := fleet.DoubleBookings()
	fmt.Fprintf(output, "answered %d, booked %d, refused as not run %d, unknown %d\n",
		tally.answered.Load(), tally.booked.Load(), tally.refused.Load(), tally.unknown.Load())
	fmt.Fprintf(output, "wrong answers %d, bookings run twice %d, requests sent to the zone over %v after it was taken out %d\n",
		tally.wrong.Load(), doubleBookings, zoneGrace, lateRequests)
	if tally.wrong.Load() > 0 || doubleBookings > 0 || lateRequests > 0 || tally.answered.Load() == 0 || tally.booked.Load() == 0 {
		return errors.New("a guarantee was violated")
	}
	return nil
}

// runCaller sends model requests and bookings until the context ends.
func (fleet *Fleet) runCaller(ctx context.Context, tally *tally, organisation clementinewind.Organisation, number int) {
	for sequence := 0; ctx.Err() == nil; sequence++ {
		router := (number + sequence) % len(fleet.Nodes)
		prompt := fmt.Sprintf("%s asks for quote %d of caller %d", organisation, sequence, number)
		fleet.askModel(context.WithoutCancel(ctx), tally, organisation, router, prompt)
		fleet.book(context.WithoutCancel(ctx), tally, organisation, router, strconv.Itoa(number)+"-"+strconv.Itoa(sequence))
	}
}

func (fleet *Fleet) askModel(ctx context.Context, tally *tally, organisation clementinewind.Organisation, router int, prompt string) {
	stream, err := fleet.Caller(router).Generate(ctx, connect.NewRequest(&callerv1.GenerateRequest{
		Organisation: string(organisation), Pool: ModelPool, Prompt: prompt, MaxTokens: maxTokens,
	}))
	if err != nil {
		tally.addFailure(err)
		return
	}
	defer stream.Close()
	var answer []string
	for stream.Receive() {
		answer = append(answer, stream.Msg().Tokens...)
	}
	switch err := stream.Err(); {
	case err != nil:
		tally.addFailure(err)
	case !slices.Equal(answer, stand.Answer(prompt, maxTokens)):
		tally.wrong.Add(1)
	default:
		tally.answered.Add(1)
	}
}

func (fleet *Fleet) book(ctx context.Context, tally *tally, organisation clementinewind.Organisation, router int, key string) {
	body := []byte(string(organisation) + " books " + key)
	response, err := fleet.Caller(router).Call(ctx, connect.NewRequest(&callerv1.CallRequest{
		Organisation: string(organisation), Pool: ServicePool, Path: "/book", Body: body,
		IdempotencyKey: key, KeyIssuedMillis: time.Now().UnixMilli(),
	}))
	switch {
	case err != nil:
		tally.addFailure(err)
	case response.Msg.Status != http.StatusOK || string(response.Msg.Body) != string(stand.BookingAnswer("/book", body)):
		tally.wrong.Add(1)
	default:
		tally.booked.Add(1)
	}
}

// addFailure counts a failed request by its outcome.
func (tally *tally) addFailure(err error) {
	if RefusalOf(err).GetOutcome() == callerv1.Outcome_OUTCOME_NOT_RUN {
		tally.refused.Add(1)
	} else {
		tally.unknown.Add(1)
	}
}

// RefusalOf returns the refusal that an error of the caller API carries, or nil.
func RefusalOf(err error) *callerv1.Refusal {
	var failure *connect.Error
	if !errors.As(err, &failure) {
		return nil
	}
	for _, detail := range failure.Details() {
		if value, err := detail.Value(); err == nil {
			if refusal, ok := value.(*callerv1.Refusal); ok {
				return refusal
			}
		}
	}
	return nil
}

// cycleZone takes the first zone out of service and returns it while the callers run. It returns the number of requests that
// the zone's upstreams got more than zoneGrace after the removal.
func (fleet *Fleet) cycleZone(ctx context.Context, output io.Writer) (int, error) {
	zone := ZoneName(0)
	if err := pause.For(ctx, loadDuration/3); err != nil {
		return 0, err
	}
	removed := time.Now()
	if err := fleet.SetZone(ctx, zone, false); err != nil {
		return 0, err
	}
	fmt.Fprintf(output, "zone %s out of service on every router after %v\n", zone, time.Since(removed).Round(time.Millisecond))
	if err := pause.For(ctx, loadDuration/3); err != nil {
		return 0, err
	}
	lateRequests := len(fleet.ReceivedInZone(0, removed.Add(zoneGrace)))
	returned := time.Now()
	if err := fleet.SetZone(ctx, zone, true); err != nil {
		return 0, err
	}
	fmt.Fprintf(output, "zone %s back in service on every router after %v\n", zone, time.Since(returned).Round(time.Millisecond))
	return lateRequests, pause.For(ctx, loadDuration/3)
}

// SetZone takes a zone out of service or returns it, and waits until all routers have applied that.
func (fleet *Fleet) SetZone(ctx context.Context, zone string, inService bool) error {
	response, err := fleet.Operator(0).SetZone(ctx, connect.NewRequest(&operatorv1.SetZoneRequest{
		Zone: zone, InService: inService, Who: "demo", Why: "demonstration", Wait: true,
	}))
	if err != nil {
		return err
	}
	if !response.Msg.Accepted || len(response.Msg.Missing) > 0 {
		return errors.Errorf("zone %s: %s, missing at %v", zone, response.Msg.Conflict, response.Msg.Missing)
	}
	return nil
}

// ReceivedInZone returns the requests that the upstreams of a zone received after a time.
func (fleet *Fleet) ReceivedInZone(zone int, after time.Time) []stand.Received {
	var received []stand.Received
	for i, engine := range fleet.Engines {
		if i%fleet.config.Zones == zone {
			received = append(received, engine.ReceivedAfter(after)...)
		}
	}
	for i, booking := range fleet.Bookings {
		if i%fleet.config.Zones == zone {
			received = append(received, booking.ReceivedAfter(after)...)
		}
	}
	return received
}

// DoubleBookings returns the number of bookings that ran more than once across all booking services.
func (fleet *Fleet) DoubleBookings() int {
	runs := map[string]int{}
	for _, booking := range fleet.Bookings {
		for body, count := range booking.RunsByBody() {
			runs[body] += count
		}
	}
	doubleBookings := 0
	for _, count := range runs {
		if count > 1 {
			doubleBookings++
		}
	}
	return doubleBookings
}

func (fleet *Fleet) printTimeline(ctx context.Context, output io.Writer) error {
	response, err := fleet.Operator(0).Timeline(ctx, connect.NewRequest(&operatorv1.TimelineRequest{Limit: 30}))
	if err != nil {
		return err
	}
	return event.Timeline{Events: event.ListFromProto(response.Msg.Events)}.WriteText(output)
}
