package relay

import (
	"io"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/load/board"
	"github.com/clementinewind/clementinewind/internal/share/bound"
)

const (
	// bodyFreeBytes is the part of each body that does not count.
	bodyFreeBytes = 4 << 10
	// firstPieceBytes is the size of the first piece of a body whose length is not known, maxPieceBytes that of the largest one.
	firstPieceBytes = 4 << 10
	maxPieceBytes   = 64 << 10
	// ReceiveBufferBytes is the size of the receive buffer of a connection. The kernel keeps what a slow reader has not read in it, and
	// would let it grow to several MB. With a round trip of 2 ms, 32 MB/s pass through it.
	ReceiveBufferBytes = 64 << 10
	// memoryWait is how long a body waits for memory before it is refused, memoryPoll how often it asks for it.
	memoryWait = 500 * time.Millisecond
	memoryPoll = 50 * time.Millisecond
	// memoryRetryAfter is the Retry-After of a request that is refused for lack of memory.
	memoryRetryAfter = minRetryAfter
	// waitingDivisor divides the budget; the quotient is the part that may be unread in the receive buffers of bodies that wait.
	waitingDivisor = 8
	// uploadDivisor divides the budget; the quotient is what one upstream may hold in large bodies that it has not read.
	uploadDivisor = 3
)

// past is a deadline that has always expired.
var past = time.Unix(1, 0)

var (
	errNoMemory = errors.New("the memory for requests is used up")
	errEvicted  = errors.New("the body stopped while others needed its memory")
)

// owner returns on whose behalf the router holds memory for the request.
func (exchange *exchange) owner() bound.Owner {
	owner := bound.Owner{Organisation: string(exchange.organisation)}
	if address, err := netip.ParseAddrPort(exchange.request.RemoteAddr); err == nil {
		owner.Address = address.Addr()
	}
	return owner
}

// claimBody starts to count the body of the request.
func (exchange *exchange) claimBody() *bound.Reservation {
	return exchange.relay.memory.Claim(bound.Claim{
		Kind: bound.KindBody, Owner: exchange.owner(), Free: bodyFreeBytes,
		// It fails only for writers without a connection.
		Evict: func() { _ = http.NewResponseController(exchange.writer).SetReadDeadline(past) },
	})
}

// claimAnswer starts to count an answer. The caller's connection fails when the answer is evicted.
func (exchange *exchange) claimAnswer(kind bound.Kind) *bound.Reservation {
	return exchange.relay.memory.Claim(bound.Claim{
		Kind: kind, Owner: exchange.owner(), Free: freeBufferBytes,
		Evict: func() { _ = http.NewResponseController(exchange.writer).SetWriteDeadline(past) },
	})
}

// releaseBody gives up the body of a request that is not sent again.
func (exchange *exchange) releaseBody() {
	exchange.body, exchange.bodyBytes = nil, 0
	if exchange.bodyMemory != nil {
		exchange.bodyMemory.Release()
	}
}

// releaseMemory gives up all that the request still holds.
func (exchange *exchange) releaseMemory() {
	exchange.releaseBody()
	if exchange.fallback != nil {
		exchange.fallback.memory.Release()
	}
}

// startUpload counts a large body to its upstream until the returned function is called. It reports false if the upstream holds too many
// that it has not read.
func (exchange *exchange) startUpload(ticket *board.Ticket) (finish func(), ok bool) {
	upstream, bytes := ticket.Entry.Upstream, int64(exchange.bodyBytes)
	if bytes <= maxPieceBytes {
		return func() {}, true
	}
	if !exchange.relay.uploads.Add(upstream, bytes) {
		ticket.End(board.ResultDeclined, time.Now())
		exchange.logger.Info("upstream reads too slowly", "Request", exchange.call.RequestID, "Upstream", upstream, "Bytes", bytes)
		return nil, false
	}
	return sync.OnceFunc(func() { exchange.relay.uploads.Remove(upstream, bytes) }), true
}

// intake reads the body of a request in pieces, and takes memory for them as they arrive.
type intake struct {
	memory *bound.Reservation
	budget *bound.Budget
	// waiting has one element per body that waits for memory.
	waiting chan struct{}
	// declared is the length of the body, or -1.
	declared int64
	deadline time.Time
	pieces   [][]byte
	// total is the number of bytes that arrived, capacity the size of all pieces, and held what the body may hold.
	total, capacity, held int
}

