package router

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/fleet/lease"
	"github.com/clementinewind/clementinewind/internal/fleet/member"
	"github.com/clementinewind/clementinewind/internal/share/pause"
	"github.com/clementinewind/clementinewind/internal/store/plog"
	"github.com/clementinewind/clementinewind/internal/store/state"
	"github.com/clementinewind/clementinewind/internal/store/tree"
	"github.com/clementinewind/clementinewind/internal/wire/peerv1"
	"github.com/clementinewind/clementinewind/internal/wire/recordv1"
)

const (
	// controlCallTimeout and controlBackoff keep reads of the control stream well below lease.Validity.
	controlCallTimeout = 500 * time.Millisecond
	controlBackoff     = 250 * time.Millisecond
	// loadAttemptTimeout bounds one attempt to load the state at start.
	loadAttemptTimeout = 10 * time.Second
	// peersTimeout is how long a router whose session was expired waits for its peers before it opens another one. It
	// ends the wait of routers that have all lost each other.
	peersTimeout = 30 * time.Second
	// snapshotAfter is the number of control records after which a snapshot is written. At 1,900 edits and a few hundred
	// session records a day that is twice a day, and a start reads at most about that many records after the snapshot.
	snapshotAfter = 1000
	// takeOverInterval is the time between two looks at whether a previous owner can still send.
	takeOverInterval = 100 * time.Millisecond
	// snapshotCheck is the time between two looks at whether a snapshot is due.
	snapshotCheck = 10 * time.Second
)

// follow loads the state and then follows the control stream until ctx ends.
func (router *Router) follow(ctx context.Context) error {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		err := router.load(ctx)
		if err == nil {
			tail := plog.NewReader(plog.ReaderConfig{
				Log:    router.config.Log,
				Stream: clementinewind.ControlStream,
				From:   router.replica.View().Version,
				Wait:   lease.ReadWait,
				// A read that hangs must fail, and be tried again, before the freshness of the last one lapses.
				CallTimeout: controlCallTimeout,
				Backoff:     plog.Backoff{Max: controlBackoff},
				Handle: func(_ context.Context, batch clementinewind.LogBatch) error {
					err := router.replica.Apply(batch)
					router.assign()
					return err
				},
				OnFreshness: router.logFresh,
				OnError:     router.logFailed,
			})
			err = tail.Run(ctx)
		}
		if ctx.Err() != nil {
			break
		}
		router.logger.Warn("control stream not followed", "Error", err)
		if err := (plog.Backoff{}).Wait(ctx, attempt); err != nil {
			break
		}
	}
	return ctx.Err()
}

// load brings the replica to the end of the control stream, or to the state of a peer while the log is down.
func (router *Router) load(ctx context.Context) error {
	attemptCtx, cancel := context.WithTimeout(ctx, loadAttemptTimeout)
	defer cancel()
	_, err := state.CatchUp(attemptCtx, router.config.Log, router.replica)
	if err != nil {
		router.logFailed(err)
		err = router.loadFromPeers(ctx, err)
	}
	if err != nil {
		return err
	}
	router.loaded.Store(true)
	router.assign()
	return nil
}

func (router *Router) logFresh(freshness plog.Freshness) {
	router.keeper.ReadSucceeded(freshness)
	if router.logLost.CompareAndSwap(true, false) {
		router.record(clementinewind.Event{Kind: clementinewind.EventLogRegained})
	}
}

func (router *Router) logFailed(err error) {
	router.members.Failed(err)
	if router.logLost.CompareAndSwap(false, true) {
		router.record(clementinewind.Event{Kind: clementinewind.EventLogLost, Detail: err.Error()})
	}
}

// assign puts the present view of the state into force on this router.
func (router *Router) assign() {
	router.assigning.Lock()
	defer router.assigning.Unlock()
	view := router.replica.View()
	before := router.assignment.Load()
	if view.Version == before.view.Version && before.self == router.currentSession() {
		return
	}
	next := newAssignment(router.currentSession(), view)
	router.members.Observe(view)
	router.markers.settle(view)
	router.assignment.Store(next)
	for _, ended := range view.Ended {
		if ended.Closed {
			router.fleet.Retire(ended.Session.ID)
		}
	}
	if before.self != next.self {
		// The links name the session under which they were opened.
		router.fleet.RetireAll()
	}
	if err := router.fleet.SetPeers(next.peers()); err != nil {
		router.logger.Error("peers not set", "Error", err)
	}
	router.owner.SetSelf(next.self)
	router.owner.SetSessions(next.sessions())
	router.assignUpstreams(next)
	router.claims.setAssignment(next)
	router.leaving.Range(func(session, _ any) bool {
		if _, live := view.Session(session.(clementinewind.Session)); !live {
			router.leaving.Delete(session)
		}
		return true
	})
	router.recordChanges(before, next)
}

