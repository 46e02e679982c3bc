package cli_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/clementinewind/clementinewind/internal/admin/cli"
	"github.com/clementinewind/clementinewind/internal/wire/callerv1"
	"github.com/clementinewind/clementinewind/platform/stand"
)

// runCall runs a call with the given body against a router that finds itself for it, and that answers it with answer. It returns the exit
// code and what the command printed.
func runCall(t *testing.T, body string, answer func(conn net.Conn)) (code int, printed string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	defer listener.Close()
	located, err := proto.Marshal(&callerv1.LocateResponse{Addresses: []string{"10.0.0.1:7000"}})
	quicktest.Assert(t, err, quicktest.IsNil)
	go stand.ServeConns(listener, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if !strings.HasSuffix(request.URL.Path, "/Locate") {
				answer(conn)
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", responseLines, len(located), located)
		}
	})
	var stdout, stderr bytes.Buffer
	commandLine := cli.New(cli.Config{
		Stdin: strings.NewReader(body), Stdout: &stdout, Stderr: &stderr, Now: time.Now,
		Dial: func(ctx context.Context, network, _ string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, network, listener.Addr().String())
		},
	})
	code = commandLine.Run(t.Context(), []string{"clementinewind", "call", "--timeout", "2s", "--pool", "booking", "/book", "-"})
	return code, stdout.String() + stderr.String()
}

// responseLines are header lines of each response of a router.
const responseLines = "Content-Type: application/proto\r\n"

// callResponse returns the body with which a router answers a call.
func callResponse(t *testing.T) string {
	t.Helper()
	encoded, err := proto.Marshal(&callerv1.CallResponse{Status: 200, Body: []byte("booked")})
	quicktest.Assert(t, err, quicktest.IsNil)
	return string(encoded)
}

// Guards against printing the answer of a broken response, and against reporting its call as not run.
func TestBrokenRouterResponses(t *testing.T) {
	body := callResponse(t)
	lines := fmt.Sprintf("%sContent-Length: %d\r\n", responseLines, len(body))
	responses := stand.BrokenHeads(lines, body)
	for _, status := range stand.BrokenStatuses() {
		responses["status "+status] = stand.BrokenStatusResponse(status, responseLines, "")
	}
	responses["sound"] = "HTTP/1.1 200 OK\r\n" + lines + "\r\n" + body
	for name, response := range responses {
		t.Run(name, func(t *testing.T) {
			want := cli.ExitUnknown
			if name == "sound" {
				want = 0
			}
			code, printed := runCall(t, "seat 1", func(conn net.Conn) { _, _ = io.WriteString(conn, response) })
			quicktest.Check(t, code, quicktest.Equals, want, quicktest.Commentf("%s", printed))
			quicktest.Check(t, strings.Contains(printed, "booked"), quicktest.Equals, name == "sound")
		})
	}
}

// Guards against printing an answer that a router ended, with the connection, before it received the whole call.
func TestRouterEndsResponseDuringCall(t *testing.T) {
	code, printed := runCall(t, strings.Repeat("x", 16<<20), func(conn net.Conn) {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\n%s", responseLines, callResponse(t))
		if half, ok := conn.(*net.TCPConn); ok {
			_ = half.CloseWrite()
		}
		time.Sleep(100 * time.Millisecond)
	})
	quicktest.Check(t, code, quicktest.Equals, cli.ExitUnknown, quicktest.Commentf("%s", printed))
}
