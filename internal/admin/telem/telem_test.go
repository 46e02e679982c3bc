package telem_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/admin/telem"
)

func get(meter *telem.Meter, path string) (int, string) {
	recorder := httptest.NewRecorder()
	meter.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
	return recorder.Code, recorder.Body.String()
}

func newMeter(t *testing.T, config telem.Config) *telem.Meter {
	meter, err := telem.New(config)
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Cleanup(func() { quicktest.Check(t, meter.Shutdown(t.Context()), quicktest.IsNil) })
	return meter
}

// ownMetrics returns the router's own metrics without histogram buckets; Go and process metrics change between scrapes.
func ownMetrics(metrics string) string {
	var lines []string
	for line := range strings.Lines(metrics) {
		if strings.HasPrefix(line, "clementinewind_") && !strings.Contains(line, "_bucket{") {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "")
}

// Guards against changed names, labels or values of metrics that alerts use, against counters that two routers in one
// process share, and against stale series of upstreams that are no longer owned.
func TestMetrics(t *testing.T) {
	state := telem.State{
		Version: 41, FreshAge: 250 * time.Millisecond, LogReachable: true, Sessions: 6, EventsOverwritten: 3,
		DisclosuresLost: 2, CertificateExpires: time.Unix(1_700_000_000, 0),
		Upstreams: []telem.Upstream{
			{Upstream: "m1", Pool: "large", State: clementinewind.UpstreamWarm, Limit: 16, Running: 9},
			{Upstream: "m2", Pool: "large", State: clementinewind.UpstreamCold, Limit: 2, Running: 1},
		},
	}
	meter := newMeter(t, telem.Config{Instance: "a1", Zone: "a", State: func() telem.State { return state }})
	other := newMeter(t, telem.Config{Instance: "b1", Zone: "b"})
	other.Tokens("large", 1000)
	meter.Request("large", clementinewind.OutcomeAnswered, clementinewind.ReasonNone)
	meter.Request("large", clementinewind.OutcomeNotRun, clementinewind.ReasonQueueFull)
	meter.Tokens("large", 20)
	meter.Queued("large", 1)
	meter.Queued("large", 1)
	meter.Queued("large", -1)
	meter.Waited("large", 30*time.Millisecond)
	meter.FirstToken("large", 1500*time.Millisecond)
	meter.ControlSent(100)
	meter.ControlReceived(50)
	meter.Grant("large", telem.GrantExpired)
	meter.Rejected(http.StatusBadRequest)
	status, metrics := get(meter, "/metrics")
	quicktest.Assert(t, status, quicktest.Equals, http.StatusOK)
	want, err := os.ReadFile("testdata/metrics.txt")
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, ownMetrics(metrics), quicktest.Equals, string(want))
	quicktest.Assert(t, metrics, quicktest.Contains, `target_info{instance="a1",zone="a"} 1`)
	quicktest.Assert(t, metrics, quicktest.Contains, `clementinewind_first_token_seconds_bucket{pool="large",le="1.7"} 1`)

	state.Upstreams = state.Upstreams[:1]
	_, metrics = get(meter, "/metrics")
	quicktest.Assert(t, strings.Contains(metrics, `upstream="m2"`), quicktest.IsFalse)
}

// Guards against metrics that the operations page names and that do not exist: an alert on such a metric never fires.
func TestOperationsPageMetrics(t *testing.T) {
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	quicktest.Assert(t, err, quicktest.IsNil)
	metrics, err := os.ReadFile("testdata/metrics.txt")
	quicktest.Assert(t, err, quicktest.IsNil)
	metrics = append(metrics, entryMetrics(t)...)
	names := regexp.MustCompile(`clementinewind_[a-z_]+`).FindAllString(string(page), -1)
	quicktest.Assert(t, len(names) > 0, quicktest.IsTrue)
	for _, name := range names {
		// The page names a histogram by its base name or by its buckets.
		exists := strings.Contains(string(metrics), name) || strings.Contains(string(metrics), strings.TrimSuffix(name, "_bucket")+"_sum")
		quicktest.Check(t, exists, quicktest.IsTrue, quicktest.Commentf("metric %s", name))
	}
}

