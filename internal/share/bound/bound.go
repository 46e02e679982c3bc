// Package bound reads content with a limit on its size, for example the answer of another process.
package bound

import (
	"io"

	"github.com/pkg/errors"
)

// ErrTooLong is returned for content above the limit.
var ErrTooLong = errors.New("content too long")

// ReadAll reads to the end. If there are more than limit bytes, it returns ErrTooLong and stops reading.
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
