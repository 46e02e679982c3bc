package place

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rendezvous is an immutable set of members with their hashes. It may be used by many goroutines.
type Rendezvous[M any] struct {
	members []hashed[M]
}

type hashed[M any] struct {
	member M
	id     uint64
	zone   string
	weight float64
}

type scored struct {
	index int
	score float64
}

// Config configures a Ring.
type Config[M any] struct {
	Members []M
	// ID returns the number that identifies a member; it must be the same in every process.
	ID func(M) uint64
	// Zone returns the availability zone of a member. Only Spread needs it.
	Zone func(M) string
	// Weight returns the part of the keys that a member gets in Top and Spread, against the weights of the others; nil gives
	// all the same.
	Weight func(M) float64
}

// New returns a ring of members.
func New[M any](config Config[M]) *Rendezvous[M] {
	ring := &Rendezvous[M]{members: make([]hashed[M], 0, len(config.Members))}
	for _, member := range config.Members {
		entry := hashed[M]{member: member, id: config.ID(member), weight: 1}
		if config.Weight != nil {
			entry.weight = config.Weight(member)
		}
		if config.Zone != nil {
			entry.zone = config.Zone(member)
		}
		ring.members = append(ring.members, entry)
	}
	// The order decides nothing but equal scores, and those must not depend on the order of the configuration.
	slices.SortFunc(ring.members, func(a, b hashed[M]) int { return cmp.Compare(a.id, b.id) })
	return ring
}

// Len returns the number of members.
func (ring *Rendezvous[M]) Len() int { return len(ring.members) }

// Owner returns the member with the highest score for a key. It is false only for a ring without members.
func (ring *Rendezvous[M]) Owner(key string) (M, bool) {
	var owner M
	hash := xxhash.Sum64String(key)
	best, found := uint64(0), false
	for i := range ring.members {
		if score := mix(hash, ring.members[i].id); !found || score > best {
			owner, best, found = ring.members[i].member, score, true
		}
	}
	return owner, found
}

// Top returns the count members with the highest scores for a key, best first.
func (ring *Rendezvous[M]) Top(key string, count int) []M {
	ranked := ring.ranked(key)
	members := make([]M, 0, min(count, len(ranked)))
	for _, entry := range ranked[:min(count, len(ranked))] {
		members = append(members, ring.members[entry.index].member)
	}
	return members
}

// TopAcrossZones returns count members for a key, taking the best member of each zone before the second of any zone.
func (ring *Rendezvous[M]) TopAcrossZones(key string, count int) []M {
	ranked := ring.ranked(key)
	members := make([]M, 0, min(count, len(ranked)))
	for len(members) < count && len(ranked) > 0 {
		seen := map[string]bool{}
		var rest []scored
		for _, entry := range ranked {
			if member := ring.members[entry.index]; !seen[member.zone] && len(members) < count {
				seen[member.zone] = true
				members = append(members, member.member)
			} else {
				rest = append(rest, entry)
			}
		}
		ranked = rest
	}
	return members
}

func (ring *Rendezvous[M]) ranked(key string) []scored {
	hash := xxhash.Sum64String(key)
	ranked := make([]scored, len(ring.members))
	for i := range ring.members {
		ranked[i] = scored{index: i, score: weighted(mix(hash, ring.members[i].id), ring.members[i].weight)}
	}
	slices.SortStableFunc(ranked, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	return ranked
}

// weighted returns a score that is the highest of several with a probability in proportion to the weight.
func weighted(score uint64, weight float64) float64 {
	part := (float64(score) + 1) / math.MaxUint64
	return math.Log(min(part, 1)) / weight
}

// mix returns the score of a member for the hash of a key.
func mix(hash, id uint64) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], hash)
	binary.LittleEndian.PutUint64(buffer[8:], id)
	return xxhash.Sum64(buffer[:])
}
