package clementinewind

import (
	"crypto/rand"
	"encoding/hex"

	"github.com/pkg/errors"
)

// RequestID identifies a request. It has 128 random bits, so that an organisation cannot guess the ids of another one.
type RequestID [16]byte

// NewRequestID returns a random request id.
func NewRequestID() RequestID {
	var requestID RequestID
	rand.Read(requestID[:])
	return requestID
}

// ParseRequestID parses the result of String.
func ParseRequestID(text string) (RequestID, error) {
	var requestID RequestID
	if len(text) != hex.EncodedLen(len(requestID)) {
		return requestID, errors.Errorf("request id %q: want %d hexadecimal digits", text, hex.EncodedLen(len(requestID)))
	}
	if _, err := hex.Decode(requestID[:], []byte(text)); err != nil {
		return requestID, errors.Wrapf(err, "request id %q", text)
	}
	return requestID, nil
}

// String returns the id as hexadecimal digits.
func (requestID RequestID) String() string {
	return hex.EncodeToString(requestID[:])
}