// assignUpstreams tells the scheduler which upstreams this router owns and which routers own the others.
func (router *Router) assignUpstreams(assignment *assignment) {
	held := false
	configs := assignment.upstreamConfigs(func(upstream tree.Upstream) bool {
		waits := router.mustWait(upstream.Name)
		held = held || waits
		return waits || router.markers.stops(upstream.Zone)
	})
	router.held.Store(held)
	router.owner.SetUpstreams(configs)
	router.loads.set(assignment.owned(), assignment.view.Tree)
	for _, pool := range assignment.view.Tree.Pools() {
		router.entry.SetOwners(pool.Name, assignment.poolOwners(pool.Name))
	}
}

// mustWait reports whether a previous owner of an upstream may still send.
func (router *Router) mustWait(upstream clementinewind.Upstream) bool {
	var refusal *clementinewind.Refusal
	return errors.As(router.keeper.MaySend(upstream), &refusal) && refusal.Reason == clementinewind.ReasonBusy
}

// takeOver puts upstreams into use when their previous owners can no longer send.
func (router *Router) takeOver(ctx context.Context) error {
	ticker := time.NewTicker(takeOverInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if router.held.Load() && !router.isDraining() {
			router.assigning.Lock()
			router.assignUpstreams(router.assignment.Load())
			router.assigning.Unlock()
		}
	}
}

// recordChanges writes the difference of two assignments to the time line.
func (router *Router) recordChanges(before, next *assignment) {
	for _, session := range next.view.Sessions {
		if _, known := before.view.Session(session.ID); !known && before.view.Version > 0 {
			router.record(clementinewind.Event{
				Kind:   clementinewind.EventSessionOpened,
				Detail: string(session.Instance) + " in " + string(session.Zone),
			})
		}
	}
	for _, session := range before.view.Sessions {
		if _, live := next.view.Session(session.ID); !live {
			router.record(clementinewind.Event{
				Kind:   endKind(next.view, session.ID),
				Detail: string(session.Instance) + " in " + string(session.Zone),
			})
		}
	}
	for _, zone := range next.view.Tree.Zones() {
		earlier, known := before.view.Tree.Zone(zone.Name)
		switch {
		case known && earlier.InService && !zone.InService:
			router.record(clementinewind.Event{Kind: clementinewind.EventZoneOut, Detail: string(zone.Name)})
		case known && !earlier.InService && zone.InService:
			router.record(clementinewind.Event{Kind: clementinewind.EventZoneIn, Detail: string(zone.Name)})
		}
	}
	for upstream, owner := range next.owners {
		if earlier, known := before.owners[upstream]; owner == next.self && (!known || earlier != owner) {
			router.record(clementinewind.Event{Kind: clementinewind.EventOwnerChanged, Upstream: upstream})
		}
	}
}

func endKind(view state.View, session clementinewind.Session) clementinewind.EventKind {
	for _, ended := range view.Ended {
		if ended.Session.ID == session && ended.Closed {
			return clementinewind.EventSessionClosed
		}
	}
	return clementinewind.EventSessionExpired
}

