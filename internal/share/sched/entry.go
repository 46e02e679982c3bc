package sched

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/share/admit"
	"github.com/clementinewind/clementinewind/internal/share/fair"
	"github.com/clementinewind/clementinewind/internal/wire/peerv1"
)

const (
	// withdrawTime is how long asks stand after the queue became empty, because the next request often follows soon.
	withdrawTime = 300 * time.Millisecond
	// forgetTime is how long the tag of an organisation without requests is kept.
	forgetTime = time.Minute
	// firstOwners is the number of owners that each waiting request asks at once.
	firstOwners = 2
	// growth is the factor by which a queue grows before its asks are repeated with the new length.
	growth = 4
	// noOwnerRetry is the time to retry after when a pool has no owner.
	noOwnerRetry = time.Second
)

// EntryConfig configures an Entry.
type EntryConfig struct {
	Self clementinewind.Session
	Send SendFunc
	// Limits returns the limits of an organisation in force now.
	Limits func(organisation clementinewind.Organisation) fair.Limits
	// MaxOwners takes DefaultMaxOwners when 0.
	MaxOwners int
	// Seed makes the choice of owners for direct forwards reproducible; 0 takes a random one.
	Seed uint64
}

// Entry holds the requests that arrived at this router until an owner has a slot for them.
type Entry struct {
	config EntryConfig
	mutex  sync.Mutex
	random *rand.Rand
	queue  *fair.Queue[*waiter]
	pools  map[clementinewind.Pool]*ownerSet
	// standings holds what the owners have been asked.
	standings map[fair.Key]*standing
}

// ownerSet is the owners of one pool and the free slots that they announced.
type ownerSet struct {
	owners []clementinewind.Session
	// version counts the changes of owners.
	version int
	spare   map[clementinewind.Session]int
	// retries limits the retries of requests that failed at an upstream.
	retries admit.RetryBudget
}

// standing is the set of standing asks of one organisation.
type standing struct {
	tag float64
	// asked holds the waiting count last sent to each owner.
	asked map[clementinewind.Session]int
	// targets are the owners to ask as of a version of the owner set, because choosing 9 of 350 takes 80 us.
	targets []clementinewind.Session
	version int
	emptied time.Time
	used    time.Time
}

// Placement tells where to forward a request. Finish, Busy or Cancel must be called once for each placement.
type Placement struct {
	Session clementinewind.Session
	// GrantID is 0 for a direct forward.
	GrantID  uint64
	Upstream clementinewind.Upstream
	Tag      float64
	Weight   float64
	key      fair.Key
	entry    *Entry
	done     *bool
}

type waiter struct {
	request Request
	item    *fair.Item[*waiter]
	deliver func(placement Placement)
	settled bool
}

// delivery is a call that is made after the lock is released.
type delivery struct {
	waiter    *waiter
	placement Placement
}

// NewEntry returns an entry without owners.
func NewEntry(config EntryConfig) *Entry {
	config.MaxOwners = cmp.Or(config.MaxOwners, DefaultMaxOwners)
	seed := cmp.Or(config.Seed, rand.Uint64())
	return &Entry{
		config:    config,
		random:    rand.New(rand.NewPCG(seed, seed)),
		queue:     fair.NewQueue[*waiter](fair.QueueConfig{Limits: config.Limits}),
		pools:     make(map[clementinewind.Pool]*ownerSet),
		standings: make(map[fair.Key]*standing),
	}
}

// Run does the periodic tasks until the context ends.
func (entry *Entry) Run(ctx context.Context) error {
	return runTicks(ctx, entry.Tick)
}

// Tick does the periodic tasks once: it withdraws the asks of empty queues and forgets what is no longer used.
func (entry *Entry) Tick() {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	now := time.Now()
	for _, key := range entry.sortedKeys() {
		standing := entry.standings[key]
		if entry.queue.Ready(key) {
			entry.ask(key, entry.queue.HeadAge(key, now) >= tickInterval)
			continue
		}
		if len(standing.asked) > 0 && now.Sub(standing.emptied) >= withdrawTime {
			for _, owner := range sortedSessions(standing.asked) {
				entry.send(owner, &peerv1.Ask{Pool: string(key.Pool), Organisation: string(key.Organisation)})
			}
			clear(standing.asked)
		}
		if len(standing.asked) == 0 && now.Sub(standing.used) > forgetTime {
			delete(entry.standings, key)
		}
	}
	entry.queue.Clean(now, forgetTime)
}

