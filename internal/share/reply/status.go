// Package reply checks responses of HTTP/1.1 more strictly than net/http, which passes on some that are broken.
package reply

import "net/http"

// IsInterim reports whether another response follows one with the given status. 101 is none, because it ends HTTP/1.1 on the connection,
// and no client of this program asks for that.
func IsInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// IsFinal reports whether a response with the given status can be the answer to a request (RFC 9110, section 15).
func IsFinal(status int) bool { return status >= http.StatusOK && status < 600 }

// EndsWithConnection reports whether the body of a response ends with its connection, so that nothing in it tells a whole body from a
// part.
func EndsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}
