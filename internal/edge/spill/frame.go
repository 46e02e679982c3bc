package spill

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
)

//go:generate stringer -type kind -trimprefix kind -output kind_string.go

// kind is what a frame carries.
type kind uint8

const (
	// kindRequest carries the version of the configuration by which the request is to be served, in eight bytes, and the request.
	kindRequest kind = iota + 1
	// kindAnswer carries bytes of the answer.
	kindAnswer
	// kindEnd says that the answer has ended.
	kindEnd
	// kindDeclined says that the request was not taken and has not run.
	kindDeclined
	// kindLeft says that the caller has left.
	kindLeft
)

const (
	headBytes    = 9
	versionBytes = 8
	// maxContent bounds the content of a frame. It is above the requests that are handed over.
	maxContent = 64 << 10
)

// frame is one message about a request. Its content is valid until the next one is read.
type frame struct {
	kind    kind
	number  uint32
	content []byte
}

func appendFrame(out []byte, kind kind, number uint32, content ...[]byte) []byte {
	length := 0
	for _, part := range content {
		length += len(part)
	}
	out = append(out, byte(kind))
	out = binary.BigEndian.AppendUint32(out, number)
	out = binary.BigEndian.AppendUint32(out, uint32(length))
	for _, part := range content {
		out = append(out, part...)
	}
	return out
}

// frames reads frames.
type frames struct {
	reader  *bufio.Reader
	head    [headBytes]byte
	content []byte
}

// next returns the next frame. It fails for one with a kind that does not exist or a content above the bound.
func (frames *frames) next() (frame, error) {
	if _, err := io.ReadFull(frames.reader, frames.head[:]); err != nil {
		return frame{}, err
	}
	read := frame{kind: kind(frames.head[0]), number: binary.BigEndian.Uint32(frames.head[1:])}
	length := binary.BigEndian.Uint32(frames.head[5:])
	if read.kind < kindRequest || read.kind > kindLeft {
		return frame{}, errors.Errorf("frame of unknown kind %d", read.kind)
	}
	if length > maxContent {
		return frame{}, errors.Errorf("frame of %d bytes, at most %d are allowed", length, maxContent)
	}
	if cap(frames.content) < int(length) {
		frames.content = make([]byte, maxContent)
	}
	read.content = frames.content[:length]
	if _, err := io.ReadFull(frames.reader, read.content); err != nil {
		return frame{}, errors.Wrap(err, "frame cut short")
	}
	return read, nil
}