func (entry *Entry) sortedKeys() []fair.Key {
	keys := make([]fair.Key, 0, len(entry.standings))
	for key := range entry.standings {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b fair.Key) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Organisation, b.Organisation))
	})
	return keys
}

func sortedSessions(asked map[clementinewind.Session]int) []clementinewind.Session {
	sessions := make([]clementinewind.Session, 0, len(asked))
	for session := range asked {
		sessions = append(sessions, session)
	}
	slices.Sort(sessions)
	return sessions
}

func (entry *Entry) send(owner clementinewind.Session, ask *peerv1.Ask) {
	entry.config.Send(owner, &peerv1.ControlFrame{Asks: []*peerv1.Ask{ask}})
}

// SetOwners tells which sessions own upstreams of a pool.
func (entry *Entry) SetOwners(pool clementinewind.Pool, owners []clementinewind.Session) {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	set := entry.pools[pool]
	if set == nil {
		set = &ownerSet{spare: make(map[clementinewind.Session]int)}
		entry.pools[pool] = set
	}
	set.owners = slices.Clone(owners)
	slices.Sort(set.owners)
	set.owners = slices.Compact(set.owners)
	set.version++
	for session := range set.spare {
		if !slices.Contains(set.owners, session) {
			delete(set.spare, session)
		}
	}
	for _, session := range set.owners {
		if _, known := set.spare[session]; !known {
			// An owner that has not been heard of is tried once.
			set.spare[session] = 1
		}
	}
	for _, key := range entry.sortedKeys() {
		if key.Pool != pool {
			continue
		}
		standing := entry.standings[key]
		for _, session := range sortedSessions(standing.asked) {
			if !slices.Contains(set.owners, session) {
				delete(standing.asked, session)
			}
		}
		entry.ask(key, false)
	}
}

// Connected tells that the control link to a session was set up again. The asks at that session are repeated.
func (entry *Entry) Connected(session clementinewind.Session) {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	for _, key := range entry.sortedKeys() {
		delete(entry.standings[key].asked, session)
		entry.ask(key, false)
	}
}

// Acquire waits until the request may be forwarded. It refuses at once when a limit is reached or the backlog exceeds
// the deadline, and when the context or the deadline ends.
func (entry *Entry) Acquire(ctx context.Context, request Request) (Placement, *clementinewind.Refusal) {
	if !request.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, request.Deadline)
		defer cancel()
	}
	placements := make(chan Placement, 1)
	withdraw, refusal := entry.Enqueue(request, func(placement Placement) { placements <- placement })
	if refusal != nil {
		return Placement{}, refusal
	}
	select {
	case placement := <-placements:
		return placement, nil
	case <-ctx.Done():
	}
	if !withdraw() {
		return <-placements, nil
	}
	if ctx.Err() == context.Canceled {
		return Placement{}, clementinewind.NewRefusal(clementinewind.ProgressQueued, clementinewind.ReasonCancelled, "")
	}
	key := fair.Key{Pool: request.Pool, Organisation: request.Organisation}
	return Placement{}, clementinewind.NewRefusal(clementinewind.ProgressQueued, clementinewind.ReasonDeadline, "").
		WithRetryAfter(max(entry.Wait(key), noOwnerRetry))
}

// Retry takes one retry from the budget of a pool, which is a tenth of its requests in the last minute, and reports
// whether there was one. It is for requests that failed at an upstream, not for those refused with ReasonBusy.
func (entry *Entry) Retry(pool clementinewind.Pool) bool {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	set := entry.pools[pool]
	return set != nil && set.retries.Retry(time.Now())
}

// Waiting returns the number of requests of an organisation that wait for a slot of a pool.
func (entry *Entry) Waiting(key fair.Key) int {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	return entry.queue.Waiting(key)
}

// Wait returns the expected wait of a request that arrives now.
func (entry *Entry) Wait(key fair.Key) time.Duration {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	return entry.queue.ExpectedWait(key, time.Now())
}

// Enqueue is the form of Acquire that does not block: deliver is called once, from any goroutine and perhaps before
// Enqueue returns, unless the request is refused or withdrawn. The returned function withdraws the request and reports
// false when deliver has been, or is being, called. Enqueue does not enforce the deadline of a request that waits.
func (entry *Entry) Enqueue(request Request, deliver func(placement Placement)) (func() bool, *clementinewind.Refusal) {
	entry.mutex.Lock()
	now := time.Now()
	key := fair.Key{Pool: request.Pool, Organisation: request.Organisation}
	waiter := &waiter{request: request, deliver: deliver}
	placement, refusal := entry.enter(key, waiter, now)
	entry.mutex.Unlock()
	if refusal != nil {
		return nil, refusal
	}
	if placement != nil {
		deliver(*placement)
	}
	return func() bool { return entry.withdraw(waiter) }, nil
}

