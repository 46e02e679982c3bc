package router

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"connectrpc.com/connect"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/admin/event"
	"github.com/clementinewind/clementinewind/internal/edge/auth"
	"github.com/clementinewind/clementinewind/internal/share/fair"
	"github.com/clementinewind/clementinewind/internal/share/pause"
	"github.com/clementinewind/clementinewind/internal/store/state"
	"github.com/clementinewind/clementinewind/internal/store/tree"
	"github.com/clementinewind/clementinewind/internal/wire/operatorv1"
	"github.com/clementinewind/clementinewind/internal/wire/recordv1"
)

const (
	// defaultWait is how long an edit waits by default to be in force on every router; it is the limit that the design
	// sets for that.
	defaultWait = 14 * time.Second
	// acceptTimeout bounds the time until an edit is in the log.
	acceptTimeout = 10 * time.Second
	// markerConfirmTimeout bounds the time in which routers confirm a stop marker.
	markerConfirmTimeout = 3 * time.Second
	// missingPoll is the time between two looks at which routers have applied an edit.
	missingPoll = 50 * time.Millisecond
	// peerEventsTimeout bounds the time in which a peer sends its time line.
	peerEventsTimeout = 3 * time.Second
)

// operatorService serves operators.
type operatorService struct {
	router *Router
}

// GetSettings returns the settings tree or a part of it.
func (service *operatorService) GetSettings(_ context.Context, request *connect.Request[operatorv1.GetSettingsRequest]) (*connect.Response[operatorv1.GetSettingsResponse], error) {
	view := service.router.replica.View()
	text, err := view.Tree.SectionText(request.Msg.Section, request.Msg.Effective)
	if err != nil {
		return nil, connect.NewError(connect.CodeNotFound, err)
	}
	return connect.NewResponse(&operatorv1.GetSettingsResponse{Version: int64(view.Version), Text: text}), nil
}

// SetSettings appends an edit and returns when it has been accepted or rejected.
func (service *operatorService) SetSettings(ctx context.Context, request *connect.Request[operatorv1.SetSettingsRequest]) (*connect.Response[operatorv1.SetSettingsResponse], error) {
	message := request.Msg
	if len(message.Changes) == 0 {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("the edit has no changes"))
	}
	result, err := service.router.edit(ctx, &recordv1.Edit{
		Against: message.Against, Changes: message.Changes, Who: editor(ctx, message.Who), Why: message.Why,
	})
	if err != nil {
		return nil, err
	}
	response := &operatorv1.SetSettingsResponse{
		Accepted: result.Accepted, Version: int64(result.Version), Conflict: result.Conflict,
	}
	if message.Wait && result.Accepted {
		response.Missing = service.router.awaitInForce(ctx, result.Version, message.WaitMillis)
	}
	return connect.NewResponse(response), nil
}

// editor returns the name under which an edit is kept: that of the operator's token, if there is one.
func editor(ctx context.Context, claimed string) string {
	if operator := auth.IdentityFromContext(ctx).Operator; operator != "" {
		return operator
	}
	return claimed
}

// verdict is the end of an edit.
type verdict struct {
	Accepted bool
	Version  clementinewind.Offset
	Conflict string
}

