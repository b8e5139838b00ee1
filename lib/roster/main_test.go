package roster_test

import (
	"testing"

	"tamarackrudder.org/lib/seeds"
)

func TestMain(m *testing.M) { seeds.Main(m, 17, 1000, 60) }
