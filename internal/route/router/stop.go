package router

import (
	"context"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/share/pause"
	"github.com/clementinewind/clementinewind/internal/store/plog"
	"github.com/clementinewind/clementinewind/internal/store/tree"
	"github.com/clementinewind/clementinewind/internal/wire/operatorv1"
	"github.com/clementinewind/clementinewind/internal/wire/peerv1"
	"github.com/clementinewind/clementinewind/internal/wire/recordv1"
)

// stopZone spreads a stop marker for a zone without waiting for the log, and writes the edit to the log when it can.
func (router *Router) stopZone(ctx context.Context, zone clementinewind.Zone, who, why string) *operatorv1.SetZoneResponse {
	version := router.replica.View().Version
	marker := &peerv1.StopMarker{Zone: string(zone), Offset: int64(version), Who: who}
	if router.markers.add([]*peerv1.StopMarker{marker}) {
		router.spreadMarkers()
	}
	router.record(clementinewind.Event{Kind: clementinewind.EventZoneOut, Detail: string(zone) + " by stop marker of " + who + ": " + why})
	end := router.requests.begin()
	go func() {
		defer end()
		router.writeStop(zone, who, why)
	}()
	return &operatorv1.SetZoneResponse{
		Accepted: true, Version: int64(version), Missing: router.unconfirmed(ctx, zone),
	}
}

// writeStop writes the edit behind a stop marker to the log, however long the log is down. It gives up when the marker has
// been settled: a newer edit then decides about the zone, and writing this one again would undo it.
func (router *Router) writeStop(zone clementinewind.Zone, who, why string) {
	for attempt := 0; router.ctx.Err() == nil && !router.isDraining() && router.markers.stops(zone); attempt++ {
		result, err := router.edit(router.ctx, &recordv1.Edit{
			Changes: []*operatorv1.Change{{Section: zoneSection(zone), Key: tree.InServiceKey, Value: "false"}},
			Who:     who, Why: why + " (stop marker)",
		})
		if err == nil && result.Accepted {
			return
		}
		if err := (plog.Backoff{}).Wait(router.ctx, attempt); err != nil {
			return
		}
	}
}

// spreadMarkers puts the stop markers into force here and passes them on.
func (router *Router) spreadMarkers() {
	router.assigning.Lock()
	router.assignUpstreams(router.assignment.Load())
	router.assigning.Unlock()
	frame := &peerv1.ControlFrame{StopMarkers: router.markers.all()}
	for _, session := range router.fleet.Sessions() {
		if session != router.currentSession() {
			router.fleet.Send(session, frame)
		}
	}
}

// unconfirmed asks all live routers whether they know the marker of a zone, and returns the instances that did not say so.
func (router *Router) unconfirmed(ctx context.Context, zone clementinewind.Zone) []string {
	ctx, cancel := context.WithTimeout(ctx, markerConfirmTimeout)
	defer cancel()
	var missing []string
	for _, session := range router.assignment.Load().view.Sessions {
		if session.ID != router.currentSession() && !router.awaitMarker(ctx, session.ID, zone) {
			missing = append(missing, string(session.Instance))
		}
	}
	return missing
}

// awaitMarker waits until a peer says that it sends no new work to a zone.
func (router *Router) awaitMarker(ctx context.Context, session clementinewind.Session, zone clementinewind.Zone) bool {
	for {
		callCtx, client, err := router.fleet.Client(ctx, session)
		if err == nil {
			response, err := client.ConfirmStop(callCtx, &peerv1.ConfirmStopRequest{Zone: string(zone)})
			if err == nil && response.Stopped {
				return true
			}
		}
		if err := pause.For(ctx, missingPoll); err != nil {
			return false
		}
	}
}

// ConfirmStop reports whether a stop marker or the settings keep new work out of a zone here.
func (router *Router) ConfirmStop(_ context.Context, request *peerv1.ConfirmStopRequest) (*peerv1.ConfirmStopResponse, error) {
	zone := clementinewind.Zone(request.Zone)
	settings, known := router.replica.View().Tree.Zone(zone)
	return &peerv1.ConfirmStopResponse{Stopped: router.markers.stops(zone) || known && !settings.InService}, nil
}
