package plog_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/protobuf/proto"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/store/plog"
	"github.com/clementinewind/clementinewind/internal/tools/stand"
	"github.com/clementinewind/clementinewind/internal/wire/platformv1"
)

// Guards against taking a response of the log that HTTP/2 forbids for records or for the confirmation of an append.
func TestBrokenLogResponses(t *testing.T) {
	// Both responses of the log have their first number in the same field.
	body, err := proto.Marshal(&platformv1.AppendResponse{FirstOffset: 7})
	quicktest.Assert(t, err, quicktest.IsNil)
	sound := stand.HTTP2Response{
		Header: []hpack.HeaderField{{Name: ":status", Value: "200"}, {Name: "content-type", Value: "application/proto"}}, Body: body,
	}
	calls := map[string]func(ctx context.Context, client *plog.Client) error{
		"append": func(ctx context.Context, client *plog.Client) error {
			_, err := client.Append(ctx, "control", []clementinewind.Record{{Payload: []byte("v")}})
			return err
		},
		"read": func(ctx context.Context, client *plog.Client) error {
			_, err := client.Read(ctx, clementinewind.LogQuery{Stream: "control", Limit: 1})
			return err
		},
	}
	responses := stand.BrokenHTTP2Responses(sound)
	responses["sound"] = sound
	for name, response := range responses {
		for kind, call := range calls {
			t.Run(kind+", "+name, func(t *testing.T) {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				quicktest.Assert(t, err, quicktest.IsNil)
				defer listener.Close()
				go stand.ServeHTTP2(listener, response)
				httpClient := plog.NewHTTPClient(nil)
				defer httpClient.CloseIdleConnections()
				client := plog.NewClient(plog.ClientConfig{
					HTTPClient: httpClient, URL: "http://" + listener.Addr().String(), CallTimeout: 200 * time.Millisecond,
				})
				err = call(t.Context(), client)
				quicktest.Check(t, err == nil, quicktest.Equals, name == "sound", quicktest.Commentf("%v", err))
			})
		}
	}
}
