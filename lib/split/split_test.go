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
	// mostOff is by how much the share of a part may lie off its weight's over all nodes.
	mostOff = 0.2
	// usuallyOff is the same where no part refuses anything.
	usuallyOff = 0.1
	left       = "left"
	right      = "right"
)

func halves(t *testing.T, weightLeft, weightRight int) rules.Route {
	t.Helper()
	return rules.NewRoute("host", "/x/", "class").WithSplit([]rules.Part{rules.NewPart(left, weightLeft), rules.NewPart(right, weightRight)})
}

// TestWeights plays nodes that have few requests each, with a right part that has room for a share of what it is given.
func TestWeights(t *testing.T) {
	tests := []struct {
		name        string
		left, right int
		room        float64 // share of the requests that the right part takes
		nodes       int
		off         float64
	}{
		{"room for all", 1, 1, 1, 12, usuallyOff},
		{"few requests on many nodes", 1, 1, 1, 100, usuallyOff},
		{"uneven weights", 80, 20, 1, 12, usuallyOff},
		{"one part takes half", 1, 1, 0.5, 12, mostOff},
		{"one part takes a quarter", 1, 1, 0.25, 12, mostOff},
		{"the lighter part takes a quarter", 70, 30, 0.25, 12, mostOff},
		{"one part takes little, one node", 1, 1, 0.1, 1, mostOff},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := halves(t, test.left, test.right)
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
					table.Refused(r, service)
				default:
					ran[service]++
				}
			}
			want := float64(test.left) / float64(test.left+test.right)
			share := ran[left] / (ran[left] + ran[right])
			t.Logf("share %.3f, weight says %.3f, ran %v", share, want, ran)
			is.True(math.Abs(share-want) <= test.off)
		})
	}
}

// TestNewWeightsStartAnew changes the weights of a route and expects the next requests to follow them at once.
func TestNewWeightsStartAnew(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(time.Unix(1_800_000_000, 0))
	table := split.NewTable(c, func() float64 { return 0 })
	for range 100 {
		table.Choose(halves(t, 90, 10))
	}
	ran := map[string]int{}
	for range 20 {
		service, ok := table.Choose(halves(t, 10, 90))
		is.True(ok)
		ran[service]++
	}
	is.Equal(ran[left], 2)
}

// TestRouteOfOneService has nothing to divide.
func TestRouteOfOneService(t *testing.T) {
	is := is.New(t)
	table := split.NewTable(clock.NewManual(time.Unix(1_800_000_000, 0)), rand.Float64)
	r := rules.NewRoute("host", "/x/", "class").WithService(left)
	service, ok := table.Choose(r)
	is.True(ok)
	is.Equal(service, left)
	table.Refused(r, left)
}
