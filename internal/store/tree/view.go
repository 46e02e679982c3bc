package tree

import (
	"iter"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/clementinewind/clementinewind"
)

// Defaults of keys that no section sets.
const (
	DefaultWeight     = 1
	DefaultMaxRunning = 256
	DefaultMaxQueued  = 1024
	// DefaultColdLimit is the number of concurrent requests that any engine can handle right after its start.
	DefaultColdLimit     = 2
	DefaultMaxLimit      = 64
	DefaultMaxTokens     = 512
	DefaultDeadline      = 30 * time.Second
	defaultInService     = true
	defaultPoolKind      = clementinewind.PoolModel
	defaultChecksFencing = false
)

// Organisation holds the settings of an organisation.
type Organisation struct {
	// Name is the path below Organisations. The name of a nested organisation starts with the name of its parent.
	Name       clementinewind.Organisation
	Weight     float64
	MaxRunning int
	MaxQueued  int
	// RatePerSecond is the limit on the rate of requests; 0 means no limit.
	RatePerSecond float64
	// Deadline is the time within which an answer must start; 0 uses the deadline of the pool.
	Deadline time.Duration
}

// Token holds the settings of a bearer token. It belongs to an organisation or to an operator.
type Token struct {
	ID string
	// Hash is the SHA-256 hash of the token's secret.
	Hash         [hashSize]byte
	Organisation clementinewind.Organisation
	Operator     string
}

// Zone holds the settings of an availability zone.
type Zone struct {
	Name      clementinewind.Zone
	InService bool
}

// Pool holds the settings of a pool.
type Pool struct {
	Name             clementinewind.Pool
	Kind             clementinewind.PoolKind
	ColdLimit        int
	MaxLimit         int
	DefaultMaxTokens int
	Deadline         time.Duration
}

// Upstream holds the settings of an upstream.
type Upstream struct {
	// Name is the path below Pools, so it is unique in the fleet.
	Name          clementinewind.Upstream
	Pool          clementinewind.Pool
	Address       netip.AddrPort
	Zone          clementinewind.Zone
	ChecksFencing bool
	// InService is the upstream's own setting. Serving also takes its zone into account.
	InService bool
	// Serving reports whether both the upstream and its zone are in service.
	Serving bool
}

// Organisation returns the settings of an organisation.
func (tree Tree) Organisation(name clementinewind.Organisation) (Organisation, bool) {
	chain, ok := tree.chain(OrganisationsSection + separator + string(name))
	if !ok {
		return Organisation{}, false
	}
	return Organisation{
		Name:          name,
		Weight:        effective(chain, WeightKey, parseWeight, DefaultWeight),
		MaxRunning:    effective(chain, MaxRunningKey, parseCount, DefaultMaxRunning),
		MaxQueued:     effective(chain, MaxQueuedKey, parseCount, DefaultMaxQueued),
		RatePerSecond: effective(chain, RatePerSecondKey, parseRate, 0),
		Deadline:      effective(chain, DeadlineKey, parseDeadline, 0),
	}, true
}

// Organisations returns all organisations, sorted by path.
func (tree Tree) Organisations() iter.Seq[Organisation] {
	return func(yield func(Organisation) bool) {
		tree.walkBelow(OrganisationsSection, func(section *section) bool {
			organisation, _ := tree.Organisation(clementinewind.Organisation(section.path[len(OrganisationsSection)+1:]))
			return yield(organisation)
		})
	}
}

// Token returns the settings of a bearer token.
func (tree Tree) Token(id string) (Token, bool) {
	path := TokensSection + separator + id
	chain, ok := tree.chain(path)
	if !ok {
		return Token{}, false
	}
	organisation, _ := tree.Own(path, OrganisationKey)
	operator, _ := tree.Own(path, OperatorKey)
	return Token{
		ID:           id,
		Hash:         effective(chain, HashKey, parseHash, [hashSize]byte{}),
		Organisation: clementinewind.Organisation(organisation),
		Operator:     operator,
	}, true
}

// Tokens returns all bearer tokens, sorted by id.
func (tree Tree) Tokens() []Token {
	var tokens []Token
	tree.walkBelow(TokensSection, func(section *section) bool {
		token, _ := tree.Token(section.path[len(TokensSection)+1:])
		tokens = append(tokens, token)
		return true
	})
	return tokens
}

// HasTokens reports whether there is a bearer token.
func (tree Tree) HasTokens() bool {
	found := false
	tree.walkBelow(TokensSection, func(*section) bool {
		found = true
		return false
	})
	return found
}

// Zone returns the settings of an availability zone.
func (tree Tree) Zone(name clementinewind.Zone) (Zone, bool) {
	chain, ok := tree.chain(zonePath(name))
	if !ok {
		return Zone{}, false
	}
	return Zone{Name: name, InService: effective(chain, InServiceKey, parseBool, defaultInService)}, true
}

