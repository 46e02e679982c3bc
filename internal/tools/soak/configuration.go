package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/clementinewind/clementinewind/internal/route/table"
	"github.com/clementinewind/clementinewind/internal/share/pause"
)

const (
	// operatorInterval is the time between two versions of the configuration that the operator publishes beside the faults.
	operatorInterval = 900 * time.Millisecond
	// versionsServed is the number of versions for which a route of their own is kept.
	versionsServed = 12
	// configurationProbeInterval is the time between two requests that show which version a router has.
	configurationProbeInterval = 120 * time.Millisecond
	// contactTime is how long a router and the store must have been without a fault before the limits of time apply to the router.
	contactTime = 3 * time.Second
	// regressionSlack is how long after a router has shown a version it may still serve an older one, because its requests overlap.
	regressionSlack = 250 * time.Millisecond
)

// touch keeps when the last fault of a router, or of the store, ended or will end. Its zero value has no fault.
type touch struct {
	mutex sync.Mutex
	until time.Time
}

// disturbUntil records a fault.
func (touch *touch) disturbUntil(until time.Time) {
	touch.mutex.Lock()
	defer touch.mutex.Unlock()
	if until.After(touch.until) {
		touch.until = until
	}
}

// undisturbed reports whether there has been no fault for contactTime.
func (touch *touch) undisturbed(now time.Time) bool {
	touch.mutex.Lock()
	defer touch.mutex.Unlock()
	return now.Sub(touch.until) > contactTime
}

// publication is a version of the configuration that the store has acknowledged.
type publication struct {
	version      int
	acknowledged time.Time
}

// pathOfVersion returns the path of the route that a version adds.
func pathOfVersion(version int) string { return fmt.Sprintf("/version-%d/", version) }

// versionRoutes returns the routes of the current version and of the last ones before it.
func (environment *environment) versionRoutes(shares []table.ServiceWeight) []table.Route {
	versions := []int{environment.version}
	for _, publication := range environment.published[max(0, len(environment.published)-versionsServed):] {
		versions = append(versions, publication.version)
	}
	routes := make([]table.Route, 0, len(versions))
	for _, version := range versions {
		routes = append(routes, table.Route{
			Name: fmt.Sprint("version-", version), Host: routeHost, PathPrefix: pathOfVersion(version), Kind: table.RouteIdempotent, Timeout: routeTimeout,
			TrafficSplit: shares, MaxAttempts: 1, Anonymous: true,
		})
	}
	return routes
}

// inForce returns the newest version that has to be in force at a router in touch, or 0.
func (environment *environment) inForce(now time.Time) int {
	environment.mutex.Lock()
	defer environment.mutex.Unlock()
	for i := len(environment.published) - 1; i >= 0; i-- {
		if publication := environment.published[i]; now.Sub(publication.acknowledged) > configurationGrace {
			return publication.version
		}
	}
	return 0
}

// operate publishes configurations until the context ends. While the store has a fault, the operator waits.
func (run *run) operate(ctx context.Context) {
	for pause.For(ctx, operatorInterval) == nil {
		if run.environment.touch.undisturbed(time.Now().Add(contactTime)) {
			run.environment.publishConfiguration()
		}
	}
}

// configurationProbe asks one router for the routes of versions that have to be in force.
type configurationProbe struct {
	client *client
	router *router
	// shown is the newest version whose route the incarnation has served, since shownAt.
	incarnation, shown int
	shownAt            time.Time
}

func newConfigurationProbe(run *run, router *router) *configurationProbe {
	return &configurationProbe{client: newClient(run, clientCount+1+router.number), router: router}
}

func (probe *configurationProbe) loop(ctx context.Context) {
	for number := 0; pause.For(ctx, configurationProbeInterval) == nil; number++ {
		if version := probe.client.run.environment.inForce(time.Now()); version > 0 {
			probe.ask(ctx, fmt.Sprintf("version-%d-%d", probe.router.number, number), version)
		}
	}
	probe.client.http.CloseIdleConnections()
}

// ask sends one request and reports a router in touch that does not know the route, and any that knew a newer version before.
func (probe *configurationProbe) ask(ctx context.Context, id string, version int) {
	run, router := probe.client.run, probe.router
	sent := time.Now()
	inTouch := router.touch.undisturbed(sent) && run.environment.touch.undisturbed(sent)
	incarnation := router.currentIncarnation()
	run.checker.recordSent(id, false)
	address := strings.TrimPrefix(router.url(callerPort, ""), "http://")
	status, _, err := probe.client.send(ctx, address, pathOfVersion(version), id, "", 0)
	if ctx.Err() != nil || err != nil || incarnation != router.currentIncarnation() {
		return
	}
	run.checker.recordOutcome(id, status, fmt.Sprintf("version %d", status))
	if incarnation != probe.incarnation {
		probe.incarnation, probe.shown = incarnation, 0
	}
	switch {
	case status == http.StatusOK && version > probe.shown:
		probe.shown, probe.shownAt = version, time.Now()
	case status != http.StatusNotFound:
	case version <= probe.shown && sent.Sub(probe.shownAt) > regressionSlack:
		run.checker.reportf("router %d has no route of version %d after it served version %d", router.number, version, probe.shown)
	case inTouch:
		run.checker.reportf("router %d in touch has no route of version %d, published more than %v ago", router.number, version, configurationGrace)
	}
}
