package conf

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/clementinewind/clementinewind"
	"github.com/clementinewind/clementinewind/internal/route/prompt"
)

// Entry holds the process settings of a router behind the platform's HTTP entry.
type Entry struct {
	Name clementinewind.Instance
	Zone clementinewind.Zone

	// CallerListen accepts the requests of callers.
	CallerListen netip.AddrPort
	// ReadyListen answers readiness checks.
	ReadyListen netip.AddrPort
	// LocateListen answers the requests by which callers ask for the addresses to use.
	LocateListen netip.AddrPort
	// MetricsListen serves the metrics; the zero value serves none.
	MetricsListen netip.AddrPort
	// FirstPort to LastPort, inclusive, is the range of ports for traffic between routers.
	FirstPort, LastPort int

	// StoreAddress is the address of the platform's store.
	StoreAddress netip.AddrPort
	// StoreRetention is how long the store keeps records of topics that are not compacted.
	StoreRetention time.Duration
	// StoreNew is set if the whole fleet starts for the first time, so that the store has lost nothing of it.
	StoreNew bool

	LogLevel hclog.Level
	// MemoryBytes is the memory limit; the platform kills the process when it reaches it.
	MemoryBytes int64
	// Descriptors is the limit of open file descriptors, files and sockets together.
	Descriptors int
	// CoreShare is the average number of CPU cores that the process may use, such as 0.4.
	CoreShare float64

	// MaxRefusedFraction bounds the fraction of requests that load shedding refuses while processor time is short.
	MaxRefusedFraction float64
	// AllowedParts are prompt parts for which no request is rejected, whatever they crash.
	AllowedParts []prompt.PartHash

	// Grace is the time between the platform's request to stop and the kill.
	Grace time.Duration
	// AddressTimeToLive is how long callers may cache an answer of Locate.
	AddressTimeToLive time.Duration
	// EventDelay is the longest delay of an event of a stream that callers accept.
	EventDelay time.Duration
	// RetryRatio, RetryWindow and RetryExtra define the retry budget of one service across all routers: in each window,
	// RetryRatio times the number of requests plus RetryExtra.
	RetryRatio  float64
	RetryWindow time.Duration
	RetryExtra  float64
	// ColdRatio and ColdExtra limit the requests per second to a cold upstream: ColdRatio times its cold rate plus ColdExtra.
	ColdRatio float64
	ColdExtra float64
	// RolloutShare is the part of a service's requests that a version may get before it is known to be good. RollbackTime
	// is the time within which a bad version must get no requests any more.
	RolloutShare float64
	RollbackTime time.Duration
	// ShareWindow is the period over which the usage of organisations is compared for fairness.
	ShareWindow time.Duration
}

// Limits and defaults of the settings in Entry.
const (
	// reservedDescriptors are kept for files; the platform reserves the same number.
	reservedDescriptors = 200
	maxDescriptors      = 1 << 20
	maxDuration         = time.Hour
	maxRatio            = 100.0
	maxRetryExtra       = 1_000_000.0
	maxPort             = 65535
	// The defaults are the values that the users' smaller deployments have in common. defaultMaxRefusedFraction leaves one
	// request in twenty a chance, so that retries can succeed under overload.
	defaultMaxRefusedFraction = 0.95
	defaultMemoryBytes        = 256 * mebibyte
	defaultDescriptors        = 4096
	defaultGrace              = 8 * time.Second
	defaultAddressTimeToLive  = 2 * time.Second
	defaultEventDelay         = 120 * time.Millisecond
	defaultRetryRatio         = 0.2
	defaultRetryWindow        = 10 * time.Second
	defaultShareWindow        = 4 * time.Second
	defaultRolloutShare       = 0.1
	defaultRollbackTime       = 5 * time.Second
	defaultStoreRetention     = 20 * time.Second
)

// DefaultEntry returns the defaults of the optional settings.
func DefaultEntry() Entry {
	return Entry{
		LogLevel:           hclog.Info,
		StoreRetention:     defaultStoreRetention,
		MemoryBytes:        defaultMemoryBytes,
		Descriptors:        defaultDescriptors,
		CoreShare:          1,
		MaxRefusedFraction: defaultMaxRefusedFraction,
		Grace:              defaultGrace,
		AddressTimeToLive:  defaultAddressTimeToLive,
		EventDelay:         defaultEventDelay,
		RetryRatio:         defaultRetryRatio,
		RetryWindow:        defaultRetryWindow,
		ColdRatio:          1,
		ShareWindow:        defaultShareWindow,
		RolloutShare:       defaultRolloutShare,
		RollbackTime:       defaultRollbackTime,
	}
}

