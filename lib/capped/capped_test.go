package capped_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"tamarackrudder.org/lib/capped"
	"tamarackrudder.org/lib/clock"
)

func TestLimiter(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(time.Unix(1_800_000_000, 0))
	l := capped.NewLimiter(c, 2)
	allowed := 0
	for range 10 {
		if _, ok := l.Allow("refused"); ok {
			allowed++
		}
	}
	is.Equal(allowed, 2)
	_, ok := l.Allow("lost")
	is.True(ok) // each kind has its own limit
	c.Advance(time.Second)
	omitted, ok := l.Allow("refused")
	is.True(ok)
	is.Equal(omitted, 8)
}
