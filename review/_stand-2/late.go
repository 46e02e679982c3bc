package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["late"] = late }

// late: the answer of the store to a replica's heartbeat is lost, and the write is done seconds later, after the replica has left.
func late(world *world, trouble bool) (bool, error) {
	const (
		drain = 2 * time.Second
		// The store loses one answer at lostAt and does the write 5.8 s later. At removedAt it has been without disruption for contactMs.
		lostAt     = time.Second
		removedAt  = 4500 * time.Millisecond
		executedAt = 6800 * time.Millisecond
		exitsAt    = 11500 * time.Millisecond
		// interval is the time between two bookings. At the site, as here, each router gets 1.7 requests to the service in a second.
		interval = 200 * time.Millisecond
		bookings = 70
	)
	world.store.putJSON(topicOperator, "config", bookingRoutes(1))
	replicas, err := world.startReplicas("booking-app", answer, "guj-a", "guj-b", "guj-c")
	if err != nil {
		return false, err
	}
	if err := world.startFleet(ppwRouter, "guj-a", "guj-a", "guj-a"); err != nil {
		return false, err
	}
	leaving, start := replicas[0], time.Now()
	after := func(wait time.Duration, do func()) { time.AfterFunc(wait-time.Since(start), do) }
	if trouble {
		after(lostAt, func() {
			lost := leaving.next()
			world.log("heartbeat %s of %s gets no answer", lost, leaving.id)
			after(executedAt, func() {
				world.store.put(topicServers, leaving.id, lost)
				world.log("the store does that write")
				time.Sleep(3 * heartbeat)
				world.store.put(topicServers, leaving.id, nil)
				world.log("the entry lapses after three heartbeats of silence")
			})
		})
	}
	var mutex sync.Mutex
	var removed time.Time
	after(removedAt, func() {
		leaving.stopBeat()
		leaving.leaving.Store(true)
		world.store.put(topicServers, leaving.id, nil)
		mutex.Lock()
		removed = time.Now()
		mutex.Unlock()
		world.log("%s leaves: its entry is removed, and all its answers say so", leaving.id)
	})
	after(exitsAt, func() {
		world.log("%s exits", leaving.id)
		_ = leaving.server.Close()
	})
	var clients sync.WaitGroup
	counts := map[int]int{}
	for i := range bookings {
		clients.Go(func() {
			status := world.ask(world.routers[i%3], http.MethodPost, fmt.Sprintf("/book/%d", i), fmt.Sprintf("booking-%d", i), 1500*time.Millisecond)
			mutex.Lock()
			defer mutex.Unlock()
			counts[status]++
		})
		time.Sleep(interval)
	}
	clients.Wait()
	lateRuns := 0
	for _, run := range leaving.allRuns() {
		since := run.at.Sub(removed)
		if since > 0 {
			world.log("%s runs at %s %.3f s after the removal", run.id, leaving.id, since.Seconds())
		}
		if since > drain {
			lateRuns++
		}
	}
	world.log("answers by status: %v; %d requests reached %s later than %v after its removal", counts, lateRuns, leaving.id, drain)
	return lateRuns > 0, nil
}
