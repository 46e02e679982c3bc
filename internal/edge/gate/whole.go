package gate

import (
	"bytes"
	"strconv"
)

var (
	headEnd          = []byte("\r\n\r\n")
	lineEnd          = []byte("\r\n")
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
)

// isCompleteRequest reports whether the bytes are exactly one request with a known length. It does not allocate.
// Anything doubtful is not complete: a chunked body, two lengths, other line endings, or a second request after the
// first.
func isCompleteRequest(received []byte) bool {
	end := bytes.Index(received, headEnd)
	if end < 0 {
		return false
	}
	if bytes.Count(received[:end], []byte{'\n'}) != bytes.Count(received[:end], lineEnd) {
		// net/http also ends lines and the head at a bare line feed.
		return false
	}
	length, known := 0, false
	_, lines, _ := bytes.Cut(received[:end], lineEnd)
	for len(lines) > 0 {
		var line []byte
		line, lines, _ = bytes.Cut(lines, lineEnd)
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.EqualFold(name, transferEncoding):
			return false
		case bytes.EqualFold(name, contentLength):
			parsed, err := strconv.Atoi(string(bytes.TrimSpace(value)))
			if err != nil || parsed < 0 || known {
				return false
			}
			length, known = parsed, true
		}
	}
	return len(received)-end-len(headEnd) == length
}
