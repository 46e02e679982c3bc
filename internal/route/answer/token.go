package answer

import (
	"encoding/base64"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
)

const (
	tokenVersion = 1
	// tokenChecksum is the length of the checksum in bytes. It finds damaged tokens; forged ones are stopped by the
	// request id, which cannot be guessed, and by the engine's own check of the organisation.
	tokenChecksum = 4
	maxTokenText  = 1024
)

var (
	// ErrToken is returned for a text that is no resume token.
	ErrToken = errors.New("invalid resume token")
	// ErrOrganisation is returned for a resume token of another organisation.
	ErrOrganisation = errors.New("resume token belongs to another organisation")
)

// ResumeToken names an answer that a caller may resume, and the upstream that has it.
type ResumeToken struct {
	RequestID    clementinewind.RequestID
	Upstream     clementinewind.Upstream
	Organisation clementinewind.Organisation
}

// String returns the text that a caller presents to resume the answer.
func (token ResumeToken) String() string {
	data := append([]byte{tokenVersion}, token.RequestID[:]...)
	data = binary.AppendUvarint(data, uint64(len(token.Upstream)))
	data = append(data, token.Upstream...)
	data = append(data, token.Organisation...)
	return base64.RawURLEncoding.EncodeToString(append(data, checksum(data)...))
}

// ParseResumeToken reads the form that String writes, for a caller of an organisation.
func ParseResumeToken(text string, organisation clementinewind.Organisation) (ResumeToken, error) {
	var token ResumeToken
	if len(text) > maxTokenText {
		return token, ErrToken
	}
	data, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(data) < 1+len(token.RequestID)+tokenChecksum || data[0] != tokenVersion {
		return token, ErrToken
	}
	data = data[:len(data)-tokenChecksum]
	rest := data[1+copy(token.RequestID[:], data[1:]):]
	length, size := binary.Uvarint(rest)
	if size <= 0 || length > uint64(len(rest)-size) {
		return ResumeToken{}, ErrToken
	}
	rest = rest[size:]
	token.Upstream = clementinewind.Upstream(rest[:length])
	token.Organisation = clementinewind.Organisation(rest[length:])
	if token.String() != text {
		// The checksum is wrong, or the length has padding bytes, which would give two texts for one token.
		return ResumeToken{}, ErrToken
	}
	if token.Organisation != organisation {
		return ResumeToken{}, ErrOrganisation
	}
	return token, nil
}

func checksum(data []byte) []byte {
	return binary.BigEndian.AppendUint32(nil, uint32(xxhash.Sum64(data)))
}
