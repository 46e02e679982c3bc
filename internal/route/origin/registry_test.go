package origin_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/clementinewind/clementinewind/internal/route/origin"
)

var (
	oldVersion = origin.Version{Service: "s", Name: "1"}
	newVersion = origin.Version{Service: "s", Name: "2"}
	start      = time.Unix(1000, 0)
)

// Guards against taking the one version that a router knows for the origin of all streams while the store has records of two.
func TestOnlyVersion(t *testing.T) {
	registry := origin.New()
	_, ok := registry.Only("s")
	quicktest.Check(t, ok, quicktest.IsFalse)
	registry.List(oldVersion)
	registry.List(origin.Version{Service: "other", Name: "7"})
	only, ok := registry.Only("s")
	quicktest.Check(t, ok, quicktest.IsTrue)
	quicktest.Check(t, only, quicktest.Equals, "1")
	quicktest.Check(t, registry.MayBegin(newVersion), quicktest.IsFalse)
	registry.List(newVersion)
	quicktest.Check(t, registry.Several("s"), quicktest.IsTrue)
	registry.Suspend(newVersion)
	quicktest.Check(t, registry.MayBegin(newVersion), quicktest.IsFalse)
	quicktest.Check(t, registry.Several("s"), quicktest.IsTrue)
	registry.Remove(newVersion)
	_, ok = registry.Only("s")
	quicktest.Check(t, ok, quicktest.IsTrue)
}

// Guards against guessing between two versions at which streams with the same identifier began.
func TestAmbiguousOriginIsUnknown(t *testing.T) {
	registry := origin.New()
	id := origin.StreamOf("request")
	registry.Begin(id, oldVersion, start)
	version, ok := registry.Origin(id)
	quicktest.Check(t, ok, quicktest.IsTrue)
	quicktest.Check(t, version, quicktest.Equals, oldVersion)
	registry.Merge([]origin.Group{{Version: newVersion, Streams: []origin.Stream{id}}}, start)
	_, ok = registry.Origin(id)
	quicktest.Check(t, ok, quicktest.IsFalse)
}

// Guards against appends while there is one version, and against streams that are not stored once there are two, among them those that began
// before.
func TestDueStreams(t *testing.T) {
	registry := origin.New()
	registry.List(oldVersion)
	early, late := origin.StreamOf("early"), origin.StreamOf("late")
	registry.Begin(early, oldVersion, start)
	quicktest.Check(t, registry.Due(start, start), quicktest.HasLen, 0)
	registry.List(newVersion)
	registry.Begin(late, newVersion, start)
	due := registry.Due(start, start)
	quicktest.Check(t, due, quicktest.HasLen, 2)
	registry.SetStored(due, start)
	now := start.Add(10 * time.Second)
	quicktest.Check(t, registry.Due(start, now), quicktest.HasLen, 0)
	// The records expire, and a stream that goes on is stored again.
	registry.End(late, true, now)
	due = registry.Due(now, now)
	quicktest.Assert(t, due, quicktest.HasLen, 1)
	quicktest.Check(t, due[0], quicktest.DeepEquals, origin.Group{Version: oldVersion, Streams: []origin.Stream{early}})
	// Streams of other routers are stored by them.
	registry.Merge([]origin.Group{{Version: newVersion, Streams: []origin.Stream{7}}}, now)
	registry.SetStored(due, now)
	quicktest.Check(t, registry.Due(start, now), quicktest.HasLen, 0)
}

// Guards against memory that grows with each stream.
func TestEndedStreamsAreForgotten(t *testing.T) {
	registry := origin.New()
	registry.List(oldVersion)
	for number := range 100 {
		id := origin.StreamOf(fmt.Sprint(number))
		registry.Begin(id, oldVersion, start)
		registry.End(id, number%2 == 0, start.Add(time.Second))
	}
	registry.Begin(origin.StreamOf("open"), oldVersion, start)
	registry.Due(start, start.Add(10*time.Minute))
	_, streams := registry.Counts()
	quicktest.Check(t, streams, quicktest.Equals, 1)
}

// Guards against a stream that goes on at another version than the one that began it: routers begin and take up streams, store them, forget
// everything and read again, in any order, while versions are listed before streams begin there.
func TestOriginIsNeverWrong(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := []origin.Version{oldVersion, newVersion, {Service: "s", Name: "3"}}
		truth := map[origin.Stream]string{}
		var listed []origin.Version
		var records [][]origin.Group
		routers := make([]*origin.Registry, 3)
		for i := range routers {
			routers[i] = origin.New()
		}
		now := start
		pick := func() *origin.Registry { return routers[rapid.IntRange(0, len(routers)-1).Draw(t, "router")] }
		t.Repeat(map[string]func(*rapid.T){
			"list": func(t *rapid.T) {
				version := rapid.SampledFrom(versions).Draw(t, "version")
				listed = append(listed, version)
				pick().List(version)
			},
			"begin": func(t *rapid.T) {
				router, version := pick(), rapid.SampledFrom(versions).Draw(t, "version")
				if !router.MayBegin(version) {
					return
				}
				id := origin.StreamOf(fmt.Sprint(len(truth)))
				truth[id] = version.Name
				router.Begin(id, version, now)
			},
			"store": func(*rapid.T) {
				router := pick()
				due := router.Due(now, now)
				records = append(records, due)
				router.SetStored(due, now)
			},
			"read": func(*rapid.T) {
				router := pick()
				for _, record := range records {
					router.Merge(record, now)
				}
			},
			"kill all": func(*rapid.T) {
				for i := range routers {
					routers[i] = origin.New()
				}
			},
			"pass time": func(*rapid.T) { now = now.Add(20 * time.Second) },
			"take up": func(t *rapid.T) {
				router := pick()
				// A router takes up a stream that it does not know after it has read the records of versions.
				router.SetListed(listed)
				for id, began := range truth {
					version, known := router.Origin(id)
					if !known {
						version.Name, known = router.Only("s")
					}
					if known && version.Name != began {
						t.Fatalf("stream of version %s goes on at %s", began, version.Name)
					}
				}
			},
		})
	})
}
