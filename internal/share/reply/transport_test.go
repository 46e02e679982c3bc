package reply_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/share/reply"
	"github.com/clementinewind/clementinewind/platform/stand"
)

// serve answers the requests on each connection with handle, which gets their numbers on it, until handle returns false. It returns the
// URL.
func serve(t *testing.T, handle func(conn net.Conn, request *http.Request, number int) bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Cleanup(func() { listener.Close() })
	go stand.ServeConns(listener, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for number := 0; ; number++ {
			request, err := http.ReadRequest(reader)
			if err != nil || !handle(conn, request, number) {
				return
			}
		}
	})
	return "http://" + listener.Addr().String()
}

// newClient returns a client and the number of connections that it has dialled.
func newClient(t *testing.T) (*http.Client, *int) {
	dials := new(int)
	client := &http.Client{Transport: reply.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			*dials++
			return new(net.Dialer).DialContext(ctx, network, address)
		},
	})}
	t.Cleanup(client.CloseIdleConnections)
	return client, dials
}

func ask(client *http.Client, url string, body []byte) (status int, content string, err error) {
	response, err := client.Post(url, "text/plain", bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	return response.StatusCode, string(read), err
}

// Guards against failing sound responses, and against a new connection for each of them.
func TestTransportPassesSoundResponses(t *testing.T) {
	tests := map[string]struct {
		response string
		dials    int
	}{
		"length":           {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 1},
		"chunks":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 1},
		"interim before":   {"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 1},
		"end":              {"HTTP/1.1 200 OK\r\n\r\nok", 3},
		"end, version 1.0": {"HTTP/1.0 200 OK\r\n\r\nok", 3},
	}
	for name, test := range tests {
		for _, size := range []int{0, 4 << 20} {
			t.Run(fmt.Sprintf("%s, after %d bytes", name, size), func(t *testing.T) {
				url := serve(t, func(conn net.Conn, request *http.Request, _ int) bool {
					_, _ = io.Copy(io.Discard, request.Body)
					_, err := io.WriteString(conn, test.response)
					return err == nil && test.dials == 1
				})
				client, dials := newClient(t)
				for range 3 {
					status, content, err := ask(client, url, make([]byte, size))
					quicktest.Assert(t, err, quicktest.IsNil)
					quicktest.Check(t, status, quicktest.Equals, http.StatusOK)
					quicktest.Check(t, content, quicktest.Equals, "ok")
				}
				quicktest.Check(t, *dials, quicktest.Equals, test.dials)
			})
		}
	}
}

// Guards against passing on broken responses, also on a connection that has served a sound one, and against keeping their connections.
func TestTransportRejectsBrokenResponses(t *testing.T) {
	responses := stand.BrokenHeads("Name: value\r\n", "body")
	for _, status := range stand.BrokenStatuses() {
		responses["status "+status] = stand.BrokenStatusResponse(status, "", "")
	}
	for name, response := range responses {
		t.Run(name, func(t *testing.T) {
			url := serve(t, func(conn net.Conn, request *http.Request, number int) bool {
				_, _ = io.Copy(io.Discard, request.Body)
				sent := response
				if number == 0 {
					sent = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
				}
				_, err := io.WriteString(conn, sent)
				return err == nil
			})
			client, dials := newClient(t)
			for range 2 {
				_, _, err := ask(client, url, []byte("body"))
				quicktest.Assert(t, err, quicktest.IsNil)
				_, _, err = ask(client, url, []byte("body"))
				quicktest.Check(t, err, quicktest.IsNotNil)
			}
			quicktest.Check(t, *dials, quicktest.Equals, 2)
		})
	}
}

// Guards against a second copy of a response, which arrived with the first, being taken for the response to the next request.
func TestTransportRejectsEarlierResponses(t *testing.T) {
	url := serve(t, func(conn net.Conn, request *http.Request, _ int) bool {
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(request.URL.Path), request.URL.Path)
		_, err := io.WriteString(conn, answer+answer)
		return err == nil
	})
	client, _ := newClient(t)
	for number := range 3000 {
		path := fmt.Sprintf("/%d", number)
		if _, content, err := ask(client, url+path, nil); err == nil {
			quicktest.Assert(t, content, quicktest.Equals, path)
		}
	}
}

// Guards against taking a part of a body for the whole one if the server ends it, with its connection, before it received the request.
func TestTransportRejectsEndDuringUpload(t *testing.T) {
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		url := serve(t, func(conn net.Conn, _ *http.Request, _ int) bool {
			fmt.Fprintf(conn, "%s 200 OK\r\n\r\npart", version)
			if half, ok := conn.(*net.TCPConn); ok {
				_ = half.CloseWrite()
			}
			time.Sleep(50 * time.Millisecond)
			return false
		})
		client, _ := newClient(t)
		_, content, err := ask(client, url, []byte(strings.Repeat("x", 16<<20)))
		quicktest.Check(t, err, quicktest.IsNotNil, quicktest.Commentf("%q", content))
	}
}

// Guards against failing a response without a body because its connection has been given to the next request meanwhile.
func TestTransportSharesConnections(t *testing.T) {
	url := serve(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		_, err := io.WriteString(conn, "HTTP/1.1 204 No Content\r\n\r\n")
		return err == nil
	})
	client := &http.Client{Transport: reply.NewTransport(&http.Transport{
		MaxConnsPerHost: 2, MaxIdleConnsPerHost: 2,
	})}
	defer client.CloseIdleConnections()
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			for range 500 {
				_, _, err := ask(client, url, nil)
				quicktest.Check(t, err, quicktest.IsNil)
			}
		})
	}
	callers.Wait()
}
