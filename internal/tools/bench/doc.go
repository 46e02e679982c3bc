// Package bench measures the placement of work: fairness, utilisation, control traffic and behaviour under faults in
// virtual time, and the cost of the decision code in real time. It runs the code of packages fair, admit and sched over
// links in memory and simple model engines. docs/measures.md explains the metrics and lists the results.
package bench

import "time"

const (
	// linkDelay is the one-way delay between any two machines.
	linkDelay = time.Millisecond
	// engineSlots is the number of requests that a warm engine carries.
	engineSlots = 64
	// coldSlots is the number of requests that a cold engine carries.
	coldSlots = 2
	// coldDoubling is the time in which a cold engine doubles what it carries.
	coldDoubling = 2 * time.Second
	// tokenRate is the pace of one answer, in tokens a second.
	tokenRate = 38.0
	// prefillTime is the time to the first token of a warm engine for a prompt of average length.
	prefillTime = 200 * time.Millisecond
	// slowPrefill is the factor of the prefill time of an engine without cache.
	slowPrefill = 10
	// reportTime is the time between load reports, and their age.
	reportTime = time.Second
	// silenceTime is the idle timeout of engine streams.
	silenceTime = 10 * time.Second
	// expiryTime is how long routers need to expire a session that stopped.
	expiryTime = 4 * time.Second
	// ownerWait is how long a new owner waits when the previous one may still send.
	ownerWait = 2500 * time.Millisecond
	// freshTime is how long a router that is cut off may send.
	freshTime = 2 * time.Second
	// callerRetry is how long a caller needs to turn to another router.
	callerRetry = time.Second
	// maxRetryWait is how long a request whose answer was cut waits for the retry budget.
	maxRetryWait = 20 * time.Second
	// lateTime is how long after its removal an upstream may still receive work.
	lateTime = 3 * time.Second
	// exchangeTime is the time from a change of a quantum to its arrival at all owners: one report interval and two links
	// towards the home router and the same back.
	exchangeTime = 250 * time.Millisecond
	// sampleTime is the time between two samples of the service gap.
	sampleTime = 50 * time.Millisecond
	// starvedTime is the time of backlog in which an organisation must get a tenth of its share.
	starvedTime = 15 * time.Second
)
