package gate

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// requestBytes is above the size of most requests. A larger one is read by the server before it is refused.
	requestBytes = 16 << 10
	// refusedAtOnce is after how many refusals other work of the process gets its turn.
	refusedAtOnce = 16
)

// refuser answers requests without a server, a goroutine or the poller. The load it answers: the callers of a large organisation
// stay with one router and open a connection for each request; refusing one by the server costs half as much as serving it, so
// that a router that refuses most of them serves none.
type refuser struct {
	buffer []byte
	source bytes.Reader
	reader *bufio.Reader
}

// refuse turns away connections that are waiting, while Refuses says so. It returns a connection whose request has not arrived
// yet, if it meets one, or what was decided about the next connection.
func (listener *Listener) refuse() (Decision, *Conn, error) {
	if listener.config.Refuses == nil {
		return DecisionOpen, nil, nil
	}
	for turned := 1; listener.config.Refuses(); turned++ {
		descriptor, err := listener.waiting()
		if err != nil || descriptor < 0 {
			return DecisionOpen, nil, err
		}
		if unread, refused := listener.refuser.refuse(descriptor, listener.config.Refusal); !refused {
			accepted, err := fileConn(descriptor)
			if err != nil {
				listener.config.Logger.Warn("connection of a caller lost", "Error", err)
				continue
			}
			return DecisionRefused, newConn(accepted, listener, DecisionRefused, unread), nil
		}
		if turned%refusedAtOnce == 0 {
			runtime.Gosched()
		}
	}
	return DecisionServed, nil, nil
}

// waiting takes a connection from the queue of the kernel. It returns -1 if there is none.
func (listener *Listener) waiting() (int, error) {
	raw, err := listener.SyscallConn()
	if err != nil {
		return -1, err
	}
	descriptor := -1
	if err := raw.Control(func(listening uintptr) {
		accepted, _, err := unix.Accept4(int(listening), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		if err == nil {
			descriptor = accepted
		}
		// Accept meets any other failure too, and reports it.
	}); err != nil {
		return -1, errors.Wrap(net.ErrClosed, err.Error())
	}
	return descriptor, nil
}

// refuse answers and closes a connection. If the request has not arrived as a whole, it returns what was read, and leaves the
// connection open: closing it then would reset it, and its caller would not get the answer.
func (refuser *refuser) refuse(descriptor int, refusal http.Handler) (unread []byte, refused bool) {
	if refuser.buffer == nil {
		refuser.buffer, refuser.reader = make([]byte, requestBytes), bufio.NewReaderSize(nil, requestBytes)
	}
	count, err := unix.Read(descriptor, refuser.buffer)
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
		return nil, false
	case err != nil || count == 0:
		_ = unix.Close(descriptor)
		return nil, true
	}
	received := refuser.buffer[:count]
	refuser.source.Reset(received)
	refuser.reader.Reset(&refuser.source)
	request, err := http.ReadRequest(refuser.reader)
	if err != nil || request.ContentLength < 0 || int64(refuser.reader.Buffered()) != request.ContentLength {
		return bytes.Clone(received), false
	}
	writer := &memoryWriter{header: http.Header{}, status: http.StatusOK}
	refusal.ServeHTTP(writer, request)
	// A caller that has left does not read it; nothing else can be done for it.
	_, _ = unix.Write(descriptor, writer.bytes(request))
	_ = unix.Close(descriptor)
	return nil, true
}

// fileConn makes a connection of the net package from a descriptor, which it closes.
func fileConn(descriptor int) (*net.TCPConn, error) {
	file := os.NewFile(uintptr(descriptor), "caller")
	// The connection has a descriptor of its own.
	defer file.Close()
	conn, err := net.FileConn(file)
	if err != nil {
		return nil, errors.Wrap(err, "connection of a caller")
	}
	accepted, ok := conn.(*net.TCPConn)
	if !ok {
		conn.Close()
		return nil, errors.Errorf("connection of type %T", conn)
	}
	if err := accepted.SetNoDelay(true); err != nil {
		conn.Close()
		return nil, errors.Wrap(err, "connection of a caller")
	}
	return accepted, nil
}

// memoryWriter is an http.ResponseWriter that keeps the answer.
type memoryWriter struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (writer *memoryWriter) Header() http.Header { return writer.header }

// WriteHeader implements http.ResponseWriter.
func (writer *memoryWriter) WriteHeader(status int) { writer.status = status }

// Write implements http.ResponseWriter.
func (writer *memoryWriter) Write(body []byte) (int, error) { return writer.body.Write(body) }

// bytes returns the answer to a request as it is sent, with the end of the connection announced.
func (writer *memoryWriter) bytes(request *http.Request) []byte {
	response := http.Response{
		StatusCode: writer.status, ProtoMajor: 1, ProtoMinor: 1, Request: request, Header: writer.header, Close: true,
		ContentLength: int64(writer.body.Len()), Body: io.NopCloser(&writer.body),
	}
	writer.header.Del("Connection")
	var answer bytes.Buffer
	// A buffer takes everything.
	_ = response.Write(&answer)
	return answer.Bytes()
}
