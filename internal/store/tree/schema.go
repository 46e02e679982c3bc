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

// Names of the top sections.
const (
	OrganisationsSection = "Organisations"
	ZonesSection         = "Zones"
	PoolsSection         = "Pools"
	// TokensSection has a section for each bearer token, named by the id of the token.
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
	// minDeadline is above the round trips between zones; a shorter deadline would refuse every request.
	minDeadline = 10 * time.Millisecond
	maxDeadline = 24 * time.Hour
	// maxNameLength and maxDepth bound a path; both are far above what the fleet uses.
	maxNameLength = 63
	maxDepth      = 8
	hashSize      = 32
)

// upstreamDepth is the number of names in the path of an upstream: Pools, the pool, the upstream.
const upstreamDepth = 3

// level tells where in the tree a key may be set, by the number of names in the path of the section.
type level struct{ lowest, highest int }

// key describes a known key of one top section.
type key struct {
	name   string
	levels level
	check  func(value string) error
}

var everyLevel = level{1, maxDepth}

// schema returns the known keys of a top section, or nil for an unknown section.
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
	{WeightKey, everyLevel, checked(parseWeight)},
	{MaxRunningKey, everyLevel, checked(parseCount)},
	{MaxQueuedKey, everyLevel, checked(parseCount)},
	{RatePerSecondKey, everyLevel, checked(parseRate)},
	{DeadlineKey, everyLevel, checked(parseDeadline)},
}

var zoneKeys = []key{
	{InServiceKey, level{1, 2}, checked(parseSwitch)},
}

var poolKeys = []key{
	{KindKey, level{1, 2}, checked(parseKind)},
	{ColdLimitKey, level{1, 2}, checked(parseLimit)},
	{MaxLimitKey, level{1, 2}, checked(parseLimit)},
	{DefaultMaxTokensKey, level{1, 2}, checked(parseLimit)},
	{DeadlineKey, level{1, 2}, checked(parseDeadline)},
	{AddressKey, level{upstreamDepth, upstreamDepth}, checked(parseAddress)},
	{ZoneKey, level{1, upstreamDepth}, checkName},
	{ChecksFencingKey, level{1, upstreamDepth}, checked(parseSwitch)},
	{InServiceKey, level{1, upstreamDepth}, checked(parseSwitch)},
}

var tokenKeys = []key{
	{HashKey, level{2, 2}, checked(parseHash)},
	{OrganisationKey, level{2, 2}, checkPathOfNames},
	{OperatorKey, level{2, 2}, checkName},
}

// depthOf returns the largest number of names in a path below a top section.
func depthOf(top string) int {
	switch top {
	case ZonesSection, TokensSection:
		return 2
	case PoolsSection:
		return upstreamDepth
	default:
		return maxDepth
	}
}

func checked[V any](parse func(string) (V, error)) func(string) error {
	return func(value string) error {
		_, err := parse(value)
		return err
	}
}

// checkPathOfNames accepts the name of an organisation, which may be a part of another one.
func checkPathOfNames(path string) error {
	for name := range strings.SplitSeq(path, separator) {
		if err := checkName(name); err != nil {
			return err
		}
	}
	return nil
}

// checkTokenID accepts the id of a token: lower-case hexadecimal digits.
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

func parseSwitch(value string) (bool, error) {
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

// parseHash reads a SHA-256 hash in hexadecimal digits.
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
