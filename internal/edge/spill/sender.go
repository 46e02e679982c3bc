package spill

import (
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/clementinewind/clementinewind/internal/share/pause"
)

const (
	// tickTime is how often routers are chosen and callers that left are looked for. The work for a caller that has left must end
	// half a second later.
	tickTime = 100 * time.Millisecond
	// idleTime is how long connections to other routers stay open while nothing is handed over.
	idleTime = 10 * time.Second
	// silentTime is the time without a frame after which a connection to a router that is not heard any more is given up.
	silentTime = 2 * time.Second
	// declinedTime is how long a router is left alone that declined. It is mostly about to learn another configuration.
	declinedTime = 100 * time.Millisecond
	// mostPerCore bounds the requests at one router for each of its cores. A core serves three thousand short requests a second, or
	// as many streams of a second.
	mostPerCore = 2000.0
)

var (
	headEnd = []byte("\r\n\r\n")
	lineEnd = []byte("\r\n")
	// handedVersion ends the first line of a request that is handed over. An older one may have an answer that only the end of
	// the connection ends, so that a broken one would look complete.
	handedVersion = []byte(" HTTP/1.1")
)

// Helper is a router that takes requests.
type Helper struct {
	Address string
	// Cores is its processor time in a second, in seconds.
	Cores float64
}

// SenderConfig configures a Sender.
type SenderConfig struct {
	// Helpers returns the routers that may take requests now, and Alive reports whether one at an address is heard.
	Helpers func() []Helper
	// Most bounds the callers whose requests are handed over at a time; those beyond it are not taken.
	Most  int
	Alive func(address string) bool
	Dial  func(ctx context.Context, network, address string) (net.Conn, error)
	// Version returns the version of the configuration that is in force.
	Version func() int64
	// Declined and Lost return the answers to a request that was not taken, and to one that may have run, from its head.
	Declined func(head []byte) []byte
	Lost     func(head []byte) []byte
	Logger   hclog.Logger
}

// Sender hands requests to other routers. Its methods may be called by many goroutines.
type Sender struct {
	config SenderConfig
	// wake has an element after the first request in a while.
	wake chan struct{}

	mutex sync.Mutex
	lanes map[string]*lane
	calls map[*call]struct{}
	last  time.Time
	ended bool
}

// NewSender returns a sender.
func NewSender(config SenderConfig) *Sender {
	return &Sender{config: config, wake: make(chan struct{}, 1), lanes: map[string]*lane{}, calls: map[*call]struct{}{}}
}

// Len returns the number of callers whose requests were handed over and are not answered yet.
func (sender *Sender) Len() int {
	sender.mutex.Lock()
	defer sender.mutex.Unlock()
	return len(sender.calls)
}

// Hand hands over a whole request. It returns false if no router takes it; otherwise the sender answers and closes the descriptor of
// the caller, which must not block, and then calls done once.
func (sender *Sender) Hand(descriptor int, request []byte, done func()) bool {
	end := bytes.Index(request, headEnd)
	line, _, _ := bytes.Cut(request, lineEnd)
	if end < 0 || !bytes.HasSuffix(line, handedVersion) {
		return false
	}
	now := time.Now()
	sender.mutex.Lock()
	defer sender.mutex.Unlock()
	if sender.last = now; len(sender.lanes) == 0 {
		select {
		case sender.wake <- struct{}{}:
		default:
		}
		return false
	}
	lane := sender.pick(now)
	if lane == nil || sender.ended || len(sender.calls) >= sender.config.Most {
		return false
	}
	lane.number++
	call := &call{lane: lane, number: lane.number, descriptor: descriptor, head: bytes.Clone(request[:end+len(headEnd)]), done: done}
	lane.calls[call.number] = call
	sender.calls[call] = struct{}{}
	var version [versionBytes]byte
	binary.BigEndian.PutUint64(version[:], uint64(sender.config.Version()))
	lane.outbox.add(kindRequest, call.number, version[:], request)
	return true
}

// pick returns the lane with the fewest requests for the processor time of its router, or nil.
func (sender *Sender) pick(now time.Time) *lane {
	var best *lane
	least := mostPerCore
	for _, lane := range sender.lanes {
		if !lane.takes(now) {
			continue
		}
		if load := float64(len(lane.calls)+1) / lane.helper.Cores; load < least {
			best, least = lane, load
		}
	}
	return best
}

// Run keeps connections to other routers while requests are handed over, and looks after callers, until the context ends.
func (sender *Sender) Run(ctx context.Context) error {
	defer sender.end()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-sender.wake:
		}
		for sender.tick(ctx, time.Now()) {
			if err := pause.For(ctx, tickTime); err != nil {
				return err
			}
		}
	}
}

// tick reports whether it is to be called again.
func (sender *Sender) tick(ctx context.Context, now time.Time) bool {
	helpers := sender.config.Helpers()
	sender.mutex.Lock()
	defer sender.mutex.Unlock()
	sender.look(now)
	active := now.Sub(sender.last) < idleTime
	chosen := map[string]Helper{}
	if active {
		for _, helper := range helpers {
			chosen[helper.Address] = helper
		}
	}
	for address, lane := range sender.lanes {
		_, wanted := chosen[address]
		switch lane.retiring = !wanted; {
		case wanted:
		case len(lane.calls) == 0, lane.silent(now) && !sender.config.Alive(address):
			sender.drop(lane, "no longer needed, or silent")
		}
	}
	for address, helper := range chosen {
		if sender.lanes[address] == nil {
			started := &lane{sender: sender, helper: helper, calls: map[uint32]*call{}, heard: now}
			sender.lanes[address] = started
			go started.run(ctx)
		}
	}
	return active || len(sender.lanes) > 0 || len(sender.calls) > 0
}

// drop gives up a connection. The caller holds the mutex.
func (sender *Sender) drop(lane *lane, reason string) {
	if sender.lanes[lane.helper.Address] != lane {
		return
	}
	delete(sender.lanes, lane.helper.Address)
	lane.dropped = true
	if lane.outbox != nil {
		lane.outbox.close()
	}
	if len(lane.calls) > 0 {
		sender.config.Logger.Warn("connection to a router that took requests was lost", "Router", lane.helper.Address,
			"Requests", len(lane.calls), "Reason", reason)
	}
	for _, call := range lane.calls {
		call.lost()
	}
}

func (sender *Sender) end() {
	sender.mutex.Lock()
	defer sender.mutex.Unlock()
	sender.ended = true
	for _, lane := range sender.lanes {
		sender.drop(lane, "this router ends")
	}
	for call := range sender.calls {
		call.close()
	}
}
