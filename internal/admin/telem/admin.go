package telem

import (
	"fmt"
	"net/http"
	"net/http/pprof"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Handler serves the admin endpoints: /metrics, /healthz, /readyz and, if configured, /debug/pprof/. Its address must not be
// reachable by callers, because it does not authenticate requests.
func (meter *Meter) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metricsHandler(meter.registry, meter.config.Logger))
	mux.HandleFunc("GET /healthz", func(writer http.ResponseWriter, _ *http.Request) {
		writeText(writer, http.StatusOK, "ok")
	})
	mux.HandleFunc("GET /readyz", func(writer http.ResponseWriter, _ *http.Request) {
		if meter.config.Ready != nil {
			if err := meter.config.Ready(); err != nil {
				writeText(writer, http.StatusServiceUnavailable, "not ready: "+err.Error())
				return
			}
		}
		writeText(writer, http.StatusOK, "ready")
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

// metricsHandler serves the metrics of a registry in the Prometheus text format.
func metricsHandler(registry *prometheus.Registry, logger hclog.Logger) http.Handler {
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{
		ErrorLog: logger.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Warn}),
		// Each scrape reads the whole state; the limit bounds the load of concurrent scrapes.
		MaxRequestsInFlight: 4,
	})
}

func writeText(writer http.ResponseWriter, status int, text string) {
	writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	writer.Header().Set("Cache-Control", "no-store")
	writer.WriteHeader(status)
	fmt.Fprintln(writer, text)
}
