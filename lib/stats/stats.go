package stats

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tamarackrudder.org/lib/verd"
)

const (
	minLatencyMicros  = 1
	maxLatencyMicros  = 5 * 60 * 1_000_000
	significantDigits = 2
	// maxRows bounds the memory of a table, since callers choose the names of organisations: once there are so many rows, all new
	// organisations share one row per class, under overflowOrganisation.
	maxRows              = 200
	overflowOrganisation = "other"
)

type rowKey struct {
	organisation string
	class        string
}

type row struct {
	latency *hdrhistogram.Histogram
	kinds   map[verd.Kind]int64
	reasons map[verd.Reason]int64
}

// Table holds one row of counts and a latency histogram per organisation and class. It is safe for concurrent use.
type Table struct {
	mu   sync.Mutex
	rows map[rowKey]*row
}

// NewTable returns a table without rows; Record adds them.
func NewTable() *Table { return &Table{rows: map[rowKey]*row{}} }

// Record counts one request with its latency. Latencies outside of 1 µs to 5 min are recorded as the nearest bound.
func (t *Table) Record(organisation, class string, v verd.Verdict, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(organisation, class)
	_ = r.latency.RecordValue(min(maxLatencyMicros, max(minLatencyMicros, latency.Microseconds())))
	r.kinds[v.Kind()]++
	if !v.HasRun() {
		r.reasons[v.Reason()]++
	}
}

func (t *Table) row(organisation, class string) *row {
	key := rowKey{organisation: organisation, class: class}
	r, ok := t.rows[key]
	if !ok && len(t.rows) >= maxRows {
		key.organisation = overflowOrganisation
		r, ok = t.rows[key]
	}
	if !ok {
		r = &row{
			latency: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits),
			kinds:   map[verd.Kind]int64{},
			reasons: map[verd.Reason]int64{},
		}
		t.rows[key] = r
	}
	return r
}

// Count is the number of requests that ended with one reason.
type Count struct {
	reason verd.Reason
	count  int64
}

// Reason returns why the requests did not run, or why it is unknown whether they ran.
func (c Count) Reason() verd.Reason { return c.reason }

// Count returns the number of requests since the table was created.
func (c Count) Count() int64 { return c.count }

// Summary is a copy of one row's counts, with its latency percentiles.
type Summary struct {
	organisation string
	class        string
	ran          int64
	notRun       int64
	mayHaveRun   int64
	reasons      []Count
	p50          time.Duration
	p99          time.Duration
	p999         time.Duration
}

// Organisation returns the organisation's name, "other" for the organisations that share a row.
func (s Summary) Organisation() string { return s.organisation }

// Class returns the name of the request class.
func (s Summary) Class() string { return s.class }

// Ran returns the number of requests that ran and whose complete answer arrived.
func (s Summary) Ran() int64 { return s.ran }

// NotRun returns the number of requests that provably did not run.
func (s Summary) NotRun() int64 { return s.notRun }

// MayHaveRun returns the number of requests of which it is unknown whether they ran.
func (s Summary) MayHaveRun() int64 { return s.mayHaveRun }

// Reasons returns the requests that did not run or may have run, by reason and sorted by it.
func (s Summary) Reasons() []Count { return s.reasons }

// P50 returns the median latency, of requests with any verdict.
func (s Summary) P50() time.Duration { return s.p50 }

// P99 returns the 99th percentile of the latency.
func (s Summary) P99() time.Duration { return s.p99 }

// P999 returns the 99.9th percentile of the latency.
func (s Summary) P999() time.Duration { return s.p999 }

// Summaries returns one summary per row, sorted by organisation and class.
func (t *Table) Summaries() []Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	summaries := make([]Summary, 0, len(t.rows))
	for key, r := range t.rows {
		summaries = append(summaries, r.summary(key))
	}
	slices.SortFunc(summaries, func(a, b Summary) int {
		return cmp.Or(cmp.Compare(a.organisation, b.organisation), cmp.Compare(a.class, b.class))
	})
	return summaries
}

func (r *row) summary(key rowKey) Summary {
	s := Summary{
		organisation: key.organisation, class: key.class,
		ran: r.kinds[verd.KindRan], notRun: r.kinds[verd.KindNotRun], mayHaveRun: r.kinds[verd.KindMayHaveRun],
		p50: r.quantile(50), p99: r.quantile(99), p999: r.quantile(99.9),
	}
	for reason, n := range r.reasons {
		s.reasons = append(s.reasons, Count{reason: reason, count: n})
	}
	slices.SortFunc(s.reasons, func(a, b Count) int { return cmp.Compare(a.reason, b.reason) })
	return s
}

func (r *row) quantile(q float64) time.Duration {
	return time.Duration(r.latency.ValueAtQuantile(q)) * time.Microsecond
}
