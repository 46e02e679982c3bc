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
	"golang.org/x/sys/unix"

	"github.com/clementinewind/clementinewind/internal/share/reply"
)

const (
	readBufferBytes = 8 << 10
	// maxInlineBodyBytes is the size up to which a body is written before the answer is read. A larger one is written
	// concurrently, because an upstream that answers early may not read it.
	maxInlineBodyBytes = 4 << 10
	// maxSkippedBytes limits the body of an answer to another request that is read and discarded. If the body is as large or
	// larger, the connection is closed instead.
	maxSkippedBytes = 1 << 20
	// maxResponses limits the responses that are read in search of the answer to the request.
	maxResponses = 3
	// maxHeaderBytes limits the status line and header of a response, because a faulty upstream may send an endless header.
	// The platform's limit for request headers is 16 KiB.
	maxHeaderBytes = 64 << 10
)

var errHeaderSize = errors.Errorf("response header exceeds %d bytes", maxHeaderBytes)

// past is a deadline that has always expired.
var past = time.Unix(1, 0)

type conn struct {
	raw    net.Conn
	heads  *headReader
	reader *bufio.Reader
	pool   *Pool

	reused    bool
	idleSince time.Time
	// keepAlive is how long the connection may be reused after it became idle.
	keepAlive time.Duration
}

func newConn(raw net.Conn, pool *Pool) *conn {
	heads := &headReader{source: raw}
	return &conn{raw: raw, heads: heads, reader: bufio.NewReaderSize(heads, readBufferBytes), pool: pool, keepAlive: DefaultMaxIdle}
}

// headReader checks and limits the bytes of heads. It passes on those of bodies.
type headReader struct {
	source io.Reader
	// inHead is set while a head is read, of which remaining bytes may still arrive.
	inHead    bool
	remaining int
	scanner   reply.Scanner
}

// beginHead starts to check a head, given the bytes of it that have arrived already.
func (reader *headReader) beginHead(arrived []byte) error {
	reader.inHead, reader.remaining, reader.scanner = true, maxHeaderBytes, reply.Scanner{}
	_, err := reader.scanner.Scan(arrived)
	return err
}

func (reader *headReader) endHead() { reader.inHead = false }

// Read fails with errHeaderSize if a head is too long, and if it breaks the grammar.
func (reader *headReader) Read(buffer []byte) (int, error) {
	if !reader.inHead {
		return reader.source.Read(buffer)
	}
	if reader.remaining <= 0 {
		return 0, errHeaderSize
	}
	count, err := reader.source.Read(buffer[:min(len(buffer), reader.remaining)])
	reader.remaining -= count
	if _, scanErr := reader.scanner.Scan(buffer[:count]); scanErr != nil {
		return 0, scanErr
	}
	return count, err
}

func (conn *conn) close() {
	// The connection is not used again, so an error does not matter.
	_ = conn.raw.Close()
}

// reusable reports whether an idle connection is still open and has received no unexpected bytes.
func (conn *conn) reusable() bool {
	if conn.reader.Buffered() > 0 {
		return false
	}
	state := peek(conn.raw)
	return state == peekEmpty || state == peekUnknown
}

// peekState is the state of a connection's receive buffer.
type peekState int

const (
	// peekUnknown means that the connection has no file descriptor.
	peekUnknown peekState = iota
	// peekEmpty means that the connection is open without bytes to read.
	peekEmpty
	peekBytes
	// peekClosed means that the peer has closed or reset the connection.
	peekClosed
)

func peek(conn net.Conn) peekState {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return peekUnknown
	}
	raw, err := syscallConn.SyscallConn()
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

// allReceived reports whether the peer has acknowledged all bytes that were written to a connection, or true if that is not known.
func allReceived(conn net.Conn) bool {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	received := false
	err = raw.Control(func(descriptor uintptr) {
		unacknowledged, err := unix.IoctlGetInt(int(descriptor), unix.SIOCOUTQ)
		received = err != nil || unacknowledged == 0
	})
	return err == nil && received
}

// ClosedByPeer reports whether the peer has closed or reset a connection and all received bytes were read. It reads no bytes.
func ClosedByPeer(conn net.Conn) bool { return peek(conn) == peekClosed }

// HasUnread reports whether received bytes wait to be read. It reads none.
func HasUnread(conn net.Conn) bool { return peek(conn) == peekBytes }

