package wiring

import (
	"expvar"
	"os"
	"runtime/debug"
	"syscall"

	"tamarackrudder.org/lib/budget"
	"tamarackrudder.org/lib/clock"
	"tamarackrudder.org/lib/doors"
)

const (
	// gcPercent lets the heap grow to nine times the live heap between collections. A node's live heap is a few megabytes:
	// with the runtime's default of 100, which collects at twice the live heap, more than one call in a hundred coincides
	// with a collection.
	gcPercent = 800
	// defaultMemory is the number of bytes that a process may use if no setting says otherwise.
	defaultMemory = 256 << 20
	// The runtime's soft limit is three quarters of the memory of the process, which leaves room for stacks and sockets.
	softLimitNumerator, softLimitDenominator = 3, 4
	// Request bodies may take two fifths of the memory of the process, and long ones seven eighths of that.
	bodiesNumerator, bodiesDenominator = 2, 5
	shortBodiesDenominator             = 8
	// Answers that callers are reading may take a tenth of it, of which long ones leave an eighth to short ones, and heads of
	// requests a sixteenth.
	answersDenominator = 10
	headsDenominator   = 16
	// Answers that are being read from the backend server may take a quarter of it, at most maxReadAnswers, and long ones three
	// quarters of that.
	readAnswersDenominator  = 4
	maxReadAnswers          = 48 << 20
	shortAnswersDenominator = 4
	// The connections of callers may take a sixth of it: each has its goroutine, its buffers and what the server keeps of it.
	connectionsDenominator = 6
	connectionBytes        = 16 << 10
	// Of the descriptors of the process, some are for files, and callers may have a half of the others. The rest is for peers, the
	// backend server and the platform.
	reservedDescriptors    = 200
	callersDescriptorShare = 2
	minConnections         = 16
	maxDescriptors         = 1 << 16
)

// platformGCPercent replaces gcPercent on the users' platform, where a low peak of the heap is worth more than the
// processor time of additional collections.
const platformGCPercent = 120

// TuneMemory makes the runtime collect garbage less often at the cost of memory, up to a limit. Values set by GOGC and
// GOMEMLIMIT stay in force.
func TuneMemory() { tuneMemory(gcPercent, defaultMemory) }

// tuneMemory sets the runtime's limits for a process that may use so many bytes.
func tuneMemory(percent int, memory int64) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(percent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memory / softLimitDenominator * softLimitNumerator)
	}
}

// newDoors returns the account of the callers of a process that may use so many bytes and descriptors, and publishes it.
func newDoors(memory int64, descriptors int, bodies *budget.Budget) *doors.Table {
	answerBytes := memory / answersDenominator
	connections := min(int64(descriptors-reservedDescriptors)/callersDescriptorShare, memory/connectionsDenominator/connectionBytes)
	t := doors.New(clock.System{}, doors.NewLimits(max(minConnections, int(connections)), memory/headsDenominator,
		budget.New(answerBytes, answerBytes/shortBodiesDenominator), bodies))
	expvar.Publish("callers", expvar.Func(func() any { return t.Report() }))
	return t
}

// newReadAnswers returns the memory for answers being read from the backend server, of a process that may use so many bytes.
func newReadAnswers(memory int64) *budget.Budget {
	size := min(maxReadAnswers, memory/readAnswersDenominator)
	return budget.New(size, size/shortAnswersDenominator)
}

// processDescriptors returns how many descriptors the system lets the process have.
func processDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > maxDescriptors {
		return maxDescriptors
	}
	return int(limit.Cur)
}

// newBodyBudget returns the memory for request bodies of a process that may use so many bytes, and publishes how much of it is
// taken.
func newBodyBudget(memory int64) *budget.Budget {
	size := memory / bodiesDenominator * bodiesNumerator
	bodies := budget.New(size, size/shortBodiesDenominator)
	expvar.Publish("requestBodyBytes", expvar.Func(func() any { return bodies.Taken() }))
	expvar.Publish("requestBodyBytesLimit", expvar.Func(func() any { return size }))
	return bodies
}
