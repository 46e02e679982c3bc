package router

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/store/claim"
	"github.com/clementinewind/clementinewind/internal/wire/callerv1"
	"github.com/clementinewind/clementinewind/internal/wire/peerv1"
)

const (
	// claimAttemptTimeout bounds one request to the router that serves a claims stream.
	claimAttemptTimeout = 3 * time.Second
	// claimRetryDelay is the delay before a claim is sent again, perhaps to another router.
	claimRetryDelay = 200 * time.Millisecond
	// logRetryAfter is when a caller should retry after the log was unavailable.
	logRetryAfter = 2 * time.Second
	// keyRetryAfter is when a caller should retry while an earlier call with its key has not ended.
	keyRetryAfter = time.Second
)

// claims serves the claims streams that this router owns, and sends claims to the routers that own the others.
type claims struct {
	router *Router

	mu      sync.Mutex
	indexes map[int]*servedIndex
	wait    sync.WaitGroup
}

type servedIndex struct {
	index *claim.Index
	stop  context.CancelFunc
}

func newClaims(router *Router) *claims {
	return &claims{router: router, indexes: map[int]*servedIndex{}}
}

// setAssignment starts and stops indexes so that they match the streams that this router owns.
func (claims *claims) setAssignment(assignment *assignment) {
	claims.mu.Lock()
	defer claims.mu.Unlock()
	if claims.router.ctx.Err() != nil {
		return
	}
	for number := range claim.StreamCount {
		owner, ok := assignment.ring.Owner(claim.StreamName(number))
		owned := ok && owner.ID == assignment.self
		served := claims.indexes[number]
		switch {
		case owned && served == nil:
			claims.indexes[number] = claims.start(number)
		case !owned && served != nil:
			served.stop()
			delete(claims.indexes, number)
		}
	}
}

func (claims *claims) start(number int) *servedIndex {
	ctx, cancel := context.WithCancel(claims.router.ctx)
	index := claim.New(claim.Config{
		Log:     claims.router.config.Log,
		Stream:  number,
		Session: claims.router.currentSession,
	})
	claims.wait.Go(func() {
		if err := index.Run(ctx); err != nil && ctx.Err() == nil {
			claims.router.logger.Error("claims stream not served", "Stream", number, "Error", err)
		}
	})
	return &servedIndex{index: index, stop: cancel}
}

func (claims *claims) served(key claim.Key) (*claim.Index, bool) {
	claims.mu.Lock()
	defer claims.mu.Unlock()
	served := claims.indexes[key.Stream()]
	if served == nil {
		return nil, false
	}
	return served.index, true
}

// claim asks the router that serves the stream of a key to decide it. It returns a response that is either won or done,
// and the id of the claim.
func (claims *claims) claim(ctx context.Context, request *peerv1.ClaimRequest, deadline time.Time) (*peerv1.ClaimResponse, claim.ID, *clementinewind.Refusal) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	// A claim whose response was lost may be won unseen. Nothing is ever sent under its id, so it is released, and the
	// next attempt takes another id.
	released := map[string]bool{}
	for {
		claimID := claim.NewID()
		request.ClaimId = claimID[:]
		response, err := claims.ask(ctx, request)
		switch {
		case err != nil:
			released[string(claimID[:])] = true
			claims.router.settle(&peerv1.SettleClaimRequest{Key: request.Key, ClaimId: claimID[:], Release: true})
		case response.Refusal == nil:
			return response, claimID, nil
		case !released[string(response.Holder)]:
			return nil, claimID, refusalOf(response.Refusal)
		default:
			err = errors.New("an earlier attempt of this call is being released")
		}
		select {
		case <-time.After(claimRetryDelay):
		case <-ctx.Done():
			return nil, claimID, undecided(err)
		}
	}
}

// undecided returns the refusal of a call whose key could not be decided. The call itself was not sent, but an earlier
// one with its key may have run.
func undecided(err error) *clementinewind.Refusal {
	return clementinewind.NewRefusal(clementinewind.ProgressDispatched, clementinewind.ReasonLogUnavailable,
		"the key could not be decided, and an earlier call with it may have run: "+err.Error()).WithRetryAfter(logRetryAfter)
}

// ask sends a claim once.
func (claims *claims) ask(ctx context.Context, request *peerv1.ClaimRequest) (*peerv1.ClaimResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, claimAttemptTimeout)
	defer cancel()
	ctx, client, err := claims.client(ctx, request.Key)
	if err != nil {
		return nil, err
	}
	return client.Claim(ctx, request)
}

func (claims *claims) client(ctx context.Context, keyBytes []byte) (context.Context, peerv1.PeerServiceClient, error) {
	key, err := keyOf(keyBytes)
	if err != nil {
		return ctx, nil, err
	}
	owner, ok := claims.router.assignment.Load().ring.Owner(claim.StreamName(key.Stream()))
	if !ok {
		return ctx, nil, errors.New("no router serves the claims stream")
	}
	return claims.router.fleet.Client(ctx, owner.ID)
}

// settle records the end of a claim, retrying until ctx ends.
func (claims *claims) settle(ctx context.Context, request *peerv1.SettleClaimRequest) error {
	for {
		err := claims.settleOnce(ctx, request)
		if err == nil {
			return nil
		}
		select {
		case <-time.After(claimRetryDelay):
		case <-ctx.Done():
			return err
		}
	}
}

