package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/route/table"
	"github.com/clementinewind/clementinewind/platform/stand"
)

// Guards against a faulty upstream that fills the memory of a router over many connections at once, each of which keeps to its own limit:
// the process ends, and with it the requests of all other callers.
func TestEndlessAnswersOnManyConnections(t *testing.T) {
	const (
		requests = 320
		sent     = 900 << 10
		// memory is the part of the smallest machine's 284 MB that the Go runtime may use.
		memory = 170 << 20
	)
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(memory))
	noise := strings.Repeat("x", sent)
	for name, kind := range map[string]table.RouteKind{"event": table.RouteStream, "answer": table.RouteOnce} {
		t.Run(name, func(t *testing.T) {
			router := startRouter(t, table.Route{Kind: kind, MaxAttempts: 1, LatencyGoal: 10 * time.Second})
			ended := make(chan struct{})
			for number := range 8 {
				addNamedRawUpstream(t, router, fmt.Sprint("u", number), func(conn net.Conn, request *http.Request) {
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\ndata: ", stand.SealedHeaderLines(stand.RequestID(request.Header)))
					// The string is shared by all connections. What is not read stays in the buffers of the sockets.
					_, _ = io.WriteString(conn, noise)
					<-ended
				})
			}
			var sends sync.WaitGroup
			for range requests {
				sends.Go(func() {
					if response, err := router.send(t, http.MethodGet, "", 4*time.Second); err == nil {
						_, _ = io.Copy(io.Discard, response.Body)
						response.Body.Close()
					}
				})
			}
			done := make(chan struct{})
			go func() { sends.Wait(); close(done) }()
			var peak uint64
			for running := true; running; {
				select {
				case <-done:
					running = false
				case <-time.After(20 * time.Millisecond):
				}
				var stats runtime.MemStats
				runtime.ReadMemStats(&stats)
				peak = max(peak, stats.HeapAlloc)
			}
			close(ended)
			t.Logf("peak: %d MB", peak>>20)
			quicktest.Check(t, peak < memory, quicktest.IsTrue, quicktest.Commentf("%d MB", peak>>20))
		})
	}
}
