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
	// DefaultIdle is how long an idle connection is kept when the upstream does not tell its own timeout.
	DefaultIdle = 3 * time.Second
	// OnceIdle is how long a connection may have been idle for a request that must not run twice: the end of an older one
	// may be on its way, and such a request cannot be sent again.
	OnceIdle = time.Second
	// DialTimeout is far above a round trip in a region; an upstream that needs longer does not serve in time anyway.
	DialTimeout = 300 * time.Millisecond
)

// Config configures a Pool.
type Config struct {
	Address string
	// Dial connects to the address.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Connections is the largest number of open connections.
	Connections int
	// Opened is called for each new connection; nil is not called.
	Opened func()
	// Delayed reports whether the process did not run for so much of the last DialTimeout that a connection which was not opened in
	// time says nothing of the upstream; nil never does.
	Delayed func() bool
}

// Pool holds the connections to one upstream. Its methods may be called by many goroutines.
type Pool struct {
	config Config

	mutex   sync.Mutex
	idle    []*conn
	open    int
	limit   int
	retired bool
}

// New returns a pool without connections.
func New(config Config) *Pool {
	return &Pool{config: config, limit: max(config.Connections, 1)}
}

// SetConnections changes the largest number of open connections.
func (pool *Pool) SetConnections(connections int) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.limit = max(connections, 1)
}

// Retire closes the idle connections and lets no new request start. Requests that run go on.
func (pool *Pool) Retire() {
	pool.mutex.Lock()
	pool.retired = true
	pool.mutex.Unlock()
	pool.CloseIdle()
}

// CloseIdle closes the idle connections.
func (pool *Pool) CloseIdle() {
	pool.mutex.Lock()
	idle := pool.idle
	pool.idle = nil
	pool.open -= len(idle)
	pool.mutex.Unlock()
	for _, conn := range idle {
		conn.close()
	}
}

// Request is one request to an upstream.
type Request struct {
	Method string
	// Target is the path and query as the caller wrote them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MaxIdle is how long the connection may have been idle.
	MaxIdle time.Duration
	// Mine reports whether an answer belongs to this request. Upstreams may send an answer to an earlier request late.
	Mine func(response *http.Response) bool
	// Unnamed reports whether an answer does not tell to which request it belongs, and may belong to this one if the
	// connection has served no other. Nil takes none of them.
	Unnamed func(response *http.Response) bool
	// Permitted reports whether the request may still be sent. It is asked after all waiting, just before the first byte.
	// Nil permits it.
	Permitted func() bool
}

// Do sends a request and returns when the header of its answer has arrived. The caller closes the answer. Canceling ctx
// closes the connection at any time until then, so that the upstream stops working.
func (pool *Pool) Do(ctx context.Context, request Request) (*Answer, error) {
	conn, err := pool.take(ctx, request.MaxIdle)
	if err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		// A caller that has left while the connection was opened gets no work started.
		pool.put(conn)
		return nil, &UnreachableError{Cause: err}
	}
	if request.Permitted != nil && !request.Permitted() {
		pool.put(conn)
		return nil, ErrExpired
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
			return pool.dial(ctx)
		}
		if conn.quiet() {
			return conn, nil
		}
		pool.drop(conn)
	}
}

// reserve takes an idle connection, or returns nil and reserves the place of a new one.
func (pool *Pool) reserve(maxIdle time.Duration) (*conn, error) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if pool.retired {
		return nil, ErrRetired
	}
	now := time.Now()
	for len(pool.idle) > 0 {
		newest := pool.idle[len(pool.idle)-1]
		if now.Sub(newest.idleSince) > min(maxIdle, newest.keep) {
			if maxIdle >= newest.keep {
				// All others have been idle for longer.
				pool.closeIdleLocked()
			}
			break
		}
		pool.idle = pool.idle[:len(pool.idle)-1]
		return newest, nil
	}
	if pool.open >= pool.limit {
		if len(pool.idle) == 0 {
			return nil, ErrBusy
		}
		pool.closeIdleLocked()
	}
	pool.open++
	return nil, nil
}

func (pool *Pool) closeIdleLocked() {
	for _, conn := range pool.idle {
		conn.close()
	}
	pool.open -= len(pool.idle)
	pool.idle = nil
}

func (pool *Pool) dial(ctx context.Context) (*conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	raw, err := pool.config.Dial(dialCtx, "tcp", pool.config.Address)
	if err != nil {
		pool.mutex.Lock()
		pool.open--
		pool.mutex.Unlock()
		delayed := isTimeout(err) && pool.config.Delayed != nil && pool.config.Delayed()
		if ctx.Err() != nil {
			err = errors.Wrap(ctx.Err(), err.Error())
		}
		return nil, &UnreachableError{Cause: err, Delayed: delayed}
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
	pool.open--
	pool.mutex.Unlock()
}

func (pool *Pool) put(conn *conn) {
	pool.mutex.Lock()
	if pool.retired || pool.open > pool.limit {
		pool.mutex.Unlock()
		pool.drop(conn)
		return
	}
	conn.idleSince = time.Now()
	pool.idle = append(pool.idle, conn)
	pool.mutex.Unlock()
}
