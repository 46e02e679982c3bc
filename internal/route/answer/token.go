package answer

import (
	"encoding/base64"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
)

const (
	resumeTokenVersion = 1
	// The checksum only detects damaged tokens. A forged token fails because its request ID cannot be guessed and because the
	// engine checks the organisation.
	resumeTokenChecksumBytes = 4
	maxResumeTokenChars      = 1024
)

var (
	// ErrInvalidResumeToken is returned for a malformed or damaged resume token.
	ErrInvalidResumeToken = errors.New("invalid resume token")
	// ErrWrongOrganisation is returned for a resume token of another organisation.
	ErrWrongOrganisation = errors.New("resume token belongs to another organisation")
)

// ResumeToken identifies an answer that a caller can resume, and the upstream that holds it.
type ResumeToken struct {
	RequestID    clementinewind.RequestID
	Upstream     clementinewind.Upstream
	Organisation clementinewind.Organisation
}

// String encodes the token for the caller.
func (token ResumeToken) String() string {
	data := append([]byte{resumeTokenVersion}, token.RequestID[:]...)
	data = binary.AppendUvarint(data, uint64(len(token.Upstream)))
	data = append(data, token.Upstream...)
	data = append(data, token.Organisation...)
	return base64.RawURLEncoding.EncodeToString(append(data, checksum(data)...))
}

// ParseResumeToken decodes the output of String. It fails if the token belongs to another organisation than the caller's.
func ParseResumeToken(text string, organisation clementinewind.Organisation) (ResumeToken, error) {
	var token ResumeToken
	if len(text) > maxResumeTokenChars {
		return token, ErrInvalidResumeToken
	}
	data, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(data) < 1+len(token.RequestID)+resumeTokenChecksumBytes || data[0] != resumeTokenVersion {
		return token, ErrInvalidResumeToken
	}
	data = data[:len(data)-resumeTokenChecksumBytes]
	rest := data[1+copy(token.RequestID[:], data[1:]):]
	length, size := binary.Uvarint(rest)
	if size <= 0 || length > uint64(len(rest)-size) {
		return ResumeToken{}, ErrInvalidResumeToken
	}
	rest = rest[size:]
	token.Upstream = clementinewind.Upstream(rest[:length])
	token.Organisation = clementinewind.Organisation(rest[length:])
	if token.String() != text {
		// Either the checksum is wrong, or the length is not encoded minimally, which would allow two texts for one token.
		return ResumeToken{}, ErrInvalidResumeToken
	}
	if token.Organisation != organisation {
		return ResumeToken{}, ErrWrongOrganisation
	}
	return token, nil
}

func checksum(data []byte) []byte {
	return binary.BigEndian.AppendUint32(nil, uint32(xxhash.Sum64(data)))
}
