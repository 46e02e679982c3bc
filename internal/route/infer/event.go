package infer

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// readBuffer is the size of the read buffer of a stream in bytes.
const readBuffer = 4 << 10

// errEventSize is returned for an event above the size limit.
var errEventSize = errors.New("event exceeds the size limit")

// eventReader reads the data of server-sent events. Other fields and comments are skipped.
type eventReader struct {
	reader *bufio.Reader
	limit  int
	line   []byte
	data   []byte
}

func newEventReader(reader io.Reader, limit int) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(reader, readBuffer), limit: limit}
}

// next returns the data of the next event. It is valid until the following call. An event that the end of the stream
// cuts off is dropped, as the event stream format demands.
func (events *eventReader) next() ([]byte, error) {
	events.data = events.data[:0]
	found := false
	for {
		line, err := events.readLine()
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			if found {
				return events.data, nil
			}
			continue
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		if string(field) != "data" {
			continue
		}
		value = bytes.TrimPrefix(value, []byte(" "))
		if found {
			events.data = append(events.data, '\n')
		}
		found = true
		if len(events.data)+len(value) > events.limit {
			return nil, errEventSize
		}
		events.data = append(events.data, value...)
	}
}

// readLine returns a line without its end. A line that the end of the stream cuts off is not returned.
func (events *eventReader) readLine() ([]byte, error) {
	events.line = events.line[:0]
	for {
		part, err := events.reader.ReadSlice('\n')
		switch {
		case err == bufio.ErrBufferFull:
			if len(events.line)+len(part) > events.limit {
				return nil, errEventSize
			}
			events.line = append(events.line, part...)
			continue
		case err != nil:
			return nil, err
		}
		part = bytes.TrimSuffix(bytes.TrimSuffix(part, []byte("\n")), []byte("\r"))
		if len(events.line) == 0 {
			return part, nil
		}
		events.line = bytes.TrimSuffix(append(events.line, part...), []byte("\r"))
		return events.line, nil
	}
}
