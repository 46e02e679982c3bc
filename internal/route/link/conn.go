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
)

type conn struct {
	raw    net.Conn
	reader *bufio.Reader
	pool   *Pool

	reused    bool
	idleSince time.Time
	// keep is how long the upstream keeps the connection when it is idle.
	keep time.Duration
}

func newConn(raw net.Conn, pool *Pool) *conn {
	return &conn{raw: raw, reader: bufio.NewReaderSize(raw, readBuffer), pool: pool, keep: DefaultIdle}
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
	system, ok := conn.raw.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(descriptor uintptr) bool {
		var peeked [1]byte
		_, _, err := syscall.Recvfrom(int(descriptor), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && open
}

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
		response, err := http.ReadResponse(conn.reader, &http.Request{Method: request.Method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if request.Mine == nil || request.Mine(response) {
			return response, nil
		}
		count, err := io.Copy(io.Discard, io.LimitReader(response.Body, strayBytes))
		if err != nil || count == strayBytes || response.Close {
			return nil, errors.New("answer belongs to another request")
		}
	}
	return nil, errors.New("answers belong to other requests")
}

// Answer is an answer whose body is still arriving.
type Answer struct {
	Response *http.Response

	conn    *conn
	stop    func() bool
	written chan error
	ended   bool
	closed  bool
}

// Read reads from the body. It returns io.EOF only after the complete body.
func (answer *Answer) Read(buffer []byte) (int, error) {
	count, err := answer.Response.Body.Read(buffer)
	if err == io.EOF {
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
	if canceled || !wrote || !answer.ended || answer.Response.Close || conn.reader.Buffered() > 0 {
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
