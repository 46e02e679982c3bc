package bench

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/share/admit"
	"github.com/clementinewind/clementinewind/internal/share/fair"
	"github.com/clementinewind/clementinewind/internal/share/sched"
	"github.com/clementinewind/clementinewind/internal/wire/peerv1"
)

const poolName clementinewind.Pool = "chat"

// Variant is a scheduling policy to measure.
type Variant string

// The policy in use and its baselines.
const (
	// Chosen is the policy of package sched, which routers use.
	Chosen Variant = "Chosen"
	// NoExchange is Chosen, but routers don't report service to each other.
	NoExchange Variant = "NoExchange"
	// Fifo is one central queue in the order of arrival.
	Fifo Variant = "Fifo"
	// Local gives each router an equal part of each engine; each router schedules fairly on its own.
	Local Variant = "Local"
	// Central is one central queue with the order of Chosen, without delay and with exact cost estimates.
	Central Variant = "Central"
	// Estimate is Chosen, but charges the estimated cost at dispatch.
	Estimate Variant = "Estimate"
	// CentralExact is Central, but charges the exact cost at dispatch.
	CentralExact Variant = "CentralExact"
)

// Variants lists all variants; Central comes first because the others are compared with it.
var Variants = []Variant{Central, Chosen, CentralExact, Estimate, NoExchange, Local, Fifo}

// Config describes a run.
type Config struct {
	Seed     uint64
	Routers  int
	Engines  int
	Scenario Scenario
	Variant  Variant
	// Warmup is not measured. Duration is the measured time; faults start after a quarter of it.
	Warmup   time.Duration
	Duration time.Duration
	// Owner is the base of the configuration of the owners.
	Owner sched.OwnerConfig
}

// organisation is a customer with its traffic.
type organisation struct {
	name   clementinewind.Organisation
	weight float64
	// load is the offered traffic as a fraction of the capacity of the fleet.
	load float64
	// routerShares is the fraction of the traffic that goes to each router.
	routerShares []float64
	// service is the number of tokens produced until settledAt, when settle last added those of the decoding answers.
	service   float64
	settledAt time.Time
	decoding  int
	waiting   int
}

func (organisation *organisation) settle() {
	now := time.Now()
	organisation.service += float64(organisation.decoding) * tokensPerSecond * now.Sub(organisation.settledAt).Seconds()
	organisation.settledAt = now
}

// router is one router, or the central scheduler.
type router struct {
	fleet   *fleet
	session clementinewind.Session
	zone    int
	owner   *sched.Owner
	entry   *sched.Entry
	dead    bool
	// draining says that the router owns no upstreams but still serves its queue.
	draining bool
	// isolatedAt is when the router was partitioned from all others; zero when it is not.
	isolatedAt time.Time
	// stale says that the partition has ended but the router has not read the log yet.
	stale bool
	view  view
	owned map[clementinewind.Upstream]bool
	jobs  map[*job]bool
	// ownedJobs holds the jobs in progress for which this router is the owner.
	ownedJobs map[*job]bool
}

// view is the state of the fleet as a router knows it.
type view struct {
	owners      []clementinewind.Session
	removedZone int
}

// fleet is a simulated fleet of routers and engines, with the traffic of its organisations.
type fleet struct {
	loop
	config        Config
	random        *rand.Rand
	costs         *rand.Rand
	routers       []*router
	engines       []*engine
	organisations []*organisation
	result        Result
	controlBytes  int
	measuring     bool
	removedZone   int
	sampler       *sampler
	logDown       bool
}

const noZone = -1

// weights and loads describe the 16 organisations. A load is a multiple of the fair share; above 1 the organisation is
// backlogged.
var (
	weights = []float64{8, 8, 4, 4, 4, 2, 2, 2, 2, 1, 1, 1, 1, 1, 1, 1}
	loads   = []float64{2.5, 0.5, 2.5, 0.6, 2.5, 2.5, 0.5, 2.5, 0.6, 2.5, 2.5, 0.5, 2.5, 0.4, 3, 0.5}
)

