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
	// mostAwaited bounds the refused requests whose rest is awaited. Beyond it connections are closed at once, which their callers
	// take for a request that was not read.
	mostAwaited = 256
	// firstPause is the time after which the rest of a request is looked for first; it doubles for each of restLooks. The rest is
	// mostly in the next packet. A look costs a tenth of what a connection of the net package costs.
	firstPause = 2 * time.Millisecond
	restLooks  = 5
	// restTimeout bounds the wait for the rest of a request, and restBytes its size. Both are above the platform's limits for
	// callers, 3 s and 4 MB.
	restTimeout = 10 * time.Second
	restBytes   = 16 << 20
)

// PendingRefusals returns the number of refused requests that are not answered yet.
func (listener *Listener) PendingRefusals() int { return len(listener.awaited) }

// await answers a connection when the rest of its request has arrived.
func (listener *Listener) await(descriptor int, received []byte) {
	select {
	case listener.awaited <- struct{}{}:
	default:
		_ = unix.Close(descriptor)
		return
	}
	// Accept uses its buffer again.
	received = append(make([]byte, 0, requestBytes), received...)
	go func() {
		defer func() { <-listener.awaited }()
		pause := firstPause
		for range restLooks {
			time.Sleep(pause)
			pause *= 2
			done := false
			if received, done = listener.look(descriptor, received); done {
				return
			}
		}
		if err := listener.drainRequest(descriptor, received); err != nil {
			listener.config.Logger.Debug("refused request not answered", "Error", err)
		}
	}()
}

// drainRequest reads the rest of a request with its body, answers it, and closes the connection.
func (listener *Listener) drainRequest(descriptor int, received []byte) error {
	file := os.NewFile(uintptr(descriptor), "caller")
	conn, err := net.FileConn(file)
	// The connection has a descriptor of its own.
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return errors.Wrap(err, "connection of a caller")
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(restTimeout)); err != nil {
		return err
	}
	head := &beginning{bytes: received}
	rest := io.TeeReader(io.LimitReader(conn, restBytes), head)
	request, err := http.ReadRequest(bufio.NewReader(io.MultiReader(bytes.NewReader(received), rest)))
	if err != nil {
		return errors.Wrap(err, "read refused request")
	}
	// A caller that expects to be asked for the body sends none before.
	if request.Header.Get("Expect") == "" {
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return errors.Wrap(err, "read body of refused request")
		}
	}
	_, err = conn.Write(listener.config.RefusalResponse(head.bytes))
	return err
}

// beginning keeps the first bytes that are written to it.
type beginning struct{ bytes []byte }

// Write implements io.Writer.
func (beginning *beginning) Write(written []byte) (int, error) {
	kept := min(len(written), max(requestBytes-len(beginning.bytes), 0))
	beginning.bytes = append(beginning.bytes, written[:kept]...)
	return len(written), nil
}
