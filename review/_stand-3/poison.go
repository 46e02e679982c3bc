package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/clementinewind/clementinewind/internal/route/table"
	"github.com/clementinewind/clementinewind/platform/stand"
)

const (
	// contact is contactMs of the deployment, allowedLate the number of late requests that the rule allows.
	contact      = 3 * time.Second
	allowedLate  = 3
	deadPart     = "dead0001"
	replicaCount = 9
	// prefillTime passes before a replica begins to write an answer, eventTime between two events.
	prefillTime = 60 * time.Millisecond
	eventTime   = 200 * time.Millisecond
	// backTime is how long a crashed replica is away.
	backTime = 3 * time.Second
)

// models is a set of model replicas that crash when they begin to write an answer on a prompt with deadPart.
type models struct {
	*world
	mutex    sync.Mutex
	crashes  []time.Time
	arrivals []time.Time
	replicas []*replica
}

func startModels(recorder *recorder, count int) (*models, error) {
	world, err := newWorld(recorder)
	if err != nil {
		return nil, err
	}
	models := &models{world: world}
	configuration := table.Configuration{
		Version: 3,
		Routes: []table.Route{{
			Name: "quote", Host: host, PathPrefix: "/quote/", Kind: table.RouteStream, Timeout: 12 * time.Second, LatencyGoal: time.Second,
			GapGoal: 400 * time.Millisecond, MaxAttempts: 1, TrafficSplit: []table.ServiceWeight{{Service: "model-pool", Weight: 1}},
		}},
		Services: []table.ServiceSettings{{
			Name: "model-pool", HealthPath: "/healthz", MaxConnections: 370, ColdTime: 3 * time.Second, ColdRate: 5.9,
			Engine: &table.Engine{Slots: 64, MemoryTokens: 525137},
		}},
		Limits: table.Limits{HeaderBytes: 16384, BodyBytes: 4194304, HeaderTimeout: 3 * time.Second, IdleTimeout: 30 * time.Second},
		Organisations: []table.OrganisationKeys{
			{Organisation: "ahmed", Keys: []string{"key-ahmed"}}, {Organisation: "surat", Keys: []string{"key-surat"}},
		},
	}
	if err := world.configure(configuration); err != nil {
		return nil, err
	}
	zones := []string{"guj-a", "guj-b", "guj-c"}
	for number := range count {
		replica, err := world.startReplica(fmt.Sprintf("i-%02d", number), "model-pool", zones[number%3], 64, models.answer)
		if err != nil {
			return nil, err
		}
		models.replicas = append(models.replicas, replica)
	}
	return models, world.startRouters(zones[0], zones[1], zones[2], zones[0], zones[1], zones[2])
}

// answer is a model replica: it reads the prompt, writes the head, and then an event at a time.
func (models *models) answer(replica *replica, conn net.Conn, request *http.Request, _ []byte) bool {
	id, dead := stand.RequestID(request.Header), hasPart(request, deadPart)
	if dead {
		models.mutex.Lock()
		models.arrivals = append(models.arrivals, time.Now())
		models.mutex.Unlock()
		models.add("%s reaches replica %s, its prompt has the part that crashes replicas", id, replica.id)
	}
	time.Sleep(prefillTime)
	if dead {
		models.mutex.Lock()
		models.crashes = append(models.crashes, time.Now())
		count := len(models.crashes)
		models.mutex.Unlock()
		models.add("replica %s crashes as it begins to write an answer to %s, crash %d", replica.id, id, count)
		replica.crash(backTime)
		return false
	}
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", head(request)); err != nil {
		return false
	}
	for event := 1; event <= 6; event++ {
		text := fmt.Sprintf("id: %d\ndata: %s\n\n", event, id)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text); err != nil {
			return false
		}
		time.Sleep(eventTime)
	}
	_, err := fmt.Fprint(conn, "0\r\n\r\n")
	return err == nil
}