func newFleet(config Config) *fleet {
	fleet := &fleet{
		config: config, removedZone: noZone,
		random: rand.New(rand.NewPCG(config.Seed, 1)),
		costs:  rand.New(rand.NewPCG(config.Seed, 2)),
	}
	layout := rand.New(rand.NewPCG(config.Seed, 3))
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	for index := range weights {
		organisation := &organisation{
			name: clementinewind.Organisation(fmt.Sprintf("org-%02d", index)), weight: weights[index],
			load: config.Scenario.load(index) * weights[index] / sum, settledAt: time.Now(),
			routerShares: make([]float64, config.Routers),
		}
		home := layout.IntN(config.Routers)
		organisation.routerShares[home] = 0.7
		organisation.routerShares[layout.IntN(config.Routers)] += 0.2
		organisation.routerShares[layout.IntN(config.Routers)] += 0.1
		fleet.organisations = append(fleet.organisations, organisation)
	}
	for index := range config.Engines {
		fleet.engines = append(fleet.engines, &engine{
			fleet: fleet, name: clementinewind.Upstream(fmt.Sprintf("engine-%02d", index)), zone: index % 3,
			running: make(map[*job]bool), silent: make(map[*job]bool),
		})
	}
	routers := config.Routers
	if fleet.central() {
		routers = 1
	}
	for index := range routers {
		fleet.routers = append(fleet.routers, fleet.newRouter(clementinewind.Session(100+index), index%3))
	}
	fleet.sampler = newSampler(fleet)
	return fleet
}

func (fleet *fleet) central() bool {
	switch fleet.config.Variant {
	case Central, CentralExact, Fifo:
		return true
	default:
		return false
	}
}

func (fleet *fleet) newRouter(session clementinewind.Session, zone int) *router {
	router := &router{
		fleet: fleet, session: session, zone: zone, owned: make(map[clementinewind.Upstream]bool),
		jobs: make(map[*job]bool), ownedJobs: make(map[*job]bool), view: view{removedZone: noZone},
	}
	config := fleet.config.Owner
	config.Self = session
	config.Send = router.send
	config.Home = router.home
	config.Weight = fleet.weight
	config.ChargeEstimates = fleet.config.Variant == Estimate || fleet.config.Variant == CentralExact
	config.MaySend = func() bool {
		return !router.stale && (router.isolatedAt.IsZero() || time.Since(router.isolatedAt) < isolatedSendTime)
	}
	router.owner = sched.NewOwner(config)
	router.entry = sched.NewEntry(sched.EntryConfig{
		Self: session, Send: router.send, Seed: fleet.config.Seed + uint64(session),
		Limits: func(organisation clementinewind.Organisation) fair.Limits {
			limits := fair.Limits{Weight: fleet.weight(fair.Key{Organisation: organisation}), Queued: 300}
			if fleet.config.Variant == Fifo {
				limits.Queued = 300 * len(weights)
			}
			return limits
		},
	})
	return router
}

func (fleet *fleet) weight(key fair.Key) float64 {
	var index int
	if _, err := fmt.Sscanf(string(key.Organisation), "org-%d", &index); err != nil {
		return 1
	}
	return weights[index]
}

// home returns the home router of an organisation's account according to this router's view.
func (router *router) home(key fair.Key) clementinewind.Session {
	if router.fleet.config.Variant == Local || len(router.view.owners) == 0 {
		return router.session
	}
	return rendezvous(string(key.Organisation), router.view.owners)
}

func rendezvous(name string, sessions []clementinewind.Session) clementinewind.Session {
	best, score := clementinewind.NoSession, uint64(0)
	for _, session := range sessions {
		if value := xxhash.Sum64String(fmt.Sprintf("%s/%d", name, session)); value >= score {
			best, score = session, value
		}
	}
	return best
}

func (fleet *fleet) router(session clementinewind.Session) *router {
	for _, router := range fleet.routers {
		if router.session == session {
			return router
		}
	}
	return nil
}

// connected reports whether two routers can exchange messages.
func connected(from, to *router) bool {
	return from == to || !from.dead && !to.dead && from.isolatedAt.IsZero() && to.isolatedAt.IsZero()
}

// send delivers a control frame to another router after the link delay.
func (router *router) send(session clementinewind.Session, frame *peerv1.ControlFrame) {
	fleet := router.fleet
	to := fleet.router(session)
	if to == nil {
		return
	}
	delay := linkDelay
	if to == router {
		delay = 0
	} else {
		if fleet.config.Variant == NoExchange && len(frame.Services) > 0 {
			return
		}
		if fleet.measuring {
			// A gRPC message has a prefix of five bytes.
			fleet.controlBytes += proto.Size(frame) + 5
		}
	}
	fleet.after(delay, func() {
		if !connected(router, to) || to.dead {
			return
		}
		to.owner.HandleServices(router.session, frame.Services)
		to.owner.HandleAsks(router.session, frame.Asks)
		to.owner.HandleReturns(router.session, frame.Returns)
		to.entry.HandleGrants(router.session, frame.Grants)
		to.entry.HandleSpares(router.session, frame.Spares)
	})
}

