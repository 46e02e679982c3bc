package entry_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/load/canary"
	"github.com/clementinewind/clementinewind/internal/route/table"
	"github.com/clementinewind/clementinewind/platform"
	"github.com/clementinewind/clementinewind/platform/stand"
)

// versions are two upstreams of each of two versions of a service, of which some answers of the new one may fail.
type versions struct {
	fleet *fleet
	// failing is the part of the answers of the new version that fail, in percent.
	failing  atomic.Int32
	requests map[string]*atomic.Int32
	stopped  atomic.Bool
	// unserved counts requests of callers that were not answered with 200 while the new version was sound.
	unserved atomic.Int32
	refusal  atomic.Value
}

func newVersions(t *testing.T, fleet *fleet) *versions {
	t.Helper()
	built := &versions{fleet: fleet, requests: map[string]*atomic.Int32{"v1": {}, "v2": {}}}
	fleet.store.Put(platform.TopicUpstreams, "u", nil)
	built.register("v1")
	return built
}

func (versions *versions) register(version string) {
	for number := range 2 {
		name, count := fmt.Sprintf("%s-%d", version, number), versions.requests[version]
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			stand.EchoRequestID(writer, request)
			stand.Seal(writer)
			answered := count.Add(1)
			if version == "v2" && answered%100 < versions.failing.Load() {
				writer.WriteHeader(http.StatusInternalServerError)
				return
			}
			fmt.Fprint(writer, version)
		}))
		versions.fleet.t.Cleanup(server.Close)
		registerUpstream(versions.fleet.t, versions.fleet.store, table.Entry{
			Upstream: clementinewind.Upstream(name), Service: "s", Address: server.Listener.Addr().String(), Zone: "a", Slots: 8,
			Version: version, Sequence: 1, Incarnation: 1,
		})
	}
}

// load sends requests to the routers until the function that it returns is called.
func (versions *versions) load(routers ...*router) func() {
	var callers sync.WaitGroup
	for _, router := range routers {
		for range 4 {
			callers.Go(func() {
				for !versions.stopped.Load() {
					if status, body := router.send("key"); status != http.StatusOK && versions.failing.Load() == 0 {
						versions.unserved.Add(1)
						versions.refusal.Store(body)
					}
					time.Sleep(8 * time.Millisecond)
				}
			})
		}
	}
	return func() {
		versions.stopped.Store(true)
		callers.Wait()
	}
}

func (versions *versions) order(period time.Duration) {
	value, err := platform.EncodeRollout(canary.Order{Service: "s", Target: "v2", Period: period})
	quicktest.Assert(versions.fleet.t, err, quicktest.IsNil)
	versions.fleet.store.Put(platform.TopicOperator, "rollout/s", value)
}

// state returns the state in the status that operators read.
func (versions *versions) state() string {
	var status struct{ State, Target string }
	if err := json.Unmarshal(versions.fleet.store.Get(platform.TopicStatus, "rollout/s"), &status); err != nil || status.Target != "v2" {
		return ""
	}
	return status.State
}

// Guards against a roll-out that does not reach the store, the requests or the status as the platform's pages say: a sound version that
// is not complete in time, and one whose old version gets requests after that, also from a router that starts then.
func TestRolloutCompletes(t *testing.T) {
	fleet := newFleet(t)
	versions := newVersions(t, fleet)
	routers := []*router{fleet.start(1), fleet.start(2), fleet.start(3)}
	fleet.waitReady(routers...)
	stop := versions.load(routers...)
	defer stop()
	ordered := time.Now()
	versions.order(10 * time.Second)
	versions.register("v2")
	fleet.waitUntil("serving", func() bool { return versions.state() == "serving" })
	fleet.waitUntil("complete", func() bool { return versions.state() == "complete" })
	old := versions.requests["v1"].Load()
	took := time.Since(ordered)
	late := fleet.start(4)
	fleet.waitReady(late)
	for range 20 {
		status, body := late.send("key")
		quicktest.Check(t, status, quicktest.Equals, http.StatusOK)
		quicktest.Check(t, body, quicktest.Equals, "v2")
	}
	quicktest.Check(t, versions.requests["v1"].Load(), quicktest.Equals, old)
	quicktest.Check(t, versions.unserved.Load(), quicktest.Equals, int32(0), quicktest.Commentf("the last one: %v", versions.refusal.Load()))
	quicktest.Check(t, took < 10*time.Second, quicktest.IsTrue, quicktest.Commentf("%v", took))
	t.Logf("complete after %v, %d requests at the old version and %d at the new one", took, old, versions.requests["v2"].Load())
}

// Guards against a bad version that stays in use, and against an outcome that a repeated order, a router that starts later, or a store that
// executes a call and loses the answer, changes.
func TestRolloutOfBadVersion(t *testing.T) {
	fleet := newFleet(t)
	versions := newVersions(t, fleet)
	versions.failing.Store(40)
	routers := []*router{fleet.start(1), fleet.start(2), fleet.start(3)}
	fleet.waitReady(routers...)
	stop := versions.load(routers...)
	defer stop()
	var lost atomic.Int32
	fleet.store.SetFault(func(_ http.ResponseWriter, request *http.Request) bool {
		if request.URL.Path != "/api/log-append" || request.URL.Query().Get("topic") != platform.TopicStatus || lost.Add(1)%2 == 0 {
			return false
		}
		fleet.store.Append(httptest.NewRecorder(), request)
		panic(http.ErrAbortHandler)
	})
	versions.order(10 * time.Second)
	versions.register("v2")
	fleet.waitUntil("rolled back", func() bool { return versions.state() == stand.RolloutRolledBack })
	time.Sleep(500 * time.Millisecond)
	exposed := versions.requests["v2"].Load()
	versions.order(10 * time.Second)
	late := fleet.start(4)
	fleet.waitReady(late)
	for range 20 {
		late.send("key")
	}
	quicktest.Check(t, versions.requests["v2"].Load(), quicktest.Equals, exposed)
	quicktest.Check(t, versions.state(), quicktest.Equals, stand.RolloutRolledBack)
	total := exposed + versions.requests["v1"].Load()
	quicktest.Check(t, float64(exposed) <= 0.1*float64(total)+50, quicktest.IsTrue)
	t.Logf("%d of %d requests at the new version", exposed, total)
}

// Guards against orders that stop the service or move something by mistake: fields missing, absurd or for another service, an unknown
// service, and a version that no upstream runs.
func TestRolloutOrdersNotValid(t *testing.T) {
	fleet := newFleet(t)
	versions := newVersions(t, fleet)
	router := fleet.start(1)
	fleet.waitReady(router)
	for key, value := range map[string]string{
		"rollout/s": `{"service":"s","target":"v2","periodS":0}`, "rollout/": `{}`, "rollout/x": `{"service":"x","target":"v2","periodS":5}`,
		"rollout/y": `{"service":"s","target":"v2","periodS":5}`, "rollout/z": `{"service":"z","periodS":1e300}`, "rollout/q": `[`,
	} {
		fleet.store.Put(platform.TopicOperator, key, []byte(value))
	}
	time.Sleep(500 * time.Millisecond)
	served := func() bool {
		status, body := router.send("key")
		return status == http.StatusOK && body == "v1"
	}
	fleet.waitUntil("served", served)
	quicktest.Check(t, fleet.store.Get(platform.TopicStatus, "rollout/x"), quicktest.IsNil)
	versions.order(2 * time.Second)
	fleet.waitUntil("rolled back", func() bool { return versions.state() == stand.RolloutRolledBack })
	fleet.waitUntil("served", served)
}
