package node_test

import (
	"testing"

	"tamarackrudder.org/lib/seeds"
)

func TestMain(m *testing.M) { seeds.Main(m, 11, 150, 50) }
