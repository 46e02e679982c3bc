package relay_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/load/board"
	"github.com/clementinewind/clementinewind/internal/route/origin"
	"github.com/clementinewind/clementinewind/internal/route/relay"
	"github.com/clementinewind/clementinewind/internal/route/table"
	"github.com/clementinewind/clementinewind/platform/stand"
)

// fixedOrigins tells the same origin of each stream; an empty service means that it is not known.
type fixedOrigins struct {
	origin origin.Version
	// listed is the only version at which streams may begin.
	listed string
	begun  []string
}

func (origins *fixedOrigins) Resolve(context.Context, table.Service, string) (origin.Version, error) {
	if origins.origin.Service == "" {
		return origin.Version{}, errors.New("not known")
	}
	return origins.origin, nil
}

func (origins *fixedOrigins) MayBegin(_ table.Service, version string) bool {
	return version == origins.listed
}

func (origins *fixedOrigins) Begin(service table.Service, version string, requestIDs ...string) func(bool) {
	origins.begun = append(origins.begun, fmt.Sprint(service, " ", version, " ", requestIDs))
	return func(complete bool) { origins.begun = append(origins.begun, fmt.Sprint("complete ", complete)) }
}

// Guards against a stream that goes on at another service or version than the one that began it, and against one that begins at a version that other
// routers do not know of.
func TestOriginOfStream(t *testing.T) {
	tests := map[string]struct {
		takesUp bool
		origins fixedOrigins
		status  int
		// served is the upstream that got the request, begun what was recorded.
		served, begun string
	}{
		"begins at a listed version":  {false, fixedOrigins{listed: "2"}, http.StatusOK, "2", "2 [new]"},
		"no listed version":           {false, fixedOrigins{listed: "3"}, http.StatusServiceUnavailable, "", ""},
		"goes on at its version":      {true, fixedOrigins{origin: origin.Version{Service: "a", Name: "1"}, listed: "2"}, http.StatusOK, "a 1", "a 1 [new first]"},
		"goes on at its service":      {true, fixedOrigins{origin: origin.Version{Service: "b", Name: "2"}}, http.StatusOK, "b 2", "b 2 [new first]"},
		"its version has left":        {true, fixedOrigins{origin: origin.Version{Service: "a", Name: "0"}}, http.StatusServiceUnavailable, "", ""},
		"its service left the route":  {true, fixedOrigins{origin: origin.Version{Service: "c", Name: "1"}}, http.StatusServiceUnavailable, "", ""},
		"its version is not known":    {true, fixedOrigins{listed: "1"}, http.StatusServiceUnavailable, "", ""},
		"its version is not the only": {true, fixedOrigins{origin: origin.Version{Service: "b", Name: "1"}}, http.StatusOK, "b 1", "b 1 [new first]"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			current := table.New(table.Configuration{
				Version: 1, Services: []table.ServiceSettings{{Name: "a", MaxConnections: 10}, {Name: "b", MaxConnections: 10}, {Name: "c", MaxConnections: 10}},
				Routes: []table.Route{{
					Host: "host.example", PathPrefix: "/", Kind: table.RouteStream, Resumable: true, MaxAttempts: 1,
					TrafficSplit: []table.ServiceWeight{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}},
				}},
			})
			upstreams := board.New(board.Config{})
			upstreams.SetServices(current.Services())
			served := ""
			for _, upstream := range []string{"a 1", "a 2", "b 1", "b 2", "c 1"} {
				server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
					served = upstream
					stand.EchoRequestID(writer, request)
					stand.Seal(writer)
					_, _ = io.WriteString(writer, "id: 9\ndata: token\n\n")
				}))
				t.Cleanup(server.Close)
				service, version, _ := strings.Cut(upstream, " ")
				upstreams.Set(table.Entry{
					Upstream: clementinewind.Upstream(upstream), Service: table.Service(service), Version: version, Address: server.Listener.Addr().String(), Slots: 4,
				}, time.Now())
			}
			config := defaultConfig(current, upstreams)
			config.Origins = &test.origins
			server := httptest.NewServer(relay.New(config))
			t.Cleanup(server.Close)
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/x", nil)
			quicktest.Assert(t, err, quicktest.IsNil)
			request.Host = "host.example"
			stand.SetCallerHeaders(request.Header, "new", "", 5*time.Second)
			if test.takesUp {
				stand.SetResumes(request.Header, "first", "8")
			}
			response, err := http.DefaultClient.Do(request)
			quicktest.Assert(t, err, quicktest.IsNil)
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
			server.Close()
			quicktest.Check(t, response.StatusCode, quicktest.Equals, test.status)
			quicktest.Check(t, strings.HasSuffix(served, test.served) && (served == "") == (test.served == ""), quicktest.IsTrue, quicktest.Commentf("%s", served))
			if test.begun != "" {
				quicktest.Assert(t, test.origins.begun, quicktest.HasLen, 2)
				quicktest.Check(t, strings.HasSuffix(test.origins.begun[0], test.begun), quicktest.IsTrue, quicktest.Commentf("%v", test.origins.begun))
				quicktest.Check(t, test.origins.begun[1], quicktest.Equals, "complete true")
			}
		})
	}
}
