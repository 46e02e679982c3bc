package entry

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/clementinewind/clementinewind/internal/fleet/gossip"
	"github.com/clementinewind/clementinewind/internal/load/canary"
	"github.com/clementinewind/clementinewind/internal/route/table"
	"github.com/clementinewind/clementinewind/internal/share/pause"
	"github.com/clementinewind/clementinewind/internal/store/feed"
	"github.com/clementinewind/clementinewind/internal/wire/fleetv1"
	"github.com/clementinewind/clementinewind/platform"
)

const (
	// decisionKeyPrefix precedes the service in the keys of decisions in platform.TopicStatus. They share the topic with the status that
	// operators read, so that both are written in one call on condition that nothing else was.
	decisionKeyPrefix = "decision/"
	// rolloutInterval is the interval at which due steps are looked for.
	rolloutInterval = 200 * time.Millisecond
	// failureInterval is the shortest time between logged failures of one step. Network errors differ each time, by their ports.
	failureInterval = 5 * time.Second
)

// rollouts follows the orders of roll-outs and stores decisions about them. Nothing of the status topic is read before the first order.
type rollouts struct {
	router   *Router
	registry *canary.Registry
	// ordered receives after an order was read.
	ordered chan struct{}

	mutex sync.Mutex
	// loaded is set once the operators' topic was read.
	loaded bool
	// failures has the last logged reason for which a step of a service was not stored.
	failures map[table.Service]failure
}

type failure struct {
	stage    canary.Stage
	reason   string
	loggedAt time.Time
}

// applyOperator applies records of the operators' topic: orders first, because requests are served from the first configuration on.
func (rollouts *rollouts) applyOperator(records []feed.Record, outageEnd time.Time) {
	rollouts.mutex.Lock()
	atStart := !rollouts.loaded
	rollouts.loaded = true
	rollouts.mutex.Unlock()
	for _, record := range records {
		if service, ok := platform.RolloutService(record.Key); ok {
			if record.Deleted() {
				rollouts.registry.Withdraw(service, int64(record.Position), time.Now())
			} else {
				rollouts.order(record, atStart)
			}
			select {
			case rollouts.ordered <- struct{}{}:
			default:
			}
		}
	}
	rollouts.router.view.ApplyOperator(records, outageEnd)
}

func (rollouts *rollouts) order(record feed.Record, atStart bool) {
	order, err := platform.DecodeRollout(record.Key, record.Value)
	if err != nil {
		rollouts.router.config.Logger.Error("rollout order not valid, nothing moves", "Offset", record.Position, "Error", err)
		return
	}
	order.Offset = int64(record.Position)
	rollouts.registry.Order(order, atStart, time.Now())
}

// applyStatus applies records of the status topic.
func (rollouts *rollouts) applyStatus(records []feed.Record, _ time.Time) {
	for _, record := range records {
		if decision, ok := rollouts.decode(record); ok {
			rollouts.registry.Decide(decision, time.Now())
		}
	}
	rollouts.registry.SetKnown(time.Now())
}

// decode returns the decision in a record of the status topic, if it has one.
func (rollouts *rollouts) decode(record feed.Record) (canary.Decision, bool) {
	if !strings.HasPrefix(record.Key, decisionKeyPrefix) || record.Deleted() {
		return canary.Decision{}, false
	}
	var stored fleetv1.RolloutDecision
	if err := proto.Unmarshal(record.Value, &stored); err != nil || decisionKeyPrefix+stored.Service != record.Key {
		rollouts.router.config.Logger.Error("rollout decision not readable", "Key", record.Key, "Offset", record.Position, "Error", err)
		return canary.Decision{}, false
	}
	return gossip.DecodeDecision(&stored), true
}

// run follows the decisions and takes due steps while there are roll-outs without a result, until the context ends.
func (rollouts *rollouts) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-rollouts.ordered:
		}
		rollouts.follow(ctx)
	}
}

