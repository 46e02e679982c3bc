package place

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rendezvous is an immutable set of members to which keys are assigned. It is safe for concurrent use.
type Rendezvous[M any] struct {
	members []node[M]
}

type node[M any] struct {
	member M
	id     uint64
	zone   string
	weight float64
}

type scored struct {
	index int
	score float64
}

// Config configures a Rendezvous.
type Config[M any] struct {
	Members []M
	// ID returns the number that identifies a member. It must be the same in every process.
	ID func(M) uint64
	// Zone returns the availability zone of a member. It is required only for TopAcrossZones.
	Zone func(M) string
	// Weight returns the weight of a member. Top and TopAcrossZones assign keys in proportion to the weights, Owner
	// ignores them. A nil Weight gives all members the same weight.
	Weight func(M) float64
}

// New returns a set of members.
func New[M any](config Config[M]) *Rendezvous[M] {
	rendezvous := &Rendezvous[M]{members: make([]node[M], 0, len(config.Members))}
	for _, member := range config.Members {
		added := node[M]{member: member, id: config.ID(member), weight: 1}
		if config.Weight != nil {
			added.weight = config.Weight(member)
		}
		if config.Zone != nil {
			added.zone = config.Zone(member)
		}
		rendezvous.members = append(rendezvous.members, added)
	}
	// Ties between equal scores must not depend on the order in the configuration.
	slices.SortFunc(rendezvous.members, func(a, b node[M]) int { return cmp.Compare(a.id, b.id) })
	return rendezvous
}

// Len returns the number of members.
func (rendezvous *Rendezvous[M]) Len() int { return len(rendezvous.members) }

// Owner returns the member with the highest score for a key. The second result is false only if there are no
// members.
func (rendezvous *Rendezvous[M]) Owner(key string) (M, bool) {
	var owner M
	hash := xxhash.Sum64String(key)
	best, found := uint64(0), false
	for i := range rendezvous.members {
		if score := memberScore(hash, rendezvous.members[i].id); !found || score > best {
			owner, best, found = rendezvous.members[i].member, score, true
		}
	}
	return owner, found
}

// Top returns the count members with the highest scores for a key, highest first.
func (rendezvous *Rendezvous[M]) Top(key string, count int) []M {
	ranked := rendezvous.ranked(key)
	members := make([]M, 0, min(count, len(ranked)))
	for _, entry := range ranked[:min(count, len(ranked))] {
		members = append(members, rendezvous.members[entry.index].member)
	}
	return members
}

// TopAcrossZones returns count members for a key. It takes the member with the highest score of each zone before the
// second of any zone.
func (rendezvous *Rendezvous[M]) TopAcrossZones(key string, count int) []M {
	ranked := rendezvous.ranked(key)
	members := make([]M, 0, min(count, len(ranked)))
	for len(members) < count && len(ranked) > 0 {
		seen := map[string]bool{}
		var rest []scored
		for _, entry := range ranked {
			if member := rendezvous.members[entry.index]; !seen[member.zone] && len(members) < count {
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

func (rendezvous *Rendezvous[M]) ranked(key string) []scored {
	hash := xxhash.Sum64String(key)
	ranked := make([]scored, len(rendezvous.members))
	for i := range rendezvous.members {
		ranked[i] = scored{index: i, score: weightedScore(memberScore(hash, rendezvous.members[i].id), rendezvous.members[i].weight)}
	}
	slices.SortStableFunc(ranked, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	return ranked
}

// weightedScore scales the score of a member by its weight, so that the probability that a member has the highest score
// for a key is in proportion to its weight.
func weightedScore(score uint64, weight float64) float64 {
	uniform := (float64(score) + 1) / math.MaxUint64
	return math.Log(min(uniform, 1)) / weight
}

// memberScore returns the score of a member for the hash of a key.
func memberScore(hash, id uint64) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], hash)
	binary.LittleEndian.PutUint64(buffer[8:], id)
	return xxhash.Sum64(buffer[:])
}
