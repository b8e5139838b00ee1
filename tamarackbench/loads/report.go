package loads

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	interval          = 100 * time.Millisecond
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
)

// Outcome describes how one caller's request ended, over all its attempts.
type Outcome struct {
	class       string
	key         string
	method      string
	path        string
	verdict     string
	reason      string
	attempts    int
	succeeded   bool
	wrongDigest bool
	mayHaveRun  bool
	took        time.Duration
	work        time.Duration
	history     []Attempt
}

// Attempt describes one attempt to send a request, for checks of its key's history.
type Attempt struct {
	began   time.Time
	ended   time.Time
	verdict string
}

// Began returns the time just before the attempt was sent.
func (a Attempt) Began() time.Time { return a.began }

// Ended returns the time at which the answer arrived or the attempt was given up.
func (a Attempt) Ended() time.Time { return a.ended }

// Verdict returns the verdict in the attempt's answer, empty where no answer arrived.
func (a Attempt) Verdict() string { return a.verdict }

// History returns the attempts in the order of sending, nil unless Callers.KeepOutcomes was called before the run.
func (o Outcome) History() []Attempt { return o.history }

// Key returns the idempotency key. Every outcome has one, but requests with the method GET do not send it.
func (o Outcome) Key() string { return o.key }

// Method returns the HTTP method of the request.
func (o Outcome) Method() string { return o.method }

// Path returns the URL path of the request, for a GET with its random last segment.
func (o Outcome) Path() string { return o.path }

// Verdict returns the verdict of the last attempt, empty where no answer arrived.
func (o Outcome) Verdict() string { return o.verdict }

// Succeeded reports whether a complete answer with the expected digest arrived.
func (o Outcome) Succeeded() bool { return o.succeeded }

// MayHaveRun reports whether any attempt ended without an answer or with a verdict other than not-run.
func (o Outcome) MayHaveRun() bool { return o.mayHaveRun }

// Reason returns why the last attempt failed: the reason code of its answer, noAnswer, or the failed downstream call.
func (o Outcome) Reason() string { return o.reason }

// classStats counts the outcomes of one class. The series have one count for each interval since the start: goodput
// counts successes at the time of their answers, served the same ones at the time of their arrival.
type classStats struct {
	offered     int64
	succeeded   int64
	wrongDigest int64
	attempts    int64
	reasons     map[string]int64
	latency     *hdrhistogram.Histogram
	usefulWork  time.Duration
	goodput     []int64
	served      []int64
	arrivals    []int64
}

// Report collects the outcomes of a run by class. Its methods may be called concurrently.
type Report struct {
	mu           sync.Mutex
	started      time.Time
	classes      map[string]*classStats
	unsent       int64
	keepOutcomes bool
	outcomes     []Outcome
}

func newReport() *Report { return &Report{classes: map[string]*classStats{}} }

func (r *Report) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started = time.Now()
}

// KeepOutcomes makes the report keep every outcome with its history; to be called before Run.
func (c *Callers) KeepOutcomes() { c.report.keepOutcomes = true }

// Outcomes returns a copy of the outcomes, in the order in which the requests ended; nil unless Callers.KeepOutcomes was
// called.
func (r *Report) Outcomes() []Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.outcomes)
}

func (r *Report) recordUnsent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unsent++
}

func (r *Report) record(o Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	stats, ok := r.classes[o.class]
	if !ok {
		stats = &classStats{reasons: map[string]int64{}, latency: hdrhistogram.New(1, maxLatencyMicros, significantDigits)}
		r.classes[o.class] = stats
	}
	now := time.Since(r.started)
	stats.offered++
	stats.attempts += int64(o.attempts)
	stats.arrivals = countAt(stats.arrivals, now-o.took)
	switch {
	case o.succeeded && o.took <= callerTimeout:
		stats.succeeded++
		stats.usefulWork += o.work
		stats.goodput = countAt(stats.goodput, now)
		stats.served = countAt(stats.served, now-o.took)
		_ = stats.latency.RecordValue(o.took.Microseconds())
	case o.wrongDigest:
		stats.wrongDigest++
	default:
		stats.reasons[o.verdict+":"+o.reason]++
	}
	if r.keepOutcomes {
		r.outcomes = append(r.outcomes, o)
	}
}

// countAt adds one to the count of the interval that contains at, and returns the series, which it extends as needed.
func countAt(counts []int64, at time.Duration) []int64 {
	i := int(max(0, at) / interval)
	for len(counts) <= i {
		counts = append(counts, 0)
	}
	counts[i]++
	return counts
}

// ClassSummary is the report on one class for JSON output. Succeeded counts requests with the expected answer within the
// callers' timeout, WrongDigest those with the answer of another request; Reasons counts all others by verdict and reason.
type ClassSummary struct {
	Name              string           `json:"name"`
	Offered           int64            `json:"offered"`
	Succeeded         int64            `json:"whole"`
	WrongDigest       int64            `json:"wrong"`
	Attempts          float64          `json:"attemptsPerRequest"`
	Reasons           map[string]int64 `json:"reasons"`
	P50Ms             float64          `json:"p50Ms"`
	P99Ms             float64          `json:"p99Ms"`
	Goodput           []int64          `json:"goodputPer100Ms"`
	Arrivals          []int64          `json:"arrivalsPer100Ms"`
	Served            []int64          `json:"servedOfArrivalsPer100Ms"`
	UsefulWorkSeconds float64          `json:"usefulWorkS"`
}

// Summary is the report on all classes for JSON output. Unsent counts requests that were not sent because too many others
// were in flight.
type Summary struct {
	Unsent  int64          `json:"unsent"`
	Classes []ClassSummary `json:"classes"`
}

// Summary returns the counts and latencies so far, sorted by the name of the class.
func (r *Report) Summary() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Summary{Unsent: r.unsent}
	for name, stats := range r.classes {
		s.Classes = append(s.Classes, ClassSummary{
			Name: name, Offered: stats.offered, Succeeded: stats.succeeded, WrongDigest: stats.wrongDigest, Reasons: stats.reasons,
			Attempts: float64(stats.attempts) / float64(max(1, stats.offered)),
			P50Ms:    milliseconds(stats.latency.ValueAtQuantile(50)),
			P99Ms:    milliseconds(stats.latency.ValueAtQuantile(99)),
			Goodput:  stats.goodput, Arrivals: stats.arrivals, Served: stats.served, UsefulWorkSeconds: stats.usefulWork.Seconds(),
		})
	}
	slices.SortFunc(s.Classes, func(a, b ClassSummary) int { return cmp.Compare(a.Name, b.Name) })
	return s
}

func milliseconds(micros int64) float64 { return float64(micros) / 1000 }
