package crash_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tamarackrudder.org/lib/clock"
	"tamarackrudder.org/lib/crash"
)

const crashing, unrelated = 1, 2

// TestMarksSpreadAndExpire guards against counting one crash twice, and against blocking a request that was in flight at a
// crash by chance: endpoints a and b exchange marks after crashes at either, then the marks expire.
func TestMarksSpreadAndExpire(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(time.Unix(1_800_000_000, 0))
	a, b := crash.NewTable(c, "a"), crash.NewTable(c, "b")
	b.RecordSuccess(unrelated)
	a.RecordCrash(crashing)
	a.RecordCrash(crashing) // two broken connections of one crash
	a.RecordCrash(unrelated)
	b.Merge(a.Marks())
	is.Equal(a.Status(crashing), crash.Suspect)
	is.Equal(b.Status(crashing), crash.Suspect)
	is.Equal(b.Status(unrelated), crash.Clear) // has succeeded at b
	b.RecordCrash(crashing)
	a.Merge(b.Marks())
	is.Equal(a.Status(crashing), crash.Blocked)
	is.Equal(a.Status(unrelated), crash.Suspect)
	c.Advance(11 * time.Minute)
	is.Equal(a.Status(crashing), crash.Clear)
	is.Equal(len(a.Marks()), 0)
}

// TestPopularRequestIsNotBlockedAfterARestart guards against an endpoint that refuses what succeeds at all others.
func TestPopularRequestIsNotBlockedAfterARestart(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(time.Unix(1_800_000_000, 0))
	a, b := crash.NewTable(c, "a"), crash.NewTable(c, "b")
	for _, table := range []*crash.Table{a, b} {
		table.RecordSuccess(unrelated)
		table.RecordCrash(unrelated)
		table.RecordCrash(crashing)
	}
	a.Merge(b.Marks())
	restarted := crash.NewTable(c, "c")
	restarted.Merge(a.Marks())
	is.Equal(restarted.Status(unrelated), crash.Clear)
	is.Equal(restarted.Status(crashing), crash.Blocked)
}

// TestOrdinaryRequestsNeverKeepOutSuspects has two endpoints crash at turns beside many ordinary requests.
func TestOrdinaryRequestsNeverKeepOutSuspects(t *testing.T) {
	const (
		inFlight = 500 // ordinary requests at each crash
		maxMarks = 2048
		maxSent  = 256
		pause    = 2 * time.Second // between crashes; far more than heartbeats need
	)
	is := is.New(t)
	c := clock.NewManual(time.Unix(1_800_000_000, 0))
	tables := []*crash.Table{crash.NewTable(c, "a"), crash.NewTable(c, "b")}
	exchange := func() {
		for range 20 { // heartbeats between two crashes
			for i, to := range tables {
				marks := tables[1-i].Marks()
				is.True(len(marks) <= maxSent)
				to.Merge(marks)
			}
		}
	}
	ordinary := uint64(1000)
	for suspect := range uint64(20) {
		for crashes := range 3 {
			at := tables[crashes%2]
			is.True(crashes < 2 || at.Status(suspect) == crash.Blocked) // it does not run a third time
			if crashes == 2 {
				break
			}
			for range inFlight {
				ordinary++
				at.RecordCrash(ordinary)
			}
			at.RecordCrash(suspect)
			exchange()
			c.Advance(pause)
		}
	}
	for _, table := range tables {
		is.True(table.Len() <= maxMarks)
		for suspect := range uint64(20) {
			is.Equal(table.Status(suspect), crash.Blocked) // all are still known
		}
	}
}