// edit appends an edit and waits for the verdict on it.
func (router *Router) edit(ctx context.Context, edit *recordv1.Edit) (verdict, error) {
	view := router.replica.View()
	if edit.Against == 0 {
		edit.Against = int64(view.Version)
	}
	if _, err := view.Tree.WithChanges(state.ChangesFromProto(edit.Changes)); err != nil {
		// An edit that cannot be valid is not worth a record.
		return verdict{Version: view.Version, Conflict: err.Error()}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	offset, err := router.appendControl(ctx, &recordv1.ControlRecord{Body: &recordv1.ControlRecord_Edit{Edit: edit}})
	if err != nil {
		return verdict{}, editError(err)
	}
	if err := router.awaitVersion(ctx, offset+1); err != nil {
		return verdict{}, editError(err)
	}
	result, ok := router.replica.EditResult(offset)
	if !ok {
		return verdict{}, connect.NewError(connect.CodeUnknown, errors.New("the verdict on the edit is no longer known; see the history"))
	}
	kind := clementinewind.EventSettingsAccepted
	if !result.Accepted {
		kind = clementinewind.EventSettingsRejected
	}
	router.record(clementinewind.Event{Kind: kind, Detail: edit.Who + ": " + edit.Why + " " + result.Conflict})
	return verdict{Accepted: result.Accepted, Version: offset + 1, Conflict: result.Conflict}, nil
}

func editError(err error) error {
	return connect.NewError(connect.CodeUnavailable,
		errors.Join(errors.New("the edit may have taken effect; look at the history before repeating it"), err))
}

// awaitInForce waits until every live router has applied the records below a version, and returns the instances that are
// not known to have.
func (router *Router) awaitInForce(ctx context.Context, version clementinewind.Offset, waitMillis int64) []string {
	wait := defaultWait
	if waitMillis > 0 {
		wait = time.Duration(waitMillis) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		missing := router.members.Missing(version)
		if len(missing) == 0 {
			return nil
		}
		if err := pause.For(ctx, missingPoll); err != nil {
			return router.instanceNames(missing)
		}
	}
}

func (router *Router) instanceNames(sessions []clementinewind.Session) []string {
	names := make([]string, len(sessions))
	for i, session := range sessions {
		names[i] = router.instanceOf(session)
	}
	slices.Sort(names)
	return names
}

// History returns edits, newest first.
func (service *operatorService) History(_ context.Context, request *connect.Request[operatorv1.HistoryRequest]) (*connect.Response[operatorv1.HistoryResponse], error) {
	response := &operatorv1.HistoryResponse{}
	for _, edit := range service.router.replica.View().History(request.Msg.Section, int(request.Msg.Limit)) {
		response.Entries = append(response.Entries, edit.ToProto())
	}
	return connect.NewResponse(response), nil
}

// SetZone takes an availability zone out of service or returns it to service.
func (service *operatorService) SetZone(ctx context.Context, request *connect.Request[operatorv1.SetZoneRequest]) (*connect.Response[operatorv1.SetZoneResponse], error) {
	message := request.Msg
	zone := clementinewind.Zone(message.Zone)
	if _, ok := service.router.replica.View().Tree.Zone(zone); !ok {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("unknown availability zone "+message.Zone))
	}
	if message.Urgent {
		if message.InService {
			return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("a zone returns to service only through the log"))
		}
		return connect.NewResponse(service.router.stopZone(ctx, zone, editor(ctx, message.Who), message.Why)), nil
	}
	result, err := service.SetSettings(ctx, connect.NewRequest(&operatorv1.SetSettingsRequest{
		Changes: []*operatorv1.Change{{
			Section: zoneSection(zone), Key: tree.InServiceKey, Value: strconv.FormatBool(message.InService),
		}},
		Who: message.Who, Why: message.Why, Wait: message.Wait, WaitMillis: message.WaitMillis,
	}))
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&operatorv1.SetZoneResponse{
		Accepted: result.Msg.Accepted, Version: result.Msg.Version, Conflict: result.Msg.Conflict, Missing: result.Msg.Missing,
	}), nil
}

// Timeline returns the time lines of all routers in causal order.
func (service *operatorService) Timeline(ctx context.Context, request *connect.Request[operatorv1.TimelineRequest]) (*connect.Response[operatorv1.TimelineResponse], error) {
	router := service.router
	query := event.QueryOf(request.Msg)
	sources := [][]clementinewind.Event{router.ring.Events(query)}
	response := &operatorv1.TimelineResponse{}
	if !request.Msg.Local {
		for _, session := range router.assignment.Load().view.Sessions {
			if session.ID == router.currentSession() {
				continue
			}
			events, err := router.fetchEvents(ctx, session.ID, request.Msg)
			if err != nil {
				response.Missing = append(response.Missing, string(session.Instance))
				continue
			}
			sources = append(sources, events)
		}
		logCtx, cancel := context.WithTimeout(ctx, peerEventsTimeout)
		disclosed, err := event.Disclosed(logCtx, router.config.Log, query)
		cancel()
		if err != nil {
			response.Missing = append(response.Missing, "events of the log")
		}
		sources = append(sources, disclosed)
	}
	response.Events = event.ListToWire(event.Merge(query, sources...))
	return connect.NewResponse(response), nil
}

