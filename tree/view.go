package tree

import (
	"iter"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/clementinewind/clementinewind"
)

// Defaults of the keys that no section sets.
const (
	DefaultWeight     = 1
	DefaultMaxRunning = 256
	DefaultMaxQueued  = 1024
	// DefaultColdLimit is the number of requests that any engine carries right after its start.
	DefaultColdLimit  = 2
	DefaultMaxLimit   = 64
	DefaultMaxTokens  = 512
	DefaultDeadline   = 30 * time.Second
	defaultInService  = true
	defaultPoolKind   = clementinewind.PoolModel
	defaultChecksFlag = false
)

// Organisation is the settings of an organisation.
type Organisation struct {
	// Name is the path below Organisations; a part of an organisation has the name of the whole as a prefix.
	Name       clementinewind.Organisation
	Weight     float64
	MaxRunning int
	MaxQueued  int
	// RatePerSecond is the largest rate of requests; 0 means that there is no limit.
	RatePerSecond float64
	// Deadline is the time within which an answer must start; 0 means that the deadline of the pool holds.
	Deadline time.Duration
	// TokenHashes are the SHA-256 hashes of the tokens that the callers of the organisation show.
	TokenHashes [][tokenHashSize]byte
}

// Zone is the settings of an availability zone.
type Zone struct {
	Name      clementinewind.Zone
	InService bool
}

// Pool is the settings of a pool.
type Pool struct {
	Name             clementinewind.Pool
	Kind             clementinewind.PoolKind
	ColdLimit        int
	MaxLimit         int
	DefaultMaxTokens int
	Deadline         time.Duration
}

// Upstream is the settings of an upstream.
type Upstream struct {
	// Name is the path below Pools, so that it is unique in the fleet.
	Name          clementinewind.Upstream
	Pool          clementinewind.Pool
	Address       netip.AddrPort
	Zone          clementinewind.Zone
	ChecksFencing bool
	// InService is the upstream's own switch. Serving also regards its zone.
	InService bool
	// Serving reports whether the upstream and its zone are in service.
	Serving bool
}

// Organisation returns the settings of an organisation.
func (tree Tree) Organisation(name clementinewind.Organisation) (Organisation, bool) {
	path := OrganisationsSection + separator + string(name)
	if _, ok := tree.section(path); !ok {
		return Organisation{}, false
	}
	return Organisation{
		Name:          name,
		Weight:        effective(tree, path, WeightKey, parseWeight, DefaultWeight),
		MaxRunning:    effective(tree, path, MaxRunningKey, parseCount, DefaultMaxRunning),
		MaxQueued:     effective(tree, path, MaxQueuedKey, parseCount, DefaultMaxQueued),
		RatePerSecond: effective(tree, path, RatePerSecondKey, parseRate, 0),
		Deadline:      effective(tree, path, DeadlineKey, parseDeadline, 0),
		TokenHashes:   effective(tree, path, TokenHashesKey, parseTokenHashes, nil),
	}, true
}

// Organisations returns all organisations in the order of their names.
func (tree Tree) Organisations() iter.Seq[Organisation] {
	return func(yield func(Organisation) bool) {
		tree.below(OrganisationsSection, func(section *section) bool {
			organisation, _ := tree.Organisation(clementinewind.Organisation(section.path[len(OrganisationsSection)+1:]))
			return yield(organisation)
		})
	}
}

// Zone returns the settings of an availability zone.
func (tree Tree) Zone(name clementinewind.Zone) (Zone, bool) {
	path := zonePath(name)
	if _, ok := tree.section(path); !ok {
		return Zone{}, false
	}
	return Zone{Name: name, InService: effective(tree, path, InServiceKey, parseSwitch, defaultInService)}, true
}

// Zones returns all availability zones in the order of their names.
func (tree Tree) Zones() []Zone {
	var zones []Zone
	tree.below(ZonesSection, func(section *section) bool {
		zone, _ := tree.Zone(clementinewind.Zone(section.path[len(ZonesSection)+1:]))
		zones = append(zones, zone)
		return true
	})
	return zones
}