func (rollouts *rollouts) follow(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var reader sync.WaitGroup
	defer reader.Wait()
	defer cancel()
	// The error is that of the context.
	reader.Go(func() { _ = rollouts.router.topics.status.follower.Run(ctx) })
	for rollouts.registry.Undecided() {
		rollouts.step(ctx)
		if pause.For(ctx, rolloutInterval) != nil {
			return
		}
	}
}

// step stores the decisions that are due, if this router is the one that does.
func (rollouts *rollouts) step(ctx context.Context) {
	router, now := rollouts.router, time.Now()
	fleet := canary.Fleet{Alive: len(router.roster.Alive(now)), Known: router.roster.Count()}
	for _, proposal := range rollouts.registry.Proposals(fleet, now) {
		key := platform.RolloutKey(proposal.Decision.Service)
		if router.stale() || (!proposal.Overdue && !router.roster.Owns(key, now)) {
			continue
		}
		if !router.configures(proposal.Decision) {
			if rollouts.news(proposal.Decision, "unknown service", now) {
				router.config.Logger.Warn("rollout of an unknown service, nothing moves", "Service", proposal.Decision.Service)
			}
			continue
		}
		err := rollouts.store(ctx, proposal.Decision)
		verdict := proposal.Verdict
		logger := router.config.Logger.With("Service", proposal.Decision.Service, "Target", proposal.Decision.Target,
			"Stage", proposal.Decision.Stage, "Cause", proposal.Cause, "Answers", verdict.Answers, "Bad", verdict.Bad,
			"OldAnswers", verdict.OldAnswers, "OldBad", verdict.OldBad, "Score", verdict.Score, "Routers", fleet.Alive, "Known", fleet.Known)
		if err != nil {
			if rollouts.news(proposal.Decision, err.Error(), now) {
				logger.Warn("rollout step not stored", "Error", err)
			}
			continue
		}
		logger.Info("rollout step stored")
	}
}

// news reports whether a reason for which a decision was not stored is to be logged: it differs from the last one, and is not one of many
// of the same stage.
func (rollouts *rollouts) news(decision canary.Decision, reason string, now time.Time) bool {
	rollouts.mutex.Lock()
	defer rollouts.mutex.Unlock()
	last := rollouts.failures[decision.Service]
	if last.stage == decision.Stage && (last.reason == reason || now.Sub(last.loggedAt) < failureInterval) {
		return false
	}
	rollouts.failures[decision.Service] = failure{stage: decision.Stage, reason: reason, loggedAt: now}
	return true
}

// configures reports whether the configuration in force has the service of a decision.
func (router *Router) configures(decision canary.Decision) bool {
	current := router.view.Table()
	if current == nil {
		return false
	}
	for _, service := range current.Services() {
		if service.Name == decision.Service {
			return true
		}
	}
	return false
}

// errSuperseded is the error of a decision that does not follow the stored one.
var errSuperseded = errors.New("the store has another decision")

// store stores a decision and the status, if the store still has one that the decision may follow. If a reply is lost, or the append is
// executed late, the record either follows the one that was read or is not written.
func (rollouts *rollouts) store(ctx context.Context, decision canary.Decision) error {
	store, key := rollouts.router.store, decisionKeyPrefix+string(decision.Service)
	newest, err := store.Newest(ctx, platform.TopicStatus)
	if err != nil {
		return err
	}
	for _, record := range newest.Records {
		if record.Key != key {
			continue
		}
		stored, ok := rollouts.decode(record)
		if !ok || !decision.Follows(stored) {
			// The follower may have missed it.
			rollouts.router.topics.status.follower.TriggerRead()
			return errSuperseded
		}
	}
	value, err := proto.Marshal(gossip.EncodeDecision(decision))
	if err != nil {
		return err
	}
	status, err := platform.EncodeRolloutStatus(decision)
	if err != nil {
		return err
	}
	return store.AppendAt(ctx, platform.TopicStatus, newest.Next,
		feed.Record{Key: key, Value: value}, feed.Record{Key: platform.RolloutKey(decision.Service), Value: status})
}