// read reads to the end of the body. Its error is errNoMemory or errEvicted if the limits of the router end it.
func (intake *intake) read(body io.Reader) error {
	if intake.declared > 0 {
		// A body that has begun must not wait for memory that other unfinished bodies hold.
		if err := intake.hold(int(intake.declared)); err != nil {
			return err
		}
	}
	for {
		if intake.total == intake.capacity {
			if err := intake.grow(); err != nil {
				return err
			}
		}
		last := len(intake.pieces) - 1
		piece := intake.pieces[last]
		count, err := body.Read(piece[len(piece):cap(piece)])
		intake.pieces[last] = piece[:len(piece)+count]
		intake.total += count
		switch {
		case intake.memory.Evicted():
			return errEvicted
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
		intake.memory.Moved(count, time.Now())
	}
}

// grow adds a piece.
func (intake *intake) grow() error {
	size := min(max(intake.capacity, firstPieceBytes), maxPieceBytes)
	if intake.declared > int64(intake.total) {
		size = int(min(intake.declared-int64(intake.total), maxPieceBytes))
	}
	if intake.capacity+size > intake.held {
		if err := intake.hold(max(intake.capacity+size, 2*intake.held)); err != nil {
			return err
		}
	}
	intake.pieces = append(intake.pieces, make([]byte, 0, size))
	intake.capacity += size
	return nil
}

// hold takes memory for a number of bytes, and waits for it if there is none.
func (intake *intake) hold(bytes int) error {
	counted := bytes
	if bytes > maxPieceBytes {
		counted += ReceiveBufferBytes
	}
	if intake.memory.Hold(counted) {
		intake.held = bytes
		return nil
	}
	select {
	case intake.waiting <- struct{}{}:
		defer func() { <-intake.waiting }()
	default:
		return errNoMemory
	}
	timer := time.NewTimer(memoryPoll)
	defer timer.Stop()
	for end := time.Now().Add(memoryWait); ; {
		freed, now := intake.budget.Freed(), time.Now()
		intake.memory.MakeRoom(counted, now)
		switch {
		case intake.memory.Evicted():
			return errEvicted
		case intake.memory.Hold(counted):
			intake.held = bytes
			intake.memory.Refresh(time.Now())
			return nil
		case now.After(end), now.After(intake.deadline):
			return errNoMemory
		}
		intake.memory.Refresh(now)
		timer.Reset(memoryPoll)
		select {
		case <-freed:
		case <-timer.C:
		}
	}
}

// readBody reads the request body, until the deadline of the request and for defaultTimeout at most. If it returns false, it has answered
// the request.
func (exchange *exchange) readBody() bool {
	limit := exchange.table.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	declared := exchange.request.ContentLength
	if declared == 0 {
		return true
	}
	if declared > limit {
		exchange.writer.Header().Set("Connection", "close")
		return exchange.reject(http.StatusRequestEntityTooLarge, clementinewind.ReasonInvalid, "body too large")
	}
	deadline := exchange.arrived.Add(defaultTimeout)
	if exchange.deadline.Before(deadline) {
		deadline = exchange.deadline
	}
	connection := http.NewResponseController(exchange.writer)
	// It fails only for writers without a connection.
	_ = connection.SetReadDeadline(deadline)
	exchange.bodyMemory = exchange.claimBody()
	exchange.bodyMemory.Await(time.Now())
	intake := intake{
		memory: exchange.bodyMemory, budget: exchange.relay.memory, waiting: exchange.relay.waitingBodies, declared: declared, deadline: deadline,
	}
	err := intake.read(http.MaxBytesReader(exchange.writer, exchange.request.Body, limit))
	if !exchange.bodyMemory.Settle() {
		err = errEvicted
	}
	if err == nil {
		_ = connection.SetReadDeadline(time.Time{})
		exchange.body, exchange.bodyBytes = intake.pieces, intake.total
		exchange.bodyMemory.SetKind(bound.KindUpload)
		if intake.held > bodyFreeBytes {
			// Nothing is left in the receive buffer. It cannot fail, because it holds no more than before.
			_ = exchange.bodyMemory.Hold(intake.capacity)
		}
		return true
	}
	exchange.releaseBody()
	return exchange.rejectBody(err)
}

// rejectBody answers a request whose body was not read to its end. Nothing was sent on.
func (exchange *exchange) rejectBody(err error) bool {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errNoMemory), errors.Is(err, errEvicted):
		// The rest of the body is not read.
		exchange.writer.Header().Set("Connection", "close")
		return exchange.rejectUnavailable(clementinewind.ReasonBusy, memoryRetryAfter, err.Error())
	case errors.Is(err, os.ErrDeadlineExceeded):
		exchange.writer.Header().Set("Connection", "close")
		return exchange.reject(http.StatusRequestTimeout, clementinewind.ReasonDeadline, "the body did not arrive in time")
	case errors.As(err, &tooLarge):
		return exchange.reject(http.StatusRequestEntityTooLarge, clementinewind.ReasonInvalid, "body too large")
	case exchange.request.Context().Err() != nil:
		exchange.abandon("caller left while it sent the body")
	}
	return exchange.reject(http.StatusBadRequest, clementinewind.ReasonInvalid, err.Error())
}
