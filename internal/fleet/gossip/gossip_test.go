package gossip_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/fleet/gossip"
	"github.com/clementinewind/clementinewind/internal/fleet/roster"
	"github.com/clementinewind/clementinewind/internal/load/board"
	"github.com/clementinewind/clementinewind/internal/load/pick"
	"github.com/clementinewind/clementinewind/internal/load/usage"
	"github.com/clementinewind/clementinewind/internal/route/prompt"
	"github.com/clementinewind/clementinewind/internal/route/table"
	"github.com/clementinewind/clementinewind/internal/store/feed"
)

type router struct {
	roster       *roster.Roster
	board        *board.Board
	shares       *usage.Shares
	aheadOffsets chan gossip.Offsets
}

func start(t *testing.T, number int, offset feed.Position) *router {
	t.Helper()
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	started := &router{
		roster: roster.New(roster.Config{Self: roster.Member{
			Instance: clementinewind.Instance(fmt.Sprintf("router-%d", number)), Incarnation: 1,
			Zone: clementinewind.Zone([]string{"a", "b", "c"}[number%3]), PeerAddress: conn.LocalAddr().String(),
		}}),
		board: board.New(board.Config{Owns: func(clementinewind.Upstream) bool { return true }}), shares: usage.NewShares(time.Minute),
		aheadOffsets: make(chan gossip.Offsets, 100),
	}
	started.board.SetServices([]table.ServiceSettings{{Name: "s", Engine: &table.Engine{MemoryTokens: 100_000}}})
	started.board.Set(table.Entry{Upstream: "u", Service: "s", Slots: 800}, time.Now())
	built := gossip.New(gossip.Config{
		Conn: conn, Roster: started.roster, Board: started.board, Shares: started.shares, Logger: hclog.NewNullLogger(),
		Offsets: func() gossip.Offsets { return gossip.Offsets{Operator: offset} }, ConfigurationVersion: func() int64 { return 1 },
		OnPeerAhead: func(offsets gossip.Offsets) { started.aheadOffsets <- offsets }, Refresh: func() {},
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{}, 2)
	go func() { _ = built.Send(ctx); ended <- struct{}{} }()
	go func() { _ = built.Receive(ctx); ended <- struct{}{} }()
	t.Cleanup(func() {
		cancel()
		conn.Close()
		<-ended
		<-ended
	})
	return started
}

// Guards against routers that do not learn of each other, of their load, of the organisations' usage, or of newer records.
func TestHeartbeats(t *testing.T) {
	behind, ahead := start(t, 1, 0), start(t, 2, 7)
	request := board.Request{Service: "s", Goal: time.Second, Limit: pick.LatencyLimit(time.Minute), Prompt: prompt.Prompt{
		InputTokens: 5000, Parts: []prompt.Part{{ID: "shared", Tokens: 4000}, {ID: "own", Tokens: 1000}},
	}}
	ticket, _ := ahead.board.Place(request, time.Now())
	quicktest.Assert(t, ticket, quicktest.IsNotNil)
	ahead.shares.AddRequested("Patel", 1000, time.Now())
	ahead.shares.AddServed("Patel", 1000, time.Now())
	// Only one of the routers knows the other from the start.
	ahead.roster.AddFromStore(behind.roster.Self(), time.Now())
	offsets := <-behind.aheadOffsets
	quicktest.Check(t, offsets.Operator, quicktest.Equals, feed.Position(7))
	quicktest.Check(t, behind.roster.Alive(time.Now()), quicktest.HasLen, 2)
	var placed *board.Ticket
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		placed, _ = behind.board.Place(request, time.Now())
		if placed.RemoteRunning == 1 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the load of the other router is not counted")
		}
	}
	quicktest.Check(t, placed.UncachedTokens, quicktest.Equals, 1000)
	behind.shares.AddRequested("Fjordvolt", 1000, time.Now())
	// Usage is only sent about once per second.
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if standing, scarce := behind.shares.Standing("Patel", time.Now()); scarce && standing.Share > 1 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the usage of the other router is not counted")
		}
	}
}

func TestFeed(t *testing.T) {
	mirror := feed.NewMirror(feed.MirrorConfig{})
	server := httptest.NewServer(gossip.FeedHandler(map[string]*feed.Mirror{"topic": mirror}, hclog.NewNullLogger()))
	defer server.Close()
	source := gossip.Source{Address: server.Listener.Addr().String(), Client: http.DefaultClient}
	// A router that has not loaded the topic itself serves no records.
	_, err := source.Newest(t.Context(), "topic")
	quicktest.Check(t, err, quicktest.ErrorMatches, ".*503.*")
	mirror.Replace(feed.Batch{Records: []feed.Record{{Key: "a", Value: []byte("1"), Position: 4}}, Next: 5})
	batch, err := source.Newest(t.Context(), "topic")
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, batch.Records, quicktest.HasLen, 1)
	quicktest.Check(t, batch.Next, quicktest.Equals, feed.Position(5))
	go func() {
		time.Sleep(20 * time.Millisecond)
		mirror.Apply(feed.Batch{Records: []feed.Record{{Key: "a", Position: 5}}, Next: 6})
	}()
	batch, err = source.Read(t.Context(), "topic", 5, 5*time.Second)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, batch.Records, quicktest.HasLen, 1)
	quicktest.Check(t, batch.Records[0].Deleted(), quicktest.IsTrue)
	_, err = source.Read(t.Context(), "other", 0, 0)
	quicktest.Check(t, err, quicktest.ErrorMatches, ".*404.*")
}

// Guards against a large fleet in which a router does not learn of the load in another zone, which only the digests of the zone
// heads report.
func TestDigestsReachAllZones(t *testing.T) {
	const routers = 20
	var fleet []*router
	for number := range routers {
		fleet = append(fleet, start(t, 100+number, 0))
	}
	request := board.Request{Service: "s", Goal: time.Second, Limit: pick.LatencyLimit(time.Minute), Prompt: prompt.Prompt{InputTokens: 100}}
	for _, member := range fleet {
		ticket, _ := member.board.Place(request, time.Now())
		quicktest.Assert(t, ticket, quicktest.IsNotNil)
	}
	for _, one := range fleet {
		for _, other := range fleet {
			one.roster.AddFromStore(other.roster.Self(), time.Now())
		}
	}
	// Each router counts the load of all others once.
	for _, one := range fleet {
		for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			ticket, _ := one.board.Place(request, time.Now())
			ticket.End(board.ResultAbandoned, time.Now())
			if ticket.RemoteRunning == routers-1 {
				break
			}
			if time.Now().After(end) {
				t.Fatalf("%d requests elsewhere, want %d", ticket.RemoteRunning, routers-1)
			}
		}
	}
}