func (conn *conn) roundTrip(ctx context.Context, request Request) (*Answer, error) {
	stop := context.AfterFunc(ctx, conn.close)
	writeDone := make(chan error, 1)
	head := conn.requestHead(request)
	if bodyBytes(request.Body) <= maxInlineBodyBytes {
		for _, piece := range request.Body {
			head = append(head, piece...)
		}
		_, err := conn.raw.Write(head)
		writeDone <- err
	} else {
		go func() {
			buffers := append(net.Buffers{head}, request.Body...)
			_, err := buffers.WriteTo(conn.raw)
			writeDone <- err
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
	return &Answer{Response: response, conn: conn, stopAfterFunc: stop, writeDone: writeDone}, nil
}

func bodyBytes(pieces [][]byte) int {
	total := 0
	for _, piece := range pieces {
		total += len(piece)
	}
	return total
}

func (conn *conn) requestHead(request Request) []byte {
	var head bytes.Buffer
	head.Grow(512)
	head.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	header := request.Header
	header.Del("Content-Length")
	// A bytes.Buffer never fails.
	_ = header.Write(&head)
	if length := bodyBytes(request.Body); length > 0 || (request.Method != http.MethodGet && request.Method != http.MethodHead) {
		head.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	}
	head.WriteString("\r\n")
	return head.Bytes()
}

// readResponse reads the response header for this request. It skips informational responses and answers to other requests.
func (conn *conn) readResponse(request Request) (*http.Response, error) {
	for range maxResponses {
		response, err := conn.readHeader(request.Method)
		if err != nil {
			return nil, err
		}
		if reply.IsInterim(response.StatusCode) {
			continue
		}
		if !reply.IsFinal(response.StatusCode) {
			return nil, reply.StatusError(response.StatusCode)
		}
		// On a reused connection, an answer without a request ID may be a duplicate that belongs to an earlier request.
		matches := request.Matches == nil || request.Matches(response) ||
			(!conn.reused && request.MatchesWithoutID != nil && request.MatchesWithoutID(response))
		if request.Observe != nil {
			request.Observe(response, matches)
		}
		if matches {
			return response, nil
		}
		count, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBytes))
		if err != nil || count == maxSkippedBytes || response.Close {
			return nil, errors.New("cannot skip the answer to another request")
		}
	}
	return nil, errors.New("too many informational responses or answers to other requests")
}

// readHeader reads the status line and header of a response.
func (conn *conn) readHeader(method string) (*http.Response, error) {
	buffered, err := conn.reader.Peek(conn.reader.Buffered())
	if err != nil {
		return nil, err
	}
	if err := conn.heads.beginHead(buffered); err != nil {
		return nil, err
	}
	defer conn.heads.endHead()
	return http.ReadResponse(conn.reader, &http.Request{Method: method})
}

// Answer is a response whose body may still be arriving.
type Answer struct {
	Response *http.Response

	conn          *conn
	stopAfterFunc func() bool
	// writeDone has the result of writing the request once it is written, until Close.
	writeDone chan error
	complete  bool
	closed    bool
	// abortCause is nil unless Abort was called.
	abortCause atomic.Pointer[error]
}

// Sent reports whether the request has been written, so that its body is no longer used.
func (answer *Answer) Sent() bool { return len(answer.writeDone) > 0 }

// Abort closes the connection, so that the upstream stops working and a pending Read returns cause. It may be called
// concurrently with Read.
func (answer *Answer) Abort(cause error) {
	if answer.abortCause.CompareAndSwap(nil, &cause) {
		answer.conn.close()
	}
}

// Read reads from the body. It returns io.EOF only at the end of a complete body.
func (answer *Answer) Read(buffer []byte) (int, error) {
	count, err := answer.Response.Body.Read(buffer)
	if err == io.EOF && answer.endIsGuessed() {
		err = reply.ErrEndsDuringUpload
	}
	cause := answer.abortCause.Load()
	switch {
	case cause != nil && err != nil:
		err = *cause
	case err == io.EOF:
		answer.complete = true
	}
	return count, err
}

// endIsGuessed reports whether the body ended with its connection before the upstream received the whole request.
func (answer *Answer) endIsGuessed() bool {
	if !reply.EndsWithConnection(answer.Response) || answer.Response.Body == http.NoBody {
		return false
	}
	// It ends the writing of the request, unless all of it was written. It fails only if the connection is closed.
	_ = answer.conn.raw.SetWriteDeadline(past)
	err := <-answer.writeDone
	answer.writeDone <- err
	return err != nil || !allReceived(answer.conn.raw)
}

// Close returns the connection to the pool if the request was written and the body read completely, and closes it otherwise.
func (answer *Answer) Close() {
	if answer.closed {
		return
	}
	answer.closed = true
	conn := answer.conn
	canceled := !answer.stopAfterFunc()
	wrote := false
	select {
	case err := <-answer.writeDone:
		wrote = err == nil
	default:
	}
	if canceled || answer.abortCause.Load() != nil || !wrote || !answer.complete || answer.Response.Close || conn.reader.Buffered() > 0 {
		conn.pool.drop(conn)
		return
	}
	conn.reused = true
	conn.keepAlive = keepAliveTimeout(answer.Response.Header)
	conn.pool.put(conn)
}

// keepAliveTimeout returns how long a connection may be reused after it became idle, according to the Keep-Alive header.
func keepAliveTimeout(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") && seconds > 0 {
			// The margin of a fifth covers network latency and clock differences.
			return min(time.Duration(seconds)*time.Second*4/5, DefaultMaxIdle)
		}
	}
	return DefaultMaxIdle
}
