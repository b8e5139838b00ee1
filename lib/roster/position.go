package roster

import (
	"cmp"
	"errors"
	"fmt"
)

const (
	// epochBits and revisionBits are the widths of the two parts of a sequence, which leaves localChangeBits for a list's
	// version.
	epochBits    = 16
	revisionBits = 40
)

var errPosition = errors.New("platform's position is out of range")

// Position is a point in the history of the platform. An epoch begins when the platform is restored from a backup: the
// latest changes of the epoch before are lost and their revisions are assigned again.
type Position struct {
	epoch    uint64
	revision uint64
}

// NewPosition returns the position of a revision in an epoch, and an error if a sequence has no room for the revision. Of the
// epoch only the low bits count, since nothing says from which number the platform counts.
func NewPosition(epoch, revision uint64) (Position, error) {
	if revision >= 1<<revisionBits {
		return Position{}, fmt.Errorf("%w: revision %d", errPosition, revision)
	}
	return Position{epoch: epoch % (1 << epochBits), revision: revision}, nil
}

// Epoch returns the low bits of the number of the epoch.
func (p Position) Epoch() uint64 { return p.epoch }

// Revision returns the revision, which is comparable only within an epoch.
func (p Position) Revision() uint64 { return p.revision }

// EpochStart returns the position before all revisions of the epoch.
func (p Position) EpochStart() Position { return Position{epoch: p.epoch} }

// IsEpochStart reports whether the position is before all revisions of its epoch.
func (p Position) IsEpochStart() bool { return p.revision == 0 }

// After reports whether the position is later than another one.
func (p Position) After(other Position) bool {
	return cmp.Or(cmp.Compare(p.epoch, other.epoch), cmp.Compare(p.revision, other.revision)) > 0
}

// Sequence returns a number that orders positions: the epoch in the high bits, the revision in the low ones.
func (p Position) Sequence() uint64 { return p.epoch<<revisionBits | p.revision }

// SequenceOf returns the sequence of the platform's position that a list of hosts with the given version was made at.
func SequenceOf(listVersion uint64) uint64 { return listVersion >> localChangeBits }
