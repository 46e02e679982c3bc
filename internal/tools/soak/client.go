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
	// clientPause is the longest pause of a client between two requests.
	clientPause = 120 * time.Millisecond
	// patience is how long clients wait for an answer.
	patience = 4 * time.Second
	// addressTime is how long clients keep addresses; a part of them keeps them longer.
	addressTime = 2 * time.Second
	locateTime  = time.Second
)

// client sends requests one after the other and keeps its connections.
type client struct {
	run       *run
	number    int
	random    *rand.Rand
	http      *http.Client
	addresses []string
	asked     time.Time
	// denied are the processes that denied a removed key, which they must never take again.
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
		time.Sleep(time.Duration(client.random.Int64N(int64(clientPause))))
	}
	client.http.CloseIdleConnections()
}

// locate asks a router for addresses when those it has are old.
func (client *client) locate(ctx context.Context) {
	if len(client.addresses) > 0 && time.Since(client.asked) < addressTime*time.Duration(1+client.number%3) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, locateTime)
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
		client.addresses, client.asked = answer.Addrs, time.Now()
	}
}

func (client *client) request(ctx context.Context, id string) {
	client.locate(ctx)
	if len(client.addresses) == 0 {
		return
	}
	address := client.addresses[client.random.IntN(len(client.addresses))]
	path := []string{pathOnce, pathIdempotent, pathStream}[client.random.IntN(3)]
	key, removed := client.run.world.key(client.random)
	process := client.run.process(address)
	client.run.checker.sent(id, path == pathOnce)
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
	client.run.checker.answered(id, status, outcome)
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
		for event := 1; event <= events; event++ {
			text.WriteString(eventText(id, event))
		}
		want = text.String()
	}
	if body != want {
		client.run.checker.breakf("request %s got as complete answer %q", id, body)
	}
}

// checkRemoved checks a request with a key that was taken away.
func (client *client) checkRemoved(key string, status int, removed, sent time.Time) {
	switch {
	case status == http.StatusUnauthorized:
		client.denied[key] = true
	case status != http.StatusOK:
	case client.denied[key]:
		client.run.checker.breakf("%s was denied before and served now", key)
	case sent.Sub(removed) > configTime && client.run.checker.calmSince(removed):
		client.run.checker.breakf("%s was served %v after it was taken away", key, sent.Sub(removed))
	}
}

func (client *client) send(ctx context.Context, address, path, id, key string) (int, string, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(id))
	if err != nil {
		return 0, "", err
	}
	// Without this the client library would send a request again by itself.
	request.GetBody = nil
	request.Host = host
	stand.SetCallerHeaders(request.Header, id, key, patience)
	response, err := client.http.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}
