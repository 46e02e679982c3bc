package send

import "io"

// body is a response body whose Close also cancels the request's context.
type body struct {
	io.ReadCloser
	cancel func(error)
}

// Close closes the response body and cancels the request's context.
func (body *body) Close() error {
	err := body.ReadCloser.Close()
	body.cancel(nil)
	return err
}
