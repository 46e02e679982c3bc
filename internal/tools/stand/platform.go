package stand

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	oklogrun "github.com/oklog/run"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/wire/platformv1"
	"github.com/clementinewind/clementinewind/internal/wire/platformv1/platformv1connect"
)

const (
	// DefaultRetention is the shortest log retention with which the routers keep their guarantees.
	DefaultRetention = 48 * time.Hour
	// DefaultAppendsPerSecond models the rate limit of the platform, which is several hundred appends a second.
	DefaultAppendsPerSecond = 300
	// DefaultWeightsPerSecond is the rate limit of the weight store.
	DefaultWeightsPerSecond = 5
	// DefaultInstanceLag is how old the state is that the instance list shows.
	DefaultInstanceLag = 10 * time.Second

	shutdownTimeout   = 5 * time.Second
	readHeaderTimeout = 10 * time.Second
	// maxAppendBytes and maxReadWait bound the cost of one call.
	maxAppendBytes = 16 << 20
	maxReadWait    = time.Minute
)

// PlatformConfig configures a Platform. Zero values take the defaults.
type PlatformConfig struct {
	// Log holds the records; nil makes an empty one. The platform sets its retention and faults.
	Log *Log
	// Listener takes the connections of Run.
	Listener         net.Listener
	Retention        time.Duration
	AppendsPerSecond float64
	WeightsPerSecond float64
	// InstanceLag is how old the state is that ListInstances returns; a negative value means current.
	InstanceLag time.Duration
	// Seed seeds the random choices behind the rates in PlatformFaults.
	Seed uint64
}

// PlatformFaults are the faults injected into a Platform. The zero value injects none.
type PlatformFaults struct {
	// Down makes all calls fail without effect.
	Down bool
	// Hang makes all calls wait without effect until their callers give up.
	Hang bool
	// AppendsDown makes appends fail without effect, while reads work.
	AppendsDown bool
	// LoseReplies makes appends take effect and then fail.
	LoseReplies bool
	// LoseRequestRate and LoseReplyRate are the fractions of appends that fail without effect, or take effect and fail.
	LoseRequestRate float64
	LoseReplyRate   float64
	// DelayMillis is added before each call takes effect.
	DelayMillis int64
	// FreezeInstances keeps the instance list in its current state.
	FreezeInstances bool
	// WeightsDown makes the weight store fail.
	WeightsDown bool
}

// PlatformInstance is an entry of the instance list.
type PlatformInstance struct {
	Name    string
	Zone    string
	Address string
	Leaving bool
	// Gone removes the instance from the list.
	Gone bool
}

type instanceChange struct {
	at       time.Time
	instance PlatformInstance
}

// Platform serves the platform API from an in-memory Log.
type Platform struct {
	config        PlatformConfig
	log           *Log
	flaky         *FlakyLog
	appendLimiter *rate.Limiter
	weightLimiter *rate.Limiter

	mu       sync.Mutex
	faults   PlatformFaults
	rand     *rand.Rand
	changes  []instanceChange
	frozenAt time.Time
	weights  map[string][]byte
}

// NewPlatform returns a platform with an empty instance list and no weights.
func NewPlatform(config PlatformConfig) *Platform {
	if config.Log == nil {
		config.Log = NewLog()
	}
	config.Retention = cmp.Or(config.Retention, DefaultRetention)
	config.AppendsPerSecond = cmp.Or(config.AppendsPerSecond, DefaultAppendsPerSecond)
	config.WeightsPerSecond = cmp.Or(config.WeightsPerSecond, DefaultWeightsPerSecond)
	config.InstanceLag = max(cmp.Or(config.InstanceLag, DefaultInstanceLag), 0)
	config.Log.SetRetention(config.Retention)
	platform := &Platform{
		config:        config,
		log:           config.Log,
		appendLimiter: rate.NewLimiter(rate.Limit(config.AppendsPerSecond), max(1, int(config.AppendsPerSecond))),
		weightLimiter: rate.NewLimiter(rate.Limit(config.WeightsPerSecond), max(1, int(config.WeightsPerSecond))),
		rand:          rand.New(rand.NewPCG(config.Seed, 0)),
		weights:       map[string][]byte{},
	}
	platform.flaky = NewFlakyLog(FlakyLogConfig{Log: config.Log, Append: platform.appendFault})
	return platform
}

// Log returns the log behind the platform. Calls on it bypass the rate limit.
func (platform *Platform) Log() *Log {
	return platform.log
}

