package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// answer does the work of a booking: it reads the body, takes 30 ms and writes an answer of the usual size.
func answer(_ *replica, writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	time.Sleep(30 * time.Millisecond)
	_, _ = writer.Write(make([]byte, 800))
}

// ask sends one request on a connection of its own and returns the status, or 0 without a whole answer.
func (world *world) ask(router *router, method, path, id string, timeout time.Duration) int {
	conn, err := net.DialTimeout("tcp4", router.front, time.Second)
	if err != nil {
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	body := ""
	if method == http.MethodPost {
		body = "pram"
	}
	fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		method, path, host, id, timeout.Milliseconds(), key, len(body), body)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0
	}
	if response.StatusCode >= http.StatusBadRequest {
		world.log("%s at %s: %d %s", id, router.name, response.StatusCode, strings.TrimSpace(string(content)))
	}
	return response.StatusCode
}

// resolve asks a directory as a client does, with the second that a client allows. It returns the answer, or "" if there was none.
func resolve(router *router) string {
	conn, err := net.DialTimeout("tcp4", router.directory, time.Second)
	if err != nil {
		return ""
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(conn, "GET /api/resolve?name=%s&region=guj&zone=guj-a HTTP/1.1\r\nHost: %s\r\n\r\n", host, router.directory)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return ""
	}
	return strings.TrimSpace(string(content))
}

// crowdInterval is the time between two connections of a crowd.
const crowdInterval = time.Millisecond

// crowdBody is the announced size of a body of the crowd. It is legal: the configuration allows 4 MB.
const crowdBody = 200 << 10

// crowd is a number of clients that hold their connections.
type crowd struct {
	open    atomic.Int64
	leave   chan struct{}
	members sync.WaitGroup
}

// startCrowd starts clients that send a body of legal size to an address, stop one byte short of its end and stay open. One whose
// connection is closed comes back.
func (world *world) startCrowd(address, head string, clients int) *crowd {
	crowd := &crowd{leave: make(chan struct{})}
	// All clients together open connections at a moderate rate.
	turns := time.NewTicker(crowdInterval)
	for range clients {
		crowd.members.Go(func() {
			for {
				select {
				case <-crowd.leave:
					return
				case <-turns.C:
				}
				crowd.hold(address, head)
			}
		})
	}
	return crowd
}

// hold is one connection of a client of the crowd.
func (crowd *crowd) hold(address, head string) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	crowd.open.Add(1)
	defer crowd.open.Add(-1)
	_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", head, crowdBody)
	_, _ = conn.Write(make([]byte, crowdBody-1))
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		// It reads an answer, if there is one, and goes on waiting.
		_, _ = io.Copy(io.Discard, conn)
	}()
	select {
	case <-crowd.leave:
	case <-closed:
	}
}

// end lets the clients leave.
func (crowd *crowd) end() {
	close(crowd.leave)
	crowd.members.Wait()
}
