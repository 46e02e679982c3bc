package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["locate"] = locate }

const (
	// locateClients is the crowd at each directory.
	locateClients = 300
	// locateOrdinary is the number of ordinary clients. Each takes three seconds if no directory answers.
	locateOrdinary = 10
)

// ordinary does what a client without addresses does: it asks up to three directories, and sends a request to the first address that it
// is told. It reports whether the request was served.
func (world *world) ordinary(number int) bool {
	for i := range world.routers {
		asked := world.routers[(number+i)%len(world.routers)]
		found := resolve(asked)
		world.log("client %d: the directory of %s says %q", number, asked.name, found)
		var answer struct {
			Addrs []string `json:"addrs"`
		}
		if json.Unmarshal([]byte(found), &answer) != nil || len(answer.Addrs) == 0 {
			continue
		}
		status := world.ask(&router{name: answer.Addrs[0], front: answer.Addrs[0]}, http.MethodGet, fmt.Sprintf("/status/%d", number), fmt.Sprintf("ordinary-%d", number), 1500*time.Millisecond)
		world.log("client %d: its request gets %d", number, status)
		return status == http.StatusOK
	}
	world.log("client %d knows no address and cannot send its request", number)
	return false
}

// locate: clients send a body to the directory, stop just short of its end and stay open.
func locate(world *world, trouble bool) (bool, error) {
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
			crowds = append(crowds, world.startCrowd(router.directory, fmt.Sprintf("POST /api/resolve HTTP/1.1\r\nHost: %s\r\n", router.directory), locateClients))
		}
	}
	time.Sleep(gatherTime)
	served := 0
	for number := range locateOrdinary {
		if world.ordinary(number) {
			served++
		}
	}
	world.log("%d of %d ordinary clients were served", served, locateOrdinary)
	for i, crowd := range crowds {
		world.log("%d of %d clients of the crowd hold a connection to the directory of %s", crowd.open.Load(), locateClients, world.routers[i].name)
		crowd.end()
	}
	time.Sleep(2 * time.Second)
	if !world.ordinary(locateOrdinary) {
		return false, fmt.Errorf("no request is served after the crowd has left")
	}
	return served == 0, nil
}
