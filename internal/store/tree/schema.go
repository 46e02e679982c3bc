package tree

import (
	"encoding/hex"
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
)

// Names of the top-level sections.
const (
	OrganisationsSection = "Organisations"
	ZonesSection         = "Zones"
	PoolsSection         = "Pools"
	// TokensSection has a section for each bearer token, named by the token's id.
	TokensSection = "Tokens"
)

// Names of the keys.
const (
	WeightKey           = "Weight"
	MaxRunningKey       = "MaxRunning"
	MaxQueuedKey        = "MaxQueued"
	RatePerSecondKey    = "RatePerSecond"
	DeadlineKey         = "Deadline"
	HashKey             = "Hash"
	OrganisationKey     = "Organisation"
	OperatorKey         = "Operator"
	InServiceKey        = "InService"
	KindKey             = "Kind"
	ColdLimitKey        = "ColdLimit"
	MaxLimitKey         = "MaxLimit"
	DefaultMaxTokensKey = "DefaultMaxTokens"
	AddressKey          = "Address"
	ZoneKey             = "Zone"
	ChecksFencingKey    = "ChecksFencing"
)

const (
	minWeight = 1
	maxWeight = 1000
	// maxCount bounds every number of requests or tokens, so that sums over the fleet stay far from overflow.
	maxCount = 1_000_000
	// minDeadline is above the round-trip time between zones. With a shorter deadline every request would be refused.
	minDeadline = 10 * time.Millisecond
	maxDeadline = 24 * time.Hour
	// maxNameLength and maxDepth bound a path. Both are far above what the fleet uses.
	maxNameLength = 63
	maxDepth      = 8
	hashSize      = 32
)

// upstreamDepth is the number of names in the path of an upstream (Pools, the pool, the upstream).
const upstreamDepth = 3

// depthRange is the range of depths at which a key may be set. The depth is the number of names in the path of the
// section.
type depthRange struct{ lowest, highest int }

// key describes a known key of a top-level section.
type key struct {
	name   string
	depths depthRange
	check  func(value string) error
}

var anyDepth = depthRange{1, maxDepth}

// schema returns the known keys of a top-level section, or nil if the section is unknown.
func schema(top string) []key {
	switch top {
	case OrganisationsSection:
		return organisationKeys
	case ZonesSection:
		return zoneKeys
	case PoolsSection:
		return poolKeys
	case TokensSection:
		return tokenKeys
	default:
		return nil
	}
}

var organisationKeys = []key{
	{WeightKey, anyDepth, checkWith(parseWeight)},
	{MaxRunningKey, anyDepth, checkWith(parseCount)},
	{MaxQueuedKey, anyDepth, checkWith(parseCount)},
	{RatePerSecondKey, anyDepth, checkWith(parseRate)},
	{DeadlineKey, anyDepth, checkWith(parseDeadline)},
}

var zoneKeys = []key{
	{InServiceKey, depthRange{1, 2}, checkWith(parseBool)},
}

var poolKeys = []key{
	{KindKey, depthRange{1, 2}, checkWith(parseKind)},
	{ColdLimitKey, depthRange{1, 2}, checkWith(parseLimit)},
	{MaxLimitKey, depthRange{1, 2}, checkWith(parseLimit)},
	{DefaultMaxTokensKey, depthRange{1, 2}, checkWith(parseLimit)},
	{DeadlineKey, depthRange{1, 2}, checkWith(parseDeadline)},
	{AddressKey, depthRange{upstreamDepth, upstreamDepth}, checkWith(parseAddress)},
	{ZoneKey, depthRange{1, upstreamDepth}, checkName},
	{ChecksFencingKey, depthRange{1, upstreamDepth}, checkWith(parseBool)},
	{InServiceKey, depthRange{1, upstreamDepth}, checkWith(parseBool)},
}

var tokenKeys = []key{
	{HashKey, depthRange{2, 2}, checkWith(parseHash)},
	{OrganisationKey, depthRange{2, 2}, checkOrganisationPath},
	{OperatorKey, depthRange{2, 2}, checkName},
}

