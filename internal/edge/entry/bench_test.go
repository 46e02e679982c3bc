package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/admin/conf"
	"github.com/clementinewind/clementinewind/internal/admin/sink"
	"github.com/clementinewind/clementinewind/internal/admin/telem"
	"github.com/clementinewind/clementinewind/internal/edge/entry"
	"github.com/clementinewind/clementinewind/internal/route/table"
	"github.com/clementinewind/clementinewind/platform/stand"
)

// BenchmarkStream measures what a stream of 24 events costs among 90 upstreams. In a profile from -cpuprofile, the
// router's part is below the net/http.(*conn).serve that calls Router.countRequests; the others serve the upstream and
// the store of the benchmark.
func BenchmarkStream(b *testing.B) {
	upstream := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		stand.EchoRequestID(writer, request)
		stand.Seal(writer)
		writer.Header().Set("Content-Type", "text/event-stream")
		controller := http.NewResponseController(writer)
		for event := range 24 {
			fmt.Fprintf(writer, "id: %d\ndata: tokens of an event\n\n", event)
			_ = controller.Flush()
			time.Sleep(200 * time.Microsecond)
		}
	}))
	defer upstream.Close()
	store := stand.NewStore()
	configure(b, store, table.Configuration{
		Version: 1,
		Routes: []table.Route{{
			Name: "r", Host: "h", PathPrefix: "/", Kind: table.RouteStream, Timeout: 10 * time.Second, LatencyGoal: time.Second,
			MaxAttempts: 2, TrafficSplit: []table.ServiceWeight{{Service: "s", Weight: 1}},
		}},
		Services: []table.ServiceSettings{
			{Name: "s", MaxConnections: 5000, Engine: &table.Engine{Slots: 64, MemoryTokens: 450_000}},
		},
		Organisations: []table.OrganisationKeys{{Organisation: "o", Keys: []string{"key"}}},
	})
	for number := range 90 {
		registerUpstream(b, store, table.Entry{
			Upstream: clementinewind.Upstream(fmt.Sprintf("u%d", number)), Service: "s", Address: upstream.Listener.Addr().String(),
			Zone: "a", Slots: 64, Sequence: 1, Incarnation: 1,
		})
	}
	storeServer := httptest.NewServer(store)
	defer storeServer.Close()
	settings := conf.DefaultEntry()
	settings.Name, settings.Zone = "router-0", "a"
	address := netip.AddrFrom4([4]byte{127, 250, byte(1 + os.Getpid()%250), 1})
	settings.CallerListen = netip.AddrPortFrom(address, 20001)
	settings.ReadyListen = netip.AddrPortFrom(address, 20002)
	settings.LocateListen = netip.AddrPortFrom(address, 20003)
	settings.FirstPort, settings.LastPort = 20004, 20010
	settings.StoreAddress = netip.MustParseAddrPort(storeServer.Listener.Addr().String())
	meter, err := telem.NewEntry(telem.EntryConfig{})
	quicktest.Assert(b, err, quicktest.IsNil)
	logs := sink.New(io.Discard)
	logger := hclog.New(&hclog.LoggerOptions{Output: logs, Exclude: logs.Exclude})
	started := entry.New(entry.Config{Settings: settings, Meter: meter, Logger: logger})
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	go func() { _ = started.Run(ctx) }()
	call := func(number int) int {
		request, err := http.NewRequest(http.MethodPost, "http://"+settings.CallerListen.String()+"/x", bytes.NewReader(make([]byte, 500)))
		if err != nil {
			b.Fatal(err)
		}
		request.Host = "h"
		stand.SetCallerHeaders(request.Header, fmt.Sprintf("%016x", number), "key", 10*time.Second)
		stand.SetPromptHeaders(request.Header, fmt.Sprintf("%08x", number%50), 17_000, 13_000, 120)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return 0
		}
		defer response.Body.Close()
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			b.Fatal(err)
		}
		return response.StatusCode
	}
	for call(0) != http.StatusOK {
		time.Sleep(50 * time.Millisecond)
	}
	b.ReportAllocs()
	b.SetParallelism(20)
	b.RunParallel(func(parallel *testing.PB) {
		for number := 1; parallel.Next(); number++ {
			call(number)
		}
	})
}
