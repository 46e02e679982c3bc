package link_test

import (
	"io"
	"net"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind/internal/route/link"
	"github.com/clementinewind/clementinewind/platform/stand"
)

// Guards against connections to upstreams that use up the descriptors, and against idle ones that keep others from being opened.
func TestLimitOfAllPools(t *testing.T) {
	var pools []*link.Pool
	limit := link.NewLimit(1, func() { pools[0].CloseIdle() })
	for range 2 {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		quicktest.Assert(t, err, quicktest.IsNil)
		t.Cleanup(func() { listener.Close() })
		go stand.ServeConns(listener, func(conn net.Conn) { answerOK("")(conn, 0) })
		pools = append(pools, link.New(link.Config{
			Address: listener.Addr().String(), Dial: new(net.Dialer).DialContext, MaxConnections: 9, Limit: limit,
		}))
	}
	first, err := pools[0].Do(t.Context(), request())
	quicktest.Assert(t, err, quicktest.IsNil)
	_, err = pools[1].Do(t.Context(), request())
	quicktest.Check(t, errors.Is(err, link.ErrPoolExhausted), quicktest.IsTrue, quicktest.Commentf("%v", err))
	_, err = io.Copy(io.Discard, first)
	quicktest.Assert(t, err, quicktest.IsNil)
	first.Close()
	quicktest.Check(t, limit.Open(), quicktest.Equals, int64(1))
	second, err := pools[1].Do(t.Context(), request())
	quicktest.Assert(t, err, quicktest.IsNil)
	second.Close()
	pools[1].CloseIdle()
	quicktest.Check(t, limit.Open(), quicktest.Equals, int64(0))
}
