package wiring

import (
	"os"
	"runtime/debug"
)

const (
	// gcPercent lets the heap grow to nine times the live heap between collections. A node's live heap is a few megabytes:
	// with the runtime's default of 100, which collects at twice the live heap, more than one call in a hundred coincides
	// with a collection.
	gcPercent = 800
	// memoryLimit is the runtime's soft memory limit in bytes; it keeps the process well below the 256 MB that a node may
	// use.
	memoryLimit = 200 << 20
)

// platformGCPercent replaces gcPercent on the users' platform, where a low peak of the heap is worth more than the
// processor time of additional collections.
const platformGCPercent = 120

// TuneMemory makes the runtime collect garbage less often at the cost of memory, up to a limit. Values set by GOGC and
// GOMEMLIMIT stay in force.
func TuneMemory() { tuneMemory(gcPercent) }

func tuneMemory(percent int) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(percent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
}
