package reply

import (
	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// part is the part of a head in which the next byte stands.
type part int

const (
	partVersion part = iota
	partStatus
	// partStatusEnd follows the digits of the status.
	partStatusEnd
	partReason
	partLineStart
	partName
	partValue
	// partLineEnd is between the two bytes that end a line, partHeadEnd between those that end the head.
	partLineEnd
	partHeadEnd
	// partBody is everything after the head.
	partBody
)

const (
	// versionPrefix is followed by the minor version, a digit.
	versionPrefix = "HTTP/1."
	statusDigits  = 3
	lengthName    = "content-length"
	codingName    = "transfer-encoding"
	deleteByte    = 0x7f
)

// errFraming is the error of a head after which readers disagree on where the body ends.
var errFraming = errors.New("response has a transfer coding beside a length or in HTTP/1.0")

// Scanner checks the head of a response against the grammar of RFC 9112 as its bytes arrive: the status line, the names and values of
// the fields, and the ends of the lines. Where the RFC leaves a choice it is strict: folded lines, lines that end without a carriage
// return, and a transfer coding beside a length or in HTTP/1.0 are errors. The zero value expects the first byte of a head.
type Scanner struct {
	part part
	// count is the number of bytes of the current part so far, where its size matters.
	count        int
	minorVersion byte
	status       int
	// name has the first bytes of the name of the current field, in lower case.
	name                 [len(codingName)]byte
	hasLength, hasCoding bool
	err                  error
}

// Scan checks the next bytes and returns those after the end of the head, or none if the head goes on. After an error it returns the same
// one again.
func (scanner *Scanner) Scan(data []byte) (rest []byte, err error) {
	for index, next := range data {
		if scanner.err != nil {
			return nil, scanner.err
		}
		if scanner.part == partBody {
			return data[index:], nil
		}
		scanner.err = scanner.accept(next)
	}
	return nil, scanner.err
}

// Ended reports whether the whole head was scanned.
func (scanner *Scanner) Ended() bool { return scanner.part == partBody && scanner.err == nil }

// Status returns the status of the response once the head has ended.
func (scanner *Scanner) Status() int { return scanner.status }

// accept moves on by one byte. It returns an error if the grammar allows none such.
func (scanner *Scanner) accept(next byte) error {
	allowed := false
	switch scanner.part {
	case partVersion:
		allowed = scanner.acceptVersion(next)
	case partStatus:
		allowed = isDigit(next)
		scanner.status = 10*scanner.status + int(next-'0')
		if scanner.count++; scanner.count == statusDigits {
			scanner.enter(partStatusEnd)
		}
	case partStatusEnd:
		switch next {
		case ' ':
			allowed = true
			scanner.enter(partReason)
		case '\r':
			// Many servers leave out the blank before an empty reason.
			allowed = true
			scanner.enter(partLineEnd)
		}
	case partReason, partValue:
		allowed = scanner.acceptText(next)
	case partLineStart:
		if next == '\r' {
			scanner.enter(partHeadEnd)
			return nil
		}
		scanner.enter(partName)
		allowed = scanner.acceptName(next)
	case partName:
		allowed = scanner.acceptName(next)
	case partLineEnd:
		allowed = next == '\n'
		scanner.enter(partLineStart)
	case partHeadEnd:
		allowed = next == '\n'
		scanner.enter(partBody)
		if scanner.hasCoding && (scanner.hasLength || scanner.minorVersion == '0') {
			return errFraming
		}
	}
	if !allowed {
		return errors.Errorf("byte %#02x does not belong in the head of a response", next)
	}
	return nil
}

func (scanner *Scanner) enter(next part) { scanner.part, scanner.count = next, 0 }

func (scanner *Scanner) acceptVersion(next byte) bool {
	index := scanner.count
	scanner.count++
	switch {
	case index < len(versionPrefix):
		return next == versionPrefix[index]
	case index == len(versionPrefix):
		scanner.minorVersion = next
		return isDigit(next)
	default:
		scanner.enter(partStatus)
		return next == ' '
	}
}

// acceptName accepts a byte of the name of a field or the colon after it.
func (scanner *Scanner) acceptName(next byte) bool {
	if next == ':' {
		named := scanner.count > 0
		scanner.recordName()
		scanner.enter(partValue)
		return named
	}
	if scanner.count < len(scanner.name) {
		scanner.name[scanner.count] = lower(next)
	}
	scanner.count++
	return httpguts.IsTokenRune(rune(next))
}

// recordName records that the head has a field with the name that just ended.
func (scanner *Scanner) recordName() {
	if scanner.count > len(scanner.name) {
		return
	}
	switch string(scanner.name[:scanner.count]) {
	case lengthName:
		scanner.hasLength = true
	case codingName:
		scanner.hasCoding = true
	}
}

// acceptText accepts a byte of a reason or a value, or the end of its line.
func (scanner *Scanner) acceptText(next byte) bool {
	if next == '\r' {
		scanner.enter(partLineEnd)
		return true
	}
	return next == '\t' || next >= ' ' && next != deleteByte
}

func isDigit(next byte) bool { return next >= '0' && next <= '9' }

func lower(next byte) byte {
	if next >= 'A' && next <= 'Z' {
		return next + 'a' - 'A'
	}
	return next
}