// Pool returns the settings of a pool.
func (tree Tree) Pool(name clementinewind.Pool) (Pool, bool) {
	path := poolPath(name)
	if _, ok := tree.section(path); !ok || depthOfPath(path) != upstreamDepth-1 {
		return Pool{}, false
	}
	return Pool{
		Name:             name,
		Kind:             effective(tree, path, KindKey, parseKind, defaultPoolKind),
		ColdLimit:        effective(tree, path, ColdLimitKey, parseLimit, DefaultColdLimit),
		MaxLimit:         effective(tree, path, MaxLimitKey, parseLimit, DefaultMaxLimit),
		DefaultMaxTokens: effective(tree, path, DefaultMaxTokensKey, parseLimit, DefaultMaxTokens),
		Deadline:         effective(tree, path, DeadlineKey, parseDeadline, DefaultDeadline),
	}, true
}

// Pools returns all pools in the order of their names.
func (tree Tree) Pools() []Pool {
	var pools []Pool
	tree.below(PoolsSection, func(section *section) bool {
		if pool, ok := tree.Pool(clementinewind.Pool(section.path[len(PoolsSection)+1:])); ok {
			pools = append(pools, pool)
		}
		return true
	})
	return pools
}

// Upstream returns the settings of an upstream.
func (tree Tree) Upstream(name clementinewind.Upstream) (Upstream, bool) {
	path := upstreamPath(name)
	pool, _, ok := strings.Cut(string(name), separator)
	if !ok {
		return Upstream{}, false
	}
	if _, ok := tree.section(path); !ok {
		return Upstream{}, false
	}
	upstream := Upstream{
		Name:          name,
		Pool:          clementinewind.Pool(pool),
		Address:       effective(tree, path, AddressKey, parseAddress, netip.AddrPort{}),
		Zone:          effective(tree, path, ZoneKey, parseZone, ""),
		ChecksFencing: effective(tree, path, ChecksFencingKey, parseSwitch, defaultChecksFlag),
		InService:     effective(tree, path, InServiceKey, parseSwitch, defaultInService),
	}
	zone, _ := tree.Zone(upstream.Zone)
	upstream.Serving = upstream.InService && zone.InService
	return upstream, true
}

// Upstreams returns the upstreams of a pool in the order of their names.
func (tree Tree) Upstreams(pool clementinewind.Pool) []Upstream {
	var upstreams []Upstream
	tree.below(poolPath(pool), func(section *section) bool {
		if upstream, ok := tree.Upstream(clementinewind.Upstream(section.path[len(PoolsSection)+1:])); ok {
			upstreams = append(upstreams, upstream)
		}
		return true
	})
	return upstreams
}

// AllUpstreams returns the upstreams of all pools in the order of their names. The slice must not be changed.
func (tree Tree) AllUpstreams() []Upstream {
	if tree.sections == nil {
		return nil
	}
	return tree.sections.upstreams()
}

func (tree Tree) readUpstreams() []Upstream {
	var upstreams []Upstream
	for _, pool := range tree.Pools() {
		upstreams = append(upstreams, tree.Upstreams(pool.Name)...)
	}
	return slices.Clip(upstreams)
}

// TotalWeight returns the sum of the weights of all organisations.
func (tree Tree) TotalWeight() float64 {
	if tree.sections == nil {
		return 0
	}
	return tree.sections.weight()
}

func (tree Tree) sumWeights() float64 {
	total := 0.0
	inherited := effective(tree, OrganisationsSection, WeightKey, parseWeight, DefaultWeight)
	tree.below(OrganisationsSection, func(section *section) bool {
		text, own := section.value(WeightKey)
		weight, err := parseWeight(text)
		switch {
		case own && err == nil:
			total += weight
		case depthOfPath(section.path) == depthOfPath(OrganisationsSection)+1:
			total += inherited
		default:
			total += effective(tree, section.path, WeightKey, parseWeight, DefaultWeight)
		}
		return true
	})
	return total
}

// effective returns the value of a key, or the default when no section sets it. Values in a tree have been checked.
func effective[V any](tree Tree, path, key string, parse func(string) (V, error), fallback V) V {
	text, _, ok := tree.Effective(path, key)
	if !ok {
		return fallback
	}
	value, err := parse(text)
	if err != nil {
		return fallback
	}
	return value
}

func parseZone(value string) (clementinewind.Zone, error) {
	return clementinewind.Zone(value), checkName(value)
}

func zonePath(name clementinewind.Zone) string { return ZonesSection + separator + string(name) }

func poolPath(name clementinewind.Pool) string { return PoolsSection + separator + string(name) }

func upstreamPath(name clementinewind.Upstream) string {
	return PoolsSection + separator + string(name)
}
