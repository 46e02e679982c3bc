package canary

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/load/board"
	"github.com/clementinewind/clementinewind/internal/load/usage"
	"github.com/clementinewind/clementinewind/internal/route/table"
)

const (
	// defaultShare is the part of a service's requests that a version may get before it is known to be good.
	defaultShare = 0.1
	// The stages before StageMoved have these multiples of that share. The first one leaves room for those after it, which are short.
	canaryFactor = 0.6
	lowFactor    = 2
	highFactor   = 3.5
	maxShare     = 0.5
	// lentPart is the part of the share that the target gets at most before all requests move.
	lentPart = 0.85
	// startupTime is how long a router that has just started sends no requests to a service whose roll-out it does not know.
	startupTime = 2 * time.Second
	// aloneTime is the time after which a version that is the only one of its service counts as in use before the order.
	aloneTime = 2 * time.Second
)

// Config configures a Registry.
type Config struct {
	// Share is the part of a service's requests that a version may get before it is known to be good; 0 means 0.1.
	Share float64
	// RollbackTime is the time within which a bad version must get no requests any more; 0 means 5 s.
	RollbackTime time.Duration
	// Loads returns what is known of the versions of a service.
	Loads func(service table.Service) map[string]board.VersionLoad
	// Random returns a random number from 0 to 1; nil means math/rand.
	Random func() float64
	// Logger may be nil.
	Logger hclog.Logger
}

// Registry keeps the roll-outs of all services. It is safe for concurrent use.
type Registry struct {
	config Config
	// policies is replaced at each change.
	policies atomic.Pointer[map[table.Service]*policy]

	mutex     sync.Mutex
	rollouts  map[table.Service]*rollout
	startedAt time.Time
	// known is set once the decisions of the store were read.
	known bool
}

// rollout is the last roll-out of a service.
type rollout struct {
	order   Order
	ordered bool
	// withdrawn is the offset at which the last order was withdrawn.
	withdrawn int64
	decision  Decision
	applied   policy
	// orderedAt and stageAt are when this router learnt of the order and of the stage, stageAnswers the answers of the target until then.
	orderedAt, stageAt time.Time
	stageAnswers       float64
	// alone is set while the target is the only version of the service and nothing is decided of the order. atStart is set if the order was there when
	// the router started.
	alone, atStart bool

	// credit is the number of requests that the target may get now, sent and sentToTarget those of this router since the order.
	credit       float64
	sent         int
	sentToTarget int
	counts       map[uint32]Count
	upstreams    map[uint32]*upstreamCounts
	latencies    map[uint32]*latencies

	// evidence has what all routers found by route, total the sum of it.
	evidence map[uint32]*routeEvidence
	total    *routeEvidence
	sources  map[usage.Source]receivedReport
	// counted is what the evidence has of each zone, by route.
	counted map[clementinewind.Zone]map[uint32]Count
	// routerSums are the sums of the reports of single routers, by zone and route.
	routerSums map[clementinewind.Zone]map[uint32]Count
	// upstreamSums are the counts of the upstreams of the target, as of summedAt.
	upstreamSums map[uint32]UpstreamCount
	summedAt     time.Time
	// condemned is set since condemnedAt while the target counts as bad, and verdict is why.
	condemned   bool
	condemnedAt time.Time
	verdict     Verdict
	// due is the step that is due and not stored.
	due dueStep
	// others are the other versions that were seen during the roll-out.
	others []string
}

type upstreamCounts struct{ answers, bad usage.DecayingSum }

// New returns a Registry without roll-outs.
func New(config Config) *Registry {
	if config.Share == 0 {
		config.Share = defaultShare
	}
	if config.RollbackTime == 0 {
		config.RollbackTime = defaultRollbackTime
	}
	if config.Random == nil {
		config.Random = rand.Float64
	}
	if config.Loads == nil {
		config.Loads = func(table.Service) map[string]board.VersionLoad { return nil }
	}
	if config.Logger == nil {
		config.Logger = hclog.NewNullLogger()
	}
	return &Registry{config: config, rollouts: map[table.Service]*rollout{}}
}

// idle reports whether no roll-out was ever ordered.
func (registry *Registry) idle() bool { return registry.policies.Load() == nil }

