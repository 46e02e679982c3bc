package gossip_test

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/clementinewind/clementinewind/internal/fleet/gossip"
	"github.com/clementinewind/clementinewind/internal/store/feed"
	"github.com/clementinewind/clementinewind/platform/stand"
)

// Guards against a faulty peer, or another server at a reused address, that fills the memory of a router with an endless response.
func TestEndlessFeedResponse(t *testing.T) {
	for name, response := range stand.EndlessResponses() {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			quicktest.Assert(t, err, quicktest.IsNil)
			defer listener.Close()
			var written atomic.Int64
			go stand.ServeEndless(listener, response.Start, response.Piece, &written)
			client := gossip.NewFeedClient((&net.Dialer{}).DialContext)
			defer client.CloseIdleConnections()
			source := gossip.Source{Address: listener.Addr().String(), Client: client}
			start := time.Now()
			_, err = source.Newest(t.Context(), "keyed.x")
			quicktest.Check(t, err, quicktest.IsNotNil)
			quicktest.Check(t, time.Since(start) < 2*time.Second, quicktest.IsTrue)
			// This includes what the socket buffers of both sides hold.
			quicktest.Check(t, written.Load() < 32<<20, quicktest.IsTrue, quicktest.Commentf("%d bytes", written.Load()))
		})
	}
}

// Guards against a delayed duplicate of a response on a reused connection: the read of one topic would return records of another.
func TestDelayedDuplicateOfFeedResponse(t *testing.T) {
	mirrors := map[string]*feed.Mirror{}
	for _, topic := range []string{"one", "two"} {
		mirrors[topic] = feed.NewMirror(feed.MirrorConfig{})
		mirrors[topic].Replace(feed.Batch{Next: 5, Records: []feed.Record{{Key: topic, Value: []byte(topic), Position: 4}}})
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	defer listener.Close()
	go stand.ServeWithDuplicates(listener, gossip.FeedHandler(mirrors, hclog.NewNullLogger()))
	client := gossip.NewFeedClient((&net.Dialer{}).DialContext)
	defer client.CloseIdleConnections()
	source := gossip.Source{Address: listener.Addr().String(), Client: client}
	for range 3 {
		for _, topic := range []string{"one", "two"} {
			batch, err := source.Newest(t.Context(), topic)
			if err != nil {
				continue
			}
			for _, record := range batch.Records {
				quicktest.Check(t, record.Key, quicktest.Equals, topic)
			}
		}
	}
}
