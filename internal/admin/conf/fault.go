package conf

import (
	"fmt"
	"strings"
)

// FaultKind classifies a Fault.
type FaultKind int

//go:generate stringer -type FaultKind -trimprefix Fault -output faultkind_string.go

const (
	// FaultSyntax is a line that is neither a section header nor a key with a value.
	FaultSyntax FaultKind = iota
	// FaultUnknownSection is a section that does not exist.
	FaultUnknownSection
	// FaultUnknownKey is a key that does not exist in its section.
	FaultUnknownKey
	// FaultDuplicateKey is a key that occurs more than once.
	FaultDuplicateKey
	// FaultMissing is a required key that is missing or empty.
	FaultMissing
	// FaultBadValue is a value that cannot be parsed.
	FaultBadValue
	// FaultWrongUnit is a number whose unit is missing or unknown.
	FaultWrongUnit
	// FaultOutOfRange is a value that is too small or too large.
	FaultOutOfRange
	// FaultBadAddress is a value that is not an IP address with a port, or an address that cannot be used.
	FaultBadAddress
	// FaultDuplicateAddress is an address that conflicts with that of another key.
	FaultDuplicateAddress
)

// Fault is one validation error of a file. Section and Key are empty if they do not apply.
type Fault struct {
	File    string
	Section string
	Key     string
	Kind    FaultKind
	Detail  string
}

// Error returns file, section, key, description and kind of the fault on one line.
func (fault Fault) Error() string {
	var text strings.Builder
	text.WriteString(fault.File + ": ")
	if fault.Section != "" {
		text.WriteString("[" + fault.Section + "] ")
	}
	if fault.Key != "" {
		text.WriteString(fault.Key + ": ")
	}
	fmt.Fprintf(&text, "%s (%v)", fault.Detail, fault.Kind)
	return text.String()
}

// FaultsError is the error for an invalid file. It holds all faults.
type FaultsError struct {
	Faults []Fault
}

// Error returns one line per fault.
func (faultsError *FaultsError) Error() string {
	lines := make([]string, len(faultsError.Faults))
	for i, fault := range faultsError.Faults {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the faults, so that errors.As finds the first one.
func (faultsError *FaultsError) Unwrap() []error {
	errs := make([]error, len(faultsError.Faults))
	for i, fault := range faultsError.Faults {
		errs[i] = fault
	}
	return errs
}
