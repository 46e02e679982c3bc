package link

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	readBuffer = 8 << 10
	// inlineBody is written before the answer is read. A larger body could block on an upstream that answers first.
	inlineBody = 4 << 10
	// strayBytes bounds an answer to another request that is skipped.
	strayBytes = 1 << 20
	// strayAnswers bounds how many of them are skipped before the connection is given up.
	strayAnswers = 3
	// headBytes bounds the status line and header of an answer. The largest header that the platform allows in a request is
	// 16 KiB; an upstream in trouble may send bytes without end.
	headBytes = 64 << 10
)

// errHeadSize is the cause of a connection that was given up because the head of an answer did not end.
var errHeadSize = errors.Errorf("head of the answer exceeds %d bytes", headBytes)

type conn struct {
	raw    net.Conn
	source *boundedReader
	reader *bufio.Reader
	pool   *Pool

	reused    bool
	idleSince time.Time
	// keep is how long the upstream keeps the connection when it is idle.
	keep time.Duration
}

func newConn(raw net.Conn, pool *Pool) *conn {
	source := &boundedReader{reader: raw}
	return &conn{raw: raw, source: source, reader: bufio.NewReaderSize(source, readBuffer), pool: pool, keep: DefaultIdle}
}

// boundedReader fails after a number of bytes while it is bounded.
type boundedReader struct {
	reader  io.Reader
	bounded bool
	left    int
}

// bound lets the next reads return up to the given number of bytes.
func (bounded *boundedReader) bound(limit int) { bounded.bounded, bounded.left = true, limit }

func (bounded *boundedReader) unbound() { bounded.bounded = false }

func (bounded *boundedReader) Read(buffer []byte) (int, error) {
	if !bounded.bounded {
		return bounded.reader.Read(buffer)
	}
	if bounded.left <= 0 {
		return 0, errHeadSize
	}
	count, err := bounded.reader.Read(buffer[:min(len(buffer), bounded.left)])
	bounded.left -= count
	return count, err
}

func (conn *conn) close() {
	// The connection is given up; an error of its close changes nothing.
	_ = conn.raw.Close()
}

// quiet reports whether an idle connection is open and has no bytes to read.
func (conn *conn) quiet() bool {
	if conn.reader.Buffered() > 0 {
		return false
	}
	state := peek(conn.raw)
	return state == peekEmpty || state == peekUnknown
}

// peekState is what a look at the bytes that a connection has received shows.
type peekState int

const (
	// peekUnknown is a connection that cannot be looked at.
	peekUnknown peekState = iota
	// peekEmpty is an open connection without bytes to read.
	peekEmpty
	// peekBytes is a connection with bytes to read.
	peekBytes
	// peekClosed is a connection that the other side has closed or reset.
	peekClosed
)

func peek(conn net.Conn) peekState {
	system, ok := conn.(syscall.Conn)
	if !ok {
		return peekUnknown
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return peekClosed
	}
	state := peekClosed
	if err := raw.Control(func(descriptor uintptr) {
		var peeked [1]byte
		count, _, err := syscall.Recvfrom(int(descriptor), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN || err == syscall.EWOULDBLOCK || err == syscall.EINTR:
			state = peekEmpty
		case err == nil && count > 0:
			state = peekBytes
		}
	}); err != nil {
		return peekClosed
	}
	return state
}

// ClosedByPeer reports whether the other side of a connection has closed it. Bytes that it sent before are left to be read.
func ClosedByPeer(conn net.Conn) bool { return peek(conn) == peekClosed }

func (conn *conn) roundTrip(ctx context.Context, request Request) (*Answer, error) {
	stop := context.AfterFunc(ctx, conn.close)
	written := make(chan error, 1)
	head := conn.head(request)
	if len(request.Body) <= inlineBody {
		_, err := conn.raw.Write(append(head, request.Body...))
		written <- err
	} else {
		go func() {
			buffers := net.Buffers{head, request.Body}
			_, err := buffers.WriteTo(conn.raw)
			written <- err
		}()
	}
	response, err := conn.readResponse(request)
	if err != nil {
		stop()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &BrokenError{Cause: err, Reused: conn.reused}
	}
	return &Answer{Response: response, conn: conn, stop: stop, written: written}, nil
}

func (conn *conn) head(request Request) []byte {
	var head bytes.Buffer
	head.Grow(512)
	head.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	header := request.Header
	header.Del("Content-Length")
	// A bytes.Buffer does not fail.
	_ = header.Write(&head)
	if len(request.Body) > 0 || (request.Method != http.MethodGet && request.Method != http.MethodHead) {
		head.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	return head.Bytes()
}

// readResponse reads the header of the answer to this request and skips answers to others.
func (conn *conn) readResponse(request Request) (*http.Response, error) {
	for range strayAnswers {
		response, err := conn.readHead(request.Method)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if request.Mine == nil || request.Mine(response) {
			return response, nil
		}
		// On a connection that served others it may be the second copy of the answer to one of them.
		if !conn.reused && request.Unnamed != nil && request.Unnamed(response) {
			return response, nil
		}
		count, err := io.Copy(io.Discard, io.LimitReader(response.Body, strayBytes))
		if err != nil || count == strayBytes || response.Close {
			return nil, errors.New("answer belongs to another request")
		}
	}
	return nil, errors.New("answers belong to other requests")
}

// readHead reads the status line and the header of an answer.
func (conn *conn) readHead(method string) (*http.Response, error) {
	conn.source.bound(headBytes)
	defer conn.source.unbound()
	return http.ReadResponse(conn.reader, &http.Request{Method: method})
}

// Answer is an answer whose body is still arriving.
type Answer struct {
	Response *http.Response

	conn    *conn
	stop    func() bool
	written chan error
	ended   bool
	closed  bool
	// cut is why Cut was called; nil until then.
	cut atomic.Pointer[error]
}

// Cut closes the connection, so that the upstream stops working and a Read that waits fails with the cause. It may be called
// by another goroutine than the reader's.
func (answer *Answer) Cut(cause error) {
	if answer.cut.CompareAndSwap(nil, &cause) {
		answer.conn.close()
	}
}

// Read reads from the body. It returns io.EOF only after the complete body.
func (answer *Answer) Read(buffer []byte) (int, error) {
	count, err := answer.Response.Body.Read(buffer)
	cause := answer.cut.Load()
	switch {
	case cause != nil && err != nil:
		err = *cause
	case err == io.EOF:
		answer.ended = true
	}
	return count, err
}

// Close gives the connection back if the answer was read to its end, and closes it otherwise.
func (answer *Answer) Close() {
	if answer.closed {
		return
	}
	answer.closed = true
	conn := answer.conn
	canceled := !answer.stop()
	wrote := false
	select {
	case err := <-answer.written:
		wrote = err == nil
	default:
	}
	if canceled || answer.cut.Load() != nil || !wrote || !answer.ended || answer.Response.Close || conn.reader.Buffered() > 0 {
		conn.pool.drop(conn)
		return
	}
	conn.reused = true
	conn.keep = keepTime(answer.Response.Header)
	conn.pool.put(conn)
}

// keepTime returns how long an idle connection may be used, from the timeout that the upstream tells.
func keepTime(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") && seconds > 0 {
			// A fifth is kept back for the way to the upstream and for its clock.
			return min(time.Duration(seconds)*time.Second*4/5, DefaultIdle)
		}
	}
	return DefaultIdle
}
