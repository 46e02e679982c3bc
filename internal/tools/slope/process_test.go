package slope

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/admin/conf"
	"github.com/clementinewind/clementinewind/internal/fleet/peer"
	"github.com/clementinewind/clementinewind/internal/route/router"
	"github.com/clementinewind/clementinewind/internal/store/plog"
	"github.com/clementinewind/clementinewind/internal/store/tree"
	"github.com/clementinewind/clementinewind/internal/tools/stand"
	"github.com/clementinewind/clementinewind/internal/wire/callerv1"
	"github.com/clementinewind/clementinewind/internal/wire/callerv1/callerv1connect"
	"github.com/clementinewind/clementinewind/internal/wire/operatorv1"
	"github.com/clementinewind/clementinewind/internal/wire/operatorv1/operatorv1connect"
	"github.com/clementinewind/clementinewind/internal/wire/peerv1"
	"github.com/clementinewind/clementinewind/internal/wire/recordv1"
)

const (
	// childEnvVariable makes the test binary run a single router, so that the processor time and memory of the process are
	// those of the router.
	childEnvVariable = "SLOPE_ROUTER"
	loopback         = "127.0.0.1:0"
	// clockTick is the unit of processor time in /proc/PID/stat.
	clockTick        = 10 * time.Millisecond
	childSettleTime  = 8 * time.Second
	childMeasureTime = 10 * time.Second
	readyTimeout     = 60 * time.Second
)

// child holds the parameters of a child process that runs a router. The process writes them back with Caller filled in.
type child struct {
	Name, Zone, Platform, Caller string
}

func TestMain(m *testing.M) {
	if text := os.Getenv(childEnvVariable); text != "" {
		if err := runChild(text); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// runChild runs a router until standard input is closed.
func runChild(text string) error {
	var params child
	if err := json.Unmarshal([]byte(text), &params); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	bind := netip.MustParseAddrPort(loopback)
	started, err := router.New(ctx, router.Config{
		Settings: conf.Default().WithName(clementinewind.Instance(params.Name)).WithZone(clementinewind.Zone(params.Zone)).
			WithCaller(bind).WithPeer(bind).WithAdmin(bind),
		Log: plog.NewClient(plog.ClientConfig{HTTPClient: plog.NewHTTPClient(nil), URL: params.Platform}),
	})
	if err != nil {
		return err
	}
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		cancel()
	}()
	params.Caller = "http://" + started.CallerAddress().String()
	if err := json.NewEncoder(os.Stdout).Encode(params); err != nil {
		return err
	}
	return started.Run(ctx)
}

// process is a running child.
type process struct {
	child
	b       *testing.B
	command *exec.Cmd
}

// platform is a stand-in platform on loopback with its control stream.
type platform struct {
	b      *testing.B
	ctx    context.Context
	url    string
	log    *stand.Log
	stream *stream
	writer *plog.Writer
}

func serve(b *testing.B, handler http.Handler) string {
	listener, err := net.Listen("tcp", loopback)
	quicktest.Assert(b, err, quicktest.IsNil)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go server.Serve(listener)
	b.Cleanup(func() { server.Close() })
	return listener.Addr().String()
}

// newPlatform returns a platform whose control stream holds the records of stream.
func newPlatform(b *testing.B, stream *stream) *platform {
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	listener, err := net.Listen("tcp", loopback)
	quicktest.Assert(b, err, quicktest.IsNil)
	log := stand.NewLog()
	served := stand.NewPlatform(stand.PlatformConfig{Log: log, Listener: listener})
	go served.Run(ctx)
	_, err = log.Append(ctx, clementinewind.ControlStream, stream.records)
	quicktest.Assert(b, err, quicktest.IsNil)
	writer := plog.NewWriter(plog.WriterConfig{Log: log, Stream: clementinewind.ControlStream})
	go writer.Run(ctx)
	return &platform{b: b, ctx: ctx, url: "http://" + listener.Addr().String(), log: log, stream: stream, writer: writer}
}

func (platform *platform) append(record *recordv1.ControlRecord) clementinewind.Offset {
	payload, err := proto.Marshal(record)
	quicktest.Assert(platform.b, err, quicktest.IsNil)
	offset, err := platform.writer.Append(platform.ctx, payload)
	quicktest.Assert(platform.b, err, quicktest.IsNil)
	return offset
}

// start starts a router in a child process and waits until it has written its caller address. The process ends with the
// benchmark.
func (platform *platform) start(name string, zone int) *process {
	text, err := json.Marshal(child{Name: name, Zone: zoneName(zone), Platform: platform.url})
	quicktest.Assert(platform.b, err, quicktest.IsNil)
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), childEnvVariable+"="+string(text))
	command.Stderr = os.Stderr
	input, err := command.StdinPipe()
	quicktest.Assert(platform.b, err, quicktest.IsNil)
	output, err := command.StdoutPipe()
	quicktest.Assert(platform.b, err, quicktest.IsNil)
	quicktest.Assert(platform.b, command.Start(), quicktest.IsNil)
	platform.b.Cleanup(func() {
		input.Close()
		command.Wait()
	})
	line, err := bufio.NewReader(output).ReadBytes('\n')
	quicktest.Assert(platform.b, err, quicktest.IsNil)
	started := &process{b: platform.b, command: command}
	quicktest.Assert(platform.b, json.Unmarshal(line, &started.child), quicktest.IsNil)
	return started
}

