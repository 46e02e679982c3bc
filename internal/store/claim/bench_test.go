package claim_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"golang.org/x/time/rate"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/store/claim"
	"github.com/clementinewind/clementinewind/internal/store/plog"
	"github.com/clementinewind/clementinewind/internal/tools/stand"
)

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	quicktest.Assert(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage), quicktest.IsNil)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measure runs a benchmark and reports the processor time per operation, of client and server together.
func measure(b *testing.B, run func()) {
	b.ReportAllocs()
	b.ResetTimer()
	start := processorTime(b)
	run()
	b.StopTimer()
	b.ReportMetric(float64(processorTime(b)-start)/float64(b.N), "cpu-ns/op")
}

// countingConn counts the bytes in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (conn countingConn) Read(data []byte) (int, error) {
	n, err := conn.Conn.Read(data)
	conn.bytes.Add(int64(n))
	return n, err
}

func (conn countingConn) Write(data []byte) (int, error) {
	n, err := conn.Conn.Write(data)
	conn.bytes.Add(int64(n))
	return n, err
}

// loopbackClient returns a client of a platform on loopback, and the counter of its bytes.
func loopbackClient(b *testing.B) (*plog.Client, *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(b, err, quicktest.IsNil)
	start(b, stand.NewPlatform(stand.PlatformConfig{Listener: listener, AppendsPerSecond: 1e9}).Run)
	wire := &atomic.Int64{}
	httpClient := plog.NewHTTPClient(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{conn, wire}, err
	})
	b.Cleanup(httpClient.CloseIdleConnections)
	return plog.NewClient(plog.ClientConfig{HTTPClient: httpClient, URL: "http://" + listener.Addr().String()}), wire
}

// start runs a component until the end of the benchmark.
func start(b *testing.B, run func(context.Context) error) {
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { run(ctx) })
	b.Cleanup(func() {
		stop()
		running.Wait()
	})
}

// each calls operation for the numbers from 1 to b.N, from a number of concurrent callers.
func each(b *testing.B, callers int, operation func(n int)) {
	var next atomic.Int64
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
				operation(int(n))
			}
		})
	}
	group.Wait()
}

// BenchmarkAppend measures a record of 100 bytes through the writer, the client and the platform on loopback.
func BenchmarkAppend(b *testing.B) {
	for _, callers := range []int{1, 10, 100} {
		b.Run(fmt.Sprint("callers=", callers), func(b *testing.B) {
			client, wire := loopbackClient(b)
			writer := plog.NewWriter(plog.WriterConfig{Log: client, Stream: "s", Limiter: rate.NewLimiter(rate.Inf, 1)})
			start(b, writer.Run)
			measure(b, func() {
				each(b, callers, func(int) {
					if _, err := writer.Append(context.Background(), make([]byte, 100)); err != nil {
						b.Error(err)
					}
				})
			})
			b.ReportMetric(float64(wire.Load())/float64(b.N), "wire-B/op")
		})
	}
}

// BenchmarkPoll measures a read at the tail that returns no records.
func BenchmarkPoll(b *testing.B) {
	client, wire := loopbackClient(b)
	measure(b, func() {
		for range b.N {
			_, err := client.Read(context.Background(), clementinewind.LogQuery{Stream: "claims-0"})
			quicktest.Assert(b, err, quicktest.IsNil)
		}
	})
	b.ReportMetric(float64(wire.Load())/float64(b.N), "wire-B/op")
}

// BenchmarkClaim measures a claim and its answer of 200 bytes, without a network.
func BenchmarkClaim(b *testing.B) {
	for _, callers := range []int{1, 10, 100} {
		b.Run(fmt.Sprint("callers=", callers), func(b *testing.B) {
			log := stand.NewLog()
			index := claim.New(claim.Config{Log: log, NewWriter: func(stream string) *plog.Writer {
				return plog.NewWriter(plog.WriterConfig{Log: log, Stream: stream, Limiter: rate.NewLimiter(rate.Inf, 1)})
			}})
			start(b, index.Run)
			issued := time.Now()
			measure(b, func() {
				each(b, callers, func(n int) {
					key, id := claim.KeyOf("o", "p", fmt.Sprint(n), issued), claim.NewID()
					decision, err := index.Claim(context.Background(), key, claim.Digest{}, id, issued)
					if err != nil || decision.State != claim.StateWon {
						b.Error(decision.State, err)
					}
					if err := index.Settle(context.Background(), key, id, claim.Answer{Body: make([]byte, 200)}); err != nil {
						b.Error(err)
					}
				})
			})
		})
	}
}

// BenchmarkReplay measures the replay of a stream with claims and answers of 200 bytes, and the memory per key.
func BenchmarkReplay(b *testing.B) {
	log, issued := stand.NewLog(), time.Now()
	for n := range b.N {
		record := &streamRecords{key: claim.KeyOf("o", "p", fmt.Sprint(n/2), issued), issued: issued}
		payload := record.claim(firstID)
		if n%2 == 1 {
			payload = record.done(firstID, string(make([]byte, 200)))
		}
		_, err := log.Append(context.Background(), claim.StreamName(0),
			[]clementinewind.Record{{Writer: 7, Sequence: uint64(n + 1), Payload: payload}})
		quicktest.Assert(b, err, quicktest.IsNil)
	}
	before := heap()
	index := claim.New(claim.Config{Log: log, CacheBytes: 1})
	measure(b, func() {
		start(b, index.Run)
		// A claim of a new key is only decided after the replay.
		decision, err := index.Claim(context.Background(), claim.Key{}, claim.Digest{}, otherID, issued)
		quicktest.Assert(b, err, quicktest.IsNil)
		quicktest.Assert(b, decision.State, quicktest.Equals, claim.StateWon)
	})
	b.ReportMetric(float64(heap()-before)/float64(index.Len()), "heap-B/key")
}

func heap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
