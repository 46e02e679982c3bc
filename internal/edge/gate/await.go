package gate

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// maxPendingRefusals bounds the refused requests that have not fully arrived. Connections beyond it are closed at
	// once, which tells their callers that the request was not read.
	maxPendingRefusals = 256
	// firstPollDelay is the delay before the first of maxPolls polls for the rest of a request; it doubles with each
	// poll. The rest is mostly in the next packet, and a poll costs a tenth of setting up a net.Conn.
	firstPollDelay = 2 * time.Millisecond
	maxPolls       = 5
	// requestReadTimeout and maxRequestBytes are above the platform's limits for callers, 3 s and 4 MB.
	requestReadTimeout = 10 * time.Second
	maxRequestBytes    = 16 << 20
)

// PendingRefusals returns the number of refused requests that are not answered yet.
func (listener *Listener) PendingRefusals() int { return len(listener.pending) }

// refuseWhenComplete refuses a request once the rest of it has arrived.
func (listener *Listener) refuseWhenComplete(descriptor int, received []byte) {
	select {
	case listener.pending <- struct{}{}:
	default:
		_ = unix.Close(descriptor)
		return
	}
	// Accept reuses its buffer.
	received = append(make([]byte, 0, readBufferBytes), received...)
	go func() {
		defer func() { <-listener.pending }()
		delay := firstPollDelay
		for range maxPolls {
			time.Sleep(delay)
			delay *= 2
			done := false
			if received, done = listener.tryRefuse(descriptor, received); done {
				return
			}
		}
		if err := listener.readAndRefuse(descriptor, received); err != nil {
			listener.config.Logger.Debug("refusal not sent", "Error", err)
		}
	}()
}

// readAndRefuse reads the rest of a request and its body, refuses it, and closes the connection.
func (listener *Listener) readAndRefuse(descriptor int, received []byte) error {
	file := os.NewFile(uintptr(descriptor), "caller")
	conn, err := net.FileConn(file)
	// net.FileConn duplicates the descriptor.
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return errors.Wrap(err, "open caller connection")
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(requestReadTimeout)); err != nil {
		return err
	}
	head := &headBuffer{bytes: received}
	rest := io.TeeReader(io.LimitReader(conn, maxRequestBytes), head)
	request, err := http.ReadRequest(bufio.NewReader(io.MultiReader(bytes.NewReader(received), rest)))
	if err != nil {
		return errors.Wrap(err, "read refused request")
	}
	// A caller that sends Expect waits for a response before it sends the body.
	if request.Header.Get("Expect") == "" {
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return errors.Wrap(err, "read body of refused request")
		}
	}
	_, err = conn.Write(listener.config.RefusalResponse(head.bytes))
	return err
}

// headBuffer keeps the first readBufferBytes that are written to it.
type headBuffer struct{ bytes []byte }

// Write implements io.Writer.
func (buffer *headBuffer) Write(written []byte) (int, error) {
	kept := min(len(written), max(readBufferBytes-len(buffer.bytes), 0))
	buffer.bytes = append(buffer.bytes, written[:kept]...)
	return len(written), nil
}
