package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// requestTimeout is the deadline of the requests of the site file's plain services.
const requestTimeout = time.Second

// client sends requests to one router at a fixed rate.
type client struct {
	router *router
	http   *http.Client

	mutex sync.Mutex
	// sentAt holds when each request was sent, by its identifier, and statuses counts the answers.
	sentAt   map[string]time.Time
	statuses map[int]int
}

// startClient sends requests until the world is closed. The identifiers begin with the name of the router, so that a replica can tell
// from which router a request comes.
func (world *world) startClient(router *router, perSecond int) *client {
	client := &client{
		router: router, http: &http.Client{Timeout: requestTimeout + 500*time.Millisecond, Transport: &http.Transport{MaxIdleConnsPerHost: 16}},
		sentAt: map[string]time.Time{}, statuses: map[int]int{},
	}
	stop := make(chan struct{})
	go func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for number := 0; ; number++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
				go client.send(fmt.Sprintf("%s.%06d", router.name, number))
			}
		}
	}()
	world.onClose(func() { close(stop) })
	return client
}

func (client *client) send(id string) {
	request, err := http.NewRequest(http.MethodGet, "http://"+client.router.address("front")+"/status/2f", nil)
	if err != nil {
		return
	}
	request.Host = testHost
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(requestTimeout.Milliseconds()))
	request.Header.Set("Authorization", "Bearer "+testKey)
	client.mutex.Lock()
	client.sentAt[id] = time.Now()
	client.mutex.Unlock()
	client.router.world.recordf("client: request %s sent", id)
	status := 0
	if response, err := client.http.Do(request); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		status = response.StatusCode
	}
	client.mutex.Lock()
	client.statuses[status]++
	client.mutex.Unlock()
	client.router.world.recordf("client: request %s answered %d", id, status)
}

// sent returns when a request was sent, if this client sent it.
func (client *client) sent(id string) (time.Time, bool) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	at, ok := client.sentAt[id]
	return at, ok
}

// fromRouter reports whether a request was sent to the router.
func fromRouter(id string, router *router) bool { return strings.HasPrefix(id, router.name+".") }