// processorTime returns the processor time that the process has used.
func (process *process) processorTime() time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process.command.Process.Pid))
	quicktest.Assert(process.b, err, quicktest.IsNil)
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	user, err := strconv.Atoi(fields[11])
	quicktest.Assert(process.b, err, quicktest.IsNil)
	system, err := strconv.Atoi(fields[12])
	quicktest.Assert(process.b, err, quicktest.IsNil)
	return time.Duration(user+system) * clockTick
}

// residentMB returns the resident memory of the process.
func (process *process) residentMB() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.command.Process.Pid))
	quicktest.Assert(process.b, err, quicktest.IsNil)
	_, rest, _ := strings.Cut(string(data), "VmRSS:")
	kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
	quicktest.Assert(process.b, err, quicktest.IsNil)
	return float64(kilobytes) / 1000
}

// during returns the processor time that the process uses while run is executed, and the duration of run.
func (process *process) during(run func()) (used, elapsed time.Duration) {
	started, before := time.Now(), process.processorTime()
	run()
	return process.processorTime() - before, time.Since(started)
}

func (process *process) operator() operatorv1connect.OperatorServiceClient {
	return operatorv1connect.NewOperatorServiceClient(http.DefaultClient, process.Caller)
}

// fakePeer exchanges heartbeats with a router and ignores the rest of its control frames. It sends heartbeats only
// while it receives them.
type fakePeer struct {
	peer.Handler
	session clementinewind.Session
	fleet   *peer.Fleet
	offset  func() int64

	mu                sync.Mutex
	lastHeardSequence uint64
	lastHeardAt       time.Time
	sentSequence      uint64
	frames            int
}

func (*fakePeer) HandleConnected(clementinewind.Session) {}

func (fake *fakePeer) HandleControl(_ clementinewind.Session, frame *peerv1.ControlFrame) {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	fake.frames++
	if frame.Heartbeat != nil {
		fake.lastHeardSequence, fake.lastHeardAt = frame.Heartbeat.Sequence, time.Now()
	}
}

func (fake *fakePeer) heartbeat(clementinewind.Session) *peerv1.Heartbeat {
	fake.mu.Lock()
	defer fake.mu.Unlock()
	if time.Since(fake.lastHeardAt) > 3*time.Second {
		return nil
	}
	fake.sentSequence++
	return &peerv1.Heartbeat{
		Session: int64(fake.session), Sequence: fake.sentSequence, Echo: fake.lastHeardSequence, Offset: fake.offset(), FreshAgeMillis: 100,
	}
}

