package canary

import (
	"maps"
	"slices"
	"time"

	"github.com/clementinewind/clementinewind/internal/load/board"
)

const (
	// The shares grow, and all requests move, after these parts of the period at the earliest. What is left is for the end of the
	// requests at the old version, and for the store.
	lowAt   = 0.35
	highAt  = 0.45
	movedAt = 0.55
	lateAt  = 0.9
	// minStageTime is the shortest time of a stage. Reports of a large fleet take up to 0.8 s.
	minStageTime = time.Second
	// minCanaryAnswers and minStageAnswers are the answers of the target that the first stage and each later one need.
	minCanaryAnswers = 60
	minStageAnswers  = 20
	// settleTime is the shortest time between the move and the end of the old version. If routers are not heard that may be in touch
	// with the store, they get silentTime to read of the move; any read of the store takes less than half of it.
	settleTime = 700 * time.Millisecond
	silentTime = 4 * time.Second
	// quietTime is the time after which a service with few requests needs no more answers.
	quietTime = 5 * time.Second
	// defaultRollbackTime is the time within which a bad version must get no requests any more, of which the router that proposes
	// steps has a part, and then any router may propose the end of the target.
	defaultRollbackTime = 5 * time.Second
	ownerPart           = 4
	// overdueTime is the time after which any router may propose a due step, and each waits up to overdueSpread longer for each router
	// of the fleet, so that they do not all write at once.
	overdueTime   = 2 * time.Second
	overdueSpread = 100 * time.Millisecond
)

// Verdict is why a version counts as bad.
type Verdict struct {
	Answers, Bad       float64
	OldAnswers, OldBad float64
	Score              float64
}

// Fleet says how many routers there are.
type Fleet struct {
	// Alive is the number of routers that are heard, Known that of all that were heard or registered lately; both include this one.
	Alive, Known int
}

// Proposal is a decision that should be stored.
type Proposal struct {
	Decision Decision
	// Cause is why, and Verdict has the figures.
	Cause   string
	Verdict Verdict
	// Overdue is set if the router that proposes steps has not done so in time, so that any may.
	Overdue bool
}

// judgeLocked updates whether the target counts as bad.
func (registry *Registry) judgeLocked(rollout *rollout, now time.Time) {
	for _, known := range append(slices.Collect(maps.Values(rollout.evidence)), rollout.total) {
		if rollout.condemned || !known.condemned() {
			continue
		}
		if oneUpstream(rollout.upstreamCounts(now), known.tolerated(now)) {
			continue
		}
		rollout.condemned, rollout.condemnedAt = true, now
		rollout.verdict = known.verdict()
		registry.config.Logger.Warn("rollout version is bad", "Service", rollout.order.Service, "Target", rollout.order.Target,
			"Answers", known.answers, "Bad", known.bad, "OldAnswers", known.oldAnswers, "OldBad", known.oldBad, "Score", known.score)
		registry.refreshLocked(now)
	}
}

func (evidence *routeEvidence) verdict() Verdict {
	return Verdict{
		Answers: evidence.answers, Bad: evidence.bad, OldAnswers: evidence.oldAnswers, OldBad: evidence.oldBad, Score: evidence.score,
	}
}

// Proposals returns the steps that are due. Each must be stored on condition that the store has no other decision yet.
func (registry *Registry) Proposals(fleet Fleet, now time.Time) []Proposal {
	if registry.idle() {
		return nil
	}
	loads := registry.loads()
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.refreshLocked(now)
	var proposals []Proposal
	for service, rollout := range registry.rollouts {
		for version, load := range loads[service] {
			if version != rollout.applied.target && load.Upstreams+load.Running > 0 {
				rollout.others = bar(rollout.others, version)
			}
		}
		if !rollout.open() {
			continue
		}
		// The only version is served although the decisions are not known, because holding it would serve nobody.
		if rollout.updateAlone(loads[service], now) {
			registry.refreshLocked(now)
		}
		if !registry.known {
			continue
		}
		proposal, ok := registry.proposeLocked(rollout, fleet, now)
		if !ok {
			rollout.due = dueStep{}
			continue
		}
		if rollout.overdue(proposal.Decision, fleet, registry.config.Random, now) {
			proposal.Overdue = true
		}
		proposals = append(proposals, proposal)
	}
	return proposals
}

// dueStep is a step that is due since a time, or since this router tried it; delay is its random part of the wait, 0 before it is drawn.
type dueStep struct {
	target string
	stage  Stage
	since  time.Time
	delay  time.Duration
}

