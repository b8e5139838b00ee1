package retry_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"tamarackrudder.org/lib/retry"
)

// TestFleetStaysWithinItsBudget lets many nodes send requests and retries in any order; over all of them the retries must
// stay below the agreed share of the requests plus the spare ones.
func TestFleetStaysWithinItsBudget(t *testing.T) {
	const share, spare = 0.2, 47.0
	rapid.Check(t, func(t *rapid.T) {
		nodes := make([]*retry.Buckets, rapid.IntRange(1, 60).Draw(t, "nodes"))
		for i := range nodes {
			nodes[i] = retry.NewBuckets(share*0.4, spare*0.4)
			nodes[i].SetSize(spare * 0.4 / float64(len(nodes)))
		}
		requests, retries := 0, 0
		for range rapid.IntRange(0, 2000).Draw(t, "steps") {
			n := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")]
			if rapid.Bool().Draw(t, "request") {
				n.Earn("desk")
				requests++
				continue
			}
			if n.Take("desk") {
				retries++
			}
		}
		if float64(retries) > share*float64(requests)+spare {
			t.Fatalf("%d retries for %d requests", retries, requests)
		}
	})
}

func TestSavedRetriesFollowTheSize(t *testing.T) {
	is := is.New(t)
	b := retry.NewBuckets(0.1, 20)
	for range 100 {
		b.Earn("desk")
	}
	b.SetSize(2)
	is.True(b.Take("desk"))
	is.True(b.Take("desk"))
	is.True(!b.Take("desk"))
}
