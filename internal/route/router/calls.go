package router

import (
	"context"
	"strings"
	"time"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/store/claim"
	"github.com/clementinewind/clementinewind/internal/wire/callerv1"
	"github.com/clementinewind/clementinewind/internal/wire/peerv1"
)

// settleTimeout bounds the time for which the end of a claim is written after the answer is known.
const settleTimeout = 10 * time.Second

// call runs a call to a plain service to its end.
func (router *Router) call(ctx context.Context, arrival *arrival, message *callerv1.CallRequest) (*callerv1.CallResponse, *clementinewind.Refusal) {
	if !strings.HasPrefix(message.Path, "/") {
		return nil, clementinewind.NewRefusal(clementinewind.ProgressQueued, clementinewind.ReasonInvalid,
			"Path must start with a slash")
	}
	if message.Repeatable {
		return router.callRepeatable(ctx, arrival)
	}
	if message.IdempotencyKey == "" || message.KeyIssuedMillis <= 0 {
		return nil, clementinewind.NewRefusal(clementinewind.ProgressQueued, clementinewind.ReasonInvalid,
			"a call that is not repeatable needs IdempotencyKey and KeyIssuedMillis")
	}
	return router.callOnce(ctx, arrival, message)
}

// callRepeatable sends a call until it is answered, within the retry budget and the deadline.
func (router *Router) callRepeatable(ctx context.Context, arrival *arrival) (*callerv1.CallResponse, *clementinewind.Refusal) {
	for attempt := 0; ; attempt++ {
		response, refusal := router.send(ctx, arrival, attempt)
		if refusal == nil {
			return response, nil
		}
		final := arrival.refused(refusal)
		if ctx.Err() != nil || attempt+1 >= maxAttempts || !router.mayRetry(arrival, refusal) {
			return nil, final
		}
		arrival.renew()
	}
}

// send places a call and returns its answer. A call whose owner lost the right to send it is placed again.
func (router *Router) send(ctx context.Context, arrival *arrival, attempt int) (*callerv1.CallResponse, *clementinewind.Refusal) {
	for ; ; attempt++ {
		remote, placement, refusal := router.place(ctx, arrival, attempt)
		if refusal != nil {
			return nil, refusal
		}
		response, err := router.receive(arrival, remote)
		placement.Finish()
		if err == nil {
			return response, nil
		}
		refusal = answerRefusal(err)
		if !mayPlaceAgain(refusal) || time.Now().After(arrival.deadline) || ctx.Err() != nil {
			return nil, refusal
		}
	}
}

func (*Router) receive(arrival *arrival, remote *remote) (*callerv1.CallResponse, error) {
	defer remote.Close()
	remote.silence = time.Until(arrival.deadline) + frameTimeout
	response, err := remote.Call()
	if err != nil {
		return nil, err
	}
	return &callerv1.CallResponse{RequestId: arrival.dispatch.RequestId, Status: response.Status, Body: response.Body}, nil
}

// callOnce sends a call that must not run twice. Only the winner of the claim for its key sends it.
func (router *Router) callOnce(ctx context.Context, arrival *arrival, message *callerv1.CallRequest) (*callerv1.CallResponse, *clementinewind.Refusal) {
	issued := time.UnixMilli(message.KeyIssuedMillis)
	key := claim.KeyOf(arrival.organisation.Name, arrival.pool.Name, message.IdempotencyKey, issued)
	claimed, claimID, refusal := router.claims.claim(ctx, &peerv1.ClaimRequest{
		Key:             key[:],
		Digest:          digest(message),
		KeyIssuedMillis: message.KeyIssuedMillis,
	}, arrival.deadline)
	if refusal != nil {
		return nil, refusal
	}
	if claimed.Done {
		return &callerv1.CallResponse{
			RequestId: claimed.RequestId, Status: claimed.Status, Body: claimed.Body, Replayed: true,
		}, nil
	}
	// The claim is won. From here on the call must be settled even if the caller goes away.
	sendCtx, cancel := router.whileRunning(context.WithoutCancel(ctx))
	defer cancel()
	response, refusal := router.send(sendCtx, arrival, 0)
	settlement := &peerv1.SettleClaimRequest{Key: key[:], ClaimId: claimID[:], RequestId: arrival.dispatch.RequestId}
	switch {
	case refusal == nil:
		settlement.Status, settlement.Body = response.Status, response.Body
	case refusal.Outcome == clementinewind.OutcomeNotRun:
		settlement.Release = true
	default:
		// Whether the call ran is not known, so the key stays claimed.
		return nil, refusal
	}
	router.settle(settlement)
	return response, refusal
}

func digest(message *callerv1.CallRequest) []byte {
	digest := claim.DigestOf(message.Path, message.Body)
	return digest[:]
}

// settle writes the end of a claim. The answer does not wait for it: a retry that comes before it is told that the
// first call has not ended.
func (router *Router) settle(settlement *peerv1.SettleClaimRequest) {
	end := router.requests.begin()
	go func() {
		defer end()
		ctx, cancel := context.WithTimeout(router.ctx, settleTimeout)
		defer cancel()
		if err := router.claims.settle(ctx, settlement); err != nil {
			router.logger.Warn("claim not settled", "Request", settlement.RequestId, "Error", err)
		}
	}()
}