// overdue reports whether the owner has not stored a step in time and it is the turn of this router, once for each wait.
func (rollout *rollout) overdue(step Decision, fleet Fleet, random func() float64, now time.Time) bool {
	due := &rollout.due
	if due.target != step.Target || due.stage != step.Stage {
		*due = dueStep{target: step.Target, stage: step.Stage, since: now}
	}
	waited := now.Sub(due.since)
	if waited < overdueTime {
		return false
	}
	if due.delay == 0 {
		due.delay = 1 + time.Duration(random()*float64(fleet.Known)*float64(overdueSpread))
	}
	if waited < overdueTime+due.delay {
		return false
	}
	due.since, due.delay = now, 0
	return true
}

// updateAlone updates whether the target is the only version and reports whether that changed. Upstreams of the target that are missing
// for a moment change nothing, because a part of the requests would have no version to go to.
func (rollout *rollout) updateAlone(load map[string]board.VersionLoad, now time.Time) bool {
	before := rollout.alone
	_, known := load[rollout.order.Target]
	switch {
	case len(load) > 1 || (len(load) == 1 && !known):
		rollout.alone = false
	case rollout.decision.Stage == StageNone && len(rollout.others) == 0 && now.Sub(rollout.orderedAt) > aloneTime &&
		onlyVersion(load, rollout.order.Target):
		rollout.alone = true
	}
	return rollout.alone != before
}

func (registry *Registry) proposeLocked(rollout *rollout, fleet Fleet, now time.Time) (Proposal, bool) {
	decision := rollout.decision
	step := func(stage Stage, cause string) (Proposal, bool) {
		return Proposal{Decision: decision.at(stage, rollout.others), Cause: cause, Verdict: rollout.total.verdict()}, true
	}
	if !rollout.ordered {
		if rollout.withdrawn > decision.Order {
			decision.Order = rollout.withdrawn
			return step(StageRolledBack, "order withdrawn")
		}
		return Proposal{}, false
	}
	if rollout.pending() {
		first := decision.next(rollout.order, now)
		if rollout.alone {
			return Proposal{Decision: first.at(StageComplete, nil), Cause: "the service has no other version"}, true
		}
		return Proposal{Decision: first, Cause: "ordered"}, true
	}
	if decision.Target != rollout.order.Target {
		// The decision follows a later order that this router has not read yet.
		return Proposal{}, false
	}
	decision.Order = max(decision.Order, rollout.order.Offset)
	if rollout.condemned {
		proposal, _ := step(StageRolledBack, "bad answers")
		proposal.Verdict = rollout.verdict
		proposal.Overdue = now.Sub(rollout.condemnedAt) > registry.config.RollbackTime/ownerPart
		return proposal, true
	}
	period, elapsed := rollout.order.Period, rollout.elapsed(now)
	after := func(part float64) bool { return elapsed >= time.Duration(part*float64(period)) }
	switch stage := decision.Stage; {
	case stage < StageMoved && after(1):
		return step(StageRolledBack, "not enough good answers before the deadline")
	case stage == StageCanary && after(lowAt) && rollout.clear(minCanaryAnswers, now):
		return step(StageLow, "good answers")
	case stage == StageLow && after(highAt) && rollout.clear(minStageAnswers, now):
		return step(StageHigh, "good answers")
	case stage == StageHigh && after(movedAt) && rollout.clear(minStageAnswers, now):
		return step(StageMoved, "good answers")
	case stage == StageMoved && rollout.settled(fleet, now):
		return step(StageComplete, "all routers have moved")
	}
	return Proposal{}, false
}

// elapsed returns the time since the order. A router that started later has it from the clock of another one, which never makes it late.
func (rollout *rollout) elapsed(now time.Time) time.Duration {
	local := now.Sub(rollout.orderedAt)
	if !rollout.atStart {
		return local
	}
	return max(local, min(now.Sub(rollout.decision.StartedAt), time.Duration(lateAt*float64(rollout.order.Period))))
}

// clear reports whether the target has given enough answers in this stage, of which none make it doubtful but those of one upstream.
func (rollout *rollout) clear(answers float64, now time.Time) bool {
	if rollout.total.answers-rollout.stageAnswers < answers || now.Sub(rollout.stageAt) < minStageTime {
		return false
	}
	doubtful := !rollout.total.trusted()
	for _, known := range rollout.evidence {
		doubtful = doubtful || known.score > doubtScore
	}
	return !doubtful || oneUpstream(rollout.upstreamCounts(now), rollout.total.tolerated(now))
}

// settled reports whether no router may still send requests to other versions.
func (rollout *rollout) settled(fleet Fleet, now time.Time) bool {
	wait := settleTime
	if fleet.Alive < fleet.Known {
		wait = silentTime
	}
	since, answers := now.Sub(rollout.stageAt), float64(minStageAnswers)
	if since >= quietTime {
		answers = 0
	}
	// A router that hears less than half of the fleet may be the one that is cut off.
	return since >= wait && 2*fleet.Alive > fleet.Known && rollout.moved(fleet.Alive, now) && rollout.clear(answers, now)
}