func (router *Router) fetchEvents(ctx context.Context, session clementinewind.Session, request *operatorv1.TimelineRequest) ([]clementinewind.Event, error) {
	ctx, cancel := context.WithTimeout(ctx, peerEventsTimeout)
	defer cancel()
	ctx, client, err := router.fleet.Client(ctx, session)
	if err != nil {
		return nil, err
	}
	response, err := client.FetchEvents(ctx, request)
	if err != nil {
		return nil, err
	}
	return event.ListFromWire(response.Events), nil
}

// Status returns the state of this router and what it knows of the fleet.
func (service *operatorService) Status(_ context.Context, _ *connect.Request[operatorv1.StatusRequest]) (*connect.Response[operatorv1.StatusResponse], error) {
	router := service.router
	settings := router.config.Settings
	status := router.keeper.Status()
	response := &operatorv1.StatusResponse{
		Instance:       string(settings.Name),
		Zone:           string(settings.Zone),
		State:          router.phase().String(),
		Version:        int64(status.Offset),
		FreshMillisAgo: -1,
		LogReachable:   !status.LogLost,
		Upstreams:      router.upstreams(),
	}
	if !status.ProvenAt.IsZero() {
		response.FreshMillisAgo = time.Since(status.ProvenAt).Milliseconds()
	}
	for _, peer := range router.members.Peers() {
		session, _ := router.assignment.Load().view.Session(peer.Session)
		shown := &operatorv1.SessionStatus{
			Session: int64(peer.Session), Instance: string(session.Instance), Zone: string(session.Zone),
			State: peer.State.String(), Version: int64(peer.Offset), HeardMillisAgo: -1,
		}
		if !peer.HeardAt.IsZero() {
			shown.HeardMillisAgo = time.Since(peer.HeardAt).Milliseconds()
		}
		response.Sessions = append(response.Sessions, shown)
	}
	for organisation := range router.replica.View().Tree.Organisations() {
		if len(response.Organisations) == maxStatusOrganisations {
			break
		}
		shown := &operatorv1.OrganisationStatus{Organisation: string(organisation.Name), Weight: organisation.Weight}
		router.usage.fill(shown, router.queued(organisation.Name))
		response.Organisations = append(response.Organisations, shown)
	}
	return connect.NewResponse(response), nil
}

// queued returns the number of requests of an organisation that wait at this router.
func (router *Router) queued(organisation clementinewind.Organisation) int {
	queued := 0
	for _, pool := range router.replica.View().Tree.Pools() {
		queued += router.entry.Waiting(fair.Key{Pool: pool.Name, Organisation: organisation})
	}
	return queued
}

// maxStatusOrganisations bounds a status; the settings list all organisations.
const maxStatusOrganisations = 100

// ListUpstreams returns the upstreams with their owners.
func (service *operatorService) ListUpstreams(_ context.Context, _ *connect.Request[operatorv1.ListUpstreamsRequest]) (*connect.Response[operatorv1.ListUpstreamsResponse], error) {
	return connect.NewResponse(&operatorv1.ListUpstreamsResponse{Upstreams: service.router.upstreams()}), nil
}

// upstreams returns all upstreams. Limits and counts are known only of those that this router owns.
func (router *Router) upstreams() []*operatorv1.UpstreamStatus {
	assignment := router.assignment.Load()
	owned := map[clementinewind.Upstream]*operatorv1.UpstreamStatus{}
	var list []*operatorv1.UpstreamStatus
	for _, upstream := range assignment.view.Tree.AllUpstreams() {
		shown := &operatorv1.UpstreamStatus{
			Upstream: string(upstream.Name), Pool: string(upstream.Pool), Zone: string(upstream.Zone), State: "-",
			Owner: router.instanceOf(assignment.owners[upstream.Name]),
		}
		if !upstream.Serving || router.markers.stops(upstream.Zone) {
			shown.State = clementinewind.UpstreamLeaving.String()
		}
		owned[upstream.Name] = shown
		list = append(list, shown)
	}
	for _, upstream := range router.owner.Upstreams() {
		if shown := owned[upstream.Upstream]; shown != nil {
			shown.State, shown.Limit, shown.Running = upstream.State.String(), int32(upstream.Limit), int32(upstream.InFlight)
		}
	}
	return list
}