// ask sends a prompt with the given shared parts and records the answer.
func (models *models) ask(router *router, id, key, parts string, record bool) answer {
	header := heads(id, key, 12*time.Second)
	stand.SetPromptParts(header, fmt.Sprintf("%s,%s:400", parts, id), 3000, 24)
	if record {
		models.add("%s sent to %s, parts %s", id, router.name, parts)
	}
	got := send(router.callerAddress, http.MethodPost, "/quote/draft", header, []byte("prompt"), 12*time.Second)
	if record {
		models.add("%s answered: %v", id, got)
	}
	return got
}

// lateArrivals returns how many requests with the part reached replicas more than contact after the fifth crash.
func (models *models) lateArrivals() int {
	models.mutex.Lock()
	defer models.mutex.Unlock()
	if len(models.crashes) < 5 {
		return 0
	}
	late := 0
	for _, at := range models.arrivals {
		if at.Sub(models.crashes[4]) > contact {
			late++
		}
	}
	return late
}

// sound sends sound requests at a steady rate until stop is closed.
func (models *models) sound(interval time.Duration, stop <-chan struct{}, done *sync.WaitGroup) {
	done.Go(func() {
		var asked sync.WaitGroup
		defer asked.Wait()
		for number := 0; ; number++ {
			select {
			case <-stop:
				return
			case <-time.After(interval):
			}
			asked.Go(func() {
				models.ask(models.routers[number%len(models.routers)], fmt.Sprintf("50%06d", number), "key-surat", fmt.Sprintf("aa%02d:2600", number%12), false)
			})
		}
	})
}

// verdict records how many requests with the part reached replicas too late, and reports whether the rule was broken.
func (models *models) verdict(trouble bool) (bool, error) {
	late := models.lateArrivals()
	result := fmt.Sprintf("%d crashes; %d requests with the part reached replicas over %v after the fifth crash (allowed: %d)",
		len(models.crashes), late, contact, allowedLate)
	models.add("%s", result)
	fmt.Println(result)
	if trouble && len(models.crashes) == 0 {
		return false, errSetup
	}
	return late > allowedLate, nil
}

// harmful returns the part that crashes replicas, or one that does not.
func harmful(trouble bool) string {
	if trouble {
		return deadPart
	}
	return "beef0001"
}

// poisonBurst sends a batch of requests with the part, which come at all routers at once, every few seconds.
func poisonBurst(recorder *recorder, trouble bool) (bool, error) {
	models, err := startModels(recorder, replicaCount)
	if err != nil {
		return false, err
	}
	defer models.close()
	stop, done := make(chan struct{}), &sync.WaitGroup{}
	models.sound(60*time.Millisecond, stop, done)
	time.Sleep(3 * time.Second)
	for batch := range 4 {
		var asked sync.WaitGroup
		for number := range replicaCount {
			asked.Go(func() {
				models.ask(models.routers[number%len(models.routers)], fmt.Sprintf("bad%d%04d", batch, number), "key-ahmed",
					fmt.Sprintf("ab%02d:1200,%s:1400", number, harmful(trouble)), true)
			})
		}
		asked.Wait()
		time.Sleep(5 * time.Second)
	}
	close(stop)
	done.Wait()
	return models.verdict(trouble)
}

// poisonBeside sends requests with the part one by one, beside many sound ones.
func poisonBeside(recorder *recorder, trouble bool) (bool, error) {
	models, err := startModels(recorder, replicaCount)
	if err != nil {
		return false, err
	}
	defer models.close()
	stop, done := make(chan struct{}), &sync.WaitGroup{}
	models.sound(5*time.Millisecond, stop, done)
	time.Sleep(3 * time.Second)
	var asked sync.WaitGroup
	for number := range 40 {
		asked.Go(func() {
			models.ask(models.routers[number%len(models.routers)], fmt.Sprintf("bad%05d", number), "key-ahmed",
				fmt.Sprintf("ab%02d:1200,%s:1400", number%7, harmful(trouble)), true)
		})
		time.Sleep(600 * time.Millisecond)
	}
	asked.Wait()
	close(stop)
	done.Wait()
	return models.verdict(trouble)
}
