package spill

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

const (
	protocol = "Spill/1"
	// Path is where routers ask for a connection.
	Path = "/Spill"
	// acceptQueue is the number of requests that wait for the server. Those beyond it are declined.
	acceptQueue = 256
	// flushPoll is how often Flush looks whether all answers are written.
	flushPoll = 5 * time.Millisecond
)

// ReceiverConfig configures a Receiver.
type ReceiverConfig struct {
	// Address is the address of the router.
	Address net.Addr
	// Connections bounds the requests that are being served; those beyond it are declined.
	Connections int
	// Version returns the version of the configuration that is in force.
	Version func() int64
	// Delay returns how long pieces of an answer behind its first may wait for more, which callers see as a delay.
	Delay  func() time.Duration
	Logger hclog.Logger
}

// Receiver takes requests from other routers. It is a net.Listener whose connections are Conns, and the http.Handler for Path.
type Receiver struct {
	config   ReceiverConfig
	accepted chan *Conn
	closed   chan struct{}
	once     sync.Once

	open atomic.Int64

	mutex   sync.Mutex
	bearers map[*bearer]struct{}
}

var _ net.Listener = (*Receiver)(nil)

// NewReceiver returns a receiver.
func NewReceiver(config ReceiverConfig) *Receiver {
	return &Receiver{
		config: config, accepted: make(chan *Conn, acceptQueue), closed: make(chan struct{}), bearers: map[*bearer]struct{}{},
	}
}

// Accept implements net.Listener.
func (receiver *Receiver) Accept() (net.Conn, error) {
	select {
	case conn := <-receiver.accepted:
		return conn, nil
	case <-receiver.closed:
		return nil, net.ErrClosed
	}
}

// Addr implements net.Listener.
func (receiver *Receiver) Addr() net.Addr { return receiver.config.Address }

// Close declines new requests. Those that were accepted are served.
func (receiver *Receiver) Close() error {
	receiver.once.Do(func() { close(receiver.closed) })
	return nil
}

// Flush waits until what was answered is sent, for the given time at most, and closes all connections.
func (receiver *Receiver) Flush(most time.Duration) {
	for deadline := time.Now().Add(most); !receiver.flushed() && time.Now().Before(deadline); {
		time.Sleep(flushPoll)
	}
	receiver.mutex.Lock()
	defer receiver.mutex.Unlock()
	for bearer := range receiver.bearers {
		bearer.outbox.close()
	}
}

func (receiver *Receiver) flushed() bool {
	receiver.mutex.Lock()
	defer receiver.mutex.Unlock()
	for bearer := range receiver.bearers {
		if !bearer.flushed() {
			return false
		}
	}
	return true
}

// ServeHTTP takes requests from one router until the connection ends.
func (receiver *Receiver) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.Header.Get("Upgrade") != protocol {
		http.Error(writer, "Upgrade: want "+protocol, http.StatusUpgradeRequired)
		return
	}
	conn, buffered, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		receiver.config.Logger.Error("connection for requests of another router not taken over", "Error", err)
		http.Error(writer, "connection not taken over", http.StatusInternalServerError)
		return
	}
	bearer := &bearer{receiver: receiver, conn: conn, outbox: newOutbox(conn), conns: map[uint32]*Conn{}}
	defer bearer.end()
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return
	}
	if _, err := io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+protocol+"\r\n\r\n"); err != nil {
		return
	}
	receiver.mutex.Lock()
	receiver.bearers[bearer] = struct{}{}
	receiver.mutex.Unlock()
	go bearer.outbox.run()
	err = bearer.read(buffered.Reader)
	receiver.config.Logger.Info("requests of another router ended", "Router", conn.RemoteAddr(), "Error", err)
}

// enter reports whether one more request may be served.
func (receiver *Receiver) enter(conn *Conn) bool {
	select {
	case <-receiver.closed:
		return false
	default:
	}
	if receiver.open.Add(1) <= int64(receiver.config.Connections) {
		select {
		case receiver.accepted <- conn:
			return true
		default:
		}
	}
	receiver.open.Add(-1)
	return false
}