// Faults returns the injected faults.
func (platform *Platform) Faults() PlatformFaults {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	return platform.faults
}

// SetFaults replaces the injected faults.
func (platform *Platform) SetFaults(faults PlatformFaults) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	switch {
	case !faults.FreezeInstances:
		platform.frozenAt = time.Time{}
	case platform.frozenAt.IsZero():
		platform.frozenAt = time.Now()
	}
	platform.faults = faults
	platform.log.SetFaults(LogFaults{
		Down:        faults.Down,
		LoseReplies: faults.LoseReplies,
		Delay:       time.Duration(faults.DelayMillis) * time.Millisecond,
	})
}

// SetInstance adds, changes or removes an instance; ListInstances shows it after InstanceLag.
func (platform *Platform) SetInstance(instance PlatformInstance) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.changes = append(platform.changes, instanceChange{at: time.Now(), instance: instance})
}

// SetWeights replaces one entry of the weight store.
func (platform *Platform) SetWeights(name string, data []byte) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.weights[name] = slices.Clone(data)
}

// Handler returns the handler of the platform API and the control endpoints.
func (platform *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	limit := connect.WithReadMaxBytes(maxAppendBytes)
	mux.Handle(platformv1connect.NewLogServiceHandler(platform, limit))
	mux.Handle(platformv1connect.NewInstanceServiceHandler(platform, limit))
	mux.Handle(platformv1connect.NewWeightServiceHandler(platform, limit))
	platform.handleControl(mux)
	return mux
}

// Run serves connections of the listener until ctx ends.
func (platform *Platform) Run(ctx context.Context) error {
	return servePlatform(ctx, platform.config.Listener, platform.Handler())
}

// servePlatform serves HTTP/1.1 and HTTP/2 without TLS until ctx ends. The contexts of all requests end with ctx, so
// that reads that wait at the tail do not delay the shutdown.
func servePlatform(ctx context.Context, listener net.Listener, handler http.Handler) error {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	var group oklogrun.Group
	stopped := make(chan struct{})
	group.Add(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}, func(error) {
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if err := server.Shutdown(shutdownCtx); err != nil {
			server.Close()
		}
	})
	group.Add(func() error {
		select {
		case <-ctx.Done():
		case <-stopped:
		}
		return nil
	}, func(error) { close(stopped) })
	return group.Run()
}

// Append adds records to a stream, within the rate limit.
func (platform *Platform) Append(ctx context.Context, request *connect.Request[platformv1.AppendRequest]) (*connect.Response[platformv1.AppendResponse], error) {
	if err := platform.applyFaults(ctx); err != nil {
		return nil, err
	}
	if request.Msg.Stream == "" || len(request.Msg.Records) == 0 {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("append without a stream or records"))
	}
	if !platform.appendLimiter.Allow() {
		return nil, connect.NewError(connect.CodeResourceExhausted, errors.New("append rate limit exceeded"))
	}
	records := make([]clementinewind.Record, len(request.Msg.Records))
	for i, record := range request.Msg.Records {
		records[i] = clementinewind.Record{Writer: record.Writer, Sequence: record.Sequence, Payload: record.Payload}
	}
	first, err := platform.flaky.Append(ctx, request.Msg.Stream, records)
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&platformv1.AppendResponse{FirstOffset: int64(first)}), nil
}

// Read returns records of a stream and waits for new ones at the tail.
func (platform *Platform) Read(ctx context.Context, request *connect.Request[platformv1.ReadRequest]) (*connect.Response[platformv1.ReadResponse], error) {
	if err := platform.applyFaults(ctx); err != nil {
		return nil, err
	}
	batch, err := platform.log.Read(ctx, clementinewind.LogQuery{
		Stream: request.Msg.Stream,
		From:   clementinewind.Offset(request.Msg.From),
		Limit:  int(request.Msg.MaxRecords),
		Wait:   min(time.Duration(request.Msg.WaitMillis)*time.Millisecond, maxReadWait),
	})
	if err != nil {
		return nil, connectError(err)
	}
	response := &platformv1.ReadResponse{
		FirstOffset: int64(batch.First),
		Tail:        int64(batch.Tail),
		Oldest:      int64(batch.Oldest),
		Records:     make([]*platformv1.Record, len(batch.Records)),
	}
	for i, record := range batch.Records {
		response.Records[i] = &platformv1.Record{
			Writer:     record.Writer,
			Sequence:   record.Sequence,
			Payload:    record.Payload,
			TimeMillis: record.Time.UnixMilli(),
		}
	}
	return connect.NewResponse(response), nil
}

