package peer_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"golang.org/x/net/http2/hpack"

	"github.com/clementinewind/clementinewind/internal/fleet/peer"
	"github.com/clementinewind/clementinewind/internal/tools/stand"
	"github.com/clementinewind/clementinewind/internal/wire/peerv1"
)

// piecesConn passes on what it reads in pieces of the given size.
type piecesConn struct {
	net.Conn
	size int
}

func (conn piecesConn) Read(buffer []byte) (int, error) {
	return conn.Conn.Read(buffer[:min(conn.size, len(buffer))])
}

// Guards against taking a response of another router that HTTP/2 forbids for the answer to a claim, however its bytes arrive, and against
// rejecting a sound one.
func TestBrokenPeerResponses(t *testing.T) {
	sound := stand.HTTP2Response{
		Header: []hpack.HeaderField{{Name: ":status", Value: "200"}, {Name: "content-type", Value: "application/grpc"}},
		// An empty message that is not compressed.
		Body:    make([]byte, 5),
		Trailer: []hpack.HeaderField{{Name: "grpc-status", Value: "0"}},
	}
	responses := stand.BrokenHTTP2Responses(sound)
	responses["sound"] = sound
	for name, response := range responses {
		for _, size := range []int{1, 4, 10, 1 << 20} {
			t.Run(fmt.Sprintf("%s in pieces of %d", name, size), func(t *testing.T) {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				quicktest.Assert(t, err, quicktest.IsNil)
				defer listener.Close()
				go stand.ServeHTTP2(listener, response)
				fleet := peer.NewFleet(peer.Config{MaxMessageBytes: 1 << 20, Dial: func(ctx context.Context, address string) (net.Conn, error) {
					conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
					return piecesConn{conn, size}, err
				}})
				defer fleet.Close()
				conn, err := fleet.Connect(listener.Addr().String())
				quicktest.Assert(t, err, quicktest.IsNil)
				defer conn.Close()
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				for range 2 {
					_, err = peerv1.NewPeerServiceClient(conn).Claim(ctx, &peerv1.ClaimRequest{})
					quicktest.Check(t, err == nil, quicktest.Equals, name == "sound", quicktest.Commentf("%v", err))
				}
			})
		}
	}
}
