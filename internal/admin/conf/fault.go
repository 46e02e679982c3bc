package conf

import (
	"fmt"
	"strings"
)

// FaultKind tells what is wrong with a part of a file.
type FaultKind int

//go:generate stringer -type FaultKind -trimprefix Fault -output faultkind_string.go

const (
	// FaultSyntax is a line that is neither a section nor a key with a value.
	FaultSyntax FaultKind = iota
	// FaultUnknownSection is a section that does not exist.
	FaultUnknownSection
	// FaultUnknownKey is a key that does not exist in its section.
	FaultUnknownKey
	// FaultDuplicateKey is a key that is given twice.
	FaultDuplicateKey
	// FaultMissing is a required key that is not given or empty.
	FaultMissing
	// FaultBadValue is a value that cannot be read.
	FaultBadValue
	// FaultWrongUnit is a number with a unit that is missing or does not exist.
	FaultWrongUnit
	// FaultOutOfRange is a value that is too small or too large.
	FaultOutOfRange
	// FaultBadAddress is a value that is not an IP address with a port, or cannot be used as one.
	FaultBadAddress
	// FaultDuplicateAddress is an address that another key uses too.
	FaultDuplicateAddress
)

// Fault is one thing that is wrong with a file. Section and Key are empty where they do not apply.
type Fault struct {
	File    string
	Section string
	Key     string
	Kind    FaultKind
	Detail  string
}

// Error names the place of the fault and what to write instead.
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

// FaultsError is the error for a file that was read and is not valid. It lists every fault.
type FaultsError struct {
	Faults []Fault
}

// Error returns one line for each fault.
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
