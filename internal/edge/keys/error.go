package keys

import "fmt"

// ErrorKind tells what is wrong with a file.
type ErrorKind int

//go:generate stringer -type ErrorKind -output errorkind_string.go

const (
	// Unreadable is a file that cannot be read.
	Unreadable ErrorKind = iota
	// BadPair is a certificate and key that cannot be parsed or do not belong together.
	BadPair
	// NotValidNow is a certificate that has expired or is not valid yet.
	NotValidNow
	// BadAuthorities is a file without certificates of authorities.
	BadAuthorities
)

// Error is the error for a file that cannot be used.
type Error struct {
	Kind ErrorKind
	File string
	Err  error
}

// Error names the file and the cause.
func (err *Error) Error() string {
	return fmt.Sprintf("%s: %v (%v)", err.File, err.Err, err.Kind)
}

// Unwrap returns the cause.
func (err *Error) Unwrap() error {
	return err.Err
}