// start starts the traffic and the periodic tasks.
func (fleet *fleet) start() {
	fleet.refreshViews(nil)
	for index, router := range fleet.routers {
		fleet.after(time.Duration(index)*time.Millisecond, func() {
			fleet.every(50*time.Millisecond, func() {
				if !router.dead {
					router.owner.Tick()
					router.entry.Tick()
				}
			})
		})
		fleet.every(time.Second, func() {
			// Each router sends a heartbeat to each other one.
			if fleet.measuring && !router.dead {
				beat := &peerv1.Heartbeat{Session: int64(router.session), Sequence: 1000, Echo: 1000, Offset: 5000, FreshAgeMillis: 500}
				fleet.controlBytes += (len(fleet.routers) - 1) * (proto.Size(&peerv1.ControlFrame{Heartbeat: beat, Stamp: math.MaxUint32}) + 5)
			}
		})
	}
	for index, engine := range fleet.engines {
		fleet.after(time.Duration(index)*37*time.Millisecond, func() {
			fleet.every(reportInterval, func() {
				load := engine.report()
				for _, router := range fleet.routers {
					if router.owned[engine.name] && !router.dead && fleet.config.Variant != Local && load.Boot != "" {
						router.owner.Report(engine.name, load)
					}
				}
			})
		})
	}
	for _, organisation := range fleet.organisations {
		if organisation.load > 0 {
			fleet.scheduleArrivals(organisation, func() float64 { return organisation.load })
		}
	}
	fleet.every(sampleInterval, fleet.sampler.sample)
}

const (
	costMedian = 300.0
	costSigma  = 1.0
	costMin    = 20.0
	costMax    = 4000.0
	// costMean is the approximate mean of the log-normal distribution between costMin and costMax.
	costMean = 480.0
	// averageLimit is an upper bound on the average cost that an owner measures.
	averageLimit = 2 * costMean
)

// scheduleArrivals generates requests as a Poisson process. share returns the offered traffic as a fraction of the
// capacity of the fleet.
func (fleet *fleet) scheduleArrivals(organisation *organisation, share func() float64) {
	rate := share() * float64(len(fleet.engines)*engineSlots) * tokensPerSecond / costMean
	gap := time.Duration(fleet.random.ExpFloat64() / rate * float64(time.Second))
	fleet.after(gap, func() {
		cost := min(max(costMedian*math.Exp(costSigma*fleet.costs.NormFloat64()), costMin), costMax)
		estimate := cost * math.Pow(4, 2*fleet.costs.Float64()-1)
		if fleet.central() {
			estimate = cost
		}
		pick := fleet.random.Float64()
		fleet.submit(&job{organisation: organisation, cost: cost, estimate: estimate}, fleet.pickRouter(organisation, pick))
		fleet.scheduleArrivals(organisation, share)
	})
}

// pickRouter returns the router that a caller uses, chosen by a value between 0 and 1.
func (fleet *fleet) pickRouter(organisation *organisation, value float64) *router {
	if fleet.central() {
		return fleet.routers[0]
	}
	index := 0
	for value -= organisation.routerShares[0]; value > 0 && index < len(organisation.routerShares)-1; value -= organisation.routerShares[index] {
		index++
	}
	for offset := range fleet.routers {
		if router := fleet.routers[(index+offset)%len(fleet.routers)]; !router.dead && !router.draining {
			return router
		}
	}
	return fleet.routers[0]
}

func (fleet *fleet) request(job *job) sched.Request {
	request := sched.Request{
		Pool: poolName, Organisation: job.organisation.name, Weight: job.organisation.weight, Estimate: job.estimate,
		Attempt: job.attempt, Entry: job.router.session,
	}
	if fleet.config.Variant == Fifo {
		request.Organisation, request.Weight = "all", 1
	}
	return request
}

// submit queues a job at an entry router.
func (fleet *fleet) submit(job *job, router *router) {
	job.router = router
	job.epoch++
	job.queuedAt = time.Now()
	epoch := job.epoch
	router.jobs[job] = true
	job.setWaiting(true)
	withdraw, refusal := router.entry.Enqueue(fleet.request(job), func(placement sched.Placement) {
		if job.epoch == epoch {
			job.setWaiting(false)
			fleet.forward(job, router, placement)
		}
	})
	if refusal != nil {
		job.setWaiting(false)
		delete(router.jobs, job)
		if job.attempt > 0 || refusal.Reason == clementinewind.ReasonNoCapacity {
			// The caller retries after the delay in the refusal.
			job.attempt++
			fleet.after(refusal.RetryAfter, func() { fleet.submit(job, fleet.pickRouter(job.organisation, 0)) })
			return
		}
		fleet.result.Refused++
		return
	}
	job.withdraw = withdraw
}

