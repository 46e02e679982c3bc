package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/clementinewind/clementinewind/platform/stand"
)

const (
	clientCount = 12
	// maxClientPause is the longest time between two requests of a client.
	maxClientPause = 120 * time.Millisecond
	// requestTimeout limits how long clients wait for an answer.
	requestTimeout = 4 * time.Second
	// addressLifetime is how long clients use addresses before they fetch new ones; some use them two or three times as long.
	addressLifetime = 2 * time.Second
	locateTimeout   = time.Second
	endOfEvent      = "\n\n"
)

// client sends requests one after the other over reused connections.
type client struct {
	run       *run
	number    int
	random    *rand.Rand
	http      *http.Client
	addresses []string
	located   time.Time
	// denied has "key@process" for each process that denied a removed key, which it must not accept again.
	denied map[string]bool
}

func newClient(run *run, number int) *client {
	return &client{
		run: run, number: number, random: rand.New(rand.NewPCG(run.config.Seed, uint64(number))),
		http: &http.Client{Transport: &http.Transport{}}, denied: map[string]bool{},
	}
}

func (client *client) loop(ctx context.Context) {
	for number := 0; ctx.Err() == nil; number++ {
		client.request(ctx, fmt.Sprintf("r-%d-%d", client.number, number))
		time.Sleep(time.Duration(client.random.Int64N(int64(maxClientPause))))
	}
	client.http.CloseIdleConnections()
}

// locate fetches addresses from a random router if the known ones are too old.
func (client *client) locate(ctx context.Context) {
	if len(client.addresses) > 0 && time.Since(client.located) < addressLifetime*time.Duration(1+client.number%3) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	router := client.run.routers[client.random.IntN(len(client.run.routers))]
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, router.url(locatePort, "/api/resolve?zone=a"), nil)
	if err != nil {
		return
	}
	response, err := client.http.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	var answer struct{ Addrs []string }
	if err := json.NewDecoder(response.Body).Decode(&answer); err == nil && len(answer.Addrs) > 0 {
		client.addresses, client.located = answer.Addrs, time.Now()
	}
}

func (client *client) request(ctx context.Context, id string) {
	client.locate(ctx)
	if len(client.addresses) == 0 {
		return
	}
	address := client.addresses[client.random.IntN(len(client.addresses))]
	path := []string{pathOnce, pathIdempotent, pathStream}[client.random.IntN(3)]
	key, removed := client.run.environment.randomKey(client.random)
	process := client.run.processName(address)
	client.run.checker.recordSent(id, path == pathOnce)
	sent := time.Now()
	status, body, err := client.send(ctx, address, path, id, key, 0)
	if ctx.Err() != nil {
		return
	}
	if path == pathStream && status == http.StatusOK && err != nil {
		body = wholeEvents(body)
		if events := client.checkEvents(id, body); events > 0 {
			client.checkEvents(id, body+client.takeUp(ctx, id, key, events))
		}
	}
	outcome := fmt.Sprint(status)
	if err != nil {
		outcome = "cut"
		if status == 0 {
			outcome = "no answer"
		}
	}
	client.run.checker.recordOutcome(id, status, outcome)
	if status == http.StatusOK && err == nil {
		client.checkBody(id, path, body)
	}
	if !removed.IsZero() {
		client.checkRemoved(key+"@"+process, status, removed, sent)
	}
}

// takeUp takes up a stream at a random router after some events, as callers do whose connection breaks. It returns the further events.
func (client *client) takeUp(ctx context.Context, id, key string, events int) string {
	client.run.checker.recordSent(id+takeUpSuffix, false)
	address := client.addresses[client.random.IntN(len(client.addresses))]
	status, body, err := client.send(ctx, address, pathStream, id+takeUpSuffix, key, events)
	switch {
	case ctx.Err() != nil:
	case status != http.StatusOK:
		client.run.checker.recordOutcome(id+takeUpSuffix, status, fmt.Sprintf("take-up %d", status))
		return ""
	case err != nil:
		client.run.checker.recordOutcome(id+takeUpSuffix, status, "take-up cut")
	default:
		client.run.checker.recordOutcome(id+takeUpSuffix, status, "take-up complete")
	}
	return wholeEvents(body)
}

// wholeEvents returns the part of a body up to the end of its last event.
func wholeEvents(body string) string {
	end := strings.LastIndex(body, endOfEvent)
	if end < 0 {
		return ""
	}
	return body[:end+len(endOfEvent)]
}

// checkEvents checks that the events of a body are those of a stream from its beginning on, in order and by one version. It returns their number.
func (client *client) checkEvents(id, body string) int {
	events := strings.Split(wholeEvents(body), endOfEvent)
	for number, event := range events[:len(events)-1] {
		_, first, _ := strings.Cut(events[0], streamOf(id)+" ")
		if event+endOfEvent != eventText(streamOf(id), first, number+1) {
			client.run.checker.reportf("stream %s has the event %q as number %d after %q", id, event, number+1, events[0])
		}
	}
	return len(events) - 1
}

func (client *client) checkBody(id, path, body string) {
	if path == pathStream {
		if events := client.checkEvents(id, body); events != eventCount || wholeEvents(body) != body {
			client.run.checker.reportf("stream %s is complete with %d events: %q", id, events, body)
		}
		return
	}
	if body != id {
		client.run.checker.reportf("request %s got a complete but wrong answer %q", id, body)
	}
}

// checkRemoved checks the status of a request with a removed key. keyAtProcess is "key@process" with the process that had the
// address just before the request was sent.
func (client *client) checkRemoved(keyAtProcess string, status int, removed, sent time.Time) {
	switch {
	case status == http.StatusUnauthorized:
		client.denied[keyAtProcess] = true
	case status != http.StatusOK:
	case client.denied[keyAtProcess]:
		client.run.checker.reportf("removed key %s was served after it had been denied", keyAtProcess)
	case sent.Sub(removed) > configurationGrace && client.run.checker.undisturbedSince(removed):
		client.run.checker.reportf("removed key %s was served %v after its removal", keyAtProcess, sent.Sub(removed))
	}
}

// send sends a request and returns its status and body. With a number of events it takes up a stream after them.
func (client *client) send(ctx context.Context, address, path, id, key string, events int) (int, string, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(id))
	if err != nil {
		return 0, "", err
	}
	// With GetBody the HTTP client would retry requests on its own.
	request.GetBody = nil
	request.Host = routeHost
	stand.SetCallerHeaders(request.Header, id, key, requestTimeout)
	if events > 0 {
		stand.SetResumes(request.Header, streamOf(id), strconv.Itoa(events))
	}
	response, err := client.http.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}
