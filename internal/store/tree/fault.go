package tree

import (
	"fmt"
	"strings"
)

// ValidationError is one reason why a text or an edit is not valid.
type ValidationError struct {
	Section string
	Key     string
	Message string
}

// Error returns the section, the key and the message.
func (validationError ValidationError) Error() string {
	if validationError.Key == "" {
		return fmt.Sprintf("[%s]: %s", validationError.Section, validationError.Message)
	}
	return fmt.Sprintf("[%s] %s: %s", validationError.Section, validationError.Key, validationError.Message)
}

// ValidationErrors lists every problem of a text or an edit.
type ValidationErrors []ValidationError

// Error returns the errors, one per line.
func (validationErrors ValidationErrors) Error() string {
	lines := make([]string, len(validationErrors))
	for i, validationError := range validationErrors {
		lines[i] = validationError.Error()
	}
	return strings.Join(lines, "\n")
}

func (validationErrors *ValidationErrors) add(section, key, format string, args ...any) {
	*validationErrors = append(*validationErrors, ValidationError{Section: section, Key: key, Message: fmt.Sprintf(format, args...)})
}

// err returns nil if there are no errors.
func (validationErrors ValidationErrors) err() error {
	if len(validationErrors) == 0 {
		return nil
	}
	return validationErrors
}