func (job *job) setWaiting(waiting bool) {
	if job.waiting != waiting {
		job.waiting = waiting
		if waiting {
			job.organisation.waiting++
		} else {
			job.organisation.waiting--
		}
	}
}

// forward sends a job to the owner in its placement.
func (fleet *fleet) forward(job *job, router *router, placement sched.Placement) {
	owner := fleet.router(placement.Session)
	delay := linkDelay
	if owner == router {
		delay = 0
	}
	epoch := job.epoch
	resubmit := func() {
		if job.epoch != epoch || router.dead {
			return
		}
		placement.Busy()
		delete(router.jobs, job)
		job.attempt++
		fleet.submit(job, router)
	}
	fleet.after(delay, func() {
		if job.epoch != epoch {
			return
		}
		if !connected(router, owner) || owner.dead {
			fleet.after(time.Second, resubmit)
			return
		}
		request := fleet.request(job)
		request.Tag = placement.Tag
		var slot *sched.Slot
		if placement.GrantID != 0 {
			slot, _ = owner.owner.Redeem(placement.GrantID, request)
		} else {
			slot, _ = owner.owner.Admit(nil, request)
		}
		if slot == nil || !slot.Dispatched() {
			if slot != nil {
				slot.Finish(admit.ResultUnused)
			}
			fleet.after(delay, resubmit)
			return
		}
		fleet.dispatch(job, router, owner, slot, placement)
	})
}

// dispatch sends a job from its owner to the engine.
func (fleet *fleet) dispatch(job *job, router, owner *router, slot *sched.Slot, placement sched.Placement) {
	epoch := job.epoch
	owner.ownedJobs[job] = true
	job.firstToken = slot.FirstToken
	job.reportProgress = func() { slot.Progress(job.tokens()) }
	job.finish = func(result admit.Result) {
		delete(owner.ownedJobs, job)
		if !owner.dead {
			slot.Progress(job.tokens())
			slot.Finish(result)
		}
		if !router.dead {
			placement.Finish()
		}
		delete(router.jobs, job)
	}
	engine := fleet.engine(slot.Upstream())
	fleet.after(linkDelay, func() {
		if job.epoch == epoch {
			engine.accept(job)
		}
	})
}

func (fleet *fleet) engine(name clementinewind.Upstream) *engine {
	for _, engine := range fleet.engines {
		if engine.name == name {
			return engine
		}
	}
	return nil
}

// end finishes a job whose engine completed or reset it. A reset job is retried within the retry budget.
func (job *job) end(epoch int, result admit.Result) {
	if job.epoch != epoch {
		return
	}
	fleet := job.organisation.fleetOf(job.router)
	router := job.router
	job.finish(result)
	job.epoch++
	if result == admit.ResultCompleted {
		if fleet.measuring {
			fleet.result.Completed++
		}
		return
	}
	if router.dead {
		router = fleet.pickRouter(job.organisation, 0)
	}
	job.servedTokens = 0
	fleet.retry(job, router, maxRetryWait)
}

// retry resubmits a job when the retry budget allows it. It waits for the budget for up to left.
func (fleet *fleet) retry(job *job, router *router, left time.Duration) {
	switch {
	case !router.dead && router.entry.Retry(poolName):
		job.attempt++
		fleet.submit(job, router)
	case left <= 0:
		fleet.result.CutAnswers++
	default:
		fleet.after(time.Second, func() {
			if router.dead {
				router = fleet.pickRouter(job.organisation, 0)
			}
			fleet.retry(job, router, left-time.Second)
		})
	}
}

func (*organisation) fleetOf(router *router) *fleet { return router.fleet }

