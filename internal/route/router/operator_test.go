package router_test

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/tools/demo"
	"github.com/clementinewind/clementinewind/internal/tools/stand"
	"github.com/clementinewind/clementinewind/internal/wire/callerv1"
	"github.com/clementinewind/clementinewind/internal/wire/operatorv1"
)

// race sends one edit from each of several operators at once and returns the responses, which are nil after an error.
// The section of an edit depends on the number of its operator.
func (world *world) race(ctx context.Context, operators int, section func(operator int) string) []*operatorv1.SetSettingsResponse {
	settings, err := world.Operator(0).GetSettings(ctx, connect.NewRequest(&operatorv1.GetSettingsRequest{}))
	if err != nil {
		return nil
	}
	responses := make([]*operatorv1.SetSettingsResponse, operators)
	var wait sync.WaitGroup
	for operator := range operators {
		wait.Go(func() {
			response, err := world.Operator(operator%3).SetSettings(ctx, connect.NewRequest(&operatorv1.SetSettingsRequest{
				Against: settings.Msg.Version, Who: fmt.Sprint("operator", operator), Why: "race", Wait: true,
				Changes: []*operatorv1.Change{{Section: section(operator), Key: "Weight", Value: fmt.Sprint(operator + 2)}},
			}))
			if err == nil {
				responses[operator] = response.Msg
			}
		})
	}
	wait.Wait()
	return responses
}

// Guards against two winners or none when operators race on one key, against a loser that is not told who won, and
// against routers that end with different settings; and against a conflict between edits of different keys.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	const operators = 6
	config := config()
	for operator := range operators {
		config.Organisations[organisationOf(operator)] = 1
	}
	run(t, config, func(t *testing.T, ctx context.Context, world *world) {
		winner := -1
		responses := world.race(ctx, operators, func(int) string { return "Organisations.Patel" })
		quicktest.Assert(t, responses, quicktest.HasLen, operators)
		for operator, response := range responses {
			quicktest.Assert(t, response, quicktest.IsNotNil)
			if response.GetAccepted() {
				quicktest.Check(t, winner, quicktest.Equals, -1)
				quicktest.Check(t, response.Missing, quicktest.HasLen, 0)
				winner = operator
			}
		}
		quicktest.Assert(t, winner >= 0, quicktest.IsTrue)
		for operator, response := range responses {
			if operator != winner {
				quicktest.Check(t, response.GetConflict(), quicktest.Contains, fmt.Sprintf("by operator%d (race)", winner))
			}
		}
		for _, response := range world.race(ctx, operators, func(operator int) string {
			return "Organisations." + string(organisationOf(operator))
		}) {
			quicktest.Check(t, response.GetAccepted(), quicktest.IsTrue)
			quicktest.Check(t, response.GetMissing(), quicktest.HasLen, 0)
		}
		for router := range world.Nodes {
			quicktest.Check(t, world.setting(ctx, t, router, "Organisations.Patel", "Weight"), quicktest.Equals, strconv.Itoa(winner+2))
			for operator := range operators {
				quicktest.Check(t, world.setting(ctx, t, router, "Organisations."+string(organisationOf(operator)), "Weight"),
					quicktest.Equals, strconv.Itoa(operator+2))
			}
		}
	})
}

