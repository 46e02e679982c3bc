package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/clementinewind/clementinewind/platform/stand"
)

const (
	// evacuateTime is evacuateMs.
	evacuateTime = 5 * time.Second
	// awayTime is how long the store is away in the drill, copyAge how old its copy is.
	awayTime = time.Second
	copyAge  = 6 * time.Second
	// rewriteTime is how long after the return the operator has written again what was lost.
	rewriteTime = 4500 * time.Millisecond
)

// drill: the store comes back from a copy that lacks the evacuation of a zone, and the operator writes it again some seconds later.
func drill(world *world, trouble bool) error {
	world.configure(1, route{Name: "book", PathPrefix: "/book/", Kind: "non_idempotent", TimeoutMs: 800, GoalMs: 150, Service: "booking", MaxAttempts: 1})
	for number := range 3 {
		if _, err := world.addReplica(fmt.Sprintf("i-%d", number), "booking", "guj-"+string(rune('a'+number)), "v1", book(30*time.Millisecond)); err != nil {
			return err
		}
	}
	if err := world.startRouters(3); err != nil {
		return err
	}
	var evacuated atomic.Int64
	check := func(replica *replica, id string) {
		at := evacuated.Load()
		if replica.zone != "guj-a" || at == 0 {
			return
		}
		if after := time.Since(time.UnixMicro(at)); after > evacuateTime {
			world.breach("EVAC: %s reaches %s %.3f s after the evacuation of its zone was acknowledged", id, replica.name, after.Seconds())
		}
	}
	onRun.Store(&check)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Add(1)
	go func() {
		defer clients.Done()
		for number := 0; ; number++ {
			select {
			case <-stop:
				return
			case <-time.After(25 * time.Millisecond):
			}
			clients.Add(1)
			go func() {
				defer clients.Done()
				id := fmt.Sprintf("c%d", number)
				status, _, _ := call(world.routers[number%3].address(), "/book/x", id, []byte("wheel"), 1500*time.Millisecond, nil)
				world.note("client %s: %d", id, status)
			}()
		}
	}()
	time.Sleep(8 * time.Second)
	evacuate := func() { world.store.Put(topicOperator, "evacuate/guj-a", []byte("{}")) }
	evacuate()
	evacuated.Store(time.Now().UnixMicro())
	world.note("the evacuation of guj-a is acknowledged")
	time.Sleep(3 * time.Second)
	if trouble {
		away := func(writer http.ResponseWriter, _ *http.Request) bool {
			stand.SetEra(writer.Header(), "0")
			writer.WriteHeader(http.StatusServiceUnavailable)
			return true
		}
		world.fault.Store(&away)
		world.note("the store is away")
		time.Sleep(awayTime)
		world.store.ReturnFromCopy(copyAge, topicServers)
		world.fault.Store(nil)
		world.note("the store is back, from a copy that is %v old", copyAge)
	}
	time.Sleep(rewriteTime)
	if trouble {
		evacuate()
		world.note("the operator has written the evacuation again")
	}
	time.Sleep(4 * time.Second)
	close(stop)
	clients.Wait()
	return nil
}
