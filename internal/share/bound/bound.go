// Package bound reads what others send without holding more of it than allowed.
package bound

import (
	"io"

	"github.com/pkg/errors"
)

// ErrTooLong is returned for content beyond a limit.
var ErrTooLong = errors.New("longer than allowed")

// ReadAll reads to the end. For more than limit bytes it returns ErrTooLong and reads no further.
func ReadAll(reader io.Reader, limit int64) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(reader, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(content)) > limit {
		return nil, errors.Wrapf(ErrTooLong, "more than %d bytes", limit)
	}
	return content, nil
}
