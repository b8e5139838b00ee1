package hosts

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// digestRanges is the number of ranges of addresses in a digest. More ranges make digests larger, and differences smaller.
const digestRanges = 64

var errInvalidDiff = errors.New("invalid difference of lists of hosts")

// Digest identifies the content of a list by a hash of each range of addresses. It leaves out warm-up times, which
// depend on the clock of the host that has read the entry.
type Digest struct{ ranges [digestRanges]uint64 }

// NewDigest returns the digest with the given hash for each range; missing ones are those of empty ranges.
func NewDigest(ranges []uint64) Digest {
	var d Digest
	copy(d.ranges[:], ranges)
	return d
}

// Ranges returns the hash of each range.
func (d Digest) Ranges() []uint64 { return d.ranges[:] }

// Diff is what a list has in the ranges of addresses in which another list differs from it.
type Diff struct {
	version   uint64
	sequence  uint64
	ranges    []int
	endpoints []Endpoint
}

// NewDiff returns the difference that leads to the list with the given version and sequence, which is the platform's
// revision of it. The endpoints are all that this list has in the given ranges.
func NewDiff(version, sequence uint64, ranges []int, endpoints []Endpoint) Diff {
	return Diff{version: version, sequence: sequence, ranges: ranges, endpoints: endpoints}
}

// Version returns the version of the list that the difference leads to.
func (d Diff) Version() uint64 { return d.version }

// Sequence returns the platform's revision of the list that the difference leads to.
func (d Diff) Sequence() uint64 { return d.sequence }

// Ranges returns the numbers of the ranges that differ, in ascending order.
func (d Diff) Ranges() []int { return d.ranges }

// Endpoints returns all endpoints in the ranges that differ.
func (d Diff) Endpoints() []Endpoint { return d.endpoints }

// Digest returns the digest of a list, that of an empty one for nil.
func (l *List) Digest() Digest {
	var d Digest
	if l == nil {
		return d
	}
	for _, e := range l.endpoints {
		d.ranges[rangeOf(e.rpcAddr)] += e.hash()
	}
	return d
}

// DiffFrom returns the difference that leads from a list with the given digest to this one.
func (l *List) DiffFrom(known Digest, sequence uint64) Diff {
	own := l.Digest()
	var ranges []int
	for i, hash := range own.ranges {
		if hash != known.ranges[i] {
			ranges = append(ranges, i)
		}
	}
	var endpoints []Endpoint
	for _, e := range l.endpoints {
		if own.ranges[rangeOf(e.rpcAddr)] != known.ranges[rangeOf(e.rpcAddr)] {
			endpoints = append(endpoints, e)
		}
	}
	return NewDiff(l.version, sequence, ranges, endpoints)
}

// Apply returns the list that a difference from this one leads to; this one may be nil. It returns an error if the
// difference has an endpoint outside its ranges, or if the result is invalid.
func (l *List) Apply(d Diff) (*List, error) {
	endpoints := slices.Clone(d.endpoints)
	for _, e := range endpoints {
		if !slices.Contains(d.ranges, rangeOf(e.rpcAddr)) {
			return nil, fmt.Errorf("%w: endpoint %s is outside the ranges that differ", errInvalidDiff, e.rpcAddr)
		}
	}
	if l != nil {
		for _, e := range l.endpoints {
			if !slices.Contains(d.ranges, rangeOf(e.rpcAddr)) {
				endpoints = append(endpoints, e)
			}
		}
	}
	return NewList(d.version, endpoints)
}

func rangeOf(addr string) int { return int(xxhash.Sum64String(addr) % digestRanges) }

// hash returns a hash of all that an endpoint's entry says but the end of its warm-up.
func (e Endpoint) hash() uint64 {
	h := xxhash.New()
	for _, text := range []string{e.service, e.host, e.zone, e.rpcAddr, e.instance} {
		_, _ = h.WriteString(text)
		_, _ = h.Write([]byte{0})
	}
	leaving := uint64(0)
	if e.leaving {
		leaving = 1
	}
	started := uint64(0)
	if !e.started.IsZero() {
		started = uint64(e.started.UnixMilli())
	}
	for _, number := range []uint64{leaving, uint64(e.slots), started, uint64(e.heartbeats)} {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, number))
	}
	return h.Sum64()
}
