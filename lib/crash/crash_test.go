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
