package spill

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// upgradeTimeout bounds the wait for the answer of a router that is asked to take requests.
	upgradeTimeout = time.Second
	// laneBytes is the buffer for frames, which arrive many at a time.
	laneBytes = 64 << 10
	// retryTime is the pause after a connection failed.
	retryTime = time.Second
)

// lane is a connection to a router that takes requests. The mutex of the sender guards its fields.
type lane struct {
	sender *Sender
	helper Helper
	// outbox is nil until the connection is open.
	outbox *outbox
	number uint32
	calls  map[uint32]*call
	// heard is when the last frame arrived, and declined when the last request was declined.
	heard, declined time.Time
	// retiring is set while nothing more is handed over, and dropped once the connection is given up.
	retiring, dropped bool
}

func (lane *lane) takes(now time.Time) bool {
	return lane.outbox != nil && !lane.retiring && now.Sub(lane.declined) > declinedTime && !lane.outbox.congested(now)
}

func (lane *lane) silent(now time.Time) bool { return now.Sub(lane.heard) > silentTime }

// run connects and reads answers until the connection ends.
func (lane *lane) run(ctx context.Context) {
	sender := lane.sender
	err := lane.serve(ctx)
	sender.mutex.Lock()
	connected := lane.outbox != nil
	sender.mutex.Unlock()
	if !connected {
		sender.config.Logger.Info("router takes no requests", "Router", lane.helper.Address, "Error", err)
		// The lane stays for a moment, so that the router is not asked again at once.
		select {
		case <-ctx.Done():
		case <-time.After(retryTime):
		}
	}
	sender.mutex.Lock()
	defer sender.mutex.Unlock()
	sender.drop(lane, err.Error())
}

func (lane *lane) serve(ctx context.Context) error {
	sender := lane.sender
	conn, err := sender.config.Dial(ctx, "tcp", lane.helper.Address)
	if err != nil {
		return err
	}
	reader, err := upgrade(conn, lane.helper.Address)
	if err != nil {
		// The connection is given up; an error of its close changes nothing.
		_ = conn.Close()
		return err
	}
	outbox := newOutbox(conn)
	defer outbox.close()
	sender.mutex.Lock()
	if lane.dropped {
		sender.mutex.Unlock()
		return errors.New("no longer needed")
	}
	lane.outbox = outbox
	sender.mutex.Unlock()
	go outbox.run()
	sender.config.Logger.Info("router takes requests", "Router", lane.helper.Address)
	frames := frames{reader: reader}
	for {
		read, err := frames.next()
		if err != nil {
			return err
		}
		if err := lane.handle(read); err != nil {
			return err
		}
	}
}

func upgrade(conn net.Conn, address string) (*bufio.Reader, error) {
	if err := conn.SetDeadline(time.Now().Add(upgradeTimeout)); err != nil {
		return nil, err
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+address+Path, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Connection", "Upgrade")
	request.Header.Set("Upgrade", protocol)
	if err := request.Write(conn); err != nil {
		return nil, err
	}
	reader := bufio.NewReaderSize(conn, laneBytes)
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusSwitchingProtocols {
		return nil, errors.Errorf("answer %d to the request to take requests", response.StatusCode)
	}
	return reader, conn.SetDeadline(time.Time{})
}

// handle delivers what the router says about a request. Requests that are no longer known had callers that left.
func (lane *lane) handle(read frame) error {
	sender := lane.sender
	sender.mutex.Lock()
	defer sender.mutex.Unlock()
	now := time.Now()
	lane.heard = now
	call, known := lane.calls[read.number]
	switch read.kind {
	case kindAnswer:
		if known {
			call.deliver(read.content, now)
		}
	case kindEnd:
		if known {
			call.finish()
		}
	case kindDeclined:
		lane.declined = now
		switch {
		case known && call.started:
			return errors.New("a request was declined whose answer had begun")
		case known:
			call.deliver(sender.config.Declined(call.head), now)
			call.finish()
		}
	default:
		return errors.Errorf("frame %v from a router that takes requests", read.kind)
	}
	return nil
}
