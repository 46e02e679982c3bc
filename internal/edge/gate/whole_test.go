package gate

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"

	"github.com/frankban/quicktest"
)

func TestIsCompleteRequest(t *testing.T) {
	for text, want := range map[string]bool{
		"":                       false,
		"GET / HTTP/1.1\r\n":     false,
		"GET / HTTP/1.1\r\n\r\n": true,
		"POST / HTTP/1.1\r\ncontent-length: 2\r\n\r\nab":                            true,
		"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\na":                             false,
		"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nabc":                           false,
		"POST / HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab":       false,
		"POST / HTTP/1.1\r\nContent-Length: -2\r\n\r\n":                             false,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n":                     false,
		"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n":        false,
		"GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n":                              false,
		"POST / HTTP/1.1\r\nX: Content-Length: 2\r\nContent-Length: 0\r\n\r\n":      true,
		"POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: x\r\n\r\nabcde": false,
	} {
		quicktest.Check(t, isCompleteRequest([]byte(text)), quicktest.Equals, want, quicktest.Commentf("%q", text))
	}
}

// FuzzWhole guards against refusing a request before all of it was read: a complete request must leave no bytes unread
// by net/http.
func FuzzWhole(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"))
	f.Add([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, received []byte) {
		if !isCompleteRequest(received) {
			return
		}
		reader := bufio.NewReader(bytes.NewReader(received))
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			t.Fatalf("body of %q: %v", received, err)
		}
		if _, err := reader.ReadByte(); err != io.EOF {
			t.Fatalf("net/http left bytes of the complete request %q unread", received)
		}
	})
}