// bearer is the connection of one router with the requests that come over it.
type bearer struct {
	receiver *Receiver
	conn     net.Conn
	outbox   *outbox

	mutex sync.Mutex
	conns map[uint32]*Conn
	// ready are those with something to send, and timed is set while a timer runs that will send it.
	ready []*Conn
	timed bool
}

func (bearer *bearer) read(reader *bufio.Reader) error {
	frames := frames{reader: reader}
	for {
		read, err := frames.next()
		if err != nil {
			return err
		}
		switch read.kind {
		case kindRequest:
			if len(read.content) < versionBytes {
				return errors.New("request without a version")
			}
			bearer.take(read.number, int64(binary.BigEndian.Uint64(read.content)), read.content[versionBytes:])
		case kindLeft:
			bearer.left(read.number)
		default:
			return errors.Errorf("frame %v from a router that hands over", read.kind)
		}
	}
}

// take passes a request to the server. One that may be handled by an older or newer configuration than at the other router is
// declined.
func (bearer *bearer) take(number uint32, version int64, request []byte) {
	conn := &Conn{bearer: bearer, number: number, changed: sync.NewCond(&bearer.mutex), unread: append([]byte(nil), request...)}
	bearer.mutex.Lock()
	bearer.conns[number] = conn
	bearer.mutex.Unlock()
	if version == bearer.receiver.config.Version() && bearer.receiver.enter(conn) {
		return
	}
	bearer.mutex.Lock()
	delete(bearer.conns, number)
	bearer.mutex.Unlock()
	bearer.outbox.add(kindDeclined, number)
}

func (bearer *bearer) left(number uint32) {
	bearer.mutex.Lock()
	defer bearer.mutex.Unlock()
	if conn, ok := bearer.conns[number]; ok {
		conn.left = true
		conn.changed.Broadcast()
	}
}

// queue has the bytes that a connection has to send sent, with those that come within the delay. The caller holds the mutex.
func (bearer *bearer) queue(conn *Conn) {
	if !conn.queued {
		conn.queued = true
		bearer.ready = append(bearer.ready, conn)
	}
	if !bearer.timed {
		bearer.timed = true
		time.AfterFunc(bearer.receiver.config.Delay(), func() {
			bearer.mutex.Lock()
			defer bearer.mutex.Unlock()
			bearer.timed = false
			bearer.flush()
		})
	}
}

// flush sends what all connections have to send. The caller holds the mutex.
func (bearer *bearer) flush() {
	if bearer.outbox.congested(time.Now()) {
		if len(bearer.ready) > 0 {
			bearer.queue(bearer.ready[0])
		}
		return
	}
	for _, conn := range bearer.ready {
		for rest := conn.pending; len(rest) > 0; {
			count := min(len(rest), maxContent)
			bearer.outbox.add(kindAnswer, conn.number, rest[:count])
			rest = rest[count:]
		}
		conn.pending, conn.queued = conn.pending[:0], false
		if conn.closed {
			bearer.outbox.add(kindEnd, conn.number)
		}
		conn.changed.Broadcast()
	}
	clear(bearer.ready)
	bearer.ready = bearer.ready[:0]
}

func (bearer *bearer) flushed() bool {
	bearer.mutex.Lock()
	defer bearer.mutex.Unlock()
	return len(bearer.ready) == 0 && bearer.outbox.empty()
}

// end tells all connections that their callers cannot be reached.
func (bearer *bearer) end() {
	bearer.outbox.close()
	bearer.receiver.mutex.Lock()
	delete(bearer.receiver.bearers, bearer)
	bearer.receiver.mutex.Unlock()
	bearer.mutex.Lock()
	defer bearer.mutex.Unlock()
	for _, conn := range bearer.conns {
		conn.left = true
		conn.changed.Broadcast()
	}
}
