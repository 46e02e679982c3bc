package telem

import (
	"fmt"
	"net/http"
	"net/http/pprof"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Handler returns the admin handler: /metrics, /healthz, /readyz and, if configured, /debug/pprof/. It has no access
// control; its address must not be reachable by callers.
func (meter *Meter) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", exposition(meter.registry, meter.config.Logger))
	mux.HandleFunc("GET /healthz", func(writer http.ResponseWriter, _ *http.Request) {
		respond(writer, http.StatusOK, "ok")
	})
	mux.HandleFunc("GET /readyz", func(writer http.ResponseWriter, _ *http.Request) {
		if meter.config.Ready != nil {
			if err := meter.config.Ready(); err != nil {
				respond(writer, http.StatusServiceUnavailable, "not ready: "+err.Error())
				return
			}
		}
		respond(writer, http.StatusOK, "ready")
	})
	if meter.config.Pprof {
		mux.HandleFunc("/debug/pprof/", pprof.Index)
		mux.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
		mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
		mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
		mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	}
	return mux
}

// exposition serves the metrics of a registry as text.
func exposition(registry *prometheus.Registry, logger hclog.Logger) http.Handler {
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{
		ErrorLog: logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Warn}),
		// One scrape reads all state; a few at once are enough and bound the load.
		MaxRequestsInFlight: 4,
	})
}

func respond(writer http.ResponseWriter, status int, text string) {
	writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	writer.Header().Set("Cache-Control", "no-store")
	writer.WriteHeader(status)
	fmt.Fprintln(writer, text)
}