// refreshViews updates the views of all routers, each after its own delay, which moves the ownership of upstreams. lost
// is a router that stopped without closing its session or is isolated, or nil.
func (fleet *fleet) refreshViews(lost *router) {
	if fleet.logDown {
		fleet.after(time.Second, func() { fleet.refreshViews(lost) })
		return
	}
	var owners []clementinewind.Session
	for _, router := range fleet.routers {
		if !router.dead && !router.draining && router.isolatedAt.IsZero() {
			owners = append(owners, router.session)
		}
	}
	next := view{owners: owners, removedZone: fleet.removedZone}
	first := len(fleet.routers[0].view.owners) == 0
	latest := time.Duration(0)
	delays := make([]time.Duration, len(fleet.routers))
	for index := range fleet.routers {
		if !first && !fleet.central() {
			delays[index] = 20*time.Millisecond + time.Duration(fleet.random.IntN(280))*time.Millisecond
		}
		latest = max(latest, delays[index])
	}
	for index, router := range fleet.routers {
		fleet.after(delays[index], func() {
			if router.dead || !router.isolatedAt.IsZero() {
				return
			}
			wait := latest - delays[index] + 2*linkDelay
			if lost != nil {
				wait = ownerWait
			}
			if first || fleet.central() {
				wait = 0
			}
			router.applyView(next, wait, first)
		})
	}
}

// applyView applies a view at one router. It takes over upstreams of previous owners only after wait. first says that
// it is the first view of the run, so that no upstream has a previous owner.
func (router *router) applyView(next view, wait time.Duration, first bool) {
	fleet := router.fleet
	router.view = next
	if router.stale {
		// The log first expires the router's session, so it gives up all upstreams before it becomes an owner again.
		router.stale = false
		router.setOwned(nil, false)
	}
	var connectedSessions []clementinewind.Session
	for _, other := range fleet.routers {
		if connected(router, other) {
			connectedSessions = append(connectedSessions, other.session)
		}
	}
	owned := make(map[clementinewind.Upstream]bool)
	var owners []clementinewind.Session
	later := false
	for _, engine := range fleet.engines {
		owner := rendezvous(string(engine.name), next.owners)
		if fleet.config.Variant == Local {
			owner = router.session
		}
		if engine.zone != next.removedZone {
			owners = append(owners, owner)
		}
		if owner != router.session {
			continue
		}
		if router.owned[engine.name] || wait == 0 {
			owned[engine.name] = true
		} else {
			later = true
		}
	}
	router.setOwned(owned, first)
	router.owner.SetSessions(connectedSessions)
	router.entry.SetOwners(poolName, owners)
	if later {
		fleet.after(wait, func() {
			if !router.dead && router.isolatedAt.IsZero() && slices.Equal(router.view.owners, next.owners) {
				router.applyView(router.view, 0, false)
			}
		})
	}
}

// setOwned sets the upstreams that the router owns. first says that none of them had a previous owner.
func (router *router) setOwned(owned map[clementinewind.Upstream]bool, first bool) {
	fleet := router.fleet
	var configs []sched.UpstreamConfig
	size := 0
	for _, engine := range fleet.engines {
		if engine.zone != router.view.removedZone {
			size++
		}
	}
	for _, engine := range fleet.engines {
		if !owned[engine.name] {
			continue
		}
		config := sched.UpstreamConfig{
			Upstream: engine.name, Pool: poolName, Cold: coldSlots, Max: engineSlots,
			Leaving: engine.zone == router.view.removedZone, Adopted: !first,
			PoolSize: size,
		}
		if fleet.config.Variant == Local {
			config.Cold, config.Max = 1, engineSlots/len(fleet.routers)
		}
		configs = append(configs, config)
	}
	router.owned = owned
	router.owner.SetUpstreams(configs)
	for _, engine := range fleet.engines {
		if owned[engine.name] {
			router.resumeOrphans(engine)
		}
	}
}

// resumeOrphans resumes the answers of an engine whose owner was lost.
func (router *router) resumeOrphans(engine *engine) {
	for _, job := range sortedJobs(engine.running) {
		if !job.orphaned {
			continue
		}
		slot, refusal := router.owner.Resume(engine.name, router.fleet.request(job), job.tokens())
		if refusal != nil {
			continue
		}
		job.orphaned = false
		router.ownedJobs[job] = true
		job.reportProgress = func() { slot.Progress(job.tokens()) }
		finish := job.finish
		job.finish = func(result admit.Result) {
			delete(router.ownedJobs, job)
			if !router.dead {
				slot.Progress(job.tokens())
				slot.Finish(result)
			}
			finish(result)
		}
	}
}

func sortedJobs(jobs map[*job]bool) []*job {
	sorted := make([]*job, 0, len(jobs))
	for job := range jobs {
		sorted = append(sorted, job)
	}
	slices.SortFunc(sorted, func(a, b *job) int {
		return cmp.Or(a.queuedAt.Compare(b.queuedAt), cmp.Compare(a.organisation.name, b.organisation.name),
			cmp.Compare(a.cost, b.cost))
	})
	return sorted
}
