package hosts_test

import (
	"testing"

	"tamarackrudder.org/lib/seeds"
)

func TestMain(m *testing.M) { seeds.Main(m, 21, 100, 40) }
