package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["slow"] = slow }

const (
	// slowClients is the number of clients at each of two routers. Together they are fewer than those of the site, which has 269.
	slowClients     = 130
	slowAnswerBytes = 3 << 20
	// slowInterval is the time between two clients.
	slowInterval = 4 * time.Millisecond
	// slowWaves is how often each client asks, once in waveInterval.
	slowWaves    = 6
	waveInterval = 5 * time.Second
	// killsOfFault is how often processes have to end on two machines at least, by the rule.
	killsOfFault = 3
	// slowRate is how many bytes a slow client reads in a second.
	slowRate = 100 << 10
)

// resident returns the resident set of a process in bytes.
func resident(pid int) int64 {
	content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	_, rest, _ := strings.Cut(string(content), "VmRSS:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, _ := strconv.ParseInt(fields[0], 10, 64)
	return kilobytes << 10
}

// queued returns the bytes in the receive and send queues of the open sockets of a process with an IP address of its own.
func queued(ip string) (received, sent int64) {
	address := net.ParseIP(ip).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:", address[3], address[2], address[1], address[0])
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0, 0
	}
	defer file.Close()
	const listening = "0A"
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		fields := strings.Fields(scanner.Text())
		if len(fields) < 10 || !strings.HasPrefix(fields[1], local) || fields[3] == listening || fields[9] == "0" {
			continue
		}
		transmit, receive, _ := strings.Cut(fields[4], ":")
		waiting, _ := strconv.ParseInt(receive, 16, 64)
		unsent, _ := strconv.ParseInt(transmit, 16, 64)
		received, sent = received+waiting, sent+unsent
	}
	return received, sent
}

// guard does what the platform does with a process that exceeds the memory of its machine: it kills it, and starts it again after a short
// delay. It returns how often.
func (world *world) guard(router *router, limit int64, stop <-chan struct{}) (kills int, peak int64) {
	const restartDelay = 500 * time.Millisecond
	for {
		select {
		case <-stop:
			return kills, peak
		case <-time.After(20 * time.Millisecond):
		}
		all := resident(router.command.Process.Pid)
		received, sent := queued(router.ip)
		peak = max(peak, all+received+sent)
		if all+received+sent <= limit {
			continue
		}
		kills++
		world.log("router %s exceeds %d MB: resident %d MB, received and unread %d MB, written and unsent %d MB; it is killed", router.name, limit>>20, all>>20, received>>20, sent>>20)
		_ = router.command.Process.Kill()
		_, _ = router.command.Process.Wait()
		time.Sleep(restartDelay)
		if err := world.run(router); err != nil {
			world.log("router %s does not start again: %v", router.name, err)
			return kills, peak
		}
	}
}

// readSlowly asks for an answer and reads it, slowly if there is trouble. It reports whether the answer was whole.
func (world *world) readSlowly(router *router, id string, trouble bool) bool {
	dialer := net.Dialer{Timeout: time.Second}
	if trouble {
		dialer.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(descriptor uintptr) {
				_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10)
			})
		}
	}
	conn, err := dialer.DialContext(context.Background(), "tcp4", router.front)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	fmt.Fprintf(conn, "GET /waitlist/%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer %s\r\n\r\n", id, host, id, key)
	response, err := http.ReadResponse(bufio.NewReaderSize(slowReader{conn, trouble}, slowRate/10), nil)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	count, err := io.Copy(io.Discard, response.Body)
	return err == nil && count == slowAnswerBytes
}

// slowReader reads slowRate bytes a second if it is slow.
type slowReader struct {
	conn net.Conn
	slow bool
}

// Read implements io.Reader.
func (slowReader slowReader) Read(buffer []byte) (int, error) {
	if slowReader.slow {
		time.Sleep(100 * time.Millisecond)
		buffer = buffer[:min(len(buffer), slowRate/10)]
	}
	return slowReader.conn.Read(buffer)
}

// slow: clients read answers slowly.
func slow(world *world, trouble bool) (bool, error) {
	world.store.putJSON(topicOperator, "config", placementRoutes(1))
	block := make([]byte, 64<<10)
	large := func(_ *replica, writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		writer.Header().Set("Content-Length", strconv.Itoa(slowAnswerBytes))
		for sent := 0; sent < slowAnswerBytes; sent += len(block) {
			if _, err := writer.Write(block); err != nil {
				return
			}
		}
	}
	if _, err := world.startReplicas("bharna-app", large, "bagmati-a", "bagmati-b", "bagmati-c"); err != nil {
		return false, err
	}
	if err := world.startFleet(sajhaBalghar, "bagmati-a", "bagmati-b"); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var guards, clients sync.WaitGroup
	kills, peaks := make([]int, len(world.routers)), make([]int64, len(world.routers))
	for i, router := range world.routers {
		guards.Go(func() { kills[i], peaks[i] = world.guard(router, int64(sajhaBalghar.memoryMb)<<20, stop) })
	}
	var mutex sync.Mutex
	asked, whole := 0, 0
	for wave := range slowWaves {
		for i, router := range world.routers {
			for client := range slowClients {
				clients.Go(func() {
					time.Sleep(time.Duration(client) * slowInterval)
					got := world.readSlowly(router, fmt.Sprintf("%d-%d-%d", wave, i, client), trouble)
					mutex.Lock()
					defer mutex.Unlock()
					if asked++; got {
						whole++
					}
				})
			}
		}
		time.Sleep(waveInterval)
	}
	clients.Wait()
	close(stop)
	guards.Wait()
	broken := 0
	for i, router := range world.routers {
		world.log("router %s: peak %d MB of %d MB, killed %d times", router.name, peaks[i]>>20, sajhaBalghar.memoryMb, kills[i])
		if kills[i] >= killsOfFault {
			broken++
		}
	}
	world.log("%d requests, %d whole answers", asked, whole)
	return broken == len(world.routers), nil
}