// loads returns what is known of the versions of the services with roll-outs. The board must not be asked while the registry is locked,
// because it asks the registry while it is locked itself.
func (registry *Registry) loads() map[table.Service]map[string]board.VersionLoad {
	registry.mutex.Lock()
	services := slices.Collect(maps.Keys(registry.rollouts))
	registry.mutex.Unlock()
	loads := map[table.Service]map[string]board.VersionLoad{}
	for _, service := range services {
		loads[service] = registry.config.Loads(service)
	}
	return loads
}

// Order records an order; atStart is set if it was there when the router started. A repeated order changes nothing but the period.
func (registry *Registry) Order(order Order, atStart bool, now time.Time) {
	load := registry.config.Loads(order.Service)
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	rollout := registry.rolloutLocked(order.Service)
	if order.Offset <= max(rollout.order.Offset, rollout.withdrawn) && (rollout.ordered || rollout.withdrawn > 0) {
		return
	}
	repeated := rollout.ordered && rollout.order.Target == order.Target
	rollout.order, rollout.ordered = order, true
	if repeated {
		return
	}
	rollout.reset()
	rollout.orderedAt, rollout.stageAt, rollout.atStart = now, now, atStart
	// A router of a large fleet may have few requests. A random start gives the target its share of the requests of all routers, on
	// average and with a deviation below half a request for each.
	rollout.credit = registry.config.Random()
	rollout.alone = onlyVersion(load, order.Target)
	if atStart && registry.startedAt.IsZero() {
		registry.startedAt = now
	}
	registry.config.Logger.Info("rollout ordered", "Service", order.Service, "Target", order.Target, "Period", order.Period, "Offset", order.Offset)
	registry.refreshLocked(now)
}

// Withdraw records that the order of a service was withdrawn.
func (registry *Registry) Withdraw(service table.Service, offset int64, now time.Time) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	rollout, ok := registry.rollouts[service]
	if !ok || offset <= rollout.order.Offset {
		return
	}
	registry.config.Logger.Info("rollout withdrawn", "Service", service, "Target", rollout.order.Target, "Offset", offset)
	rollout.ordered, rollout.withdrawn = false, offset
	registry.refreshLocked(now)
}

// Decide records a decision of the store. Decisions are recorded in the order of their offsets.
func (registry *Registry) Decide(decision Decision, now time.Time) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	rollout := registry.rolloutLocked(decision.Service)
	if !decision.Follows(rollout.decision) {
		return
	}
	if decision.Target != rollout.decision.Target && (!rollout.ordered || rollout.order.Target != decision.Target) {
		rollout.reset()
	}
	rollout.decision, rollout.stageAt, rollout.stageAnswers = decision, now, rollout.total.answers
	if rollout.orderedAt.IsZero() {
		rollout.orderedAt = now
	}
	registry.config.Logger.Info("rollout decided", "Service", decision.Service, "Target", decision.Target, "Stage", decision.Stage,
		"Barred", decision.Barred)
	registry.refreshLocked(now)
}

// SetKnown records that all decisions of the store were read.
func (registry *Registry) SetKnown(now time.Time) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if !registry.known {
		registry.known = true
		registry.refreshLocked(now)
	}
}

// Awaiting reports whether the router has just started and does not know yet what was decided of an order.
func (registry *Registry) Awaiting() bool {
	policies := registry.policies.Load()
	if policies == nil {
		return false
	}
	for _, policy := range *policies {
		if policy.mode == modeClosed {
			return true
		}
	}
	return false
}

// Undecided reports whether there is a roll-out without a result, so that the decisions of the store must be followed.
func (registry *Registry) Undecided() bool {
	if registry.idle() {
		return false
	}
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return slices.ContainsFunc(slices.Collect(maps.Values(registry.rollouts)), (*rollout).open)
}

// Counts returns the number of roll-outs without a result, and of those that were completed and rolled back last.
func (registry *Registry) Counts() (serving, complete, rolledBack int) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	for _, rollout := range registry.rollouts {
		switch {
		case rollout.open():
			serving++
		case rollout.decision.Stage == StageComplete:
			complete++
		case rollout.decision.Stage == StageRolledBack:
			rolledBack++
		}
	}
	return serving, complete, rolledBack
}

// Allows reports whether an upstream of a service that runs a version may be sent a request now.
func (registry *Registry) Allows(service table.Service, version string) bool {
	return registry.policyOf(service).allows(version)
}

func (registry *Registry) policyOf(service table.Service) *policy {
	policies := registry.policies.Load()
	if policies == nil {
		return nil
	}
	return (*policies)[service]
}

