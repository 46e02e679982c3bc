package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"strconv"

	"github.com/pkg/errors"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"github.com/clementinewind/clementinewind/internal/share/reply"
)

const (
	frameHeaderBytes = 9
	// frameTypeIndex and frameFlagsIndex are positions in the header of a frame, which begins with the length of its payload.
	frameTypeIndex  = 3
	frameFlagsIndex = 4
	statusDigits    = 3
	// maxHeadBytes limits the frames of the head of a response. Routers send less than 1 KiB.
	maxHeadBytes = 64 << 10
	// headerTableBytes is the size of the table that compresses heads unless the client asks for another one, as grpc-go does not.
	headerTableBytes = 4 << 10
)

// checkHeads makes connections check the heads of responses. grpc-go does not look at the status of one whose content type is its own.
func checkHeads(dial func(ctx context.Context, address string) (net.Conn, error)) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		dialled, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return newHeadConn(dialled), nil
	}
}

// headConn is the client's side of an HTTP/2 connection. Its Read fails at a response whose status is missing or neither informational nor
// final. One goroutine at a time may read.
type headConn struct {
	net.Conn
	// frame has what arrived of the header of the current frame, and remaining is the size of its payload that has not arrived yet.
	frame     []byte
	remaining int
	// head has the frames of an unfinished head. The framer, whose decoder knows the earlier heads, reads it when it is whole.
	head   bytes.Buffer
	framer *http2.Framer
}

func newHeadConn(dialled net.Conn) *headConn {
	conn := &headConn{Conn: dialled}
	conn.framer = http2.NewFramer(nil, &conn.head)
	conn.framer.ReadMetaHeaders = hpack.NewDecoder(headerTableBytes, nil)
	return conn
}

// Read implements net.Conn.
func (conn *headConn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	for arrived := buffer[:count]; len(arrived) > 0; {
		var headErr error
		if arrived, headErr = conn.scan(arrived); headErr != nil {
			return 0, headErr
		}
	}
	return count, err
}

// scan reads a part of a frame and returns the bytes after it.
func (conn *headConn) scan(arrived []byte) ([]byte, error) {
	if missing := frameHeaderBytes - len(conn.frame); missing > 0 {
		size := min(missing, len(arrived))
		conn.frame = append(conn.frame, arrived[:size]...)
		if size < missing {
			return nil, nil
		}
		conn.remaining = int(binary.BigEndian.Uint32(conn.frame) >> 8)
		return arrived[size:], conn.take(conn.frame)
	}
	size := min(conn.remaining, len(arrived))
	conn.remaining -= size
	return arrived[size:], conn.take(arrived[:size])
}

// take keeps the next bytes of the current frame if it is a part of a head, and ends the frame with its last ones.
func (conn *headConn) take(next []byte) error {
	if conn.isHead() {
		if conn.head.Len()+len(next) > maxHeadBytes {
			return errors.Errorf("head of a response exceeds %d bytes", maxHeadBytes)
		}
		conn.head.Write(next)
	}
	if conn.remaining > 0 {
		return nil
	}
	err := conn.endFrame()
	conn.frame = conn.frame[:0]
	return err
}

// isHead reports whether the current frame is a part of a head.
func (conn *headConn) isHead() bool {
	switch http2.FrameType(conn.frame[frameTypeIndex]) {
	case http2.FrameHeaders, http2.FrameContinuation:
		return true
	default:
		return false
	}
}

// endFrame checks the status of the head that ends with the current frame, if one does. Other faults are left to grpc-go, which reads the
// same frames.
func (conn *headConn) endFrame() error {
	if !conn.isHead() || !http2.Flags(conn.frame[frameFlagsIndex]).Has(http2.FlagHeadersEndHeaders) {
		return nil
	}
	defer conn.head.Reset()
	read, err := conn.framer.ReadFrame()
	if err != nil {
		return nil
	}
	head, ok := read.(*http2.MetaHeadersFrame)
	if !ok {
		return nil
	}
	text := head.PseudoValue("status")
	if text == "" {
		if head.StreamEnded() {
			// Trailers have no status.
			return nil
		}
		return errors.New("response has no status")
	}
	status, err := strconv.ParseUint(text, 10, 16)
	if err != nil || len(text) != statusDigits || !reply.IsInterim(int(status)) && !reply.IsFinal(int(status)) {
		return errors.Errorf("status %q cannot be that of an answer", text)
	}
	return nil
}
