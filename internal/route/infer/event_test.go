package infer

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/clementinewind/clementinewind"
)

// Guards against events that are cut off, joined, too large, or read differently when they arrive byte by byte.
func TestEventReader(t *testing.T) {
	long := strings.Repeat("x", 6000)
	tests := map[string]struct {
		text string
		want []string
		err  error
	}{
		"two events":       {text: "data: a\n\ndata:b\n\n", want: []string{"a", "b"}, err: io.EOF},
		"carriage returns": {text: "data: a\r\n\r\ndata: b\r\n\r\n", want: []string{"a", "b"}, err: io.EOF},
		"other fields":     {text: ": ping\n\nevent: x\nid: 3\ndata: a\nretry: 1\n\n", want: []string{"a"}, err: io.EOF},
		"data lines":       {text: "data: a\ndata: b\n\n", want: []string{"a\nb"}, err: io.EOF},
		"empty data":       {text: "data\n\ndata:\n\n", want: []string{"", ""}, err: io.EOF},
		"no blank line":    {text: "data: a\n\ndata: b\n", want: []string{"a"}, err: io.EOF},
		"no line end":      {text: "data: a\n\ndata: b", want: []string{"a"}, err: io.EOF},
		"long line":        {text: "data: " + long + "\n\n", want: []string{long}, err: io.EOF},
		"line too long":    {text: "data: " + long + long + long, err: errEventSize},
		"event too long":   {text: "data: " + long + "\ndata: " + long + "\n\n", err: errEventSize},
	}
	for name, test := range tests {
		for _, reader := range []io.Reader{strings.NewReader(test.text), iotest.OneByteReader(strings.NewReader(test.text))} {
			t.Run(name, func(t *testing.T) {
				got, err := readEvents(reader)
				quicktest.Assert(t, got, quicktest.DeepEquals, test.want)
				quicktest.Assert(t, err, quicktest.Equals, test.err)
			})
		}
	}
}

func readEvents(reader io.Reader) ([]string, error) {
	events := newEventReader(reader, 8<<10)
	var got []string
	for {
		data, err := events.next()
		if err != nil {
			return got, err
		}
		got = append(got, string(data))
	}
}

// Guards against an event reader that panics, exceeds its limit, or depends on how the bytes arrive.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("data: a\r\n\r\n: ping\nid: 1\ndata: b\ndata: c\n\ndata"))
	f.Fuzz(func(t *testing.T, text []byte) {
		whole, err := readEvents(bytes.NewReader(text))
		pieces, pieceErr := readEvents(iotest.OneByteReader(bytes.NewReader(text)))
		quicktest.Assert(t, pieces, quicktest.DeepEquals, whole)
		quicktest.Assert(t, pieceErr, quicktest.Equals, err)
		for _, data := range whole {
			quicktest.Assert(t, len(data) <= 9<<10, quicktest.IsTrue)
		}
	})
}

// eventsOf returns the events of an answer of count tokens.
func eventsOf(requestID clementinewind.RequestID, count int) []byte {
	var text bytes.Buffer
	for position := range count {
		fmt.Fprintf(&text, "id: %d\ndata: {\"id\":%q,\"object\":\"text_completion\",\"position\":%d,"+
			"\"choices\":[{\"text\":\"token \",\"index\":0}]}\n\n", position, requestID.String(), position)
	}
	fmt.Fprintf(&text, "data: {\"id\":%q,\"position\":%d,\"choices\":[],\"usage\":{\"completion_tokens\":%d}}\n\n",
		requestID.String(), count, count)
	return text.Bytes()
}

// BenchmarkStreamToken measures reading, parsing and ordering one token.
func BenchmarkStreamToken(b *testing.B) {
	requestID := clementinewind.NewRequestID()
	response := &http.Response{Body: io.NopCloser(bytes.NewReader(eventsOf(requestID, b.N)))}
	config := streamConfig{
		client: New(Config{}), requestID: requestID, idle: time.AfterFunc(time.Hour, func() {}),
	}
	stream := newStream(b.Context(), func(error) {}, response, config)
	b.ReportAllocs()
	b.ResetTimer()
	for chunk, err := stream.Next(); !chunk.End; chunk, err = stream.Next() {
		if err != nil {
			b.Fatal(err)
		}
	}
}
