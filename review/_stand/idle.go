package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// attempt is a request that a user sent on a new connection.
type attempt struct {
	sentAt time.Time
	router *router
	// answered is when the answer was complete; zero if there was none.
	answered time.Time
}

// users sends requests of users who each open a connection, send a request and leave the connection open and idle, as the limit
// idleTimeoutMs allows a client to do until the system closes it.
type users struct {
	world *world

	mutex    sync.Mutex
	attempts []attempt
	open     map[net.Conn]bool
	closed   int
}

// visit plays one user at a router.
func (users *users) visit(router *router, id string) {
	sentAt := time.Now()
	err := users.request(router, id)
	result := attempt{sentAt: sentAt, router: router}
	if err == nil {
		result.answered = time.Now()
	}
	users.mutex.Lock()
	users.attempts = append(users.attempts, result)
	users.mutex.Unlock()
	users.world.recordf("user: request %s on a new connection to %s: %v ms, error: %v", id, router.name, time.Since(sentAt).Milliseconds(), err)
}

func (users *users) request(router *router, id string) error {
	conn, err := net.DialTimeout("tcp4", router.address("front"), time.Second)
	if err != nil {
		return err
	}
	if err := conn.SetDeadline(time.Now().Add(requestTimeout)); err != nil {
		return err
	}
	_, err = fmt.Fprintf(conn, "GET /status/2f HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n\r\n",
		testHost, id, requestTimeout.Milliseconds(), testKey)
	reader := bufio.NewReader(conn)
	var response *http.Response
	if err == nil {
		response, err = http.ReadResponse(reader, nil)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err != nil || response.Close {
		_ = conn.Close()
		return err
	}
	users.mutex.Lock()
	users.open[conn] = true
	users.mutex.Unlock()
	go func() {
		// The read returns when the system closes the idle connection.
		_ = conn.SetDeadline(time.Time{})
		_, _ = reader.ReadByte()
		_ = conn.Close()
		users.mutex.Lock()
		defer users.mutex.Unlock()
		delete(users.open, conn)
		users.closed++
	}()
	return nil
}

func (users *users) counts() (open, closed int) {
	users.mutex.Lock()
	defer users.mutex.Unlock()
	return len(users.open), users.closed
}

func (users *users) close() {
	users.mutex.Lock()
	defer users.mutex.Unlock()
	for conn := range users.open {
		_ = conn.Close()
	}
}

// idleConnections: all machines but one are lost. The one that is left must go on taking connections.
func idleConnections(world *world) (bool, error) {
	const (
		perSecond = 99
		played    = 70 * time.Second
		minTries  = 7
	)
	world.configure()
	if _, err := world.startReplicas("bergen-a", "bergen-b", "bergen-c"); err != nil {
		return false, err
	}
	var routers []*router
	for i, zone := range []string{"bergen-a", "bergen-a", "bergen-b", "bergen-b", "bergen-b", "bergen-c"} {
		router, err := world.addRouter(fmt.Sprintf("front-%s-%d", zone, i+1), zone, i+1)
		if err != nil {
			return false, err
		}
		routers = append(routers, router)
	}
	if err := startAll(routers); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	last := routers[0]
	running := routers
	if world.trouble {
		for _, router := range routers[1:] {
			router.kill()
		}
		running = single(last)
	}
	users := &users{world: world, open: map[net.Conn]bool{}}
	world.onClose(users.close)
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	var visits sync.WaitGroup
	started := time.Now()
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	for number := 0; time.Since(started) < played; number++ {
		<-ticker.C
		router := running[number%len(running)]
		visits.Add(1)
		go func() {
			defer visits.Done()
			users.visit(router, fmt.Sprintf("%s.%06d", router.name, number))
		}()
		if number%(5*perSecond) == 0 {
			open, closed := users.counts()
			world.logf("%d connections are open, %d were closed by the system; ready: %v", open, closed, isReady(client, last))
		}
	}
	visits.Wait()
	ready := isReady(client, last)
	users.mutex.Lock()
	defer users.mutex.Unlock()
	longest, tries := longestRefusal(users.attempts, last, time.Now())
	world.logf("longest time in which %s took no new connection: %.1f s, with %d tries; ready at the end: %v", last.name, longest.Seconds(), tries, ready)
	return longest <= contactTime || tries < minTries || !ready, nil
}

func isReady(client *http.Client, router *router) bool {
	response, err := client.Get("http://" + router.address("ready") + "/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// longestRefusal returns the longest time between two answers on new connections to a router, or until the end, and how many users tried
// meanwhile.
func longestRefusal(attempts []attempt, router *router, end time.Time) (longest time.Duration, tries int) {
	var from time.Time
	for _, first := range attempts {
		if first.router != router || (!first.answered.IsZero() && first.answered.Before(from)) {
			continue
		}
		start := first.answered
		if start.IsZero() {
			continue
		}
		next, count := end, 0
		for _, other := range attempts {
			if other.router == router && other.answered.After(start) && other.answered.Before(next) {
				next = other.answered
			}
		}
		for _, other := range attempts {
			if other.router == router && other.sentAt.After(start) && other.sentAt.Before(next) {
				count++
			}
		}
		if next.Sub(start) > longest {
			longest, tries = next.Sub(start), count
		}
		from = start
	}
	return longest, tries
}
