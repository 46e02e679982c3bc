package router

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/route/answer"
	"github.com/clementinewind/clementinewind/internal/route/call"
	"github.com/clementinewind/clementinewind/internal/route/infer"
	"github.com/clementinewind/clementinewind/internal/route/send"
	"github.com/clementinewind/clementinewind/internal/share/admit"
	"github.com/clementinewind/clementinewind/internal/share/sched"
	"github.com/clementinewind/clementinewind/internal/store/tree"
	"github.com/clementinewind/clementinewind/internal/wire/callerv1"
	"github.com/clementinewind/clementinewind/internal/wire/peerv1"
)

var errNoRight = clementinewind.NewRefusal(clementinewind.ProgressQueued, clementinewind.ReasonStale,
	"this router may not send new work to the upstream now")

// Forward runs a request of another router on an upstream that this router owns.
func (router *Router) Forward(session clementinewind.Session, stream peerv1.PeerService_ForwardServer) error {
	frame, err := stream.Recv()
	if err != nil {
		return err
	}
	if frame.Dispatch == nil {
		return sendRefusal(stream, clementinewind.NewRefusal(clementinewind.ProgressQueued, clementinewind.ReasonInvalid,
			"first frame carries no request"))
	}
	end := router.requests.begin()
	defer end()
	if frame.Dispatch.Resume {
		err = router.serveResume(frame.Dispatch, stream)
	} else {
		err = router.serveNew(session, frame.Dispatch, stream)
	}
	var refusal *clementinewind.Refusal
	if errors.As(err, &refusal) {
		return sendRefusal(stream, refusal)
	}
	return err
}

func sendRefusal(stream peerv1.PeerService_ForwardServer, refusal *clementinewind.Refusal) error {
	return stream.Send(&peerv1.ForwardReply{Body: &peerv1.ForwardReply_Refusal{Refusal: wireRefusal(refusal, "")}})
}

func sendAdmitted(stream peerv1.PeerService_ForwardServer, upstream clementinewind.Upstream) error {
	return stream.Send(&peerv1.ForwardReply{
		Body: &peerv1.ForwardReply_Admitted{Admitted: &peerv1.Admitted{Upstream: string(upstream)}},
	})
}

// serveNew admits and runs a request. An error that is a refusal has not been reported to the entry router yet.
func (router *Router) serveNew(session clementinewind.Session, dispatch *peerv1.Dispatch, stream peerv1.PeerService_ForwardServer) error {
	requestID, err := clementinewind.ParseRequestID(dispatch.RequestId)
	if err != nil {
		return clementinewind.NewRefusal(clementinewind.ProgressQueued, clementinewind.ReasonInvalid, err.Error())
	}
	slot, refusal := router.slotFor(stream.Context(), session, dispatch)
	if refusal != nil {
		return refusal
	}
	upstream, ok := router.replica.View().Tree.Upstream(slot.Upstream())
	if !ok {
		slot.Finish(admit.ResultUnused)
		return errNoRight
	}
	// The token must belong to the view in which this router owns the upstream. If the owner changes before the send, it
	// is older than that of the next owner, and an engine that checks it refuses.
	fence, err := router.keeper.Permit(upstream.Name)
	if err != nil {
		slot.Finish(admit.ResultUnused)
		return err
	}
	if err := sendAdmitted(stream, upstream.Name); err != nil {
		slot.Finish(admit.ResultUnused)
		return err
	}
	if dispatch.Path != "" {
		return router.serveCall(requestID, dispatch, stream, slot, upstream, fence)
	}
	return router.serveModel(requestID, dispatch, stream, slot, upstream, fence)
}

func (router *Router) slotFor(ctx context.Context, session clementinewind.Session, dispatch *peerv1.Dispatch) (*sched.Slot, *clementinewind.Refusal) {
	request := sched.Request{
		Pool:         clementinewind.Pool(dispatch.Pool),
		Organisation: clementinewind.Organisation(dispatch.Organisation),
		Weight:       dispatch.Weight,
		Estimate:     dispatch.Estimate,
		Tag:          dispatch.Tag,
		Prefix:       prefixOf(dispatch.Prompt),
		Entry:        session,
	}
	if dispatch.GrantId == 0 {
		return router.owner.Admit(ctx, request)
	}
	slot, ok := router.owner.Redeem(dispatch.GrantId, request)
	if !ok {
		return nil, clementinewind.NewRefusal(clementinewind.ProgressQueued, clementinewind.ReasonBusy, "grant has expired")
	}
	return slot, nil
}