// setting returns a value of the settings as a router knows it.
func (world *world) setting(ctx context.Context, t *testing.T, router int, section, key string) string {
	t.Helper()
	settings, err := world.Operator(router).GetSettings(ctx, connect.NewRequest(&operatorv1.GetSettingsRequest{Section: section}))
	quicktest.Assert(t, err, quicktest.IsNil)
	for line := range strings.Lines(settings.Msg.Text) {
		if name, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(name) == key {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// stopZone takes a zone out of service without the log.
func (world *world) stopZone(ctx context.Context, t *testing.T, router int, zone string) {
	t.Helper()
	response, err := world.Operator(router).SetZone(ctx, connect.NewRequest(&operatorv1.SetZoneRequest{
		Zone: zone, Who: "operator", Why: "fire", Urgent: true,
	}))
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, response.Msg.Missing, quicktest.HasLen, 0)
}

// acceptedStops returns how many accepted edits took a zone out of service.
func (world *world) acceptedStops(ctx context.Context, t *testing.T, router int, zone string) int {
	t.Helper()
	history, err := world.Operator(router).History(ctx, connect.NewRequest(&operatorv1.HistoryRequest{Section: "Zones." + zone}))
	quicktest.Assert(t, err, quicktest.IsNil)
	stops := 0
	for _, entry := range history.Msg.Entries {
		if entry.Accepted && entry.Changes[0].Key == "InService" && entry.Changes[0].Value == "false" {
			stops++
		}
	}
	return stops
}

// Guards against an urgent removal that needs the log, that is not written to it afterwards, that is written twice, or
// that keeps the zone from returning through the log.
func TestUrgentZoneRemovalWhileLogIsDown(t *testing.T) {
	t.Parallel()
	run(t, config(), func(t *testing.T, ctx context.Context, world *world) {
		zone := demo.ZoneName(0)
		load := world.startLoad(ctx, 4, 2)
		time.Sleep(2 * time.Second)
		world.log.SetFaults(stand.LogFaults{Down: true})
		time.Sleep(3 * time.Second)
		stopped := time.Now()
		world.stopZone(ctx, t, 1, zone)
		time.Sleep(15 * time.Second)
		quicktest.Check(t, world.ReceivedInZone(0, stopped.Add(3*time.Second)), quicktest.HasLen, 0)
		world.log.SetFaults(stand.LogFaults{})
		time.Sleep(15 * time.Second)
		quicktest.Check(t, world.ReceivedInZone(0, stopped.Add(3*time.Second)), quicktest.HasLen, 0)
		for router := range world.Nodes {
			quicktest.Check(t, world.setting(ctx, t, router, "Zones."+zone, "InService"), quicktest.Equals, "false")
			quicktest.Check(t, world.acceptedStops(ctx, t, router, zone), quicktest.Equals, 1)
		}
		returned := time.Now()
		quicktest.Assert(t, world.SetZone(ctx, zone, true), quicktest.IsNil)
		time.Sleep(5 * time.Second)
		quicktest.Check(t, len(world.ReceivedInZone(0, returned)) > 0, quicktest.IsTrue)
		world.check(t, load.stop())
	})
}

// Guards against the late write of an urgent removal that undoes a newer edit, by which the zone had returned.
func TestUrgentZoneRemovalYieldsToNewerEdit(t *testing.T) {
	t.Parallel()
	run(t, config(), func(t *testing.T, ctx context.Context, world *world) {
		zone := demo.ZoneName(0)
		view := world.views[world.Nodes[1].Name]
		view.SetPaused(true)
		world.stopZone(ctx, t, 1, zone)
		time.Sleep(2 * time.Second)
		_, err := world.Operator(0).SetZone(ctx, connect.NewRequest(&operatorv1.SetZoneRequest{
			Zone: zone, InService: true, Who: "operator", Why: "false alarm",
		}))
		quicktest.Assert(t, err, quicktest.IsNil)
		view.SetPaused(false)
		time.Sleep(30 * time.Second)
		for router := range world.Nodes {
			quicktest.Check(t, world.setting(ctx, t, router, "Zones."+zone, "InService"), quicktest.Equals, "true")
			quicktest.Check(t, world.acceptedStops(ctx, t, router, zone), quicktest.Equals, 0)
		}
	})
}

// Guards against a router that takes work, or that has no settings, when it starts while the log is down.
func TestStartWhileLogIsDown(t *testing.T) {
	t.Parallel()
	run(t, config(), func(t *testing.T, ctx context.Context, world *world) {
		quicktest.Assert(t, world.StopRouter(2), quicktest.IsNil)
		world.log.SetFaults(stand.LogFaults{Down: true})
		quicktest.Assert(t, world.StartRouter(2), quicktest.IsNil)
		time.Sleep(20 * time.Second)
		quicktest.Check(t, world.Nodes[2].Router().Ready(), quicktest.IsNotNil)
		quicktest.Check(t, world.version(ctx, t, 2), quicktest.Equals, world.version(ctx, t, 0))
		quicktest.Check(t, world.setting(ctx, t, 2, "Organisations.Patel", "Weight"), quicktest.Equals, "1")
		_, err := world.generate(ctx, 2, "early", 40)
		quicktest.Check(t, demo.RefusalOf(err).GetOutcome(), quicktest.Equals, callerv1.Outcome_OUTCOME_NOT_RUN,
			quicktest.Commentf("%v", err))
		world.log.SetFaults(stand.LogFaults{})
		quicktest.Assert(t, world.AwaitReady(ctx), quicktest.IsNil)
		answer, err := world.generate(ctx, 2, "late", 40)
		quicktest.Check(t, err, quicktest.IsNil)
		quicktest.Check(t, answer, quicktest.DeepEquals, stand.Answer("late", 40))
	})
}

// version returns the version of the settings that a router knows.
func (world *world) version(ctx context.Context, t *testing.T, router int) int64 {
	t.Helper()
	settings, err := world.Operator(router).GetSettings(ctx, connect.NewRequest(&operatorv1.GetSettingsRequest{}))
	quicktest.Assert(t, err, quicktest.IsNil)
	return settings.Msg.Version
}
