package auth

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/pkg/errors"
)

const (
	// tokenPrefix lets secret scanners recognise a token.
	tokenPrefix = "cw"
	// idBytes makes ids unique in practice; the id is public.
	idBytes = 6
	// secretBytes is enough that a secret can neither be guessed nor be found from its hash.
	secretBytes = 32
)

// ErrTokenFormat is returned for a text that is not a token. It does not contain the text, which may be a secret.
var ErrTokenFormat = errors.New("not a token: want cw_ID_SECRET as printed by 'token new'")

// Hash is the SHA-256 hash of the secret of a token. A fast hash without salt is enough, because a secret is 256 random
// bits: there is no dictionary to try, and two tokens never share a secret. A slow hash would only make each request
// slower.
type Hash [sha256.Size]byte

// String returns the hash as hexadecimal digits, the form that the settings tree holds.
func (hash Hash) String() string {
	return hex.EncodeToString(hash[:])
}

// ParseHash reads the form that String writes.
func ParseHash(text string) (Hash, error) {
	var hash Hash
	if len(text) != hex.EncodedLen(len(hash)) {
		return hash, errors.Errorf("token hash has %d characters; want %d hexadecimal digits", len(text), hex.EncodedLen(len(hash)))
	}
	if _, err := hex.Decode(hash[:], []byte(text)); err != nil {
		return hash, errors.Wrap(err, "token hash")
	}
	return hash, nil
}

// Token is a bearer token. ID names its entry in the settings tree; the secret is known to its holder only.
type Token struct {
	ID     string
	secret [secretBytes]byte
}

// NewToken returns a random token.
func NewToken() Token {
	var id [idBytes]byte
	var token Token
	rand.Read(id[:])
	rand.Read(token.secret[:])
	token.ID = hex.EncodeToString(id[:])
	return token
}

// ParseToken reads the form that Reveal writes.
func ParseToken(text string) (Token, error) {
	parts := strings.Split(text, "_")
	if len(parts) != 3 || parts[0] != tokenPrefix || len(parts[1]) != hex.EncodedLen(idBytes) ||
		len(parts[2]) != hex.EncodedLen(secretBytes) {
		return Token{}, ErrTokenFormat
	}
	token := Token{ID: parts[1]}
	if _, err := hex.DecodeString(token.ID); err != nil {
		return Token{}, ErrTokenFormat
	}
	if _, err := hex.Decode(token.secret[:], []byte(parts[2])); err != nil {
		return Token{}, ErrTokenFormat
	}
	return token, nil
}

// Reveal returns the token with its secret, as its holder sends it.
func (token Token) Reveal() string {
	return tokenPrefix + "_" + token.ID + "_" + hex.EncodeToString(token.secret[:])
}

// String returns the token without its secret, so that a log never holds it.
func (token Token) String() string {
	return tokenPrefix + "_" + token.ID + "_..."
}

// GoString implements fmt.GoStringer, so that %#v does not print the secret either.
func (token Token) GoString() string {
	return token.String()
}

// Hash returns the hash that the settings tree holds.
func (token Token) Hash() Hash {
	return sha256.Sum256(token.secret[:])
}
