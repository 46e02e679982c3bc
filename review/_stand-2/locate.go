package main

import (
	"fmt"
	"time"
)

func init() { cases["locate"] = locate }

// locateClients is the crowd at each directory.
const locateClients = 300

// locate: clients send a body to the directory, stop just short of its end and stay open.
func locate(world *world, trouble bool) (bool, error) {
	world.store.putJSON(topicOperator, "config", bookingRoutes(1))
	if _, err := world.startReplicas("booking-app", answer, "guj-a", "guj-b", "guj-c"); err != nil {
		return false, err
	}
	if err := world.startFleet(ppwRouter, "guj-a", "guj-b", "guj-c"); err != nil {
		return false, err
	}
	ask := func(when string, rounds int) (answered int) {
		for i := range rounds {
			for _, router := range world.routers {
				found := resolve(router)
				if found != "" {
					answered++
				}
				world.log("%s, %d: the directory of %s says %q", when, i, router.name, found)
			}
		}
		return answered
	}
	if answered := ask("before", 2); answered != 6 {
		return false, fmt.Errorf("%d of 6 questions were answered before the crowd came", answered)
	}
	var crowds []*crowd
	if trouble {
		for _, router := range world.routers {
			crowds = append(crowds, world.startCrowd(router.directory, fmt.Sprintf("POST /api/resolve HTTP/1.1\r\nHost: %s\r\n", router.directory), locateClients))
		}
	}
	time.Sleep(5 * time.Second)
	answered := ask("beside the crowd", 7)
	for i, crowd := range crowds {
		world.log("%d of %d clients of the crowd hold a connection to the directory of %s", crowd.open.Load(), locateClients, world.routers[i].name)
		crowd.end()
	}
	time.Sleep(2 * time.Second)
	if after := ask("after the crowd", 1); after != 3 {
		return false, fmt.Errorf("%d of 3 questions were answered after the crowd had left", after)
	}
	return answered == 0, nil
}