// Zones returns all availability zones, sorted by name.
func (tree Tree) Zones() []Zone {
	var zones []Zone
	tree.walkBelow(ZonesSection, func(section *section) bool {
		zone, _ := tree.Zone(clementinewind.Zone(section.path[len(ZonesSection)+1:]))
		zones = append(zones, zone)
		return true
	})
	return zones
}

// Pool returns the settings of a pool.
func (tree Tree) Pool(name clementinewind.Pool) (Pool, bool) {
	path := poolPath(name)
	chain, ok := tree.chain(path)
	if !ok || depthOfPath(path) != upstreamDepth-1 {
		return Pool{}, false
	}
	return Pool{
		Name:             name,
		Kind:             effective(chain, KindKey, parseKind, defaultPoolKind),
		ColdLimit:        effective(chain, ColdLimitKey, parseLimit, DefaultColdLimit),
		MaxLimit:         effective(chain, MaxLimitKey, parseLimit, DefaultMaxLimit),
		DefaultMaxTokens: effective(chain, DefaultMaxTokensKey, parseLimit, DefaultMaxTokens),
		Deadline:         effective(chain, DeadlineKey, parseDeadline, DefaultDeadline),
	}, true
}

// Pools returns all pools, sorted by name.
func (tree Tree) Pools() []Pool {
	var pools []Pool
	tree.walkBelow(PoolsSection, func(section *section) bool {
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
	chain, ok := tree.chain(path)
	if !ok || depthOfPath(path) != upstreamDepth {
		return Upstream{}, false
	}
	return tree.upstream(chain), true
}

func (tree Tree) upstream(chain []*section) Upstream {
	name := chain[0].path[len(PoolsSection)+1:]
	pool, _, _ := strings.Cut(name, separator)
	upstream := Upstream{
		Name:          clementinewind.Upstream(name),
		Pool:          clementinewind.Pool(pool),
		Address:       effective(chain, AddressKey, parseAddress, netip.AddrPort{}),
		Zone:          effective(chain, ZoneKey, parseZone, ""),
		ChecksFencing: effective(chain, ChecksFencingKey, parseBool, defaultChecksFencing),
		InService:     effective(chain, InServiceKey, parseBool, defaultInService),
	}
	zone, _ := tree.Zone(upstream.Zone)
	upstream.Serving = upstream.InService && zone.InService
	return upstream
}

// Upstreams returns the upstreams of a pool, sorted by name.
func (tree Tree) Upstreams(pool clementinewind.Pool) []Upstream {
	parents, ok := tree.chain(poolPath(pool))
	if !ok || depthOfPath(string(pool)) != 1 {
		return nil
	}
	var upstreams []Upstream
	tree.walkBelow(poolPath(pool), func(section *section) bool {
		upstreams = append(upstreams, tree.upstream(slices.Insert(slices.Clone(parents), 0, section)))
		return true
	})
	return upstreams
}

// AllUpstreams returns the upstreams of all pools, sorted by name. The slice must not be modified.
func (tree Tree) AllUpstreams() []Upstream {
	if tree.sections == nil {
		return nil
	}
	return tree.sections.allUpstreams()
}

func (tree Tree) computeUpstreams() []Upstream {
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
	return tree.sections.totalWeight()
}

func (tree Tree) computeTotalWeight() float64 {
	total := 0.0
	top, _ := tree.chain(OrganisationsSection)
	inherited := effective(top, WeightKey, parseWeight, DefaultWeight)
	tree.walkBelow(OrganisationsSection, func(section *section) bool {
		text, own := section.value(WeightKey)
		weight, err := parseWeight(text)
		switch {
		case own && err == nil:
			total += weight
		case depthOfPath(section.path) == depthOfPath(OrganisationsSection)+1:
			total += inherited
		default:
			chain, _ := tree.chain(section.path)
			total += effective(chain, WeightKey, parseWeight, DefaultWeight)
		}
		return true
	})
	return total
}

// chain returns a section and its existing ancestors, nearest first, or false if the section does not exist.
func (tree Tree) chain(path string) ([]*section, bool) {
	found, ok := tree.section(path)
	if !ok {
		return nil, false
	}
	chain := make([]*section, 1, upstreamDepth)
	chain[0] = found
	for path, ok = parentOf(path); ok; path, ok = parentOf(path) {
		if parent, exists := tree.section(path); exists {
			chain = append(chain, parent)
		}
	}
	return chain, true
}

// effective returns the first value of a key along the chain, or fallback if no section sets it. Values in a tree have
// been validated.
func effective[V any](chain []*section, key string, parse func(string) (V, error), fallback V) V {
	for _, section := range chain {
		if text, ok := section.value(key); ok {
			if value, err := parse(text); err == nil {
				return value
			}
		}
	}
	return fallback
}

func parseZone(value string) (clementinewind.Zone, error) {
	return clementinewind.Zone(value), checkName(value)
}

func zonePath(name clementinewind.Zone) string { return ZonesSection + separator + string(name) }

func poolPath(name clementinewind.Pool) string { return PoolsSection + separator + string(name) }

func upstreamPath(name clementinewind.Upstream) string {
	return PoolsSection + separator + string(name)
}