// maxDepthOf returns the largest depth of a path in a top-level section.
func maxDepthOf(top string) int {
	switch top {
	case ZonesSection, TokensSection:
		return 2
	case PoolsSection:
		return upstreamDepth
	default:
		return maxDepth
	}
}

func checkWith[V any](parse func(string) (V, error)) func(string) error {
	return func(value string) error {
		_, err := parse(value)
		return err
	}
}

// checkOrganisationPath accepts the name of an organisation, which may be nested in another one.
func checkOrganisationPath(path string) error {
	for name := range strings.SplitSeq(path, separator) {
		if err := checkName(name); err != nil {
			return err
		}
	}
	return nil
}

// checkTokenID accepts the id of a token, which consists of lower-case hexadecimal digits.
func checkTokenID(id string) error {
	if decoded, err := hex.DecodeString(id); err != nil || len(decoded) == 0 || strings.ToLower(id) != id {
		return errors.Errorf("%q is not the id of a token (hexadecimal digits, as printed by 'token new')", id)
	}
	return nil
}

// checkName accepts Pascal case: a capital letter, then letters and digits.
func checkName(name string) error {
	if name == "" {
		return errors.New("the name is empty")
	}
	if len(name) > maxNameLength {
		return errors.Errorf("the name is longer than %d letters", maxNameLength)
	}
	for i, r := range name {
		capital, small, digit := r >= 'A' && r <= 'Z', r >= 'a' && r <= 'z', r >= '0' && r <= '9'
		if !capital && (i == 0 || !small && !digit) {
			return errors.Errorf("the name %q is not in Pascal case (a capital letter, then letters and digits)", name)
		}
	}
	return nil
}

func parseNumber(value string, lowest, highest float64) (float64, error) {
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(number) || number < lowest || number > highest {
		return 0, errors.Errorf("%q is not a number from %v to %v", value, lowest, highest)
	}
	return number, nil
}

func parseInteger(value string, lowest int) (int, error) {
	number, err := strconv.Atoi(value)
	if err != nil || number < lowest || number > maxCount {
		return 0, errors.Errorf("%q is not a whole number from %d to %d", value, lowest, maxCount)
	}
	return number, nil
}

func parseWeight(value string) (float64, error) { return parseNumber(value, minWeight, maxWeight) }

func parseRate(value string) (float64, error) { return parseNumber(value, 0, maxCount) }

func parseCount(value string) (int, error) { return parseInteger(value, 0) }

func parseLimit(value string) (int, error) { return parseInteger(value, 1) }

func parseDeadline(value string) (time.Duration, error) {
	duration, err := time.ParseDuration(value)
	if err != nil {
		return 0, errors.Errorf("%q is not a duration with a unit, for example 30s", value)
	}
	if duration < minDeadline || duration > maxDeadline {
		return 0, errors.Errorf("%q is not between %v and %v", value, minDeadline, maxDeadline)
	}
	return duration, nil
}

func parseBool(value string) (bool, error) {
	switch value {
	case "true":
		return true, nil
	case "false":
		return false, nil
	default:
		return false, errors.Errorf("%q is neither true nor false", value)
	}
}

func parseKind(value string) (clementinewind.PoolKind, error) {
	for _, kind := range []clementinewind.PoolKind{clementinewind.PoolModel, clementinewind.PoolService} {
		if value == kind.String() {
			return kind, nil
		}
	}
	return 0, errors.Errorf("%q is neither %v nor %v", value, clementinewind.PoolModel, clementinewind.PoolService)
}

func parseAddress(value string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 {
		return netip.AddrPort{}, errors.Errorf("%q is not an IP address with a port", value)
	}
	return address, nil
}

// parseHash decodes a SHA-256 hash in hexadecimal digits.
func parseHash(value string) ([hashSize]byte, error) {
	var hash [hashSize]byte
	if len(value) != hex.EncodedLen(len(hash)) {
		return hash, errors.Errorf("%q is not a SHA-256 hash of %d hexadecimal digits", value, hex.EncodedLen(len(hash)))
	}
	if _, err := hex.Decode(hash[:], []byte(value)); err != nil {
		return hash, errors.Errorf("%q is not a SHA-256 hash in hexadecimal digits", value)
	}
	return hash, nil
}
