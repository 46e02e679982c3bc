package gossip_test

import (
	"fmt"
	"net"
	"testing"

	"github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/clementinewind/clementinewind/internal/fleet/gossip"
	"github.com/clementinewind/clementinewind/internal/wire/fleetv1"
	"github.com/clementinewind/clementinewind/platform/stand"
)

// Guards against taking a broken response of another router for records of a topic. One without a length may be a part: the encoding of
// a batch does not tell how many records it has.
func TestBrokenFeedResponse(t *testing.T) {
	body, err := proto.Marshal(&fleetv1.FeedBatch{Next: 5, Records: []*fleetv1.FeedRecord{{Key: "k", Value: []byte("v"), Offset: 4}}})
	quicktest.Assert(t, err, quicktest.IsNil)
	const lines = "Topic: keyed.x\r\nFrom: 4\r\n"
	responses := stand.BrokenHeads(fmt.Sprintf("%sContent-Length: %d\r\n", lines, len(body)), string(body))
	for _, status := range stand.BrokenStatuses() {
		responses["status "+status] = stand.BrokenStatusResponse(status, lines, "")
	}
	responses["no length"] = "HTTP/1.1 200 OK\r\n" + lines + "\r\n" + string(body)
	responses["no length in version 1.0"] = "HTTP/1.0 200 OK\r\n" + lines + "\r\n" + string(body)
	for name, response := range responses {
		t.Run(name, func(t *testing.T) {
			_, err := readFeed(t, response)
			quicktest.Check(t, err, quicktest.IsNotNil)
		})
	}
	t.Run("sound", func(t *testing.T) {
		records, err := readFeed(t, fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", lines, len(body), body))
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Check(t, records, quicktest.Equals, 1)
	})
}

// readFeed reads a topic from a peer that sends the given response. It returns the number of records.
func readFeed(t *testing.T, response string) (records int, err error) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	defer listener.Close()
	go stand.ServeResponse(listener, response)
	client := gossip.NewFeedClient((&net.Dialer{}).DialContext)
	defer client.CloseIdleConnections()
	batch, err := gossip.Source{Address: listener.Addr().String(), Client: client}.Read(t.Context(), "keyed.x", 4, 0)
	return len(batch.Records), err
}
