package plog_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/store/plog"
	"github.com/clementinewind/clementinewind/internal/tools/stand"
)

// pipeListener accepts in-process connections, so that a server runs in virtual time.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (listener pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-listener.conns:
		return conn, nil
	case <-listener.done:
		return nil, net.ErrClosed
	}
}

func (listener pipeListener) Close() error {
	close(listener.done)
	return nil
}

func (pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// silentConn drops what is written to it while it is silent, so that its peer never answers.
type silentConn struct {
	net.Conn
	silent atomic.Bool
}

func (conn *silentConn) Write(data []byte) (int, error) {
	if conn.silent.Load() {
		return len(data), nil
	}
	return conn.Conn.Write(data)
}

// Guards against calls that keep failing on a dead connection although new connections work.
func TestClientReplacesSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
		ctx, stop := context.WithCancel(t.Context())
		stopped := make(chan error)
		go func() { stopped <- stand.NewPlatform(stand.PlatformConfig{Listener: listener}).Run(ctx) }()
		var dialed []*silentConn
		httpClient := plog.NewHTTPClient(func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			listener.conns <- far
			conn := &silentConn{Conn: near}
			dialed = append(dialed, conn)
			return conn, nil
		})
		client := plog.NewClient(plog.ClientConfig{HTTPClient: httpClient, URL: "http://platform"})
		read := func() error {
			_, err := client.Read(t.Context(), clementinewind.LogQuery{Stream: "s"})
			return err
		}
		quicktest.Assert(t, read(), quicktest.IsNil)
		dialed[0].silent.Store(true)
		start := time.Now()
		quicktest.Assert(t, errors.Is(read(), clementinewind.ErrLogUnavailable), quicktest.IsTrue)
		quicktest.Assert(t, read(), quicktest.IsNil)
		// One call times out; the next one uses a new connection.
		quicktest.Assert(t, time.Since(start), quicktest.Equals, 2*time.Second)
		quicktest.Assert(t, dialed, quicktest.HasLen, 2)
		httpClient.CloseIdleConnections()
		stop()
		quicktest.Assert(t, <-stopped, quicktest.IsNil)
	})
}
