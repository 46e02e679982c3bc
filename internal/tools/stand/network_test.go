package stand_test

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/tools/stand"
)

// Guards against a frozen host that still receives bytes or the end of a connection, or that loses them.
func TestNetworkFreeze(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := stand.NewNetwork(time.Millisecond)
		listener, err := network.Listen("10.0.0.1:80")
		quicktest.Assert(t, err, quicktest.IsNil)
		defer listener.Close()
		dial := network.Dialer("10.0.0.2")
		client, err := dial(t.Context(), "10.0.0.1:80")
		quicktest.Assert(t, err, quicktest.IsNil)
		server, err := listener.Accept()
		quicktest.Assert(t, err, quicktest.IsNil)
		defer server.Close()
		start := time.Now()
		network.Freeze("10.0.0.1", 10*time.Second)
		_, err = client.Write([]byte("held"))
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, client.Close(), quicktest.IsNil)
		data, err := io.ReadAll(server)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, string(data), quicktest.Equals, "held")
		quicktest.Assert(t, time.Since(start), quicktest.Equals, 10*time.Second)
		network.Freeze("10.0.0.1", 10*time.Second)
		start = time.Now()
		second, err := dial(t.Context(), "10.0.0.1:80")
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, time.Since(start) >= 10*time.Second, quicktest.IsTrue)
		second.Close()
	})
}