// fakePeers starts fake peers on loopback and opens their sessions in the stream.
func fakePeers(b *testing.B, stream *stream, count int, offset func() int64) []*fakePeer {
	var fakes []*fakePeer
	for number := range count {
		listener, err := net.Listen("tcp", loopback)
		quicktest.Assert(b, err, quicktest.IsNil)
		fake := &fakePeer{offset: offset}
		server := peer.NewServer(peer.ServerConfig{Handler: fake, MaxMessageBytes: 1 << 20})
		go server.Serve(listener)
		fake.session = clementinewind.Session(stream.openSession(fmt.Sprint("Fake", number), number, listener.Addr().String()))
		fake.fleet = peer.NewFleet(peer.Config{
			Dial: func(ctx context.Context, address string) (net.Conn, error) {
				return (&net.Dialer{}).DialContext(ctx, "tcp", address)
			},
			Session: func() clementinewind.Session { return fake.session }, Heartbeat: fake.heartbeat,
			HeartbeatInterval: time.Second, MaxMessageBytes: 1 << 20,
		})
		b.Cleanup(func() {
			fake.fleet.Close()
			server.Stop()
		})
		fakes = append(fakes, fake)
	}
	return fakes
}

// connect waits until a router has opened its session, connects the fakes to it and returns the session.
func (platform *platform) connect(fakes []*fakePeer, process *process) clementinewind.Session {
	deadline := time.Now().Add(readyTimeout)
	for from := clementinewind.Offset(len(platform.stream.records)); time.Now().Before(deadline); {
		batch, err := platform.log.Read(platform.ctx, clementinewind.LogQuery{
			Stream: clementinewind.ControlStream, From: from, Wait: time.Second,
		})
		quicktest.Assert(platform.b, err, quicktest.IsNil)
		for i, record := range batch.Records {
			var message recordv1.ControlRecord
			quicktest.Assert(platform.b, proto.Unmarshal(record.Payload, &message), quicktest.IsNil)
			if opened := message.GetSessionOpened(); opened.GetInstance() == process.Name {
				session := clementinewind.Session(batch.First) + clementinewind.Session(i)
				for _, fake := range fakes {
					addresses := map[clementinewind.Session]string{session: opened.GetPeerAddress()}
					quicktest.Assert(platform.b, fake.fleet.SetPeers(addresses), quicktest.IsNil)
				}
				return session
			}
		}
		from = batch.Next()
	}
	platform.b.Fatal("router opened no session within the timeout")
	return clementinewind.NoSession
}

// tail returns the tail offset of the control stream.
func (platform *platform) tail() int64 {
	batch, err := platform.log.Read(platform.ctx, clementinewind.LogQuery{Stream: clementinewind.ControlStream, Limit: 1})
	quicktest.Assert(platform.b, err, quicktest.IsNil)
	return int64(batch.Tail)
}

// BenchmarkRouter reports the memory of a router process, its processor time while idle, and its processor time for an
// edit and for a session record. Those include the new assignment and the wait for a previous owner.
func BenchmarkRouter(b *testing.B) {
	small := size{organisations: 16, upstreams: 15}
	large := size{organisations: targetOrganisations, upstreams: targetUpstreams}
	for _, config := range []struct {
		name  string
		size  size
		peers int
	}{
		{"small/peers=9", small, 9},
		{"small/peers=349", small, targetRouters - 1},
		{"target/peers=9", large, 9},
		{"target/peers=349", large, targetRouters - 1},
	} {
		b.Run(config.name, func(b *testing.B) { measureRouter(b, config.size, config.peers) })
	}
}

