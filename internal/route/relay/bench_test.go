package relay_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/load/board"
	"github.com/clementinewind/clementinewind/internal/route/relay"
	"github.com/clementinewind/clementinewind/internal/route/table"
	"github.com/clementinewind/clementinewind/platform/stand"
)

// BenchmarkSmallRequest measures one small request on kept connections, with the stand-ins for its caller and its upstream.
func BenchmarkSmallRequest(b *testing.B) {
	upstream := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		stand.EchoRequestID(writer, request)
		writeSealed(writer, http.StatusOK, "answer")
	}))
	defer upstream.Close()
	current := table.New(table.Configuration{
		Version: 1, Services: []table.ServiceSettings{{Name: "service", MaxConnections: 100}},
		Routes: []table.Route{{
			Host: "h", PathPrefix: "/p/", Kind: table.RouteOnce, MaxAttempts: 1, TrafficSplit: []table.ServiceWeight{{Service: "service", Weight: 1}},
		}},
	})
	known := board.New(board.Config{Owns: func(clementinewind.Upstream) bool { return true }})
	known.SetServices(current.Services())
	known.Set(table.Entry{Upstream: "u", Service: "service", Address: upstream.Listener.Addr().String(), Slots: 4}, time.Now())
	server := httptest.NewServer(relay.New(defaultConfig(current, known)))
	defer server.Close()
	body := strings.Repeat("x", 1000)
	for b.Loop() {
		request, err := http.NewRequest(http.MethodPost, server.URL+"/p/x", strings.NewReader(body))
		quicktest.Assert(b, err, quicktest.IsNil)
		request.Host = "h"
		stand.SetCallerHeaders(request.Header, "id", "", 2*time.Second)
		response, err := http.DefaultClient.Do(request)
		quicktest.Assert(b, err, quicktest.IsNil)
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		quicktest.Assert(b, response.StatusCode, quicktest.Equals, http.StatusOK)
	}
}
