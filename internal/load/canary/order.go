package canary

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementinewind/clementinewind/internal/route/table"
)

// Order is an operator's request to move a service to a version.
type Order struct {
	Service table.Service
	Target  string
	// Period is the time within which the operator wants a result.
	Period time.Duration
	// Offset is that of the order in its topic. Later orders have higher ones.
	Offset int64
}

// ID identifies the roll-out in the messages between routers.
func (order Order) ID() uint64 { return rolloutID(order.Service, order.Target) }

func rolloutID(service table.Service, target string) uint64 {
	return xxhash.Sum64String(string(service) + "\x00" + target)
}

// Stage is how far a roll-out has come. A roll-out never returns to an earlier stage.
type Stage int

//go:generate stringer -type Stage -trimprefix Stage -output stage_string.go

// The stages of a roll-out.
const (
	// StageNone is that of an order of which nothing is decided.
	StageNone Stage = iota
	// StageCanary is the first stage in which a part of the requests goes to the target.
	StageCanary
	// StageLow is that of a low share.
	StageLow
	// StageHigh is that of a high share.
	StageHigh
	// StageMoved is the stage in which all requests go to the target while those at other versions end.
	StageMoved
	// StageComplete is the end of the versions that the target replaces.
	StageComplete
	// StageRolledBack is the end of the target.
	StageRolledBack
)

// maxBarred limits the versions that a decision bars. The earliest ones are dropped, whose upstreams are long gone.
const maxBarred = 32

// Decision is the stage of the roll-out of a service as the store keeps it.
type Decision struct {
	Service table.Service
	Target  string
	Stage   Stage
	// Order is the offset of the order that led to the decision, and StartedAt when the roll-out began.
	Order     int64
	StartedAt time.Time
	// Barred are the versions of the service that get no requests any more.
	Barred []string
}

// Final reports whether the roll-out has ended.
func (decision Decision) Final() bool {
	return decision.Stage == StageComplete || decision.Stage == StageRolledBack
}

// Follows reports whether a decision may replace the one that the store has. None may replace a final one, or one of a later stage,
// except for a later order of another version.
func (decision Decision) Follows(stored Decision) bool {
	switch {
	case stored.Stage == StageNone:
		return true
	case decision.Target != stored.Target:
		return decision.Order > stored.Order
	}
	return decision.Order >= stored.Order && !stored.Final() && decision.Stage > stored.Stage
}

// at returns the decision at a later stage; others are the other versions that the service has.
func (decision Decision) at(stage Stage, others []string) Decision {
	decision.Stage = stage
	switch stage {
	case StageComplete:
		decision.Barred = bar(decision.Barred, others...)
	case StageRolledBack:
		decision.Barred = bar(decision.Barred, decision.Target)
	}
	return decision
}

// next returns the first decision of an order that follows this one. A target without a result is barred.
func (decision Decision) next(order Order, now time.Time) Decision {
	barred := decision.Barred
	if decision.Stage != StageNone && !decision.Final() {
		barred = bar(barred, decision.Target)
	}
	barred = slices.DeleteFunc(slices.Clone(barred), func(version string) bool { return version == order.Target })
	return Decision{
		Service: order.Service, Target: order.Target, Stage: StageCanary, Order: order.Offset, StartedAt: now, Barred: barred,
	}
}

func bar(barred []string, versions ...string) []string {
	barred = slices.Clone(barred)
	for _, version := range versions {
		if !slices.Contains(barred, version) {
			barred = append(barred, version)
		}
	}
	return barred[max(len(barred)-maxBarred, 0):]
}
