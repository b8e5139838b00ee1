package origin_test

import (
	"testing"

	"github.com/matryer/is"

	"tamarackrudder.org/lib/origin"
)

func TestRoutesOfCallers(t *testing.T) {
	tests := []struct {
		name    string
		entered int
		told    bool
		want    bool
	}{
		{"never seen", 0, false, false},
		{"once beside its service", 1, false, false},
		{"often beside its service", 3, false, true},
		{"told by a node beside its service", 0, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			table := origin.NewTable()
			for range test.entered {
				table.Entered("GET /x")
			}
			if test.told {
				table.Told("GET /x")
			}
			is.Equal(table.IsCallers("GET /x"), test.want)
			is.True(!table.IsCallers("GET /y"))
		})
	}
}