func measureRouter(b *testing.B, size size, peers int) {
	stream := &stream{b: b}
	engine := stand.NewEngine(stand.EngineConfig{MaxBatch: 64, StartWarm: true})
	address := serve(b, engine)
	changes := settingsOf(size)
	for i := range changes {
		if changes[i].Key == tree.AddressKey {
			changes[i].Value = address
		}
	}
	for len(changes) > 0 {
		count := min(changesPerEdit, len(changes))
		stream.edit(changes[:count]...)
		changes = changes[count:]
	}
	var platform *platform
	fakes := fakePeers(b, stream, peers, func() int64 { return platform.tail() })
	platform = newPlatform(b, stream)
	process := platform.start("Measured", 0)
	platform.connect(fakes, process)
	time.Sleep(childSettleTime)
	idle, elapsed := process.during(func() { time.Sleep(childMeasureTime) })
	idleShare := idle.Seconds() / elapsed.Seconds()
	b.ReportMetric(100*idleShare, "idle-%core")
	b.ReportMetric(process.residentMB(), "resident-MB")
	perRecord := func(count int, pause time.Duration, record func(number int)) float64 {
		used, elapsed := process.during(func() {
			for number := range count {
				record(number)
				time.Sleep(pause)
			}
		})
		return 1000 * (used.Seconds() - idleShare*elapsed.Seconds()) / float64(count)
	}
	b.ReportMetric(perRecord(20, 200*time.Millisecond, func(number int) {
		platform.append(&recordv1.ControlRecord{Body: &recordv1.ControlRecord_Edit{Edit: &recordv1.Edit{
			Against: platform.tail(), Who: "slope", Why: "measurement", Changes: []*operatorv1.Change{{
				Section: "Organisations." + organisationName(number%10), Key: "MaxQueued", Value: fmt.Sprint(1000 + number),
			}},
		}}})
	}), "cpu-ms/edit")
	b.ReportMetric(perRecord(3, 4*time.Second, func(number int) {
		platform.append(&recordv1.ControlRecord{Body: &recordv1.ControlRecord_SessionClosed{
			SessionClosed: &recordv1.SessionClosed{Session: int64(fakes[number].session)},
		}})
	}), "cpu-ms/session-record")
	b.ReportMetric(process.residentMB(), "resident-after-MB")
	b.ReportMetric(0, "ns/op")
}

const (
	loadEngines   = 12
	loadCallers   = 32
	loadWarmUp    = 4 * time.Second
	loadTime      = 5 * time.Second
	tokenInterval = time.Millisecond
)

// BenchmarkRequests sends requests to an entry router while another router owns all engines in service. It reports the
// processor time of both per request, by the number of tokens of an answer.
func BenchmarkRequests(b *testing.B) {
	for _, tokens := range []int{1, 101} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) { measureRequests(b, tokens) })
	}
}

