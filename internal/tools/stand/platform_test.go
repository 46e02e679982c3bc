package stand_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/store/plog"
	"github.com/clementinewind/clementinewind/internal/tools/stand"
	"github.com/clementinewind/clementinewind/internal/wire/platformv1"
	"github.com/clementinewind/clementinewind/internal/wire/platformv1/platformv1connect"
)

// handlerTransport passes requests to a handler in the same process, without a network.
type handlerTransport struct{ handler http.Handler }

func (transport handlerTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	transport.handler.ServeHTTP(recorder, request)
	if err := request.Context().Err(); err != nil {
		return nil, err
	}
	return recorder.Result(), nil
}

func post(t *testing.T, platform *stand.Platform, path string, control any) int {
	body, err := json.Marshal(control)
	quicktest.Assert(t, err, quicktest.IsNil)
	recorder := httptest.NewRecorder()
	platform.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body)))
	return recorder.Code
}

func records(payloads ...string) []clementinewind.Record {
	var records []clementinewind.Record
	for i, payload := range payloads {
		records = append(records, clementinewind.Record{Writer: 1, Sequence: uint64(i), Payload: []byte(payload)})
	}
	return records
}

// Guards against a platform whose faults differ from those that other tests rely on, and against a client that maps them
// to the wrong errors.
func TestPlatformFaults(t *testing.T) {
	tests := map[string]struct {
		faults             stand.PlatformFaults
		appendErr, readErr error
		// tail is the tail after one append.
		tail clementinewind.Offset
	}{
		"healthy":      {tail: 1},
		"down":         {faults: stand.PlatformFaults{Down: true}, appendErr: clementinewind.ErrLogUnavailable, readErr: clementinewind.ErrLogUnavailable},
		"hanging":      {faults: stand.PlatformFaults{Hang: true}, appendErr: clementinewind.ErrLogUnavailable, readErr: clementinewind.ErrLogUnavailable},
		"appends down": {faults: stand.PlatformFaults{AppendsDown: true}, appendErr: clementinewind.ErrLogUnavailable},
		"lost replies": {faults: stand.PlatformFaults{LoseReplies: true}, appendErr: clementinewind.ErrLogUnavailable, tail: 1},
		"lost reply":   {faults: stand.PlatformFaults{LoseReplyRate: 1}, appendErr: clementinewind.ErrLogUnavailable, tail: 1},
		"lost request": {faults: stand.PlatformFaults{LoseRequestRate: 1}, appendErr: clementinewind.ErrLogUnavailable},
		"slow":         {faults: stand.PlatformFaults{DelayMillis: 1000}, tail: 1},
		"too slow":     {faults: stand.PlatformFaults{DelayMillis: 3000}, appendErr: clementinewind.ErrLogUnavailable, readErr: clementinewind.ErrLogUnavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				platform := stand.NewPlatform(stand.PlatformConfig{})
				client := plog.NewClient(plog.ClientConfig{
					HTTPClient: &http.Client{Transport: handlerTransport{platform.Handler()}}, URL: "http://platform",
				})
				quicktest.Assert(t, post(t, platform, stand.PlatformFaultsPath, test.faults), quicktest.Equals, http.StatusNoContent)
				_, err := client.Append(t.Context(), "s", records("a"))
				quicktest.Check(t, errors.Is(err, test.appendErr), quicktest.IsTrue, quicktest.Commentf("append: %v", err))
				_, err = client.Read(t.Context(), clementinewind.LogQuery{Stream: "s"})
				quicktest.Check(t, errors.Is(err, test.readErr), quicktest.IsTrue, quicktest.Commentf("read: %v", err))
				quicktest.Assert(t, post(t, platform, stand.PlatformFaultsPath, stand.PlatformFaults{}), quicktest.Equals, http.StatusNoContent)
				_, tail, err := plog.Bounds(t.Context(), client, "s")
				quicktest.Assert(t, err, quicktest.IsNil)
				quicktest.Assert(t, tail, quicktest.Equals, test.tail)
			})
		})
	}
}

// Guards against a log that keeps too much, loses too much, or accepts any number of appends.
func TestPlatformLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := stand.NewPlatform(stand.PlatformConfig{Retention: time.Hour, AppendsPerSecond: 100})
		client := plog.NewClient(plog.ClientConfig{
			HTTPClient: &http.Client{Transport: handlerTransport{platform.Handler()}}, URL: "http://platform",
		})
		appended := 0
		for range 300 {
			if _, err := client.Append(t.Context(), "s", records("a")); err == nil {
				appended++
			}
		}
		quicktest.Assert(t, appended, quicktest.Equals, 100)
		time.Sleep(40 * time.Minute)
		_, err := client.Append(t.Context(), "s", records("b", "c"))
		quicktest.Assert(t, err, quicktest.IsNil)
		time.Sleep(40 * time.Minute)
		_, err = client.Read(t.Context(), clementinewind.LogQuery{Stream: "s", From: 99})
		quicktest.Assert(t, errors.Is(err, clementinewind.ErrTruncated), quicktest.IsTrue, quicktest.Commentf("%v", err))
		batch, err := client.Read(t.Context(), clementinewind.LogQuery{Stream: "s", From: 100})
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, batch.Oldest, quicktest.Equals, clementinewind.Offset(100))
		quicktest.Assert(t, string(batch.Records[0].Payload)+string(batch.Records[1].Payload), quicktest.Equals, "bc")
		quicktest.Assert(t, post(t, platform, stand.PlatformTruncatePath, stand.TruncateControl{Stream: "s", Oldest: 101}),
			quicktest.Equals, http.StatusNoContent)
		oldest, _, err := plog.Bounds(t.Context(), client, "s")
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, oldest, quicktest.Equals, clementinewind.Offset(101))
	})
}