// entryMetrics returns the scraped metrics of an EntryMeter after one call of each of its methods.
func entryMetrics(t *testing.T) []byte {
	t.Helper()
	meter, err := telem.NewEntry(telem.EntryConfig{DroppedLines: func() int64 { return 3 }})
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, meter.ObserveState(func() telem.EntryState {
		return telem.EntryState{
			Ready: true, Version: 7, CaughtUpAge: 1500 * time.Millisecond, Routers: 295, Upstreams: 160, InFlight: 12, RefusedFraction: 0.25,
		}
	}), quicktest.IsNil)
	meter.Ended("service", "Answered", time.Second)
	meter.FirstEvent("service", time.Second, time.Millisecond)
	meter.Connected("service")
	meter.LoadReport("service", "Applied")
	meter.ReportUsed("service", 100*time.Millisecond, true)
	meter.StoreCall("/read", http.StatusOK, time.Millisecond)
	recorder := httptest.NewRecorder()
	meter.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	quicktest.Assert(t, recorder.Body.String(), quicktest.Contains, `clementinewind_entry_requests_total{outcome="Answered",service="service"} 1`)
	for _, line := range []string{
		"ready 1", "version 7", "known_age_seconds 1.5", "routers 295", "upstreams 160", "in_flight 12", "refused_part 0.25",
	} {
		quicktest.Assert(t, recorder.Body.String(), quicktest.Contains, "clementinewind_entry_"+line+"\n")
	}
	return recorder.Body.Bytes()
}

// alertRules is the structure of a Prometheus rules file.
type alertRules struct {
	Groups []struct {
		Name  string
		Rules []struct {
			Alert       string
			Expr        string
			For         string
			Labels      map[string]string
			Annotations map[string]string
		}
	}
}

// Guards against alert rules that Prometheus cannot load, that never fire because their metric does not exist, or that the
// operations page does not explain.
func TestAlertRules(t *testing.T) {
	text, err := os.ReadFile("../../../deploy/alerts.yml")
	quicktest.Assert(t, err, quicktest.IsNil)
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	quicktest.Assert(t, err, quicktest.IsNil)
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	var rules alertRules
	quicktest.Assert(t, decoder.Decode(&rules), quicktest.IsNil)
	metrics := string(entryMetrics(t))
	alerts := 0
	for _, group := range rules.Groups {
		for _, rule := range group.Rules {
			alerts++
			names := regexp.MustCompile(`clementinewind_[a-z_]+`).FindAllString(rule.Expr, -1)
			quicktest.Check(t, len(names) > 0, quicktest.IsTrue, quicktest.Commentf("%s", rule.Alert))
			for _, name := range names {
				quicktest.Check(t, strings.Contains(metrics, "# TYPE "+strings.TrimSuffix(name, "_bucket")+" "), quicktest.IsTrue,
					quicktest.Commentf("%s: metric %s", rule.Alert, name))
			}
			_, err := time.ParseDuration(rule.For)
			quicktest.Check(t, err, quicktest.IsNil, quicktest.Commentf("%s", rule.Alert))
			quicktest.Check(t, rule.Annotations["summary"] != "" && rule.Labels["severity"] != "", quicktest.IsTrue,
				quicktest.Commentf("%s", rule.Alert))
			quicktest.Check(t, strings.Contains(string(page), "| "+rule.Alert+" |"), quicktest.IsTrue, quicktest.Commentf("%s", rule.Alert))
		}
	}
	quicktest.Check(t, alerts >= 8, quicktest.IsTrue)
}

// Guards against a router that reports ready while it accepts no requests, against a router that is restarted because its
// health check fails whenever it is not ready, and against profiles that are served without being configured.
func TestAdminHandler(t *testing.T) {
	var reason error
	meter := newMeter(t, telem.Config{Ready: func() error { return reason }})
	withPprof := newMeter(t, telem.Config{Pprof: true})
	tests := []struct {
		name   string
		meter  *telem.Meter
		path   string
		reason error
		status int
		body   string
	}{
		{"ready", meter, "/readyz", nil, http.StatusOK, "ready\n"},
		{"not ready", meter, "/readyz", errors.New("no state"), http.StatusServiceUnavailable, "not ready: no state\n"},
		{"healthy while not ready", meter, "/healthz", errors.New("no state"), http.StatusOK, "ok\n"},
		{"no profiles", meter, "/debug/pprof/", nil, http.StatusNotFound, ""},
		{"profiles", withPprof, "/debug/pprof/goroutine?debug=1", nil, http.StatusOK, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			reason = test.reason
			status, body := get(test.meter, test.path)
			quicktest.Assert(t, status, quicktest.Equals, test.status)
			if test.body != "" {
				quicktest.Assert(t, body, quicktest.Equals, test.body)
			}
		})
	}
}
