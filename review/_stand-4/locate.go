package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// locateCrowd is the number of clients at each directory, locateTime how long they stay.
	locateCrowd = 300
	locateTime  = 20 * time.Second
	// locateWait is how long a client waits for one directory.
	locateWait = time.Second
)

// locate: clients that stop inside the body of a question to the directory and stay open.
func locate(world *world, trouble bool) error {
	world.configure(1, route{Name: "book", PathPrefix: "/book/", Kind: "non_idempotent", TimeoutMs: 800, GoalMs: 150, Service: "booking", MaxAttempts: 1})
	for number := range 3 {
		if _, err := world.addReplica(fmt.Sprintf("i-%d", number), "booking", "guj-"+string(rune('a'+number)), "v1", book(30*time.Millisecond)); err != nil {
			return err
		}
	}
	if err := world.startRouters(3); err != nil {
		return err
	}
	time.Sleep(time.Second)
	if trouble {
		world.note("%d clients come at each directory", locateCrowd)
		for _, router := range world.routers {
			for number := range locateCrowd {
				conn, err := net.DialTimeout("tcp4", router.ip+":8789", time.Second)
				if err != nil {
					world.note("crowd: %v", err)
					break
				}
				defer conn.Close()
				head := fmt.Sprintf("GET /api/resolve?name=%s&region=guj&zone=%s HTTP/1.1\r\nHost: directory\r\nContent-Length: 200000\r\n\r\n", routeHost, "guj-a")
				go func() {
					_, _ = io.WriteString(conn, head)
					_, _ = conn.Write(make([]byte, 199999))
					if number == 0 {
						world.note("the first of the crowd at router %d has sent all but one byte", router.number)
					}
					_, _ = io.Copy(io.Discard, conn)
				}()
			}
		}
	}
	time.Sleep(2 * time.Second)
	var mutex sync.Mutex
	served, lost := 0, 0
	var clients sync.WaitGroup
	for end, number := time.Now().Add(locateTime), 0; time.Now().Before(end); number++ {
		clients.Add(1)
		go func() {
			defer clients.Done()
			address := ""
			for try := range 3 {
				if address = ask(world.routers[(number+try)%3]); address != "" {
					break
				}
			}
			status := 0
			if address != "" {
				status, _, _ = call(address, "/book/x", fmt.Sprintf("ordinary-%d", number), []byte("wheel"), 1500*time.Millisecond, nil)
			}
			world.note("client ordinary-%d: address %q, status %d", number, address, status)
			mutex.Lock()
			defer mutex.Unlock()
			if status == http.StatusOK {
				served++
			} else {
				lost++
			}
		}()
		time.Sleep(200 * time.Millisecond)
	}
	clients.Wait()
	world.note("new clients served: %d, not served: %d", served, lost)
	if served == 0 {
		world.breach("Fault: no directory answers, none of %d new clients is served", lost)
	}
	return nil
}

// ask asks a directory where to connect, as a client does.
func ask(router *router) string {
	client := http.Client{Timeout: locateWait, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + router.ip + ":8789/api/resolve?name=" + routeHost + "&region=guj&zone=guj-a")
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	var answer struct {
		Addrs []string `json:"addrs"`
	}
	if json.NewDecoder(response.Body).Decode(&answer) != nil || len(answer.Addrs) == 0 {
		return ""
	}
	return answer.Addrs[0]
}