func measureRequests(b *testing.B, tokens int) {
	stream := &stream{b: b}
	engine := stand.NewEngine(stand.EngineConfig{MaxBatch: 1024, ColdBatch: 1024, StartWarm: true, TokenTime: tokenInterval})
	address := serve(b, engine)
	var changes []tree.Change
	set := func(section, key, value string) {
		changes = append(changes, tree.Change{Section: section, Key: key, Value: value})
	}
	set("Zones.Zone0", "InService", "true")
	set("Organisations.Patel", "Weight", "1")
	set("Pools.Model0", "ColdLimit", "64")
	set("Pools.Model0", "MaxLimit", "64")
	for engine := range loadEngines {
		set(fmt.Sprint("Pools.Model0.Engine", engine), "Address", address)
		set(fmt.Sprint("Pools.Model0.Engine", engine), "Zone", "Zone0")
	}
	stream.edit(changes...)
	platform := newPlatform(b, stream)
	entry, owner := platform.start("Entry", 0), platform.start("Owner", 0)
	platform.connect(nil, entry)
	platform.connect(nil, owner)
	time.Sleep(3 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	platform.keepUpstreamsOf(ctx, entry, owner.Name)
	time.Sleep(time.Second)
	runLoad(ctx, entry.Caller, tokens, loadWarmUp)
	entryStart, ownerStart := entry.processorTime(), owner.processorTime()
	started := time.Now()
	ended := runLoad(ctx, entry.Caller, tokens, loadTime)
	// A request that reaches its deadline although slots are free indicates a lost ask or grant.
	quicktest.Check(b, ended.failed, quicktest.Equals, 0)
	elapsed := time.Since(started).Seconds()
	entryTime, ownerTime := entry.processorTime()-entryStart, owner.processorTime()-ownerStart
	b.ReportMetric(float64(ended.answered)/elapsed, "requests/s")
	b.ReportMetric(float64(ended.tokens)/float64(ended.answered), "tokens/request")
	b.ReportMetric(float64(entryTime.Microseconds())/float64(ended.answered), "entry-µs/request")
	b.ReportMetric(float64(ownerTime.Microseconds())/float64(ended.answered), "owner-µs/request")
	b.ReportMetric(float64(ended.answered)/entryTime.Seconds(), "entry-requests/core-s")
	b.ReportMetric(float64(ended.answered)/ownerTime.Seconds(), "owner-requests/core-s")
	b.ReportMetric(0, "ns/op")
}

// keepUpstreamsOf takes all upstreams out of service except those of one owner.
func (platform *platform) keepUpstreamsOf(ctx context.Context, process *process, owner string) {
	listed, err := process.operator().ListUpstreams(ctx, connect.NewRequest(&operatorv1.ListUpstreamsRequest{}))
	quicktest.Assert(platform.b, err, quicktest.IsNil)
	var changes []*operatorv1.Change
	for _, upstream := range listed.Msg.Upstreams {
		if upstream.Owner != owner {
			changes = append(changes, &operatorv1.Change{Section: "Pools." + upstream.Upstream, Key: "InService", Value: "false"})
		}
	}
	quicktest.Assert(platform.b, len(changes) < len(listed.Msg.Upstreams), quicktest.IsTrue)
	if len(changes) > 0 {
		platform.append(&recordv1.ControlRecord{Body: &recordv1.ControlRecord_Edit{Edit: &recordv1.Edit{
			Against: platform.tail(), Who: "slope", Why: "measurement", Changes: changes,
		}}})
	}
}

// loadResult counts the requests that succeeded and failed, and the tokens of the answers.
type loadResult struct{ answered, failed, tokens int }

// runLoad sends requests from loadCallers concurrent callers, each one request at a time, until limit has passed.
func runLoad(ctx context.Context, url string, tokens int, limit time.Duration) (ended loadResult) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	client := callerv1connect.NewCallerServiceClient(&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: loadCallers}}, url)
	var mu sync.Mutex
	var wait sync.WaitGroup
	for number := range loadCallers {
		wait.Go(func() {
			for sequence := 0; ctx.Err() == nil; sequence++ {
				count, err := ask(context.WithoutCancel(ctx), client, fmt.Sprint(number, "-", sequence), tokens)
				mu.Lock()
				if err == nil {
					ended.answered, ended.tokens = ended.answered+1, ended.tokens+count
				} else {
					ended.failed++
				}
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	return ended
}

func ask(ctx context.Context, client callerv1connect.CallerServiceClient, prompt string, tokens int) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	stream, err := client.Generate(ctx, connect.NewRequest(&callerv1.GenerateRequest{
		Organisation: "Patel", Pool: "Model0", Prompt: prompt, MaxTokens: int32(tokens),
	}))
	if err != nil {
		return 0, err
	}
	defer stream.Close()
	var answer []string
	for stream.Receive() {
		answer = append(answer, stream.Msg().Tokens...)
	}
	if err := stream.Err(); err != nil {
		return 0, err
	}
	if !slices.Equal(answer, stand.Answer(prompt, tokens)) {
		return 0, errors.New("answer is incomplete or wrong")
	}
	return len(answer), nil
}