// holdSession opens a session when the state is known, and another one when it was expired.
func (router *Router) holdSession(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := router.replica.Changed()
		view := router.replica.View()
		_, live := view.Session(router.currentSession())
		if !live && !router.isDraining() && router.loaded.Load() {
			router.awaitPeers(ctx)
			if err := router.openSession(ctx); err != nil {
				router.logger.Warn("session not opened", "Error", err)
				if err := (plog.Backoff{}).Wait(ctx, 3); err != nil {
					break
				}
				continue
			}
		}
		select {
		case <-changed:
		case <-time.After(time.Second):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// awaitPeers waits, after an expiry, until this router reaches more than half of the others again. A router that reaches
// the log but not its peers would otherwise open a session that is expired after a few seconds, again and again, and each
// time its upstreams would change their owner.
func (router *Router) awaitPeers(ctx context.Context) {
	if router.currentSession() == clementinewind.NoSession {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peersTimeout)
	defer cancel()
	for !router.reachesMajority(ctx) {
		if err := pause.For(ctx, time.Second); err != nil {
			return
		}
	}
}

// reachesMajority reports whether more than half of the live sessions answer a call, which needs both directions.
func (router *Router) reachesMajority(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	sessions := router.replica.View().Sessions
	answers := make(chan bool, len(sessions))
	for _, session := range sessions {
		go func() {
			callCtx, client, err := router.fleet.Client(ctx, session.ID)
			if err == nil {
				_, err = client.ConfirmStop(callCtx, &peerv1.ConfirmStopRequest{}, grpc.WaitForReady(true))
			}
			answers <- err == nil
		}()
	}
	reached := 0
	for range sessions {
		if <-answers {
			reached++
		}
	}
	return 2*reached >= len(sessions)
}

// openSession appends the record that opens a session and waits until the replica has applied it.
func (router *Router) openSession(ctx context.Context) error {
	settings := router.config.Settings
	offset, err := router.appendControl(ctx, &recordv1.ControlRecord{Body: &recordv1.ControlRecord_SessionOpened{
		SessionOpened: &recordv1.SessionOpened{
			Instance:      string(settings.Name),
			Zone:          string(settings.Zone),
			PeerAddress:   settings.PeerAdvertise.String(),
			CallerAddress: settings.CallerAdvertise.String(),
		},
	}})
	if err != nil {
		return err
	}
	if err := router.awaitVersion(ctx, offset+1); err != nil {
		return err
	}
	session := clementinewind.Session(offset)
	router.session.Store(int64(session))
	router.members.SetSession(session)
	router.assign()
	router.logger.Info("session opened", "Session", session)
	router.authority.WarnIfOpen()
	return nil
}

// appendControl appends a record to the control stream and returns the offset at which it took effect.
func (router *Router) appendControl(ctx context.Context, record *recordv1.ControlRecord) (clementinewind.Offset, error) {
	payload, err := proto.Marshal(record)
	if err != nil {
		return 0, err
	}
	return router.control.Append(ctx, payload)
}

// awaitVersion waits until the replica has applied the records below a version.
func (router *Router) awaitVersion(ctx context.Context, version clementinewind.Offset) error {
	for {
		changed := router.replica.Changed()
		if router.replica.View().Version >= version {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// watchMembers expires the sessions of routers that no longer answer.
func (router *Router) watchMembers(ctx context.Context) error {
	ticker := time.NewTicker(member.Interval)
	defer ticker.Stop()
	var wasFresh bool
	for {
		select {
		case <-ticker.C:
		case <-router.members.Urgent():
			router.sendHeartbeats()
		case <-ctx.Done():
			return ctx.Err()
		}
		if fresh := router.keeper.MayServe(); fresh != wasFresh {
			wasFresh = fresh
			kind := clementinewind.EventStale
			if fresh {
				kind = clementinewind.EventFresh
			}
			router.record(clementinewind.Event{Kind: kind})
		}
		router.members.Forget()
		for _, session := range router.members.Expirable() {
			router.expire(ctx, session)
		}
	}
}

// renewLink opens a new connection to a peer that was silent for too long.
func (router *Router) renewLink(session clementinewind.Session) {
	renewed, err := router.fleet.Renew(session)
	if err != nil {
		router.logger.Error("connection to peer not renewed", "Peer", session, "Error", err)
	}
	if renewed {
		router.logger.Debug("connection to peer renewed", "Peer", session)
	}
}

func (router *Router) sendHeartbeats() {
	for _, session := range router.fleet.Sessions() {
		if heartbeat := router.heartbeat(session); heartbeat != nil {
			router.fleet.Send(session, &peerv1.ControlFrame{Heartbeat: heartbeat})
		}
	}
}

func (router *Router) expire(ctx context.Context, session clementinewind.Session) {
	ctx, cancel := context.WithTimeout(ctx, member.Interval)
	defer cancel()
	router.record(clementinewind.Event{Kind: clementinewind.EventPeerSuspected, Detail: router.instanceOf(session)})
	if _, err := router.appendControl(ctx, &recordv1.ControlRecord{Body: &recordv1.ControlRecord_SessionExpired{
		SessionExpired: &recordv1.SessionExpired{Session: int64(session), By: int64(router.currentSession())},
	}}); err != nil {
		router.logger.Warn("session not expired", "Session", session, "Error", err)
	}
}

func (router *Router) instanceOf(id clementinewind.Session) string {
	session, _ := router.replica.View().Session(id)
	return string(session.Instance)
}

// writeSnapshots writes a snapshot of the state when this router is the one that does so and one is due.
func (router *Router) writeSnapshots(ctx context.Context) error {
	ticker := time.NewTicker(snapshotCheck)
	defer ticker.Stop()
	var covered clementinewind.Offset
	if snapshot, err := state.ReadSnapshot(ctx, router.config.Log); err == nil && snapshot != nil {
		covered = clementinewind.Offset(snapshot.Covers)
	}
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		assignment := router.assignment.Load()
		writer, ok := assignment.ring.Owner(clementinewind.SnapshotStream)
		if !ok || assignment.self != writer.ID || assignment.view.Version-covered < snapshotAfter {
			continue
		}
		snapshot := router.replica.Snapshot()
		if err := state.WriteSnapshot(ctx, router.config.Log, snapshot); err != nil {
			router.logger.Warn("snapshot not written", "Error", err)
			continue
		}
		covered = clementinewind.Offset(snapshot.Covers)
		router.record(clementinewind.Event{Kind: clementinewind.EventSnapshotWritten})
	}
}
