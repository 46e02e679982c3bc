package table_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/route/table"
)

func ExampleTable_Match() {
	current := table.New(table.Configuration{Routes: []table.Route{
		{Name: "all", Host: "a.example", PathPrefix: "/"},
		{Name: "quotes", Host: "A.example", PathPrefix: "/quotes/"},
	}})
	for _, path := range []string{"/quotes/new", "/quotesnew", "/"} {
		route, _ := current.Match("a.example:8080", path)
		fmt.Println(route.Name)
	}
	// Output:
	// quotes
	// all
	// all
}

func TestChoose(t *testing.T) {
	route := table.Route{TrafficSplit: []table.ServiceWeight{{Service: "new", Weight: 10}, {Service: "old", Weight: 90}, {Service: "none", Weight: 0}}}
	random := rand.New(rand.NewPCG(1, 2))
	counts := map[table.Service]int{}
	for range 1000 {
		service, ok := route.Choose(random)
		quicktest.Assert(t, ok, quicktest.IsTrue)
		counts[service]++
	}
	quicktest.Check(t, counts["none"], quicktest.Equals, 0)
	quicktest.Check(t, counts["new"] > 50 && counts["new"] < 150, quicktest.IsTrue, quicktest.Commentf("%v", counts))
	_, ok := table.Route{}.Choose(random)
	quicktest.Check(t, ok, quicktest.IsFalse)
}

func TestReplaces(t *testing.T) {
	older := table.Entry{Incarnation: 1, Sequence: 9}
	newer := table.Entry{Incarnation: 2, Sequence: 1}
	quicktest.Check(t, newer.Replaces(older), quicktest.IsTrue)
	quicktest.Check(t, older.Replaces(newer), quicktest.IsFalse)
	quicktest.Check(t, table.Entry{Incarnation: 1, Sequence: 8}.Replaces(older), quicktest.IsFalse)
}
