package keys

import "fmt"

// ErrorKind is the reason why a file cannot be used.
type ErrorKind int

//go:generate stringer -type ErrorKind -output errorkind_string.go

const (
	// Unreadable means that the file cannot be read.
	Unreadable ErrorKind = iota
	// BadPair means that the certificate and key cannot be parsed or do not match.
	BadPair
	// NotValidNow means that the certificate has expired or is not valid yet.
	NotValidNow
	// BadAuthorities means that the file contains no CA certificates.
	BadAuthorities
)

// Error reports a file that cannot be used.
type Error struct {
	Kind ErrorKind
	File string
	Err  error
}

// Error implements error.
func (err *Error) Error() string {
	return fmt.Sprintf("%s: %v (%v)", err.File, err.Err, err.Kind)
}

// Unwrap returns the underlying error.
func (err *Error) Unwrap() error {
	return err.Err
}