// enter places a request directly, queues it, or refuses it.
func (entry *Entry) enter(key fair.Key, waiter *waiter, now time.Time) (*Placement, *clementinewind.Refusal) {
	set := entry.pools[key.Pool]
	if set == nil || len(set.owners) == 0 {
		return nil, clementinewind.NewRefusal(clementinewind.ProgressQueued, clementinewind.ReasonNoCapacity,
			"no router owns an upstream of the pool").WithRetryAfter(noOwnerRetry)
	}
	first := waiter.request.Attempt == 0
	if first {
		if refusal := entry.queue.Arrive(key.Organisation, now); refusal != nil {
			return nil, refusal
		}
	}
	standing := entry.standings[key]
	if standing == nil {
		standing = newStanding()
		entry.standings[key] = standing
	}
	standing.used = now
	if first {
		set.retries.Request(now)
	}
	if first && entry.queue.Waiting(key) == 0 {
		if session, found := entry.choose(set); found && entry.queue.Start(key, now) {
			waiter.settled = true
			placement := entry.placement(key, session, standing)
			return &placement, nil
		}
	}
	waiter.item = newItem(key, waiter)
	if refusal := entry.queue.Push(waiter.item, !first, now); refusal != nil {
		return nil, refusal
	}
	entry.ask(key, false)
	return nil, nil
}

func newItem(key fair.Key, value *waiter) *fair.Item[*waiter] {
	return &fair.Item[*waiter]{
		Key: key, Value: value, Deadline: value.request.Deadline, Estimate: value.request.Estimate,
	}
}

func newStanding() *standing {
	return &standing{asked: make(map[clementinewind.Session]int)}
}

func (entry *Entry) placement(key fair.Key, session clementinewind.Session, standing *standing) Placement {
	return Placement{
		Session: session, Tag: standing.tag, Weight: entry.weight(key.Organisation), key: key, entry: entry, done: new(bool),
	}
}

func (entry *Entry) weight(organisation clementinewind.Organisation) float64 {
	if weight := entry.config.Limits(organisation).Weight; weight > 0 {
		return weight
	}
	return 1
}

// choose picks the owner with more announced slots out of two random ones.
func (entry *Entry) choose(set *ownerSet) (clementinewind.Session, bool) {
	first := set.owners[entry.random.IntN(len(set.owners))]
	second := set.owners[entry.random.IntN(len(set.owners))]
	if set.spare[second] > set.spare[first] {
		first = second
	}
	if set.spare[first] <= 0 {
		// Two owners without free slots say little when a few of many have some.
		for _, session := range set.owners {
			if set.spare[session] > set.spare[first] {
				first = session
			}
		}
	}
	if set.spare[first] <= 0 {
		return clementinewind.NoSession, false
	}
	set.spare[first]--
	return first, true
}

// withdraw takes a request out of the queue and reports false when it has been placed.
func (entry *Entry) withdraw(waiter *waiter) bool {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	if waiter.settled {
		return false
	}
	waiter.settled = true
	key := waiter.item.Key
	entry.queue.Remove(waiter.item)
	entry.emptied(key)
	return true
}

// emptied notes when a queue became empty.
func (entry *Entry) emptied(key fair.Key) {
	if standing := entry.standings[key]; standing != nil && !entry.queue.Ready(key) {
		standing.emptied = time.Now()
	}
}

// ask sends the asks that are missing or out of date: to all owners, or to a number that follows from the queue.
func (entry *Entry) ask(key fair.Key, all bool) {
	set := entry.pools[key.Pool]
	standing := entry.standings[key]
	if set == nil || standing == nil || !entry.queue.Ready(key) {
		return
	}
	waiting := min(entry.queue.Waiting(key), maxWaiting)
	if standing.version != set.version {
		standing.targets = entry.targets(key, set)
		standing.version = set.version
	}
	targets := standing.targets
	// A short queue asks few owners at first, because all but one grant for its only request would be returned. Its
	// requests go to the front wherever they ask; Tick asks the others when they still wait.
	few := len(targets)
	if !all {
		few = min(few, firstOwners*waiting)
	}
	start := 0
	if few < len(targets) {
		start = entry.random.IntN(len(targets))
	}
	for offset := range targets {
		session := targets[(start+offset)%len(targets)]
		if few <= len(standing.asked) && standing.asked[session] == 0 {
			continue
		}
		if sent := standing.asked[session]; sent > 0 && (waiting < growth*sent || sent == maxWaiting) {
			continue
		}
		standing.asked[session] = waiting
		entry.send(session, &peerv1.Ask{
			Pool: string(key.Pool), Organisation: string(key.Organisation), Tag: standing.tag,
			Weight: entry.weight(key.Organisation), Waiting: int32(waiting), Estimate: entry.queue.HeadEstimate(key),
		})
	}
}

