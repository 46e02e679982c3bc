package router

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/share/pause"
	"github.com/clementinewind/clementinewind/internal/store/state"
	"github.com/clementinewind/clementinewind/internal/wire/peerv1"
	"github.com/clementinewind/clementinewind/internal/wire/recordv1"
)

// errDrained ends the run group after a drain.
var errDrained = errors.New("router has drained")

// closeTimeout bounds the attempt to close the session. When the log is down, other routers expire the session later.
const closeTimeout = 5 * time.Second

// phase is what a router does at present.
type phase int32

const (
	phaseStarting phase = iota
	phaseServing
	phaseDraining
	phaseClosed
)

// String returns the name that the status shows.
func (phase phase) String() string {
	return [...]string{"Starting", "Serving", "Draining", "Closed"}[phase]
}

func (router *Router) phase() phase {
	switch current := phase(router.state.Load()); {
	case current != phaseStarting:
		return current
	case router.currentSession() != clementinewind.NoSession:
		return phaseServing
	default:
		return phaseStarting
	}
}

func (router *Router) isDraining() bool { return router.phase() >= phaseDraining }

// Drain makes the router finish its work and stop. It returns at once; Run returns when the router has stopped.
func (router *Router) Drain() {
	router.drainOnce.Do(func() { close(router.drain) })
}

// awaitDrain stops the router in steps, so that no request is cut off: first it no longer gives out its address, then,
// when its callers have gone, it gives up its upstreams, and last it finishes what runs there.
func (router *Router) awaitDrain(ctx context.Context) error {
	select {
	case <-router.drain:
	case <-ctx.Done():
		return ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, router.config.Settings.Drain)
	defer cancel()
	router.state.Store(int32(phaseDraining))
	router.members.SetDraining()
	for _, session := range router.fleet.Sessions() {
		router.fleet.Send(session, &peerv1.ControlFrame{Leaving: true})
	}
	router.record(clementinewind.Event{Kind: clementinewind.EventDrainStarted})
	// Callers may use the address until the time to live of the last answer that gave it has passed.
	if err := pause.For(ctx, router.config.Settings.AddressTimeToLive); err != nil {
		return router.drainEnded(err)
	}
	if err := router.awaitIdle(ctx, router.arrivals); err != nil {
		return router.drainEnded(err)
	}
	router.closeSession(ctx)
	if err := router.awaitIdle(ctx, router.requests); err != nil {
		return router.drainEnded(err)
	}
	return router.drainEnded(nil)
}

func (router *Router) drainEnded(err error) error {
	if err != nil {
		router.logger.Warn("drain limit reached; requests in progress are ended", "requests",
			router.arrivals.running()+router.requests.running())
	}
	return errDrained
}

// closeSession gives up the upstreams and tells the other routers that they may take them over at once.
func (router *Router) closeSession(ctx context.Context) {
	router.state.Store(int32(phaseClosed))
	session := router.currentSession()
	router.owner.SetUpstreams(nil)
	if session == clementinewind.NoSession {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	if _, err := router.appendControl(ctx, &recordv1.ControlRecord{Body: &recordv1.ControlRecord_SessionClosed{
		SessionClosed: &recordv1.SessionClosed{Session: int64(session)},
	}}); err != nil {
		router.logger.Warn("session not closed; other routers will expire it", "Error", err)
	}
}

// awaitIdle waits until no request is in progress.
func (*Router) awaitIdle(ctx context.Context, requests *requests) error {
	for requests.running() > 0 {
		select {
		case <-requests.done():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// locate returns the addresses that callers of an organisation should use.
func (router *Router) locate(organisation clementinewind.Organisation) []string {
	return router.assignment.Load().locate(organisation, func(session state.Session) bool {
		zone, known := router.replica.View().Tree.Zone(session.Zone)
		_, leaving := router.leaving.Load(session.ID)
		return leaving || session.ID == router.currentSession() && router.isDraining() ||
			known && !zone.InService || router.markers.stops(session.Zone)
	})
}
