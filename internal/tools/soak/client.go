package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
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
	status, body, err := client.send(ctx, address, path, id, key)
	if ctx.Err() != nil {
		return
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

func (client *client) checkBody(id, path, body string) {
	want := id
	if path == pathStream {
		var text strings.Builder
		for event := 1; event <= eventCount; event++ {
			text.WriteString(eventText(id, event))
		}
		want = text.String()
	}
	if body != want {
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

func (client *client) send(ctx context.Context, address, path, id, key string) (int, string, error) {
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
	response, err := client.http.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}