// prefixOf returns the hash of the longest whole prefix block, or 0 for a short prompt.
func prefixOf(prompt string) uint64 {
	blocks := infer.PrefixBlocks(prompt)
	if len(blocks) == 0 {
		return 0
	}
	return blocks[min(len(blocks), affinityBlocks)-1]
}

// affinityBlocks is the number of prefix blocks by which requests are kept together; what follows differs by request.
const affinityBlocks = 4

// dispatchStep is the last check before the first byte of a request is written to an upstream.
func (router *Router) dispatchStep(slot *sched.Slot, upstream tree.Upstream) func() error {
	return func() error {
		if err := router.keeper.MaySend(upstream.Name); err != nil {
			return err
		}
		if !slot.Dispatched() {
			return errNoRight
		}
		return nil
	}
}

// serveCall runs a call to a plain service. The call goes on when the entry router is lost, because it may have run.
func (router *Router) serveCall(requestID clementinewind.RequestID, dispatch *peerv1.Dispatch,
	stream peerv1.PeerService_ForwardServer, slot *sched.Slot, upstream tree.Upstream, fence clementinewind.Offset,
) error {
	ctx, cancel := context.WithTimeout(router.ctx, time.Duration(dispatch.DeadlineMillis)*time.Millisecond)
	defer cancel()
	response, err := router.services.Call(ctx, call.Request{
		Address:      upstream.Address.String(),
		RequestID:    requestID,
		Organisation: clementinewind.Organisation(dispatch.Organisation),
		FencingToken: fence,
		Path:         dispatch.Path,
		Body:         dispatch.Body,
		Repeatable:   dispatch.Repeatable,
		Dispatch:     router.dispatchStep(slot, upstream),
	})
	slot.Progress(1)
	slot.Finish(resultOf(err))
	if err != nil {
		return router.failed(err, upstream.Name)
	}
	return stream.Send(&peerv1.ForwardReply{Body: &peerv1.ForwardReply_ServiceAnswer{
		ServiceAnswer: &peerv1.ServiceAnswer{Status: int32(response.Status), Body: response.Body},
	}})
}

// serveModel runs a model request. The request goes on when the entry router is lost, so that it can be resumed.
func (router *Router) serveModel(requestID clementinewind.RequestID, dispatch *peerv1.Dispatch,
	stream peerv1.PeerService_ForwardServer, slot *sched.Slot, upstream tree.Upstream, fence clementinewind.Offset,
) error {
	ctx, cancel := context.WithCancel(router.ctx)
	defer cancel()
	target := router.target(requestID, dispatch, upstream, fence)
	reader := router.jobs.start(requestID, slot, cancel)
	source, err := router.models.Generate(ctx, infer.Request{
		Target:    target,
		Model:     dispatch.Pool,
		Prompt:    dispatch.Prompt,
		MaxTokens: int(dispatch.MaxTokens),
		Dispatch:  router.dispatchStep(slot, upstream),
	})
	if err != nil {
		if reader.finish() {
			slot.Finish(resultOf(err))
		}
		return router.failed(err, upstream.Name)
	}
	router.observeBoot(upstream.Name, source.BootID())
	first := answer.NewStream(ctx, answer.StreamConfig{
		RequestID: requestID, First: source, Reopen: router.reopenAt(target),
	})
	return router.relay(ctx, &relaying{reader: reader, source: first, stream: stream, target: target, upstream: upstream.Name})
}

