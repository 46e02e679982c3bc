package conf

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/clementinewind/clementinewind"
)

// Entry holds the process settings of a router behind the platform's HTTP entry.
type Entry struct {
	Name clementinewind.Instance
	Zone clementinewind.Zone

	// CallerListen takes the requests of callers.
	CallerListen netip.AddrPort
	// ReadyListen answers readiness checks.
	ReadyListen netip.AddrPort
	// LocateListen tells callers which addresses to use.
	LocateListen netip.AddrPort
	// MetricsListen serves the metrics; the zero value serves none.
	MetricsListen netip.AddrPort
	// FirstPort and LastPort are free for traffic between routers.
	FirstPort, LastPort int

	// StoreAddress is the address of the platform's store.
	StoreAddress netip.AddrPort

	LogLevel hclog.Level
	// MemoryBytes is the memory at which the process is killed.
	MemoryBytes int64
	// Descriptors is the limit of open files and sockets.
	Descriptors int
	// CoreShare is the part of a core that the process may use, on average.
	CoreShare float64

	// MaxRefusedFraction bounds the part of the requests that is refused while the process gets too little processor time.
	MaxRefusedFraction float64

	// Grace is the time between the request to stop and the kill.
	Grace time.Duration
	// AddressTimeToLive is how long callers may cache an answer of Locate.
	AddressTimeToLive time.Duration
	// EventDelay is how late callers accept an event of a stream.
	EventDelay time.Duration
	// RetryRatio, RetryWindow and RetryExtra bound the repeated requests of all routers to one service: in each window
	// RetryRatio times the requests plus RetryExtra.
	RetryRatio  float64
	RetryWindow time.Duration
	RetryExtra  float64
	// ColdRatio and ColdExtra bound the requests in one second to a cold upstream: ColdRatio times its rate plus ColdExtra.
	ColdRatio float64
	ColdExtra float64
	// ShareWindow is the time over which the shares of the organisations are compared.
	ShareWindow time.Duration
}

// Limits and defaults of an entry.
const (
	// descriptorReserve is kept for files, as the platform does.
	descriptorReserve = 200
	maxDescriptors    = 1 << 20
	maxWindow         = time.Hour
	maxRatio          = 100.0
	maxRetryExtra     = 1_000_000.0
	lastPort          = 65535
	// The defaults are those of the users' smaller deployments, as far as these have one size.
	// defaultMostRefused leaves one caller in twenty who comes back a chance.
	defaultMostRefused       = 0.95
	defaultMemory            = 256 * mebibyte
	defaultDescriptors       = 4096
	defaultGrace             = 8 * time.Second
	defaultAddressTimeToLive = 2 * time.Second
	defaultEventDelay        = 120 * time.Millisecond
	defaultRetryRatio        = 0.2
	defaultRetryWindow       = 10 * time.Second
	defaultShareWindow       = 4 * time.Second
)

// DefaultEntry returns the settings that a file does not have to give.
func DefaultEntry() Entry {
	return Entry{
		LogLevel:          hclog.Info,
		MemoryBytes:       defaultMemory,
		Descriptors:       defaultDescriptors,
		CoreShare:         1,
		MaxRefusedFraction:       defaultMostRefused,
		Grace:             defaultGrace,
		AddressTimeToLive: defaultAddressTimeToLive,
		EventDelay:        defaultEventDelay,
		RetryRatio:        defaultRetryRatio,
		RetryWindow:       defaultRetryWindow,
		ColdRatio:         1,
		ShareWindow:       defaultShareWindow,
	}
}

// MaxConnections is the number of sockets that the process may have open.
func (entry Entry) MaxConnections() int { return max(entry.Descriptors-descriptorReserve, 1) }

