package member

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/clementinewind/clementinewind"
)

// maxMesh is the number of routers up to which every router hears all others. Eight peers cost less than 0.5 KB/s.
const maxMesh = 9

// distances are the steps to the neighbours on the ring, in both directions. Growing by a factor of four, they let word
// reach 350 routers within six steps while every router has eight peers.
var distances = []int{1, 4, 16, 64}

// Neighbours returns the sessions that exchange heartbeats with self, out of the live ones. The relation is symmetric.
func Neighbours(sessions []clementinewind.Session, self clementinewind.Session) []clementinewind.Session {
	ring := slices.Clone(sessions)
	if !slices.Contains(ring, self) {
		ring = append(ring, self)
	}
	if len(ring) <= maxMesh {
		return slices.DeleteFunc(ring, func(session clementinewind.Session) bool { return session == self })
	}
	slices.SortFunc(ring, func(a, b clementinewind.Session) int {
		return cmp.Or(cmp.Compare(position(a), position(b)), cmp.Compare(a, b))
	})
	at := slices.Index(ring, self)
	var neighbours []clementinewind.Session
	for _, distance := range distances {
		for _, index := range []int{at + distance, at - distance} {
			neighbour := ring[((index%len(ring))+len(ring))%len(ring)]
			if neighbour != self && !slices.Contains(neighbours, neighbour) {
				neighbours = append(neighbours, neighbour)
			}
		}
	}
	return neighbours
}

// position places a session on the ring, so that sessions opened one after the other are not next to each other.
func position(session clementinewind.Session) uint64 {
	var buffer [8]byte
	binary.LittleEndian.PutUint64(buffer[:], uint64(session))
	return xxhash.Sum64(buffer[:])
}