// serveResume relays the rest of an answer that an engine already has. It needs no slot: the request runs already.
func (router *Router) serveResume(dispatch *peerv1.Dispatch, stream peerv1.PeerService_ForwardServer) error {
	requestID, err := clementinewind.ParseRequestID(dispatch.RequestId)
	if err != nil {
		return clementinewind.NewRefusal(clementinewind.ProgressDispatched, clementinewind.ReasonInvalid, err.Error())
	}
	upstream, ok := router.replica.View().Tree.Upstream(clementinewind.Upstream(dispatch.Upstream))
	if !ok {
		return clementinewind.NewRefusal(clementinewind.ProgressDispatched, clementinewind.ReasonInvalid, "unknown upstream")
	}
	if err := sendAdmitted(stream, upstream.Name); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(router.ctx)
	defer cancel()
	target := router.target(requestID, dispatch, upstream, router.keeper.Fence())
	reader := router.jobs.start(requestID, router.resumedSlot(requestID, dispatch, upstream), cancel)
	source := answer.NewStream(ctx, answer.StreamConfig{
		RequestID: requestID, Position: dispatch.Position, Reopen: router.reopenAt(target),
	})
	router.record(clementinewind.Event{
		Kind: clementinewind.EventResumed, RequestID: dispatch.RequestId,
		Organisation: target.Organisation, Upstream: upstream.Name,
	})
	return router.relay(ctx, &relaying{reader: reader, source: source, stream: stream, target: target, upstream: upstream.Name})
}

// resumedSlot returns a slot for an answer that another router admitted, so that it counts against the limit and is
// charged here. It is nil when this router runs the answer already or does not own the upstream.
func (router *Router) resumedSlot(requestID clementinewind.RequestID, dispatch *peerv1.Dispatch, upstream tree.Upstream) *sched.Slot {
	if router.jobs.has(requestID) {
		return nil
	}
	organisation := clementinewind.Organisation(dispatch.Organisation)
	settings, ok := router.replica.View().Tree.Organisation(organisation)
	if !ok {
		return nil
	}
	slot, refusal := router.owner.Resume(upstream.Name, sched.Request{
		Pool: upstream.Pool, Organisation: organisation, Weight: settings.Weight,
	}, float64(dispatch.Position))
	if refusal != nil {
		return nil
	}
	return slot
}

func (*Router) target(requestID clementinewind.RequestID, dispatch *peerv1.Dispatch, upstream tree.Upstream,
	fence clementinewind.Offset,
) infer.Target {
	return infer.Target{
		Address:      upstream.Address.String(),
		RequestID:    requestID,
		Organisation: clementinewind.Organisation(dispatch.Organisation),
		FencingToken: fence,
	}
}

func (router *Router) reopenAt(target infer.Target) func(ctx context.Context, position int64) (answer.Source, error) {
	return func(ctx context.Context, position int64) (answer.Source, error) {
		stream, err := router.models.Resume(ctx, target, position)
		if err != nil {
			return nil, err
		}
		return stream, nil
	}
}

// relaying is an answer on its way from an engine to the entry router.
type relaying struct {
	reader   *reader
	source   *answer.Stream
	stream   peerv1.PeerService_ForwardServer
	target   infer.Target
	upstream clementinewind.Upstream
	// detached is set when the entry router is gone. The answer is then read to its end, so that the slot is held for
	// as long as the engine works.
	detached bool
}

// relay passes an answer on until its end.
func (router *Router) relay(ctx context.Context, relaying *relaying) error {
	defer relaying.source.Close()
	cancelled := make(chan struct{})
	go relaying.awaitCancel(cancelled)
	chunks := readChunks(ctx, relaying.source)
	heartbeat := time.NewTicker(answerHeartbeat)
	defer heartbeat.Stop()
	for {
		select {
		case read := <-chunks:
			if read.err == io.EOF {
				router.endJob(relaying, admit.ResultCompleted)
				return nil
			}
			if read.err != nil {
				return router.relayFailed(ctx, relaying, read.err)
			}
			relaying.progress(read.chunk)
			relaying.send(frameOf(read.chunk))
		case <-heartbeat.C:
			relaying.send(&callerv1.AnswerFrame{RequestId: relaying.target.RequestID.String(), Heartbeat: true})
		case <-cancelled:
			cancelled = nil
			if relaying.reader.current() {
				router.cancelJob(relaying)
				return clementinewind.NewRefusal(clementinewind.ProgressDispatched, clementinewind.ReasonCancelled, "")
			}
		case <-ctx.Done():
			return router.relayStopped(relaying)
		}
	}
}

