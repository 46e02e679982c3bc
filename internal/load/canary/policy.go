package canary

import "slices"

// mode says which versions of a service may get requests.
type mode int

const (
	// modeOpen allows all versions that are not barred.
	modeOpen mode = iota
	// modeHold allows all but the target and barred ones.
	modeHold
	// modeShare allows the target a part of the requests.
	modeShare
	// modeMoved allows the target only.
	modeMoved
	// modeClosed allows none: it is not known yet which one.
	modeClosed
)

// policy is what a router does with the requests of a service. It is immutable.
type policy struct {
	mode   mode
	target string
	barred []string
	// stage is the one that the router reports as applied.
	stage Stage
}

// allows reports whether upstreams of a version may get requests.
func (policy *policy) allows(version string) bool {
	if policy == nil {
		return true
	}
	switch policy.mode {
	case modeClosed:
		return false
	case modeMoved:
		return version == policy.target
	case modeHold:
		return version != policy.target && !slices.Contains(policy.barred, version)
	}
	return !slices.Contains(policy.barred, version)
}

// policy returns what the router does according to what it knows. It waits for the decision of an order that was there when it started,
// because the old versions may have ended since.
func (rollout *rollout) policy(awaitingDecision bool) *policy {
	decision := rollout.decision
	current := &policy{target: decision.Target, barred: decision.Barred, stage: decision.Stage}
	switch {
	case !rollout.ordered && decision.Stage == StageNone:
		return nil
	case rollout.pending():
		if decision.Stage != StageNone && !decision.Final() {
			current.barred = bar(current.barred, decision.Target)
		}
		current.target, current.stage = rollout.order.Target, StageNone
		switch {
		case awaitingDecision:
			current.mode = modeClosed
		case rollout.alone:
			current.mode = modeOpen
		default:
			current.mode = modeHold
		}
	case decision.Final():
		current.mode = modeOpen
	case decision.Stage == StageMoved:
		current.mode = modeMoved
	case rollout.condemned:
		current.mode, current.stage = modeHold, StageNone
	default:
		current.mode = modeShare
	}
	return current
}