// WithRollout returns the settings with another share of requests and another time for roll-outs, given in milliseconds. An empty value
// leaves the setting as it is: a platform renders nothing for a value that a deployment does not have.
func (entry Entry) WithRollout(share, rollbackMillis string) (Entry, error) {
	if share != "" {
		if fault := setRatio(share, 1, &entry.RolloutShare); fault != nil {
			return entry, errors.Errorf("share of roll-outs: %s", fault.detail)
		}
	}
	if rollbackMillis != "" {
		if fault := setDuration(rollbackMillis+"ms", 0, maxDuration, &entry.RollbackTime); fault != nil {
			return entry, errors.Errorf("time of roll-backs: %s", fault.detail)
		}
	}
	return entry, nil
}

// MaxConnections returns the number of sockets that the process may open: the descriptors without the reserved ones.
func (entry Entry) MaxConnections() int { return max(entry.Descriptors-reservedDescriptors, 1) }

func entryKeys() []keySpec[Entry] {
	address := func(allowUnspecified bool, target func(*Entry) *netip.AddrPort) func(*Entry, string) *valueFault {
		return func(entry *Entry, text string) *valueFault { return setAddress(text, allowUnspecified, target(entry)) }
	}
	duration := func(target func(*Entry) *time.Duration) func(*Entry, string) *valueFault {
		return func(entry *Entry, text string) *valueFault { return setDuration(text, 0, maxDuration, target(entry)) }
	}
	ratio := func(high float64, target func(*Entry) *float64) func(*Entry, string) *valueFault {
		return func(entry *Entry, text string) *valueFault { return setRatio(text, high, target(entry)) }
	}
	return []keySpec[Entry]{
		{"Instance", "Name", true, func(entry *Entry, text string) *valueFault { return setName(text, &entry.Name) }},
		{"Instance", "Zone", true, func(entry *Entry, text string) *valueFault { return setName(text, &entry.Zone) }},
		{"Listen", "Caller", true, address(true, func(entry *Entry) *netip.AddrPort { return &entry.CallerListen })},
		{"Listen", "Ready", true, address(true, func(entry *Entry) *netip.AddrPort { return &entry.ReadyListen })},
		{"Listen", "Locate", true, address(true, func(entry *Entry) *netip.AddrPort { return &entry.LocateListen })},
		{"Listen", "Metrics", false, address(true, func(entry *Entry) *netip.AddrPort { return &entry.MetricsListen })},
		{"Listen", "Ports", true, func(entry *Entry, text string) *valueFault {
			return setPorts(text, &entry.FirstPort, &entry.LastPort)
		}},
		{"Store", "Address", true, address(false, func(entry *Entry) *netip.AddrPort { return &entry.StoreAddress })},
		{"Store", "Retention", false, duration(func(entry *Entry) *time.Duration { return &entry.StoreRetention })},
		{"Store", "New", false, func(entry *Entry, text string) *valueFault { return setBool(text, &entry.StoreNew) }},
		{"Log", "Level", false, func(entry *Entry, text string) *valueFault { return setLevel(text, &entry.LogLevel) }},
		{"Sizes", "Memory", false, func(entry *Entry, text string) *valueFault {
			return setSize(text, 16*mebibyte, 1024*gibibyte, &entry.MemoryBytes)
		}},
		{"Sizes", "Descriptors", false, func(entry *Entry, text string) *valueFault {
			return setFlooredInt(text, reservedDescriptors, maxDescriptors, &entry.Descriptors)
		}},
		{"Sizes", "CoreShare", false, ratio(maxRatio, func(entry *Entry) *float64 { return &entry.CoreShare })},
		{"Load", "MostRefused", false, ratio(1, func(entry *Entry) *float64 { return &entry.MaxRefusedFraction })},
		{"Load", "AllowedParts", false, func(entry *Entry, text string) *valueFault { return setParts(text, &entry.AllowedParts) }},
		{"Times", "Grace", false, duration(func(entry *Entry) *time.Duration { return &entry.Grace })},
		{"Times", "AddressTimeToLive", false, duration(func(entry *Entry) *time.Duration { return &entry.AddressTimeToLive })},
		{"Times", "EventDelay", false, duration(func(entry *Entry) *time.Duration { return &entry.EventDelay })},
		{"Retry", "Ratio", false, ratio(maxRatio, func(entry *Entry) *float64 { return &entry.RetryRatio })},
		{"Retry", "Window", false, duration(func(entry *Entry) *time.Duration { return &entry.RetryWindow })},
		{"Retry", "Extra", false, ratio(maxRetryExtra, func(entry *Entry) *float64 { return &entry.RetryExtra })},
		{"Cold", "Ratio", false, ratio(maxRatio, func(entry *Entry) *float64 { return &entry.ColdRatio })},
		{"Cold", "Extra", false, ratio(maxRatio, func(entry *Entry) *float64 { return &entry.ColdExtra })},
		{"Rollout", "Share", false, ratio(1, func(entry *Entry) *float64 { return &entry.RolloutShare })},
		{"Rollout", "Rollback", false, duration(func(entry *Entry) *time.Duration { return &entry.RollbackTime })},
		{"Share", "Window", false, duration(func(entry *Entry) *time.Duration { return &entry.ShareWindow })},
	}
}