// Guards against a read that keeps waiting at the tail in an outage and so hides it.
func TestPlatformOutageWakesReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := stand.NewPlatform(stand.PlatformConfig{})
		client := plog.NewClient(plog.ClientConfig{
			HTTPClient: &http.Client{Transport: handlerTransport{platform.Handler()}}, URL: "http://platform",
		})
		time.AfterFunc(time.Second, func() { platform.SetFaults(stand.PlatformFaults{Down: true}) })
		start := time.Now()
		_, err := client.Read(t.Context(), clementinewind.LogQuery{Stream: "s", Wait: time.Minute})
		quicktest.Assert(t, errors.Is(err, clementinewind.ErrLogUnavailable), quicktest.IsTrue)
		quicktest.Assert(t, time.Since(start), quicktest.Equals, time.Second)
	})
}

// Guards against an instance list that is fresher than that of the real platform, and a weight store without a limit.
func TestPlatformInstancesAndWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := stand.NewPlatform(stand.PlatformConfig{InstanceLag: 10 * time.Second, WeightsPerSecond: 2})
		httpClient := &http.Client{Transport: handlerTransport{platform.Handler()}}
		instances := platformv1connect.NewInstanceServiceClient(httpClient, "http://platform")
		list := func() string {
			response, err := instances.ListInstances(t.Context(), connect.NewRequest(&platformv1.ListInstancesRequest{}))
			quicktest.Assert(t, err, quicktest.IsNil)
			var names []string
			for _, instance := range response.Msg.Instances {
				names = append(names, fmt.Sprint(instance.Name, ":", instance.Leaving))
			}
			return strings.Join(names, " ")
		}
		set := func(instance stand.PlatformInstance) {
			quicktest.Assert(t, post(t, platform, stand.PlatformInstancePath, instance), quicktest.Equals, http.StatusNoContent)
		}
		set(stand.PlatformInstance{Name: "b"})
		set(stand.PlatformInstance{Name: "a"})
		quicktest.Assert(t, list(), quicktest.Equals, "")
		time.Sleep(5 * time.Second)
		set(stand.PlatformInstance{Name: "b", Leaving: true})
		time.Sleep(5 * time.Second)
		quicktest.Assert(t, list(), quicktest.Equals, "a:false b:false")
		platform.SetFaults(stand.PlatformFaults{FreezeInstances: true})
		set(stand.PlatformInstance{Name: "a", Gone: true})
		time.Sleep(time.Minute)
		quicktest.Assert(t, list(), quicktest.Equals, "a:false b:false")
		platform.SetFaults(stand.PlatformFaults{})
		quicktest.Assert(t, list(), quicktest.Equals, "b:true")

		weights := platformv1connect.NewWeightServiceClient(httpClient, "http://platform")
		get := func(name string) (string, connect.Code) {
			response, err := weights.GetWeights(t.Context(), connect.NewRequest(&platformv1.GetWeightsRequest{Name: name}))
			if err != nil {
				return "", connect.CodeOf(err)
			}
			return string(response.Msg.Data), 0
		}
		quicktest.Assert(t, post(t, platform, stand.PlatformWeightsPath, stand.WeightsControl{Name: "m", Data: []byte("w")}),
			quicktest.Equals, http.StatusNoContent)
		for _, want := range []struct {
			name, data string
			code       connect.Code
		}{{"m", "w", 0}, {"n", "", connect.CodeNotFound}, {"m", "", connect.CodeResourceExhausted}} {
			data, code := get(want.name)
			quicktest.Assert(t, data, quicktest.Equals, want.data)
			quicktest.Assert(t, code, quicktest.Equals, want.code)
		}
	})
}

// Guards against a misspelt fault that is silently ignored, so that a test runs without it.
func TestPlatformControlRefusesUnknownNames(t *testing.T) {
	platform := stand.NewPlatform(stand.PlatformConfig{})
	quicktest.Assert(t, post(t, platform, stand.PlatformFaultsPath, map[string]any{"Donw": true}), quicktest.Equals, http.StatusBadRequest)
	quicktest.Assert(t, platform.Faults(), quicktest.Equals, stand.PlatformFaults{})
}

func ExamplePlatform_Handler() {
	platform := stand.NewPlatform(stand.PlatformConfig{})
	server := httptest.NewServer(platform.Handler())
	defer server.Close()
	client := plog.NewClient(plog.ClientConfig{HTTPClient: server.Client(), URL: server.URL})
	offset, err := client.Append(context.Background(), "s", records("a", "b"))
	fmt.Println(offset, err)
	response, err := server.Client().Post(server.URL+stand.PlatformFaultsPath, "application/json", strings.NewReader(`{"Down": true}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	io.Copy(io.Discard, response.Body)
	response.Body.Close()
	_, err = client.Append(context.Background(), "s", records("c"))
	fmt.Println(errors.Is(err, clementinewind.ErrLogUnavailable))
	// Output:
	// 0 <nil>
	// true
}
