package link

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// DefaultMaxIdle is how long an idle connection may be reused if the upstream announces no shorter timeout.
	DefaultMaxIdle = 3 * time.Second
	// OnceMaxIdle is the idle limit for requests that cannot be retried. The longer a connection is idle, the more likely the
	// upstream is just closing it.
	OnceMaxIdle = time.Second
	// NoReuse is the idle limit for requests that need a new connection.
	NoReuse = -time.Second
	// DialTimeout is far above a round trip within a region. A slower upstream could not answer in time.
	DialTimeout = 300 * time.Millisecond
)

// Config configures a Pool.
type Config struct {
	Address string
	Dial    func(ctx context.Context, network, address string) (net.Conn, error)
	// MaxConnections limits the open connections.
	MaxConnections int
	// Opened is called for each new connection; it may be nil.
	Opened func()
	// Limit limits the connections of all pools together; nil means no limit.
	Limit *Limit
	// ProcessStalled reports whether this process was not scheduled for so much of the last DialTimeout that a dial timeout
	// says nothing about the upstream; nil means never.
	ProcessStalled func() bool
}

// Pool is a pool of connections to one upstream. It is safe for concurrent use.
type Pool struct {
	config Config

	mutex          sync.Mutex
	idle           []*conn
	openCount      int
	maxConnections int
	closed         bool
}

// New returns a pool without connections.
func New(config Config) *Pool {
	return &Pool{config: config, maxConnections: max(config.MaxConnections, 1)}
}

// SetMaxConnections changes the limit of open connections.
func (pool *Pool) SetMaxConnections(limit int) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.maxConnections = max(limit, 1)
}

// Close closes the idle connections and rejects new requests. Requests in flight continue.
func (pool *Pool) Close() {
	pool.mutex.Lock()
	pool.closed = true
	pool.mutex.Unlock()
	pool.CloseIdle()
}

// CloseIdle closes the idle connections.
func (pool *Pool) CloseIdle() {
	pool.mutex.Lock()
	idle := pool.idle
	pool.idle = nil
	pool.openCount -= len(idle)
	pool.mutex.Unlock()
	for _, conn := range idle {
		conn.close()
	}
	pool.config.Limit.release(len(idle))
}

// Request is one request to an upstream.
type Request struct {
	Method string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Host   string
	Header http.Header
	// Body has the pieces of the body.
	Body [][]byte
	// MaxIdle limits how long a reused connection may have been idle.
	MaxIdle time.Duration
	// Matches reports whether a response belongs to this request; nil accepts every response. An upstream may send the answer
	// to an earlier request late.
	Matches func(response *http.Response) bool
	// MatchesWithoutID reports whether to accept a response without a request ID on a connection that served no earlier
	// request; nil accepts none.
	MatchesWithoutID func(response *http.Response) bool
	// Observe is called with each response header that arrives, also of answers to other requests; it may be nil.
	Observe func(response *http.Response, matches bool)
	// Permitted reports whether the request may still be sent. It is called just before the first byte is written; nil means
	// always.
	Permitted func() bool
}

// Do sends a request and returns when the response header has arrived. The caller must close the Answer. Until then, the end
// of ctx closes the connection, so that the upstream stops working.
func (pool *Pool) Do(ctx context.Context, request Request) (*Answer, error) {
	conn, err := pool.take(ctx, request.MaxIdle)
	if err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		// The caller may have disconnected, or the attempt timed out, while the connection was being opened.
		pool.put(conn)
		return nil, &UnreachableError{Cause: err}
	}
	if request.Permitted != nil && !request.Permitted() {
		pool.put(conn)
		return nil, ErrNotPermitted
	}
	answer, err := conn.roundTrip(ctx, request)
	if err != nil {
		pool.drop(conn)
		return nil, err
	}
	return answer, nil
}

func (pool *Pool) take(ctx context.Context, maxIdle time.Duration) (*conn, error) {
	for {
		conn, err := pool.reserve(maxIdle)
		if err != nil {
			return nil, err
		}
		if conn == nil {
			if !pool.config.Limit.acquire() {
				pool.mutex.Lock()
				pool.openCount--
				pool.mutex.Unlock()
				return nil, ErrPoolExhausted
			}
			return pool.dial(ctx)
		}
		if conn.reusable() {
			return conn, nil
		}
		pool.drop(conn)
	}
}

// reserve takes an idle connection from the pool. It returns nil after it has reserved capacity for a new one.
func (pool *Pool) reserve(maxIdle time.Duration) (*conn, error) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.closed {
		return nil, ErrPoolClosed
	}
	now := time.Now()
	for len(pool.idle) > 0 {
		newest := pool.idle[len(pool.idle)-1]
		if now.Sub(newest.idleSince) > min(maxIdle, newest.keepAlive) {
			if maxIdle >= newest.keepAlive {
				// The other connections have been idle for even longer.
				pool.closeIdleLocked()
			}
			break
		}
		pool.idle = pool.idle[:len(pool.idle)-1]
		return newest, nil
	}
	if pool.openCount >= pool.maxConnections {
		if len(pool.idle) == 0 {
			return nil, ErrPoolExhausted
		}
		pool.closeIdleLocked()
	}
	pool.openCount++
	return nil, nil
}

func (pool *Pool) closeIdleLocked() {
	for _, conn := range pool.idle {
		conn.close()
	}
	pool.openCount -= len(pool.idle)
	pool.config.Limit.release(len(pool.idle))
	pool.idle = nil
}

func (pool *Pool) dial(ctx context.Context) (*conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	raw, err := pool.config.Dial(dialCtx, "tcp", pool.config.Address)
	if err != nil {
		pool.mutex.Lock()
		pool.openCount--
		pool.mutex.Unlock()
		pool.config.Limit.release(1)
		stalled := isTimeout(err) && pool.config.ProcessStalled != nil && pool.config.ProcessStalled()
		if ctx.Err() != nil {
			err = errors.Wrap(ctx.Err(), err.Error())
		}
		return nil, &UnreachableError{Cause: err, ProcessStalled: stalled}
	}
	if pool.config.Opened != nil {
		pool.config.Opened()
	}
	return newConn(raw, pool), nil
}

func isTimeout(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}

func (pool *Pool) drop(conn *conn) {
	conn.close()
	pool.mutex.Lock()
	pool.openCount--
	pool.mutex.Unlock()
	pool.config.Limit.release(1)
}

func (pool *Pool) put(conn *conn) {
	pool.mutex.Lock()
	if pool.closed || pool.openCount > pool.maxConnections {
		pool.mutex.Unlock()
		pool.drop(conn)
		return
	}
	conn.idleSince = time.Now()
	pool.idle = append(pool.idle, conn)
	pool.mutex.Unlock()
}