func (claims *claims) settleOnce(ctx context.Context, request *peerv1.SettleClaimRequest) error {
	ctx, cancel := context.WithTimeout(ctx, claimAttemptTimeout)
	defer cancel()
	ctx, client, err := claims.client(ctx, request.Key)
	if err != nil {
		return err
	}
	_, err = client.SettleClaim(ctx, request)
	return err
}

// close stops all indexes and waits for them.
func (claims *claims) close() {
	claims.mu.Lock()
	for number, served := range claims.indexes {
		served.stop()
		delete(claims.indexes, number)
	}
	claims.mu.Unlock()
	claims.wait.Wait()
}

var errNotServed = errors.New("this router does not serve the claims stream of the key")

// Claim decides an idempotency key for another router.
func (router *Router) Claim(ctx context.Context, request *peerv1.ClaimRequest) (*peerv1.ClaimResponse, error) {
	key, err := keyOf(request.Key)
	if err != nil {
		return nil, err
	}
	index, ok := router.claims.served(key)
	if !ok {
		return nil, errNotServed
	}
	if len(request.Digest) != len(claim.Digest{}) || len(request.ClaimId) != len(claim.ID{}) {
		return nil, errors.New("claim has a digest or an id of the wrong length")
	}
	decision, err := index.Claim(ctx, key, claim.Digest(request.Digest), claim.ID(request.ClaimId),
		time.UnixMilli(request.KeyIssuedMillis))
	if err != nil {
		return router.claimFailed(index, key, err)
	}
	response := claimResponse(decision)
	response.Holder = decision.Holder[:]
	return response, nil
}

// claimFailed returns the end of a claim that the index could not decide. An error makes the entry router ask again.
func (router *Router) claimFailed(index *claim.Index, key claim.Key, err error) (*peerv1.ClaimResponse, error) {
	// A stream that moves to another router stops the index and fails its calls to the log, which says nothing about the log.
	if served, ok := router.claims.served(key); !ok || served != index || !errors.Is(err, clementinewind.ErrLogUnavailable) {
		return nil, err
	}
	// The index gives the claim up by itself, so the answer need not wait for the log.
	refusal := clementinewind.NewRefusal(clementinewind.ProgressQueued, clementinewind.ReasonLogUnavailable, err.Error())
	return &peerv1.ClaimResponse{Refusal: wireRefusal(refusal.WithRetryAfter(logRetryAfter), "")}, nil
}

func claimResponse(decision claim.Decision) *peerv1.ClaimResponse {
	refuse := func(outcome clementinewind.Outcome, reason clementinewind.Reason, retryAfter time.Duration, detail string) *peerv1.ClaimResponse {
		refusal := &clementinewind.Refusal{Outcome: outcome, Reason: reason, RetryAfter: retryAfter, Detail: detail}
		return &peerv1.ClaimResponse{Refusal: wireRefusal(refusal, "")}
	}
	switch decision.State {
	case claim.StateWon:
		return &peerv1.ClaimResponse{Won: true}
	case claim.StateDone:
		if decision.Answer.BodyOmitted {
			return &peerv1.ClaimResponse{Refusal: &callerv1.Refusal{
				Outcome:   callerv1.Outcome_OUTCOME_ANSWERED,
				Reason:    clementinewind.ReasonKeyInUse.String(),
				Detail:    "an earlier call with this key has run; its answer is not kept",
				RequestId: decision.Answer.RequestID,
			}}
		}
		return &peerv1.ClaimResponse{
			Done: true, Status: int32(decision.Answer.Status), Body: decision.Answer.Body, RequestId: decision.Answer.RequestID,
		}
	case claim.StateMismatch:
		return refuse(clementinewind.OutcomeNotRun, clementinewind.ReasonKeyMismatch, 0, "the key was used for a different call")
	case claim.StateInvalid:
		return refuse(clementinewind.OutcomeNotRun, clementinewind.ReasonInvalid, 0, "KeyIssuedMillis lies in the future")
	case claim.StateExpired:
		return refuse(clementinewind.OutcomeUnknown, clementinewind.ReasonKeyExpired, 0, "an earlier call with this key may have run")
	default:
		return refuse(clementinewind.OutcomeUnknown, clementinewind.ReasonKeyInUse, keyRetryAfter,
			"an earlier call with this key has not ended, or its end is not known")
	}
}

// SettleClaim records the end of a claim for another router.
func (router *Router) SettleClaim(ctx context.Context, request *peerv1.SettleClaimRequest) (*peerv1.SettleClaimResponse, error) {
	key, err := keyOf(request.Key)
	if err != nil {
		return nil, err
	}
	index, ok := router.claims.served(key)
	if !ok {
		return nil, errNotServed
	}
	if len(request.ClaimId) != len(claim.ID{}) {
		return nil, errors.New("claim id has the wrong length")
	}
	claimID := claim.ID(request.ClaimId)
	if request.Release {
		err = index.Release(ctx, key, claimID)
	} else {
		err = index.Settle(ctx, key, claimID, claim.Answer{
			Status: int(request.Status), Body: request.Body, RequestID: request.RequestId,
		})
	}
	return &peerv1.SettleClaimResponse{}, err
}

func keyOf(data []byte) (claim.Key, error) {
	if len(data) != len(claim.Key{}) {
		return claim.Key{}, errors.New("key has the wrong length")
	}
	return claim.Key(data), nil
}
