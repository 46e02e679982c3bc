package feed

import "fmt"

// offsetBits is the number of low bits of a Position that hold the offset. At a million records a second it takes twelve days to exceed them.
const offsetBits = 40

// MaxEra is the highest era of a Position.
const MaxEra = 1<<(63-offsetBits) - 1

// Position is a place in a topic that is ordered over all eras of the store. An era ends when the store comes back from an older copy: it gives out
// offsets again, and what it then writes is newer than everything before.
type Position int64

// NewPosition returns the position of an offset in an era.
func NewPosition(era, offset int64) Position { return Position(era<<offsetBits + offset) }

// Era returns the number of times that the store had come back from a copy.
func (position Position) Era() int64 { return int64(position) >> offsetBits }

// Offset returns the offset within the era.
func (position Position) Offset() int64 { return int64(position) & (1<<offsetBits - 1) }

// String returns the offset, and the era if it is not the first one.
func (position Position) String() string {
	if position.Era() == 0 {
		return fmt.Sprint(position.Offset())
	}
	return fmt.Sprintf("%d/%d", position.Era(), position.Offset())
}
