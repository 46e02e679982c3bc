// Package reply checks responses of HTTP/1.1 more strictly than net/http, which passes on some that are broken.
package reply

import (
	"net/http"

	"github.com/pkg/errors"
)

// ErrEndsDuringUpload is the error of a body that ends with its connection before the server received the whole request. It may be a part:
// a connection that breaks while it is written to can look to its reader as if the peer had closed it in order.
var ErrEndsDuringUpload = errors.New("connection ended the body of the response before the server received the whole request")

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

// StatusError returns the error of a response whose status is neither informational nor final.
func StatusError(status int) error {
	return errors.Errorf("status %03d cannot be that of an answer", status)
}
