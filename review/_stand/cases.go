package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"
)

// startReplicas starts three replicas, one in each zone.
func (world *world) startReplicas(zones ...string) ([]*replica, error) {
	var replicas []*replica
	for i, zone := range zones {
		replica, err := world.startReplica(fmt.Sprintf("i-%08x", 0x7f3a91c0+i), service, zone)
		if err != nil {
			return nil, err
		}
		replicas = append(replicas, replica)
	}
	return replicas, nil
}

// missedDeletion: a replica leaves, and its entry is removed without a notice, while the router that reads the store for its zone starts
// again. The other router of the zone must not send to the replica later than drainMs after the removal.
func missedDeletion(world *world) (bool, error) {
	const (
		powerLoss   = 3500 * time.Millisecond
		servesAfter = 8 * time.Second
	)
	world.configure()
	replicas, err := world.startReplicas("bergen-a", "bergen-b", "bergen-c")
	if err != nil {
		return false, err
	}
	var routers []*router
	for i, name := range []string{"front-bergen-a-1", "front-bergen-a-2"} {
		router, err := world.addRouter(name, "bergen-a", i+1)
		if err != nil {
			return false, err
		}
		routers = append(routers, router)
	}
	if err := startAll(routers); err != nil {
		return false, err
	}
	reader, other := routers[0], routers[1]
	client := world.startClient(other, 20)
	time.Sleep(5 * time.Second)
	leaving := replicas[0]
	removed := make(chan time.Time, 1)
	remove := sync.OnceFunc(func() {
		at := leaving.deregister()
		world.logf("entry of %s removed; it goes on serving for %v", leaving.id, servesAfter)
		removed <- at
	})
	if world.trouble {
		reader.kill()
		time.Sleep(powerLoss)
		// The replica leaves just before the router that starts reads all entries, which only a starting router does.
		world.store.setOnNewest(func(topic string) {
			if topic == topicServers {
				remove()
			}
		})
		if err := reader.start(); err != nil {
			return false, err
		}
	} else {
		remove()
	}
	var removedAt time.Time
	select {
	case removedAt = <-removed:
	case <-time.After(readyTimeout):
		return false, fmt.Errorf("%s read no entries after its start", reader.name)
	}
	time.Sleep(servesAfter)
	leaving.exit()
	late := 0
	for _, arrival := range leaving.seen() {
		sentAt, ok := client.sent(arrival.requestID)
		if ok && sentAt.After(removedAt.Add(drainTime)) && arrival.status == http.StatusOK {
			late++
			world.recordf("LATE: request %s reached %s %d ms after its entry was removed", arrival.requestID, leaving.id, arrival.at.Sub(removedAt).Milliseconds())
		}
	}
	world.logf("requests that %s sent to %s later than %v after its entry was removed: %d", other.name, leaving.id, drainTime, late)
	return late == 0, nil
}