// LoadEntry reads and validates the settings file of a router behind the platform's HTTP entry. The error is a *FaultsError if
// the file could be read but is invalid.
func LoadEntry(path string) (Entry, error) {
	text, err := ReadEntry(path)
	if err != nil {
		return Entry{}, err
	}
	return ParseEntry(path, text)
}

// ParseEntry parses and validates the text of a file for LoadEntry. The error is a *FaultsError whose faults name file.
func ParseEntry(file string, text []byte) (Entry, error) { return parseEntry(file, text).result() }

func parseEntry(file string, text []byte) *parser[Entry] {
	parser := newParser(file, DefaultEntry())
	parser.parse(text, entryKeys())
	listenAddresses := []struct {
		keyPath
		address netip.AddrPort
	}{
		{keyPath{"Listen", "Caller"}, parser.settings.CallerListen},
		{keyPath{"Listen", "Ready"}, parser.settings.ReadyListen},
		{keyPath{"Listen", "Locate"}, parser.settings.LocateListen},
		{keyPath{"Listen", "Metrics"}, parser.settings.MetricsListen},
	}
	for i, second := range listenAddresses {
		for _, first := range listenAddresses[:i] {
			if parser.validKeys[second.keyPath] && conflict(first.address, second.address) {
				parser.addFault(second.section, second.key, FaultDuplicateAddress,
					second.address.String()+" is also used by ["+first.section+"] "+first.key)
			}
		}
	}
	return parser
}

// ReadEntry reads a file for ParseEntry or ShowEntry without parsing it.
func ReadEntry(path string) ([]byte, error) { return readFile(path, "read entry settings") }

// noParts is the value of an empty list of prompt parts.
const noParts = "none"

// setParts parses a list of prompt parts as log lines name them.
func setParts(text string, target *[]prompt.PartHash) *valueFault {
	*target = nil
	if text == noParts {
		return nil
	}
	for part := range strings.SplitSeq(text, ",") {
		hash, err := strconv.ParseUint(strings.TrimSpace(part), 16, 64)
		if err != nil {
			return valueFaultf(FaultBadValue, "%q: want %s, or hashes of prompt parts separated by commas, for example 9b1d5d86714c532e", text, noParts)
		}
		*target = append(*target, prompt.PartHash(hash))
	}
	return nil
}

// setPorts parses a range of ports such as 7400-7415.
func setPorts(text string, first, last *int) *valueFault {
	low, high, found := strings.Cut(text, "-")
	if !found {
		return valueFaultf(FaultBadValue, "%q: want a range of ports, for example 7400-7415", text)
	}
	if fault := setCount(low, 1, maxPort, first); fault != nil {
		return fault
	}
	return setCount(high, *first, maxPort, last)
}

// setFlooredInt parses a limit that may be a fraction and rounds it down.
func setFlooredInt(text string, low, high int, target *int) *valueFault {
	var number float64
	if fault := setRatio(text, float64(high), &number); fault != nil {
		return fault
	}
	whole := int(number)
	if whole < low {
		return valueFaultf(FaultOutOfRange, "%d: want %d to %d", whole, low, high)
	}
	*target = whole
	return nil
}

func setRatio(text string, high float64, target *float64) *valueFault {
	ratio, err := strconv.ParseFloat(text, 64)
	switch {
	case err != nil:
		return valueFaultf(FaultBadValue, "%q: want a number, for example 0.2", text)
	case !(ratio >= 0 && ratio <= high):
		return valueFaultf(FaultOutOfRange, "%v: want 0 to %v", ratio, high)
	}
	*target = ratio
	return nil
}
