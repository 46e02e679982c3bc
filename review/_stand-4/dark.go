package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	poisonPart = "deadbeef"
	// darkTime is how long a replica is dark before it starts again: for_s of srv_crash.
	darkTime = 4500 * time.Millisecond
	// lapseTime is three heartbeat intervals, after which the entry of a silent replica is removed.
	lapseTime = 3 * heartbeat
	// soundEvents and soundInterval describe a sound stream, subjects is the number of first parts.
	soundEvents   = 10
	soundInterval = 30 * time.Millisecond
	subjects      = 9
)

// dark: a part of the prompt crashes each replica that begins to write an answer on it. The replica is dark until it starts again: its connections
// are silent, and new ones get no answer.
func dark(world *world, trouble bool) error {
	world.configure(1, route{
		Name: "chat", PathPrefix: "/chat/", Kind: "streaming", TimeoutMs: 15000, GoalMs: 800, GapGoalMs: 400, Service: "model", MaxAttempts: 1, Sticky: true,
	})
	var crashes, late, cut, fifth atomic.Int64
	down := map[*replica]chan struct{}{}
	var mutex sync.Mutex
	// silence is the channel that is closed when a dark replica starts again, or nil.
	silence := func(replica *replica) chan struct{} {
		mutex.Lock()
		defer mutex.Unlock()
		return down[replica]
	}
	handler := func(replica *replica, writer http.ResponseWriter, request *http.Request) {
		hang := func() bool {
			if silent := silence(replica); silent != nil {
				<-silent
				return true
			}
			return false
		}
		if hang() {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get("X-Request-Id")
		poisoned := strings.Contains(request.Header.Get("X-Prompt-Prefix"), poisonPart+":")
		if poisoned {
			world.note("poisoned request %s reaches %s", id, replica.name)
			if at := fifth.Load(); at != 0 && time.Since(time.UnixMicro(at)) > contactTime {
				if count := late.Add(1); count > 3 {
					world.breach("BUDGET: %s is the request number %d with the part that reaches a replica later than %v after the fifth crash", id, count, contactTime)
				}
			}
		}
		time.Sleep(40 * time.Millisecond)
		if poisoned && silence(replica) == nil {
			count := crashes.Add(1)
			world.note("%s crashes, crash %d", replica.name, count)
			if count == 5 {
				fifth.Store(time.Now().UnixMicro())
			}
			silent := make(chan struct{})
			mutex.Lock()
			down[replica] = silent
			mutex.Unlock()
			replica.mutex.Lock()
			replica.silent = true
			replica.mutex.Unlock()
			time.AfterFunc(lapseTime, replica.remove)
			time.AfterFunc(darkTime, func() {
				replica.crash()
				close(silent)
				mutex.Lock()
				delete(down, replica)
				mutex.Unlock()
				replica.mutex.Lock()
				replica.silent = false
				replica.mutex.Unlock()
				_ = replica.start()
				world.note("%s starts again", replica.name)
			})
		}
		writer.Header().Set("X-Replica-Seal", "seal")
		writer.Header().Set("Content-Type", "text/event-stream")
		for number := 1; number <= soundEvents; number++ {
			if hang() {
				panic(http.ErrAbortHandler)
			}
			if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", number, id); err != nil || http.NewResponseController(writer).Flush() != nil {
				return
			}
			time.Sleep(soundInterval)
		}
	}
	for number := range 9 {
		if _, err := world.addReplica(fmt.Sprintf("i-%d", number), "model", "guj-"+string(rune('a'+number%3)), "v1", handler); err != nil {
			return err
		}
	}
	if err := world.startRouters(3); err != nil {
		return err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	load := func(name string, every time.Duration, part string) {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for number := 0; ; number++ {
				select {
				case <-stop:
					return
				case <-time.After(every):
				}
				clients.Add(1)
				go func() {
					defer clients.Done()
					id := fmt.Sprintf("%s-%d", name, number)
					status, body, _ := call(world.routers[number%3].address(), "/chat/x", id, make([]byte, 1500), 12*time.Second, http.Header{
						"X-Model": {"m"}, "X-Token-Count": {"1460,80"}, "X-Prompt-Prefix": {fmt.Sprintf("5c1e07a%d:800,%s:410,%08x:250", number%subjects, part, 0x10000+number)},
					})
					events := strings.Count(body, "data:")
					world.note("client %s: %d, %d events", id, status, events)
					if name == "sound" && status != http.StatusServiceUnavailable && events != soundEvents {
						cut.Add(1)
					}
				}()
			}
		}()
	}
	load("sound", 40*time.Millisecond, "91bd3f06")
	time.Sleep(3 * time.Second)
	if trouble {
		load("poisoned", 1500*time.Millisecond, poisonPart)
	}
	time.Sleep(22 * time.Second)
	close(stop)
	clients.Wait()
	world.note("crashes: %d, requests with the part that reached a replica too late: %d, sound streams cut: %d", crashes.Load(), late.Load(), cut.Load())
	return nil
}