// forgottenPause: a replica answers 503 with Retry-After. Meanwhile it does not reach the store for some seconds, so that its entry is
// removed and comes back. The router must leave it alone until the end of the time.
func forgottenPause(world *world) (bool, error) {
	const (
		pauseSeconds = 20
		cutTime      = 5 * time.Second
		slack        = 500 * time.Millisecond
	)
	world.configure()
	replicas, err := world.startReplicas("bergen-a", "bergen-b", "bergen-c")
	if err != nil {
		return false, err
	}
	router, err := world.addRouter("front-bergen-a-1", "bergen-a", 1)
	if err != nil {
		return false, err
	}
	if err := startAll(single(router)); err != nil {
		return false, err
	}
	world.startClient(router, 20)
	time.Sleep(4 * time.Second)
	busy := replicas[0]
	declined := make(chan time.Time, 1)
	// The replica turns one request away, and is less busy when more come.
	first := sync.OnceFunc(func() { declined <- time.Now() })
	until := time.Now().Add(slack)
	decide := func(writer http.ResponseWriter, _ *http.Request) bool {
		if time.Now().After(until) {
			return false
		}
		declineFor(writer, pauseSeconds)
		first()
		return true
	}
	busy.decide.Store(&decide)
	var declinedAt time.Time
	select {
	case declinedAt = <-declined:
	case <-time.After(2 * time.Second):
		return false, fmt.Errorf("no request reached %s", busy.id)
	}
	world.logf("%s answered 503 with Retry-After: %d", busy.id, pauseSeconds)
	if world.trouble {
		busy.silent.Store(true)
		world.logf("%s does not reach the store for %v", busy.id, cutTime)
		time.Sleep(3 * heartbeatInterval)
		world.store.put(topicServers, busy.id, nil)
		world.logf("entry of %s removed after three heartbeat intervals of silence", busy.id)
		time.Sleep(cutTime - 3*heartbeatInterval)
		busy.silent.Store(false)
		busy.register()
		world.logf("entry of %s is back", busy.id)
	}
	time.Sleep(time.Until(declinedAt.Add(pauseSeconds * time.Second)))
	end := time.Now()
	unwanted := 0
	for _, arrival := range busy.seen() {
		if arrival.at.After(declinedAt.Add(slack)) && arrival.at.Before(end) {
			unwanted++
			world.recordf("UNWANTED: request %s reached %s %d ms after it had answered 503 with Retry-After", arrival.requestID, busy.id,
				arrival.at.Sub(declinedAt).Milliseconds())
		}
	}
	world.logf("requests that %s sent to %s between %v after its 503 and the end of Retry-After: %d", router.name, busy.id, slack, unwanted)
	return unwanted <= 2, nil
}

// deadAddresses: a zone with half of the routers loses power for good. The directory must not name them beside running ones later than
// contactMs + 3 s after that.
func deadAddresses(world *world) (bool, error) {
	const (
		slack   = contactTime + 3*time.Second
		watched = 15 * time.Second
	)
	world.configure()
	if _, err := world.startReplicas("bergen-a", "bergen-b", "bergen-c"); err != nil {
		return false, err
	}
	var routers []*router
	zones := []string{"bergen-a", "bergen-a", "bergen-b", "bergen-b", "bergen-b", "bergen-c"}
	counts := map[string]int{}
	for i, zone := range zones {
		counts[zone]++
		router, err := world.addRouter(fmt.Sprintf("front-%s-%d", zone, counts[zone]), zone, i+1)
		if err != nil {
			return false, err
		}
		routers = append(routers, router)
	}
	if err := startAll(routers); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	dead, alive := map[string]bool{}, map[string]bool{}
	var running []*router
	for _, router := range routers {
		if world.trouble && router.zone == "bergen-b" {
			router.kill()
			dead[router.address("front")] = true
			continue
		}
		alive[router.address("front")] = true
		running = append(running, router)
	}
	killedAt := time.Now()
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	wrong, onlyDead, answers := 0, 0, 0
	for time.Since(killedAt) < slack+watched {
		time.Sleep(time.Second)
		for _, router := range running {
			for _, zone := range []string{"bergen-a", "bergen-b", "bergen-c"} {
				addresses, err := resolve(client, router, zone)
				age := time.Since(killedAt)
				world.recordf("directory of %s for a client in %s, %d ms after: %v (error: %v)", router.name, zone, age.Milliseconds(), addresses, err)
				if err != nil || age < slack {
					continue
				}
				answers++
				namesDead := slices.ContainsFunc(addresses, func(address string) bool { return dead[address] })
				namesAlive := slices.ContainsFunc(addresses, func(address string) bool { return alive[address] })
				switch {
				case namesDead && namesAlive:
					wrong++
				case namesDead:
					onlyDead++
				}
			}
		}
	}
	world.logf("answers of the directory later than %v after the loss: %d; naming a dead machine beside a running one: %d; naming only dead ones: %d",
		slack, answers, wrong, onlyDead)
	return wrong <= 3, nil
}

func resolve(client *http.Client, router *router, zone string) ([]string, error) {
	query := url.Values{"name": {testHost}, "region": {"vestland"}, "zone": {zone}}
	response, err := client.Get("http://" + router.address("directory") + "/api/resolve?" + query.Encode())
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var answer struct {
		Addrs []string `json:"addrs"`
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return nil, err
	}
	return answer.Addrs, nil
}
