package send

import "io"

// body releases the request's context when the response body is closed.
type body struct {
	io.ReadCloser
	cancel func(error)
}

// Close closes the response body.
func (body *body) Close() error {
	err := body.ReadCloser.Close()
	body.cancel(nil)
	return err
}