// targets returns the owners at which an organisation asks: all, or a bounded set by rendezvous hashing, which is the
// same at all entry routers.
func (entry *Entry) targets(key fair.Key, set *ownerSet) []clementinewind.Session {
	if len(set.owners) <= entry.config.MaxOwners {
		return set.owners
	}
	type scored struct {
		session clementinewind.Session
		score   uint64
	}
	base := xxhash.Sum64String(string(key.Pool) + "\x00" + string(key.Organisation))
	scores := make([]scored, 0, len(set.owners))
	for _, session := range set.owners {
		scores = append(scores, scored{session: session, score: mix(base ^ mix(uint64(session)))})
	}
	slices.SortFunc(scores, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.session, b.session))
	})
	targets := make([]clementinewind.Session, 0, entry.config.MaxOwners)
	for _, scored := range scores[:entry.config.MaxOwners] {
		targets = append(targets, scored.session)
	}
	return targets
}

// mix is the finaliser of splitmix64.
func mix(value uint64) uint64 {
	value += 0x9e3779b97f4a7c15
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}

// HandleGrants binds grants of an owner to waiting requests and returns those that cannot be used.
func (entry *Entry) HandleGrants(session clementinewind.Session, grants []*peerv1.Grant) {
	var deliveries []delivery
	entry.mutex.Lock()
	now := time.Now()
	for _, grant := range grants {
		key := fair.Key{Pool: clementinewind.Pool(grant.Pool), Organisation: clementinewind.Organisation(grant.Organisation)}
		standing := entry.standings[key]
		if standing == nil {
			standing = newStanding()
			standing.used = now
			entry.standings[key] = standing
		}
		standing.tag = max(standing.tag, grant.VirtualTime)
		item := entry.queue.Pop(key, now)
		if item == nil {
			// The return of a grant withdraws the ask at the owner.
			delete(standing.asked, session)
			entry.config.Send(session, &peerv1.ControlFrame{Returns: []*peerv1.GrantReturn{{GrantId: grant.GrantId}}})
			continue
		}
		item.Value.settled = true
		placement := entry.placement(key, session, standing)
		placement.GrantID = grant.GrantId
		placement.Upstream = clementinewind.Upstream(grant.Upstream)
		deliveries = append(deliveries, delivery{waiter: item.Value, placement: placement})
		entry.emptied(key)
	}
	entry.mutex.Unlock()
	for _, delivery := range deliveries {
		delivery.waiter.deliver(delivery.placement)
	}
}

// HandleSpares takes hints about free slots of an owner.
func (entry *Entry) HandleSpares(session clementinewind.Session, spares []*peerv1.Spare) {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	for _, spare := range spares {
		if set := entry.pools[clementinewind.Pool(spare.Pool)]; set != nil && slices.Contains(set.owners, session) {
			set.spare[session] = int(spare.Slots)
		}
	}
}

// Busy tells that the owner refused the placement with ReasonBusy. It also finishes the placement.
func (placement Placement) Busy() {
	placement.end(true)
}

// Cancel tells that the request will not be forwarded, and returns the grant. It also finishes the placement.
func (placement Placement) Cancel() {
	entry := placement.entry
	entry.mutex.Lock()
	if standing := entry.standings[placement.key]; !*placement.done && placement.GrantID != 0 {
		if standing != nil {
			delete(standing.asked, placement.Session)
		}
		entry.config.Send(placement.Session, &peerv1.ControlFrame{
			Returns: []*peerv1.GrantReturn{{GrantId: placement.GrantID}},
		})
	}
	entry.mutex.Unlock()
	placement.end(false)
}

// Finish tells that the request has ended.
func (placement Placement) Finish() {
	placement.end(false)
}

func (placement Placement) end(busy bool) {
	entry := placement.entry
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	if *placement.done {
		return
	}
	*placement.done = true
	if set := entry.pools[placement.key.Pool]; busy && set != nil && placement.GrantID == 0 {
		set.spare[placement.Session] = 0
	}
	entry.queue.Finish(placement.key)
	if standing := entry.standings[placement.key]; standing != nil {
		standing.used = time.Now()
	}
	entry.ask(placement.key, false)
}
