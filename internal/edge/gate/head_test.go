package gate_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/edge/gate"
	"github.com/clementinewind/clementinewind/internal/share/bound"
)

// Guards against heads that never end and fill the memory over many connections, and against memory that kept connections do not return.
func TestOpenHeadsAreBounded(t *testing.T) {
	const limit = 64 << 10
	budget, server := bound.NewBudget(limit), &server{}
	server.open(t, gate.Config{MaxConnections: 100, Memory: budget})
	server.start()
	kept := server.dial(t)
	long := fmt.Sprintf("X-Long: %s\r\n", strings.Repeat("x", 10<<10))
	for range 2 {
		fmt.Fprint(kept, strings.Replace(post("id", "body"), "Content-Length", long+"Content-Length", 1))
		readResponse(t, kept)
	}
	for budget.State().Held != [bound.KindCount]int64{} {
		time.Sleep(time.Millisecond)
	}
	var open []net.Conn
	for range 30 {
		conn := server.dial(t)
		fmt.Fprint(conn, "POST /x HTTP/1.1\r\n"+long)
		open = append(open, conn)
	}
	for budget.State().Shortages == 0 {
		time.Sleep(time.Millisecond)
	}
	quicktest.Check(t, budget.State().Held[bound.KindHead] <= limit, quicktest.IsTrue)
	fmt.Fprint(kept, post("id", "body"))
	_, body := readResponse(t, kept)
	quicktest.Check(t, body, quicktest.Equals, "body")
	for _, conn := range open {
		conn.Close()
	}
	for budget.State().Held != [bound.KindCount]int64{} {
		time.Sleep(time.Millisecond)
	}
}

// Guards against callers that stop in the middle of a head, hold all connections and keep others out.
func TestStalledHeadsYieldTheirConnections(t *testing.T) {
	server := &server{}
	server.open(t, gate.Config{MaxConnections: 3, Memory: bound.NewBudget(1 << 20)})
	server.start()
	for range 3 {
		fmt.Fprint(server.dial(t), "POST /x HTTP/1.1\r\n")
	}
	conn := server.dial(t)
	fmt.Fprint(conn, post("id", "body"))
	response, body := readResponse(t, conn)
	quicktest.Check(t, response.StatusCode, quicktest.Equals, http.StatusOK)
	quicktest.Check(t, body, quicktest.Equals, "body")
}

// Guards against a connection that is closed at a later request, because one of its heads arrived just when it lost its place.
func TestHeadThatArrivesWhileEvictedKeepsItsConnection(t *testing.T) {
	budget, server := bound.NewBudget(1<<20), &server{}
	server.open(t, gate.Config{MaxConnections: 1, Memory: budget})
	caller := server.dial(t)
	accepted, err := server.listener.Accept()
	quicktest.Assert(t, err, quicktest.IsNil)
	defer accepted.Close()
	quicktest.Assert(t, budget.EvictStalled(time.Now().Add(time.Minute)), quicktest.IsTrue)
	head := make([]byte, 16<<10)
	for range 2 {
		server.listener.ConnState(accepted, http.StateActive)
		server.listener.ConnState(accepted, http.StateIdle)
		_, err = caller.Write(head)
		quicktest.Assert(t, err, quicktest.IsNil)
		for received := 0; received < len(head); {
			count, err := accepted.Read(make([]byte, len(head)))
			quicktest.Assert(t, err, quicktest.IsNil)
			received += count
		}
	}
	quicktest.Check(t, budget.State().Held, quicktest.Equals, [bound.KindCount]int64{})
}