// ListInstances returns the instance list as it was InstanceLag ago.
func (platform *Platform) ListInstances(ctx context.Context, _ *connect.Request[platformv1.ListInstancesRequest]) (*connect.Response[platformv1.ListInstancesResponse], error) {
	if err := platform.applyFaultsAndDelay(ctx); err != nil {
		return nil, err
	}
	response := &platformv1.ListInstancesResponse{}
	for _, instance := range platform.visibleInstances() {
		response.Instances = append(response.Instances, &platformv1.PlatformInstance{
			Name: instance.Name, Zone: instance.Zone, Address: instance.Address, Leaving: instance.Leaving,
		})
	}
	return connect.NewResponse(response), nil
}

// visibleInstances returns the instance list as it was InstanceLag ago, sorted by name. It also drops the changes that
// later visible changes supersede.
func (platform *Platform) visibleInstances() []PlatformInstance {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	cutoff := platform.frozenAt
	if cutoff.IsZero() {
		cutoff = time.Now()
	}
	cutoff = cutoff.Add(-platform.config.InstanceLag)
	byName := map[string]instanceChange{}
	visible := 0
	for visible < len(platform.changes) && !platform.changes[visible].at.After(cutoff) {
		change := platform.changes[visible]
		byName[change.instance.Name] = change
		if change.instance.Gone {
			delete(byName, change.instance.Name)
		}
		visible++
	}
	kept := make([]instanceChange, 0, len(byName)+len(platform.changes)-visible)
	instances := make([]PlatformInstance, 0, len(byName))
	for _, change := range byName {
		kept = append(kept, change)
		instances = append(instances, change.instance)
	}
	platform.changes = append(kept, platform.changes[visible:]...)
	slices.SortFunc(instances, func(a, b PlatformInstance) int { return cmp.Compare(a.Name, b.Name) })
	return instances
}

// GetWeights returns one entry of the weight store, within its rate limit.
func (platform *Platform) GetWeights(ctx context.Context, request *connect.Request[platformv1.GetWeightsRequest]) (*connect.Response[platformv1.GetWeightsResponse], error) {
	if err := platform.applyFaultsAndDelay(ctx); err != nil {
		return nil, err
	}
	if platform.Faults().WeightsDown {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("weight store unavailable"))
	}
	if !platform.weightLimiter.Allow() {
		return nil, connect.NewError(connect.CodeResourceExhausted, errors.New("weight store rate limit exceeded"))
	}
	platform.mu.Lock()
	defer platform.mu.Unlock()
	data, ok := platform.weights[request.Msg.Name]
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, errors.Errorf("no weights %q", request.Msg.Name))
	}
	return connect.NewResponse(&platformv1.GetWeightsResponse{Data: slices.Clone(data)}), nil
}

// applyFaults applies the faults Down and Hang.
func (platform *Platform) applyFaults(ctx context.Context) error {
	switch faults := platform.Faults(); {
	case faults.Hang:
		<-ctx.Done()
		return ctx.Err()
	case faults.Down:
		return connect.NewError(connect.CodeUnavailable, errors.New("platform unavailable"))
	default:
		return nil
	}
}

// applyFaultsAndDelay applies the faults Down, Hang and DelayMillis. Log calls need only applyFaults, because the log
// applies the delay itself.
func (platform *Platform) applyFaultsAndDelay(ctx context.Context) error {
	if err := platform.applyFaults(ctx); err != nil {
		return err
	}
	return platform.log.applyDelay(ctx)
}

// appendFault picks the fault of one append at random.
func (platform *Platform) appendFault() CallFault {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	faults := platform.faults
	switch drawn := platform.rand.Float64(); {
	case faults.AppendsDown || drawn < faults.LoseRequestRate:
		return CallLosesRequest
	case drawn < faults.LoseRequestRate+faults.LoseReplyRate:
		return CallLosesReply
	default:
		return CallSucceeds
	}
}

// connectError maps errors of the log to the error codes of the platform API.
func connectError(err error) error {
	switch {
	case errors.Is(err, clementinewind.ErrTruncated):
		return connect.NewError(connect.CodeOutOfRange, err)
	case errors.Is(err, clementinewind.ErrLogUnavailable):
		return connect.NewError(connect.CodeUnavailable, err)
	default:
		return err
	}
}
