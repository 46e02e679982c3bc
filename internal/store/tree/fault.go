package tree

import (
	"fmt"
	"strings"
)

// Fault is one reason why a text or an edit is not valid.
type Fault struct {
	Section string
	Key     string
	Problem string
}

// Error names the section, the key and the problem.
func (fault Fault) Error() string {
	if fault.Key == "" {
		return fmt.Sprintf("[%s]: %s", fault.Section, fault.Problem)
	}
	return fmt.Sprintf("[%s] %s: %s", fault.Section, fault.Key, fault.Problem)
}

// Faults lists every fault of a text or an edit.
type Faults []Fault

// Error lists the faults, one a line.
func (faults Faults) Error() string {
	lines := make([]string, len(faults))
	for i, fault := range faults {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

func (faults *Faults) add(section, key, format string, args ...any) {
	*faults = append(*faults, Fault{Section: section, Key: key, Problem: fmt.Sprintf(format, args...)})
}

// err returns nil when there is no fault.
func (faults Faults) err() error {
	if len(faults) == 0 {
		return nil
	}
	return faults
}
