package wiring

import (
	"os"
	"runtime/debug"
)

const (
	// gcPercent lets the heap grow to nine times what lives before it is collected; a node holds a few megabytes, and at
	// the runtime's default of twice as much, collections fall on more than one call in a hundred.
	gcPercent = 800
	// memoryLimit keeps the process well under the 256 MB that a node may take, in bytes.
	memoryLimit = 200 << 20
)

// platformGCPercent keeps the peak of the heap low where memory is dearer than processor time.
const platformGCPercent = 120

// TuneMemory trades memory for fewer collections, unless the environment says otherwise.
func TuneMemory() { tuneMemory(gcPercent) }

func tuneMemory(percent int) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(percent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
}
