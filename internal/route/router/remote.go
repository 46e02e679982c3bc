package router

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/route/answer"
	"github.com/clementinewind/clementinewind/internal/wire/callerv1"
	"github.com/clementinewind/clementinewind/internal/wire/peerv1"
)

var (
	errSilent  = errors.New("router was silent for longer than the frame timeout")
	errStopped = errors.New("this router was stopped")
)

// remote is a request that was forwarded to the owner of an upstream. It is an answer.Source.
type remote struct {
	stream peerv1.PeerService_ForwardClient
	cancel context.CancelCauseFunc
	// watchdog ends the request when a wait for a reply takes longer than silence. It does not run while nobody waits: a
	// slow caller delays the next wait, and the router that holds back its answer meanwhile is not silent.
	watchdog *time.Timer
	silence  time.Duration
	// unwatch ends the watch for the end of this router.
	unwatch   func() bool
	requestID clementinewind.RequestID
	upstream  clementinewind.Upstream
	// resumed is set when the request ran before, so that no failure from here on says that it did not.
	resumed bool
}

// open forwards a request to a router and waits until the router has admitted it. Errors are *clementinewind.Refusal.
func (router *Router) open(parent context.Context, session clementinewind.Session, dispatch *peerv1.Dispatch) (*remote, error) {
	requestID, err := clementinewind.ParseRequestID(dispatch.RequestId)
	if err != nil {
		return nil, clementinewind.NewRefusal(clementinewind.ProgressQueued, clementinewind.ReasonInvalid, err.Error())
	}
	unsent := clementinewind.ProgressQueued
	if dispatch.Resume {
		unsent = clementinewind.ProgressDispatched
	}
	ctx, cancel := context.WithCancelCause(parent)
	ctx, client, err := router.fleet.Client(ctx, session)
	if err != nil {
		cancel(nil)
		return nil, lost(unsent, err)
	}
	stream, err := client.Forward(ctx)
	if err != nil {
		cancel(nil)
		return nil, lost(unsent, err)
	}
	opened := &remote{
		stream: stream, cancel: cancel, requestID: requestID, silence: admissionTimeout, resumed: dispatch.Resume,
	}
	opened.unwatch = context.AfterFunc(router.ctx, func() { cancel(errStopped) })
	opened.watchdog = time.AfterFunc(admissionTimeout, func() { cancel(errSilent) })
	if err := opened.admit(dispatch); err != nil {
		if errors.Is(context.Cause(ctx), errSilent) {
			router.renewLink(session)
		}
		opened.Close()
		return nil, err
	}
	return opened, nil
}

// admit sends the request. From here on it counts as dispatched until the router says otherwise.
func (remote *remote) admit(dispatch *peerv1.Dispatch) error {
	if err := remote.stream.Send(&peerv1.ForwardFrame{Dispatch: dispatch}); err != nil && err != io.EOF {
		return lost(clementinewind.ProgressDispatched, err)
	}
	reply, err := remote.receive()
	if err != nil {
		return err
	}
	admitted := reply.GetAdmitted()
	if admitted == nil {
		return lost(clementinewind.ProgressDispatched, errors.New("router answered without admission"))
	}
	remote.upstream = clementinewind.Upstream(admitted.Upstream)
	remote.silence = frameTimeout
	return nil
}

// receive returns the next reply. A refusal by the router is returned as the error.
func (remote *remote) receive() (*peerv1.ForwardReply, error) {
	remote.watchdog.Reset(remote.silence)
	reply, err := remote.stream.Recv()
	remote.watchdog.Stop()
	if err != nil {
		return nil, lost(clementinewind.ProgressDispatched, err)
	}
	if message := reply.GetRefusal(); message != nil {
		refusal := refusalOf(message)
		if remote.resumed {
			refusal.Outcome = clementinewind.OutcomeUnknown
		}
		return nil, refusal
	}
	return reply, nil
}

// Next returns the next part of a streamed answer. A refusal by the owner is final, so it wraps answer.ErrNotResumable.
func (remote *remote) Next() (answer.Chunk, error) {
	for {
		reply, err := remote.receive()
		if err != nil {
			return answer.Chunk{}, final(err)
		}
		frame := reply.GetAnswer()
		if frame == nil || frame.Heartbeat {
			continue
		}
		return chunkOf(frame)
	}
}

// gone is a refusal by the owner of an upstream, after which the answer cannot be resumed.
type gone struct{ *clementinewind.Refusal }

func (gone gone) Unwrap() []error { return []error{gone.Refusal, answer.ErrNotResumable} }

func final(err error) error {
	var refusal *clementinewind.Refusal
	if errors.As(err, &refusal) && refusal.Reason != clementinewind.ReasonConnectionLost {
		return gone{refusal}
	}
	return err
}

// Call returns the answer of a plain service.
func (remote *remote) Call() (*peerv1.ServiceAnswer, error) {
	for {
		reply, err := remote.receive()
		if err != nil {
			return nil, err
		}
		if response := reply.GetServiceAnswer(); response != nil {
			return response, nil
		}
	}
}

// Cancel tells the owner that nobody wants the answer any more. The owner then ends the stream.
func (remote *remote) Cancel() {
	remote.stream.Send(&peerv1.ForwardFrame{Cancel: true})
}

// Close drops the connection. The owner goes on with the request, so that it can be resumed.
func (remote *remote) Close() error {
	remote.watchdog.Stop()
	remote.unwatch()
	remote.cancel(nil)
	return nil
}

func lost(progress clementinewind.Progress, err error) *clementinewind.Refusal {
	return clementinewind.NewRefusal(progress, clementinewind.ReasonConnectionLost, err.Error())
}

func chunkOf(frame *callerv1.AnswerFrame) (answer.Chunk, error) {
	requestID, err := clementinewind.ParseRequestID(frame.RequestId)
	return answer.Chunk{RequestID: requestID, Position: frame.Position, Tokens: frame.Tokens, End: frame.End}, err
}

func frameOf(chunk answer.Chunk) *callerv1.AnswerFrame {
	return &callerv1.AnswerFrame{
		RequestId: chunk.RequestID.String(), Position: chunk.Position, Tokens: chunk.Tokens, End: chunk.End,
	}
}
