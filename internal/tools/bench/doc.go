// Package bench simulates the scheduling of requests in virtual time to measure fairness, utilisation, control traffic
// and the effect of faults, and benchmarks the scheduling code in real time. It runs the code of packages fair, admit
// and sched over in-memory links and simulated model engines. docs/measures.md explains the metrics and lists the
// results.
package bench

import "time"

const (
	// linkDelay is the one-way delay between any two machines.
	linkDelay = time.Millisecond
	// engineSlots is the number of requests that a warm engine can run together.
	engineSlots = 64
	// coldSlots is the number of requests that an engine can run together when it has just become cold.
	coldSlots = 2
	// coldDoublingTime is the time in which a cold engine doubles its capacity.
	coldDoublingTime = 2 * time.Second
	// tokensPerSecond is the generation rate of one answer.
	tokensPerSecond = 38.0
	// prefillTime is the time to the first token of a warm engine for a prompt of average length.
	prefillTime = 200 * time.Millisecond
	// slowPrefillFactor multiplies the prefill time of an engine without cache.
	slowPrefillFactor = 10
	// reportInterval is the time between load reports, and their age.
	reportInterval = time.Second
	// streamIdleTimeout is the idle timeout of engine streams.
	streamIdleTimeout = 10 * time.Second
	// sessionExpiryTime is how long routers need to expire the session of a router that stopped.
	sessionExpiryTime = 4 * time.Second
	// ownerWait is how long a new owner waits when the previous one may still send.
	ownerWait = 2500 * time.Millisecond
	// isolatedSendTime is how long a router that is isolated may still send.
	isolatedSendTime = 2 * time.Second
	// callerRetryDelay is how long a caller needs to switch to another router.
	callerRetryDelay = time.Second
	// maxRetryWait is how long a request whose answer was cut off waits for the retry budget.
	maxRetryWait = 20 * time.Second
	// removalGrace is how long an upstream may still receive requests after its removal.
	removalGrace = 3 * time.Second
	// exchangeTime is the time until service of one quantum, once counted at an owner, is known to all owners: one interval
	// between service reports of package sched (not reportInterval) and two links to the home router, and the same back.
	exchangeTime = 250 * time.Millisecond
	// sampleInterval is the time between two samples of the service gap.
	sampleInterval = 50 * time.Millisecond
	// starvationWindow is the time in which a backlogged organisation must get at least a tenth of its share.
	starvationWindow = 15 * time.Second
)
