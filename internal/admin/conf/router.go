package conf

import (
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/clementinewind/clementinewind"
)

// Units of size, in bytes.
const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
	gibibyte = 1 << 30
)

// Router holds the process settings of one router, which are read at its start. Settings that operators change at run time
// are in the settings tree instead.
type Router struct {
	Name clementinewind.Instance
	Zone clementinewind.Zone

	// CallerListen serves callers and operators.
	CallerListen netip.AddrPort
	// PeerListen serves other routers.
	PeerListen netip.AddrPort
	// AdminListen serves metrics, health and readiness.
	AdminListen netip.AddrPort
	// CallerAdvertise is the address that Locate returns; it defaults to CallerListen.
	CallerAdvertise netip.AddrPort
	// PeerAdvertise is the address to which other routers connect; it defaults to PeerListen.
	PeerAdvertise netip.AddrPort
	// PlatformAddress is the address of the platform's log, instance and weight services.
	PlatformAddress netip.AddrPort

	LogLevel hclog.Level
	// Pprof serves profiles on the admin address.
	Pprof bool

	// Drain is the longest time for which a router finishes requests after it was told to stop.
	Drain time.Duration
	// AddressTimeToLive is how long callers may cache the answer of Locate.
	AddressTimeToLive time.Duration
	// ResumeGrace is how long an answer is kept so that a disconnected caller can resume it.
	ResumeGrace time.Duration

	// RequestBytes is the largest request that a caller may send.
	RequestBytes int64
	// AnswerBytes is the largest buffer for one answer that is received out of order or kept for a resume.
	AnswerBytes int64
	// HeaderBytes is the largest HTTP header that a caller may send.
	HeaderBytes int64
	// Connections is the largest number of open connections per listener.
	Connections int
	// Events is the number of time line events kept in memory.
	Events int

	TLS TLS
}

// TLS holds paths of PEM files. Connections of callers use TLS if CallerCertificate is set; those to other routers and the
// platform use mutual TLS if PeerCertificate is set.
type TLS struct {
	CallerCertificate string
	CallerKey         string
	PeerCertificate   string
	PeerKey           string
	// PeerAuthorities has the certificates of the authorities that sign other routers and the platform.
	PeerAuthorities string
}

// Default returns the defaults of the optional settings. Name, zone and addresses are empty.
func Default() Router {
	return Router{
		LogLevel: hclog.Info,
		// Long enough for the longest answers; the design sets 10 min unless configured.
		Drain: 10 * time.Minute,
		// Short, so that callers soon leave a draining router; a Locate call costs about 1 ms.
		AddressTimeToLive: 30 * time.Second,
		ResumeGrace:       30 * time.Second,
		RequestBytes:      8 * mebibyte,
		AnswerBytes:       mebibyte,
		HeaderBytes:       32 * kibibyte,
		Connections:       10_000,
		// An event takes about 200 B, so that 8,192 events take 1.6 MB of the 128 MB for control data.
		Events: 8192,
	}
}

// WithName returns a copy with another instance name.
func (router Router) WithName(name clementinewind.Instance) Router {
	router.Name = name
	return router
}

// WithZone returns a copy with another availability zone.
func (router Router) WithZone(zone clementinewind.Zone) Router {
	router.Zone = zone
	return router
}

// WithCaller returns a copy that listens for callers on an address and advertises it.
func (router Router) WithCaller(address netip.AddrPort) Router {
	router.CallerListen, router.CallerAdvertise = address, address
	return router
}

// WithPeer returns a copy that listens for other routers on an address and advertises it.
func (router Router) WithPeer(address netip.AddrPort) Router {
	router.PeerListen, router.PeerAdvertise = address, address
	return router
}

// WithAdmin returns a copy with another admin address.
func (router Router) WithAdmin(address netip.AddrPort) Router {
	router.AdminListen = address
	return router
}

// WithPlatformAddress returns a copy with another platform address.
func (router Router) WithPlatformAddress(address netip.AddrPort) Router {
	router.PlatformAddress = address
	return router
}

// WithLogLevel returns a copy with another log level.
func (router Router) WithLogLevel(level hclog.Level) Router {
	router.LogLevel = level
	return router
}

// WithDrain returns a copy with another drain timeout.
func (router Router) WithDrain(drain time.Duration) Router {
	router.Drain = drain
	return router
}

// WithAddressTimeToLive returns a copy with another time to live of the answers of Locate.
func (router Router) WithAddressTimeToLive(timeToLive time.Duration) Router {
	router.AddressTimeToLive = timeToLive
	return router
}

// WithResumeGrace returns a copy that keeps answers for a resume for another time.
func (router Router) WithResumeGrace(grace time.Duration) Router {
	router.ResumeGrace = grace
	return router
}

// WithRequestBytes returns a copy with another limit of the request size.
func (router Router) WithRequestBytes(bytes int64) Router {
	router.RequestBytes = bytes
	return router
}

// WithAnswerBytes returns a copy with another limit of the buffer of an answer.
func (router Router) WithAnswerBytes(bytes int64) Router {
	router.AnswerBytes = bytes
	return router
}

// WithConnections returns a copy with another limit of open connections.
func (router Router) WithConnections(connections int) Router {
	router.Connections = connections
	return router
}

// WithEvents returns a copy that keeps another number of events in memory.
func (router Router) WithEvents(events int) Router {
	router.Events = events
	return router
}

// WithTLS returns a copy with other TLS files.
func (router Router) WithTLS(tls TLS) Router {
	router.TLS = tls
	return router
}
