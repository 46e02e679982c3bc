package slope

import (
	"context"
	"encoding/binary"
	"net"
	"strings"
	"sync"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/protobuf/proto"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/wire/peerv1"
)

const (
	frameHeaderBytes = 9
	grpcHeaderBytes  = 5
	exchangeMethod   = "/Exchange"
)

// counts holds the bytes on tapped connections, and the numbers of log calls, answers and tokens, by kind.
type counts struct {
	mu     sync.Mutex
	totals map[string]int
}

func newCounts() *counts { return &counts{totals: map[string]int{}} }

func (counts *counts) add(kind string, amount int) {
	counts.mu.Lock()
	defer counts.mu.Unlock()
	counts.totals[kind] += amount
}

// take returns the counts and resets them to zero.
func (counts *counts) take() map[string]int {
	counts.mu.Lock()
	defer counts.mu.Unlock()
	taken := counts.totals
	counts.totals = map[string]int{}
	return taken
}

// plainTap counts all bytes of a connection as one kind.
type plainTap struct {
	net.Conn
	counts *counts
	kind   string
}

func (tap *plainTap) Read(data []byte) (int, error) {
	n, err := tap.Conn.Read(data)
	tap.counts.add(tap.kind, n)
	return n, err
}

func (tap *plainTap) Write(data []byte) (int, error) {
	n, err := tap.Conn.Write(data)
	tap.counts.add(tap.kind, n)
	return n, err
}

// peerTap parses the HTTP/2 frames of a connection between two routers and counts their bytes by kind.
type peerTap struct {
	net.Conn
	counts *counts

	mu                      sync.Mutex
	unparsedOut, unparsedIn []byte
	prefaceLeft             int
	decoder                 *hpack.Decoder
	methods                 map[uint32]string
	unparsedMessages        map[uint32][]byte
}

func newPeerTap(conn net.Conn, counts *counts) *peerTap {
	tap := &peerTap{
		Conn: conn, counts: counts, prefaceLeft: len(http2.ClientPreface),
		methods: map[uint32]string{}, unparsedMessages: map[uint32][]byte{},
	}
	tap.decoder = hpack.NewDecoder(4096, nil)
	return tap
}

func (tap *peerTap) Write(data []byte) (int, error) {
	n, err := tap.Conn.Write(data)
	tap.mu.Lock()
	defer tap.mu.Unlock()
	written := data[:n]
	skip := min(tap.prefaceLeft, len(written))
	tap.prefaceLeft -= skip
	tap.counts.add("connection", skip)
	tap.unparsedOut = tap.parse(append(tap.unparsedOut, written[skip:]...), true)
	return n, err
}

func (tap *peerTap) Read(data []byte) (int, error) {
	n, err := tap.Conn.Read(data)
	tap.mu.Lock()
	defer tap.mu.Unlock()
	tap.unparsedIn = tap.parse(append(tap.unparsedIn, data[:n]...), false)
	return n, err
}

// parse counts the complete frames in a buffer and returns the rest.
func (tap *peerTap) parse(buffer []byte, out bool) []byte {
	for len(buffer) >= frameHeaderBytes {
		length := int(buffer[0])<<16 | int(buffer[1])<<8 | int(buffer[2])
		if len(buffer) < frameHeaderBytes+length {
			break
		}
		kind, stream := http2.FrameType(buffer[3]), binary.BigEndian.Uint32(buffer[5:9])
		tap.countFrame(kind, stream, buffer[frameHeaderBytes:frameHeaderBytes+length], out)
		buffer = buffer[frameHeaderBytes+length:]
	}
	return buffer
}

func (tap *peerTap) countFrame(kind http2.FrameType, stream uint32, payload []byte, out bool) {
	size := frameHeaderBytes + len(payload)
	if kind == http2.FrameHeaders && out {
		fields, err := tap.decoder.DecodeFull(payload)
		for _, field := range fields {
			if err == nil && field.Name == ":path" {
				tap.methods[stream] = field.Value
			}
		}
	}
	method := tap.methods[stream]
	switch {
	case kind == http2.FramePing:
		tap.counts.add("pings", size)
	case stream == 0:
		tap.counts.add("connection", size)
	case !strings.HasSuffix(method, exchangeMethod):
		tap.counts.add("requests", size)
	case kind == http2.FrameData && out:
		tap.counts.add("envelope", frameHeaderBytes)
		tap.countControlFrames(stream, payload)
	default:
		tap.counts.add("connection", size)
	}
}

// countControlFrames counts the parts of the control frames in the payload of a DATA frame. An incomplete control frame
// is kept for the next payload of the stream.
func (tap *peerTap) countControlFrames(stream uint32, payload []byte) {
	buffer := append(tap.unparsedMessages[stream], payload...)
	for len(buffer) >= grpcHeaderBytes {
		length := int(binary.BigEndian.Uint32(buffer[1:grpcHeaderBytes]))
		if len(buffer) < grpcHeaderBytes+length {
			break
		}
		var frame peerv1.ControlFrame
		if err := proto.Unmarshal(buffer[grpcHeaderBytes:grpcHeaderBytes+length], &frame); err == nil {
			tap.countParts(&frame, grpcHeaderBytes+length)
		}
		buffer = buffer[grpcHeaderBytes+length:]
	}
	tap.unparsedMessages[stream] = buffer
}

func (tap *peerTap) countParts(frame *peerv1.ControlFrame, size int) {
	for kind, part := range map[string]*peerv1.ControlFrame{
		"heartbeats": {Heartbeat: frame.Heartbeat},
		"asks":       {Asks: frame.Asks},
		"grants":     {Grants: frame.Grants, Returns: frame.Returns},
		"services":   {Services: frame.Services},
		"spares":     {Spares: frame.Spares},
		"markers":    {StopMarkers: frame.StopMarkers},
	} {
		if bytes := proto.Size(part); bytes > 0 {
			tap.counts.add(kind, bytes)
			size -= bytes
		}
	}
	tap.counts.add("envelope", size)
}

// tappedLog counts the calls of a log. While it is cut, calls block until their context ends.
type tappedLog struct {
	clementinewind.Log
	counts *counts
	mu     sync.Mutex
	cut    bool
}

func (log *tappedLog) setCut(cut bool) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.cut = cut
}

func (log *tappedLog) isCut() bool {
	log.mu.Lock()
	defer log.mu.Unlock()
	return log.cut
}

func (log *tappedLog) Read(ctx context.Context, query clementinewind.LogQuery) (clementinewind.LogBatch, error) {
	log.counts.add("read-"+query.Stream[:min(6, len(query.Stream))], 1)
	if log.isCut() {
		<-ctx.Done()
		return clementinewind.LogBatch{}, ctx.Err()
	}
	batch, err := log.Log.Read(ctx, query)
	if log.isCut() {
		<-ctx.Done()
		return clementinewind.LogBatch{}, ctx.Err()
	}
	return batch, err
}

func (log *tappedLog) Append(ctx context.Context, stream string, records []clementinewind.Record) (clementinewind.Offset, error) {
	log.counts.add("appends", 1)
	if log.isCut() {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return log.Log.Append(ctx, stream, records)
}

// perSecond returns a count as a rate per second and router.
func perSecond(count int, elapsed time.Duration, routers int) float64 {
	return float64(count) / elapsed.Seconds() / float64(routers)
}
