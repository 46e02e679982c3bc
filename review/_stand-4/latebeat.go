package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// drainTime is drainMs, contactTime is contactMs.
	drainTime   = 2 * time.Second
	contactTime = 3 * time.Second
	// lateTime is how late the write is executed, of 1 to 6 s.
	lateTime = 5900 * time.Millisecond
	// lingerTime is how much longer than drainMs the replica serves.
	lingerTime = 4 * time.Second
	// bookingInterval is the interval between bookings at the site (7.23 a second), bookingTime how long one takes.
	bookingInterval = 138 * time.Millisecond
	bookingTime     = 30 * time.Millisecond
)

// lateBeat: a heartbeat of a replica gets no answer from the store and is executed late, after the replica has left.
func lateBeat(world *world, trouble bool) error {
	world.configure(1, route{Name: "book", PathPrefix: "/book/", Kind: "non_idempotent", TimeoutMs: 800, GoalMs: 150, Service: "booking", MaxAttempts: 1})
	var replicas []*replica
	for number := range 3 {
		replica, err := world.addReplica(fmt.Sprintf("i-%d", number), "booking", "guj-"+string(rune('a'+number)), "v1", book(bookingTime))
		if err != nil {
			return err
		}
		replicas = append(replicas, replica)
	}
	if err := world.startRouters(9); err != nil {
		return err
	}
	leaver := replicas[0]
	var leftAt atomic.Int64
	check := func(replica *replica, id string) {
		left := leftAt.Load()
		if replica != leaver || left == 0 {
			return
		}
		if after := time.Since(time.UnixMicro(left)); after > drainTime {
			world.breach("DRAIN: %s reaches %s %.3f s after its entry was removed", id, leaver.name, after.Seconds())
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
			case <-time.After(bookingInterval):
			}
			clients.Add(1)
			go func() {
				defer clients.Done()
				id, router := fmt.Sprintf("c%d", number), world.routers[rand.IntN(len(world.routers))]
				world.note("client %s sends to router %d", id, router.number)
				status, body, _ := call(router.address(), "/book/x", id, []byte("wheel"), 1500*time.Millisecond, nil)
				world.note("client %s: %d %.40q", id, status, body)
			}()
		}
	}()
	time.Sleep(4 * time.Second)
	// The write of this heartbeat gets no answer. The replica goes on with the next one as usual.
	late := leaver.entry()
	written := time.Now()
	world.note("the store does not answer a heartbeat of %s: %s", leaver.name, late)
	time.Sleep(contactTime + 100*time.Millisecond)
	leaver.mutex.Lock()
	leaver.silent, leaver.leaving = true, true
	leaver.mutex.Unlock()
	leaver.remove()
	leftAt.Store(time.Now().UnixMicro())
	world.note("%s leaves: its entry is removed, and its answers say so", leaver.name)
	time.Sleep(lateTime - time.Since(written))
	if trouble {
		world.store.Put(topicServers, leaver.name, late)
		world.note("the store executes the heartbeat, %.3f s late", time.Since(written).Seconds())
	}
	time.Sleep(drainTime + lingerTime - time.Since(time.UnixMicro(leftAt.Load())))
	world.note("%s ends, and cuts off %d bookings that it runs", leaver.name, leaver.running.Load())
	leaver.crash()
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	return nil
}
