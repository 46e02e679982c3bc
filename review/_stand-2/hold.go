package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["hold"] = hold }

const (
	// holdClients is a little more than the connections that a router of this size keeps for callers.
	holdClients = 2700
	holdTime    = 20 * time.Second
	// gatherTime is how long the crowd has to gather.
	gatherTime = 12 * time.Second
)

// hold: clients without a valid key send bodies of legal size, stop just short of their end and stay open.
func hold(world *world, trouble bool) (bool, error) {
	world.store.putJSON(topicOperator, "config", bookingRoutes(1))
	if _, err := world.startReplicas("booking-app", answer, "guj-a", "guj-b", "guj-c"); err != nil {
		return false, err
	}
	if err := world.startFleet(ppwRouter, "guj-a", "guj-b", "guj-c"); err != nil {
		return false, err
	}
	var crowds []*crowd
	if trouble {
		for _, router := range world.routers {
			crowds = append(crowds, world.startCrowd(router.front,
				fmt.Sprintf("POST /book/ HTTP/1.1\r\nHost: %s\r\nX-Request-Id: crowd\r\nAuthorization: Bearer k-of-nobody\r\n", host), holdClients))
		}
	}
	time.Sleep(gatherTime)
	for i, crowd := range crowds {
		world.log("%d of %d clients of the crowd hold a connection to %s", crowd.open.Load(), holdClients, world.routers[i].name)
	}
	counts, sent := map[int]int{}, 0
	for end := time.Now().Add(holdTime); time.Now().Before(end); sent++ {
		router := world.routers[sent%3]
		if sent%9 < 3 {
			world.log("router %s says that it is ready: %v", router.name, router.isReady())
		}
		counts[world.ask(router, http.MethodGet, fmt.Sprintf("/status/%d", sent), fmt.Sprintf("ordinary-%d", sent), 1500*time.Millisecond)]++
		time.Sleep(100 * time.Millisecond)
	}
	world.log("%d ordinary requests in %v, by status: %v", sent, holdTime, counts)
	for _, crowd := range crowds {
		crowd.end()
	}
	time.Sleep(2 * time.Second)
	if status := world.ask(world.routers[0], http.MethodGet, "/status/last", "after-the-crowd", 1500*time.Millisecond); status != http.StatusOK {
		return false, fmt.Errorf("after the crowd has left, an ordinary request gets %d", status)
	}
	world.log("after the crowd has left, an ordinary request gets 200")
	return counts[http.StatusOK] == 0, nil
}
