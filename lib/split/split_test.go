package split_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"tamarackrudder.org/lib/clock"
	"tamarackrudder.org/lib/rules"
	"tamarackrudder.org/lib/split"
)

const (
	// maxDeviation is how far a part's share over all nodes may lie from the share that its weight gives it.
	maxDeviation = 0.2
	// maxDeviationUnrefused is the same while no part refuses requests.
	maxDeviationUnrefused = 0.1
	left                  = "left"
	right                 = "right"
)

func splitRoute(t *testing.T, weightLeft, weightRight int) rules.Route {
	t.Helper()
	return rules.NewRoute("host", "/x/", "class").WithSplit([]rules.Part{rules.NewPart(left, weightLeft), rules.NewPart(right, weightRight)})
}

// TestWeights checks the shares over several nodes with few requests each, while the right part refuses a fraction of
// its requests.
func TestWeights(t *testing.T) {
	tests := []struct {
		name        string
		left, right int
		room        float64 // fraction of its requests that the right part accepts
		nodes       int
		off         float64
	}{
		{"room for all", 1, 1, 1, 12, maxDeviationUnrefused},
		{"few requests on many nodes", 1, 1, 1, 100, maxDeviationUnrefused},
		{"uneven weights", 80, 20, 1, 12, maxDeviationUnrefused},
		{"one part takes half", 1, 1, 0.5, 12, maxDeviation},
		{"one part takes a quarter", 1, 1, 0.25, 12, maxDeviation},
		{"the lighter part takes a quarter", 70, 30, 0.25, 12, maxDeviation},
		{"one part takes little, one node", 1, 1, 0.1, 1, maxDeviation},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := splitRoute(t, test.left, test.right)
			draw := rand.New(rand.NewPCG(1, 2))
			c := clock.NewManual(time.Unix(1_800_000_000, 0))
			tables := make([]*split.Table, test.nodes)
			for i := range tables {
				tables[i] = split.NewTable(c, draw.Float64)
			}
			ran := map[string]float64{}
			for range 600 {
				c.Advance(20 * time.Millisecond)
				table := tables[draw.IntN(len(tables))]
				service, ok := table.Choose(r)
				switch {
				case !ok:
				case service == right && draw.Float64() >= test.room:
					table.RecordRefusal(r, service)
				default:
					ran[service]++
				}
			}
			want := float64(test.left) / float64(test.left+test.right)
			share := ran[left] / (ran[left] + ran[right])
			t.Logf("share %.3f, share by weight %.3f, ran %v", share, want, ran)
			is.True(math.Abs(share-want) <= test.off)
		})
	}
}

// TestNewWeightsTakeEffectAtOnce checks that requests follow changed weights at once, although the counts so far follow the
// old ones.
func TestNewWeightsTakeEffectAtOnce(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(time.Unix(1_800_000_000, 0))
	table := split.NewTable(c, func() float64 { return 0 })
	for range 100 {
		table.Choose(splitRoute(t, 90, 10))
	}
	ran := map[string]int{}
	for range 20 {
		service, ok := table.Choose(splitRoute(t, 10, 90))
		is.True(ok)
		ran[service]++
	}
	is.Equal(ran[left], 2)
}

// TestRouteOfOneService checks a route without a split.
func TestRouteOfOneService(t *testing.T) {
	is := is.New(t)
	table := split.NewTable(clock.NewManual(time.Unix(1_800_000_000, 0)), rand.Float64)
	r := rules.NewRoute("host", "/x/", "class").WithService(left)
	service, ok := table.Choose(r)
	is.True(ok)
	is.Equal(service, left)
	table.RecordRefusal(r, left)
}
