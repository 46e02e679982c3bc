package claim

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/clementinewind/clementinewind"
)

// StreamCount is the number of claims streams. It is part of the log format: after a change, keys would map to streams
// without their claims.
const StreamCount = 16

// Key identifies a request that is not repeatable.
type Key [sha256.Size]byte

// Digest is a hash of the content of a request. A retry with the same Key and another Digest is refused.
type Digest [sha256.Size]byte

// ID identifies one claim of a key.
type ID [16]byte

// KeyOf returns the key of a request. The time of issue is part of it, to the millisecond.
func KeyOf(organisation clementinewind.Organisation, pool clementinewind.Pool, idempotencyKey string, issued time.Time) Key {
	return Key(hashParts([]byte(organisation), []byte(pool), []byte(idempotencyKey),
		binary.BigEndian.AppendUint64(nil, uint64(issued.UnixMilli()))))
}

// DigestOf returns the digest of a request.
func DigestOf(path string, body []byte) Digest {
	return Digest(hashParts([]byte(path), body))
}

// NewID returns a random id.
func NewID() ID {
	var id ID
	rand.Read(id[:])
	return id
}

// Stream returns the number of the claims stream of the key.
func (key Key) Stream() int {
	return int(key[0]) % StreamCount
}

// String returns the key as hexadecimal digits.
func (key Key) String() string {
	return hex.EncodeToString(key[:])
}

// String returns the id as hexadecimal digits.
func (id ID) String() string {
	return hex.EncodeToString(id[:])
}

// StreamName returns the name of a claims stream.
func StreamName(number int) string {
	return fmt.Sprint(clementinewind.ClaimStreamPrefix, number)
}

// hashParts hashes each part with its length, so that different lists of parts never give the same input.
func hashParts(parts ...[]byte) [sha256.Size]byte {
	hash := sha256.New()
	for _, part := range parts {
		hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		hash.Write(part)
	}
	return [sha256.Size]byte(hash.Sum(nil))
}
