package conf

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
)

// valueFault is the part of a Fault that follows from the value alone.
type valueFault struct {
	kind   FaultKind
	detail string
}

func valueFaultf(kind FaultKind, format string, args ...any) *valueFault {
	return &valueFault{kind: kind, detail: fmt.Sprintf(format, args...)}
}

// namePattern allows only names that can be used in dotted settings paths, log values and metric labels.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$`)

// sizePattern matches the number and the unit of a size.
var sizePattern = regexp.MustCompile(`^([0-9]+(?:\.[0-9]+)?)\s*([A-Za-z]*)$`)

var sizeUnits = map[string]int64{"B": 1, "KiB": kibibyte, "MiB": mebibyte, "GiB": gibibyte}

func setName[T ~string](text string, target *T) *valueFault {
	if !namePattern.MatchString(text) {
		return valueFaultf(FaultBadValue, "%q: want 1 to 63 letters, digits, '-' or '_', starting with a letter or digit", text)
	}
	*target = T(text)
	return nil
}

func setAddress(text string, allowUnspecified bool, target *netip.AddrPort) *valueFault {
	address, err := netip.ParseAddrPort(text)
	switch {
	case err != nil:
		return valueFaultf(FaultBadAddress, "%q: want an IP address and a port, for example 10.0.0.1:7000", text)
	case address.Port() == 0:
		return valueFaultf(FaultBadAddress, "%q: port 0 cannot be reached by others; name a port", text)
	case !allowUnspecified && address.Addr().IsUnspecified():
		return valueFaultf(FaultBadAddress, "%q: others cannot connect to the unspecified address; name one of this instance", text)
	case address.Addr().IsMulticast():
		return valueFaultf(FaultBadAddress, "%q: a multicast address cannot be used", text)
	}
	*target = netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
	return nil
}

func setDuration(text string, low, high time.Duration, target *time.Duration) *valueFault {
	if _, err := strconv.ParseFloat(text, 64); err == nil {
		return valueFaultf(FaultWrongUnit, "%q has no unit; write for example %ss", text, text)
	}
	duration, err := time.ParseDuration(text)
	switch {
	case err != nil && strings.Contains(err.Error(), "unknown unit"):
		return valueFaultf(FaultWrongUnit, "%q: want the unit ms, s, m or h, for example 30s or 1m30s", text)
	case err != nil:
		return valueFaultf(FaultBadValue, "%q: want a duration, for example 30s or 1m30s", text)
	case duration < low || duration > high:
		return valueFaultf(FaultOutOfRange, "%v: want %v to %v", duration, low, high)
	}
	*target = duration
	return nil
}

func setSize(text string, low, high int64, target *int64) *valueFault {
	parts := sizePattern.FindStringSubmatch(text)
	if parts == nil {
		return valueFaultf(FaultBadValue, "%q: want a size, for example 64KiB or 8MiB", text)
	}
	unit, ok := sizeUnits[parts[2]]
	if !ok {
		return valueFaultf(FaultWrongUnit, "%q: want the unit B, KiB, MiB or GiB, for example 64KiB", text)
	}
	count, err := strconv.ParseFloat(parts[1], 64)
	size := count * float64(unit)
	if err != nil || size > float64(high) || size < float64(low) {
		return valueFaultf(FaultOutOfRange, "%q: want %s to %s", text, formatSize(low), formatSize(high))
	}
	*target = int64(size)
	return nil
}

func formatSize(size int64) string {
	for _, unit := range []string{"GiB", "MiB", "KiB"} {
		if size%sizeUnits[unit] == 0 {
			return fmt.Sprintf("%d%s", size/sizeUnits[unit], unit)
		}
	}
	return fmt.Sprintf("%dB", size)
}

func setCount(text string, low, high int, target *int) *valueFault {
	count, err := strconv.Atoi(text)
	switch {
	case err != nil:
		return valueFaultf(FaultBadValue, "%q: want a whole number without a unit", text)
	case count < low || count > high:
		return valueFaultf(FaultOutOfRange, "%d: want %d to %d", count, low, high)
	}
	*target = count
	return nil
}

func setBool(text string, target *bool) *valueFault {
	switch text {
	case "true":
		*target = true
	case "false":
		*target = false
	default:
		return valueFaultf(FaultBadValue, "%q: want true or false", text)
	}
	return nil
}

func setLevel(text string, target *hclog.Level) *valueFault {
	switch text {
	case "trace", "debug", "info", "warn", "error":
		*target = hclog.LevelFromString(text)
		return nil
	default:
		return valueFaultf(FaultBadValue, "%q: want trace, debug, info, warn or error", text)
	}
}

func setFile(text string, target *string) *valueFault {
	if strings.ContainsRune(text, 0) {
		return valueFaultf(FaultBadValue, "%q: want a file name", text)
	}
	*target = text
	return nil
}
