package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/clementinewind/clementinewind/platform/stand"
)

const (
	streamEvents   = 80
	streamInterval = 60 * time.Millisecond
	// outageTime is for_s of the store's outage. In it, two replicas crash twice, for downTime and with crashGap between.
	outageTime = 4500 * time.Millisecond
	crashes    = 2
	downTime   = time.Second
	crashGap   = 1500 * time.Millisecond
)

// streamHandler writes the events after the last one that the client has. Their data name the software version of the replica.
func streamHandler(replica *replica, writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	replica.mutex.Lock()
	version, server := replica.version, replica.server
	replica.mutex.Unlock()
	writer.Header().Set("X-Replica-Seal", "seal")
	writer.Header().Set("Content-Type", "text/event-stream")
	replica.world.note("run %s at %s %s after %d", request.Header.Get("X-Request-Id"), replica.name, version, last)
	for number := last + 1; number <= streamEvents; number++ {
		time.Sleep(streamInterval)
		replica.mutex.Lock()
		alive := replica.server == server
		replica.mutex.Unlock()
		if !alive {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", number, version); err != nil {
			return
		}
		if http.NewResponseController(writer).Flush() != nil {
			return
		}
	}
}

// stream sends a request for a stream and takes it up again until it is complete. It returns the versions of its events.
func (world *world) stream(id string, first int) (versions map[string]int, complete bool) {
	versions = map[string]int{}
	last, began := 0, ""
	deadline := time.Now().Add(15 * time.Second)
	for try := 0; try < 6 && time.Now().Before(deadline); try++ {
		attempt := fmt.Sprintf("%s-%d", id, try)
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+world.routers[(first+try)%len(world.routers)].address()+"/chat/x", strings.NewReader("prompt"))
		request.Host = routeHost
		request.Header.Set("X-Request-Id", attempt)
		request.Header.Set("X-Deadline-Ms", strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
		request.Header.Set("Authorization", "Bearer "+apiKey)
		if last > 0 {
			request.Header.Set("Last-Event-Id", strconv.Itoa(last))
			request.Header.Set("Resumes", began)
		}
		client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := client.Do(request)
		if err == nil && response.StatusCode == http.StatusOK {
			err = readEvents(response.Body, func(event event) {
				if last == 0 {
					began = attempt
				}
				last = event.id
				versions[event.data]++
			})
			response.Body.Close()
			if err == io.EOF && last == streamEvents {
				cancel()
				return versions, true
			}
		} else if err == nil {
			response.Body.Close()
			time.Sleep(300 * time.Millisecond)
		}
		cancel()
	}
	return versions, false
}

// inPlace: while the store is down, replicas crash and start again under their identifiers and at their addresses, with a newer software version.
func inPlace(world *world, trouble bool) error {
	world.configure(1, route{
		Name: "chat", PathPrefix: "/chat/", Kind: "streaming", TimeoutMs: 15000, GoalMs: 800, GapGoalMs: 400, Service: "model", MaxAttempts: 2, Sticky: true, CanResume: true,
	})
	var replicas []*replica
	for number := range 9 {
		replica, err := world.addReplica(fmt.Sprintf("i-%d", number), "model", "guj-"+string(rune('a'+number%3)), "v1", streamHandler)
		if err != nil {
			return err
		}
		replicas = append(replicas, replica)
	}
	if err := world.startRouters(3); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var joined, complete, incomplete atomic.Int64
	clients.Add(1)
	go func() {
		defer clients.Done()
		for number := 0; ; number++ {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			clients.Add(1)
			go func() {
				defer clients.Done()
				versions, whole := world.stream(fmt.Sprintf("s%d", number), number)
				world.note("client s%d: %v whole %v", number, versions, whole)
				if whole {
					complete.Add(1)
				} else {
					incomplete.Add(1)
				}
				if len(versions) > 1 {
					if count := joined.Add(1); count > 2 {
						world.breach("ORDER: s%d is the stream number %d that holds events of two versions: %v", number, count, versions)
					}
				}
			}()
		}
	}()
	time.Sleep(4 * time.Second)
	if trouble {
		storeDown := func(writer http.ResponseWriter, _ *http.Request) bool {
			stand.SetEra(writer.Header(), "0")
			writer.WriteHeader(http.StatusServiceUnavailable)
			return true
		}
		world.note("the store is down")
		world.fault.Store(&storeDown)
		time.AfterFunc(outageTime, func() {
			world.fault.Store(nil)
			world.note("the store is back")
		})
		time.Sleep(500 * time.Millisecond)
		for pair := range crashes {
			crashed := replicas[2*pair : 2*pair+2]
			for _, replica := range crashed {
				world.note("%s crashes", replica.name)
				replica.crash()
			}
			time.Sleep(downTime)
			for _, replica := range crashed {
				replica.mutex.Lock()
				replica.version = "v2"
				replica.mutex.Unlock()
				if err := replica.start(); err != nil {
					return err
				}
				world.note("%s starts again at v2", replica.name)
			}
			time.Sleep(crashGap - downTime)
		}
	}
	time.Sleep(6 * time.Second)
	close(stop)
	clients.Wait()
	world.note("streams of two versions: %d, complete: %d, incomplete: %d", joined.Load(), complete.Load(), incomplete.Load())
	return nil
}
