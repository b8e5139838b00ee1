package origin_test

import (
	"testing"

	"github.com/matryer/is"

	"tamarackrudder.org/lib/origin"
)

func TestEntryRoutes(t *testing.T) {
	tests := []struct {
		name     string
		services int
		entered  []string
		reported bool
		want     bool
	}{
		{name: "never seen", services: 3},
		{name: "once beside each service", services: 3, entered: []string{"a", "b", "c"}},
		{name: "beside all services", services: 3, entered: []string{"a", "b", "c", "a", "b", "c"}, want: true},
		{name: "called by one service", services: 3, entered: []string{"a", "a", "a", "a", "a", "a"}},
		{name: "called by the service that runs it, since part of it moved there", services: 3, entered: []string{"c", "b", "c", "b", "c", "b"}},
		{name: "one service only", services: 1, entered: []string{"a", "a", "a"}},
		{name: "reported by the node that runs it", services: 3, reported: true, want: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			table := origin.NewTable()
			table.SetServices(test.services)
			for _, service := range test.entered {
				table.RecordRun("GET /x", service)
			}
			if test.reported {
				table.MarkEntryRoute("GET /x")
			}
			is.Equal(table.IsEntryRoute("GET /x"), test.want)
			is.True(!table.IsEntryRoute("GET /y"))
		})
	}
}

// TestDroppedServicesStillCount has some services drop out of the list: the remaining ones must not be taken for all
// services.
func TestDroppedServicesStillCount(t *testing.T) {
	is := is.New(t)
	table := origin.NewTable()
	table.SetServices(4)
	table.SetServices(2)
	for _, service := range []string{"a", "b", "a", "b"} {
		table.RecordRun("GET /x", service)
	}
	is.True(!table.IsEntryRoute("GET /x"))
}