// relayStopped ends a reader that was superseded, or whose router stops.
func (router *Router) relayStopped(relaying *relaying) error {
	if !relaying.reader.current() {
		return clementinewind.NewRefusal(clementinewind.ProgressDispatched, clementinewind.ReasonCancelled,
			"the answer is read over another connection")
	}
	router.endJob(relaying, admit.ResultCancelled)
	return lost(clementinewind.ProgressDispatched, errors.New("the router stopped"))
}

type chunkRead struct {
	chunk answer.Chunk
	err   error
}

// readChunks reads a source in a goroutine until its end or that of ctx. At most one chunk waits.
func readChunks(ctx context.Context, source answer.Source) <-chan chunkRead {
	chunks := make(chan chunkRead)
	go func() {
		for {
			chunk, err := source.Next()
			select {
			case chunks <- chunkRead{chunk: chunk, err: err}:
			case <-ctx.Done():
				return
			}
			if err != nil {
				return
			}
		}
	}()
	return chunks
}

// awaitCancel closes cancelled when the entry router asks to cancel. A broken stream cancels nothing.
func (relaying *relaying) awaitCancel(cancelled chan<- struct{}) {
	for {
		frame, err := relaying.stream.Recv()
		if err != nil {
			return
		}
		if frame.Cancel {
			close(cancelled)
			return
		}
	}
}

func (relaying *relaying) progress(chunk answer.Chunk) {
	slot := relaying.reader.job.slot
	if slot == nil || len(chunk.Tokens) == 0 {
		return
	}
	if chunk.Position == 0 {
		slot.FirstToken()
	}
	slot.Progress(float64(chunk.Position) + float64(len(chunk.Tokens)))
}

func (relaying *relaying) send(frame *callerv1.AnswerFrame) {
	if relaying.detached {
		return
	}
	err := relaying.stream.Send(&peerv1.ForwardReply{Body: &peerv1.ForwardReply_Answer{Answer: frame}})
	relaying.detached = err != nil
}

// relayFailed ends a job whose answer broke. A reader that was superseded leaves the job to its successor.
func (router *Router) relayFailed(ctx context.Context, relaying *relaying, err error) error {
	if ctx.Err() != nil {
		return router.relayStopped(relaying)
	}
	router.endJob(relaying, resultOf(err))
	return router.failed(err, relaying.upstream)
}

func (router *Router) cancelJob(relaying *relaying) {
	if err := router.models.Cancel(router.ctx, relaying.target); err != nil {
		router.logger.Debug("cancellation failed", "Request", relaying.target.RequestID, "Error", err)
	}
	router.endJob(relaying, admit.ResultCancelled)
}

func (router *Router) endJob(relaying *relaying, result admit.Result) {
	if relaying.reader.finish() && relaying.reader.job.slot != nil {
		relaying.reader.job.slot.Finish(result)
	}
}

// failed returns the refusal for an error of an upstream.
func (router *Router) failed(err error, upstream clementinewind.Upstream) *clementinewind.Refusal {
	refusal := &clementinewind.Refusal{Reason: clementinewind.ReasonConnectionLost, Detail: err.Error()}
	var failure *send.Error
	if errors.As(err, &failure) {
		refusal = failure.Refusal()
	}
	if refusal.Reason == clementinewind.ReasonConnectionLost {
		// The connection to the upstream is lost, not the one between the routers, over which this answer travels.
		refusal.Reason = clementinewind.ReasonUpstreamFailed
	}
	router.logger.Debug("upstream request failed", "Upstream", upstream, "Error", err)
	return refusal
}

// resultOf tells the limiter of an upstream how a request ended.
func resultOf(err error) admit.Result {
	if err == nil {
		return admit.ResultCompleted
	}
	var failure *send.Error
	if !errors.As(err, &failure) {
		return admit.ResultReset
	}
	switch {
	case failure.Progress == clementinewind.ProgressQueued:
		return admit.ResultUnused
	case failure.Progress == clementinewind.ProgressDeclined:
		return admit.ResultRefused
	case failure.Reason == clementinewind.ReasonCancelled || failure.Reason == clementinewind.ReasonDeadline:
		return admit.ResultCancelled
	case failure.Reason == clementinewind.ReasonUpstreamFailed:
		return admit.ResultFailed
	default:
		return admit.ResultReset
	}
}
