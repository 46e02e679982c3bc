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
	// slowClients is fewer than the clients of the site, which has 84 to 97 in each of three zones.
	slowClients     = 250
	slowAnswerBytes = 2 << 20
	// slowInterval is the time between two clients. All come within a second.
	slowInterval = 4 * time.Millisecond
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
	if err := world.startFleet(sajhaBalghar, "bagmati-a"); err != nil {
		return false, err
	}
	router := world.routers[0]
	stop := time.Now().Add(8 * time.Second)
	var clients sync.WaitGroup
	for i := range slowClients {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * slowInterval)
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
				return
			}
			defer conn.Close()
			_ = conn.SetDeadline(stop)
			fmt.Fprintf(conn, "GET /waitlist/%d HTTP/1.1\r\nHost: %s\r\nX-Request-Id: slow-%d\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer %s\r\n\r\n", i, host, i, key)
			for {
				if trouble {
					time.Sleep(100 * time.Millisecond)
				}
				if _, err := conn.Read(make([]byte, slowRate/10)); err != nil {
					return
				}
			}
		})
	}
	var peak int64
	for time.Now().Before(stop) {
		all := resident(router.command.Process.Pid)
		received, sent := queued(router.ip)
		if all+received+sent > peak {
			peak = all + received + sent
			world.log("resident %d MB, received and unread %d MB, written and unsent %d MB", all>>20, received>>20, sent>>20)
		}
		time.Sleep(50 * time.Millisecond)
	}
	clients.Wait()
	world.log("peak %d MB of %d MB", peak>>20, sajhaBalghar.memoryMb)
	return peak > int64(sajhaBalghar.memoryMb)<<20, nil
}
