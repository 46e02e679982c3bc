package reply_test

import (
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind/internal/share/reply"
	"github.com/clementinewind/clementinewind/platform/stand"
)

// scan passes a response to a new Scanner in pieces of the given size. It returns what follows the head.
func scan(response string, size int) (scanner *reply.Scanner, body string, err error) {
	scanner = &reply.Scanner{}
	for len(response) > 0 && !scanner.Ended() {
		piece := response[:min(size, len(response))]
		rest, err := scanner.Scan([]byte(piece))
		if err != nil {
			return scanner, "", err
		}
		response = response[len(piece)-len(rest):]
	}
	return scanner, response, nil
}

// Guards against rejecting sound heads, and against a result that depends on how the bytes arrive.
func TestScannerAccepts(t *testing.T) {
	tests := map[string]struct {
		head   string
		status int
	}{
		"no fields":             {"HTTP/1.1 200 OK\r\n\r\n", 200},
		"no reason":             {"HTTP/1.1 503 \r\nA: b\r\n\r\n", 503},
		"no blank after status": {"HTTP/1.1 503\r\nA: b\r\n\r\n", 503},
		"reason of words":       {"HTTP/1.1 404 Not\tFound \xe9\r\n\r\n", 404},
		"version 1.0":           {"HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\n", 200},
		"interim":               {"HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=\"b\"\r\n\r\n", 103},
		"chunks":                {"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", 200},
		"values of all kinds":   {"HTTP/1.1 200 OK\r\nA:\r\nB:b\r\nC: \t c: \xff d\t \r\n!#$%&'*+-.^_`|~9z: e\r\n\r\n", 200},
		"names like framing":    {"HTTP/1.1 200 OK\r\nTransfer-Encodings: a\r\nX-Content-Length: 1\r\nContent-Length: 4\r\n\r\n", 200},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for size := 1; size <= len(test.head)+4; size++ {
				scanner, body, err := scan(test.head+"body", size)
				quicktest.Assert(t, err, quicktest.IsNil, quicktest.Commentf("pieces of %d", size))
				quicktest.Check(t, scanner.Ended(), quicktest.IsTrue)
				quicktest.Check(t, scanner.Status(), quicktest.Equals, test.status)
				quicktest.Check(t, body, quicktest.Equals, "body")
			}
			scanner, _, err := scan(strings.TrimSuffix(test.head, "\n"), len(test.head))
			quicktest.Check(t, err, quicktest.IsNil)
			quicktest.Check(t, scanner.Ended(), quicktest.IsFalse)
		})
	}
}

// Guards against accepting a head that the grammar forbids, and against forgetting an error. Values of lengths are left to net/http.
func TestScannerRejects(t *testing.T) {
	heads := stand.BrokenHeads("Name: value\r\n", "body")
	for _, name := range []string{"two lengths", "length with a sign", "unknown transfer coding"} {
		delete(heads, name)
	}
	// The scanner ends with the first head.
	heads["interim head broken"] = "HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\n"
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			for size := 1; size <= len(head); size++ {
				scanner, _, err := scan(head, size)
				quicktest.Assert(t, err, quicktest.IsNotNil, quicktest.Commentf("pieces of %d", size))
				_, again := scanner.Scan([]byte("\r\n\r\n"))
				quicktest.Check(t, again, quicktest.Equals, err)
				quicktest.Check(t, scanner.Ended(), quicktest.IsFalse)
			}
		})
	}
}

func BenchmarkScanner(b *testing.B) {
	head := []byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: 9c41d07be2a35f68\r\n" +
		"X-Replica-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Replica-Load: 3,0,8\r\nTransfer-Encoding: chunked\r\n\r\n")
	for b.Loop() {
		scanner := reply.Scanner{}
		if _, err := scanner.Scan(head); err != nil {
			b.Fatal(err)
		}
	}
}