// Choices returns which versions a request may be sent to, the preferred ones first; nil means any. The board evaluates them while it is
// locked, so that each request is either counted there or heeds the policy that this router reports. A request that was sent before is
// not sent to the target, which should not cost it another attempt.
func (registry *Registry) Choices(service table.Service, sentBefore bool, now time.Time) []func(version string) bool {
	current := registry.policyOf(service)
	if current == nil {
		return nil
	}
	allowed := func(matches func(policy *policy, version string) bool) func(version string) bool {
		var evaluated *policy
		return func(version string) bool {
			if evaluated == nil {
				evaluated = registry.policyOf(service)
			}
			return evaluated.allows(version) && matches(evaluated, version)
		}
	}
	if current.mode != modeShare {
		return []func(string) bool{allowed(func(policy *policy, version string) bool {
			return policy.mode != modeShare || version != policy.target
		})}
	}
	rest := allowed(func(policy *policy, version string) bool { return policy.mode == modeMoved || version != policy.target })
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if sentBefore || !registry.rollouts[service].mayTry(registry.config.Share, now) {
		return []func(string) bool{rest}
	}
	return []func(string) bool{allowed(func(policy *policy, version string) bool { return version == policy.target }), rest}
}

// mayTry reports whether the target may get another request of this router. Higher shares are lent by the rest of the period: if the
// roll-out stays in their stages for long, they end when the target has its part of what the period will bring.
func (rollout *rollout) mayTry(share float64, now time.Time) bool {
	expected := float64(rollout.sent)
	if elapsed := now.Sub(rollout.orderedAt); !rollout.atStart && elapsed > 0 && elapsed < rollout.order.Period {
		expected *= float64(rollout.order.Period) / float64(elapsed)
	}
	return rollout.credit >= 1 && float64(rollout.sentToTarget) <= lentPart*share*expected
}

// share returns the part of the requests that goes to the target in a stage.
func (registry *Registry) share(stage Stage) float64 {
	switch stage {
	case StageCanary:
		return canaryFactor * registry.config.Share
	case StageLow:
		return min(lowFactor*registry.config.Share, maxShare)
	case StageHigh:
		return min(highFactor*registry.config.Share, maxShare)
	}
	return 0
}

func (registry *Registry) rolloutLocked(service table.Service) *rollout {
	known, ok := registry.rollouts[service]
	if !ok {
		known = &rollout{}
		known.reset()
		registry.rollouts[service] = known
	}
	return known
}

// refreshLocked replaces the policies after a change.
func (registry *Registry) refreshLocked(now time.Time) {
	policies := make(map[table.Service]*policy, len(registry.rollouts))
	for service, rollout := range registry.rollouts {
		awaiting := !registry.known && rollout.atStart && now.Sub(registry.startedAt) < startupTime
		if current := rollout.policy(awaiting); current != nil {
			policies[service] = current
			rollout.applied = *current
		}
	}
	registry.policies.Store(&policies)
}

// reset forgets what was found in an earlier roll-out.
func (rollout *rollout) reset() {
	rollout.sent, rollout.sentToTarget = 0, 0
	rollout.credit, rollout.stageAnswers, rollout.condemned, rollout.others = 0, 0, false, nil
	rollout.counts, rollout.upstreams, rollout.latencies = map[uint32]Count{}, map[uint32]*upstreamCounts{}, map[uint32]*latencies{}
	rollout.evidence, rollout.total, rollout.sources = map[uint32]*routeEvidence{}, newRouteEvidence(), map[usage.Source]receivedReport{}
	rollout.counted, rollout.routerSums = map[clementinewind.Zone]map[uint32]Count{}, map[clementinewind.Zone]map[uint32]Count{}
	rollout.upstreamSums = nil
}

// open reports whether the roll-out has no result.
func (rollout *rollout) open() bool {
	return rollout.pending() || (rollout.decision.Stage != StageNone && !rollout.decision.Final())
}

// pending reports whether nothing is decided of the order.
func (rollout *rollout) pending() bool {
	decision := rollout.decision
	return rollout.ordered && (decision.Stage == StageNone || (decision.Target != rollout.order.Target && rollout.order.Offset > decision.Order))
}

func (rollout *rollout) id() uint64 {
	if rollout.pending() {
		return rollout.order.ID()
	}
	return rolloutID(rollout.decision.Service, rollout.decision.Target)
}

// onlyVersion reports whether all upstreams run a version, those that are leaving and those with a running request included.
func onlyVersion(load map[string]board.VersionLoad, version string) bool {
	return len(load) == 1 && load[version].Upstreams > 0
}