func entryFields() []field[Entry] {
	address := func(listen bool, target func(*Entry) *netip.AddrPort) func(*Entry, string) *problem {
		return func(entry *Entry, text string) *problem { return setAddress(text, listen, target(entry)) }
	}
	duration := func(target func(*Entry) *time.Duration) func(*Entry, string) *problem {
		return func(entry *Entry, text string) *problem { return setDuration(text, 0, maxWindow, target(entry)) }
	}
	ratio := func(high float64, target func(*Entry) *float64) func(*Entry, string) *problem {
		return func(entry *Entry, text string) *problem { return setRatio(text, high, target(entry)) }
	}
	return []field[Entry]{
		{"Instance", "Name", true, func(entry *Entry, text string) *problem { return setName(text, &entry.Name) }},
		{"Instance", "Zone", true, func(entry *Entry, text string) *problem { return setName(text, &entry.Zone) }},
		{"Listen", "Caller", true, address(true, func(entry *Entry) *netip.AddrPort { return &entry.CallerListen })},
		{"Listen", "Ready", true, address(true, func(entry *Entry) *netip.AddrPort { return &entry.ReadyListen })},
		{"Listen", "Locate", true, address(true, func(entry *Entry) *netip.AddrPort { return &entry.LocateListen })},
		{"Listen", "Metrics", false, address(true, func(entry *Entry) *netip.AddrPort { return &entry.MetricsListen })},
		{"Listen", "Ports", true, func(entry *Entry, text string) *problem {
			return setPorts(text, &entry.FirstPort, &entry.LastPort)
		}},
		{"Store", "Address", true, address(false, func(entry *Entry) *netip.AddrPort { return &entry.StoreAddress })},
		{"Log", "Level", false, func(entry *Entry, text string) *problem { return setLevel(text, &entry.LogLevel) }},
		{"Sizes", "Memory", false, func(entry *Entry, text string) *problem {
			return setSize(text, 16*mebibyte, 1024*gibibyte, &entry.MemoryBytes)
		}},
		{"Sizes", "Descriptors", false, func(entry *Entry, text string) *problem {
			return setFloor(text, descriptorReserve, maxDescriptors, &entry.Descriptors)
		}},
		{"Sizes", "CoreShare", false, ratio(maxRatio, func(entry *Entry) *float64 { return &entry.CoreShare })},
		{"Load", "MostRefused", false, ratio(1, func(entry *Entry) *float64 { return &entry.MaxRefusedFraction })},
		{"Times", "Grace", false, duration(func(entry *Entry) *time.Duration { return &entry.Grace })},
		{"Times", "AddressTimeToLive", false, duration(func(entry *Entry) *time.Duration { return &entry.AddressTimeToLive })},
		{"Times", "EventDelay", false, duration(func(entry *Entry) *time.Duration { return &entry.EventDelay })},
		{"Retry", "Ratio", false, ratio(maxRatio, func(entry *Entry) *float64 { return &entry.RetryRatio })},
		{"Retry", "Window", false, duration(func(entry *Entry) *time.Duration { return &entry.RetryWindow })},
		{"Retry", "Extra", false, ratio(maxRetryExtra, func(entry *Entry) *float64 { return &entry.RetryExtra })},
		{"Cold", "Ratio", false, ratio(maxRatio, func(entry *Entry) *float64 { return &entry.ColdRatio })},
		{"Cold", "Extra", false, ratio(maxRatio, func(entry *Entry) *float64 { return &entry.ColdExtra })},
		{"Share", "Window", false, duration(func(entry *Entry) *time.Duration { return &entry.ShareWindow })},
	}
}

// LoadEntry reads and checks the file of an entry. The error is a *FaultsError if the file could be read but is not valid.
func LoadEntry(path string) (Entry, error) {
	text, err := ReadEntry(path)
	if err != nil {
		return Entry{}, err
	}
	return ParseEntry(path, text)
}

// ParseEntry checks the text of the file of an entry as a whole. The error is a *FaultsError that names file in each fault.
func ParseEntry(file string, text []byte) (Entry, error) { return parseEntry(file, text).result() }

func parseEntry(file string, text []byte) *parser[Entry] {
	parser := newParser(file, DefaultEntry())
	parser.parse(text, entryFields())
	listens := []struct {
		place
		address netip.AddrPort
	}{
		{place{"Listen", "Caller"}, parser.settings.CallerListen},
		{place{"Listen", "Ready"}, parser.settings.ReadyListen},
		{place{"Listen", "Locate"}, parser.settings.LocateListen},
		{place{"Listen", "Metrics"}, parser.settings.MetricsListen},
	}
	for i, second := range listens {
		for _, first := range listens[:i] {
			if parser.given[second.place] && overlap(first.address, second.address) {
				parser.report(second.section, second.key, FaultDuplicateAddress,
					second.address.String()+" is also used by ["+first.section+"] "+first.key)
			}
		}
	}
	return parser
}

// ReadEntry reads the file of an entry without checking it.
func ReadEntry(path string) ([]byte, error) { return readFile(path, "read entry settings") }

// setPorts reads a range of ports such as 7400-7415.
func setPorts(text string, first, last *int) *problem {
	low, high, found := strings.Cut(text, "-")
	if !found {
		return problemf(FaultBadValue, "%q: want a range of ports, for example 7400-7415", text)
	}
	if problem := setCount(low, 1, lastPort, first); problem != nil {
		return problem
	}
	return setCount(high, *first, lastPort, last)
}

// setFloor reads a limit that may be given as a fraction, of which only whole units can be used.
func setFloor(text string, low, high int, target *int) *problem {
	var number float64
	if problem := setRatio(text, float64(high), &number); problem != nil {
		return problem
	}
	whole := int(number)
	if whole < low {
		return problemf(FaultOutOfRange, "%d: want %d to %d", whole, low, high)
	}
	*target = whole
	return nil
}

func setRatio(text string, high float64, target *float64) *problem {
	ratio, err := strconv.ParseFloat(text, 64)
	switch {
	case err != nil:
		return problemf(FaultBadValue, "%q: want a number, for example 0.2", text)
	case !(ratio >= 0 && ratio <= high):
		return problemf(FaultOutOfRange, "%v: want 0 to %v", ratio, high)
	}
	*target = ratio
	return nil
}
