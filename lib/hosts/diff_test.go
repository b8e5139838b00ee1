package hosts_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"tamarackrudder.org/lib/hosts"
)

// drawList returns a list of random endpoints out of a few addresses, so that two lists have some in common.
func drawList(t *rapid.T, version uint64) *hosts.List {
	var endpoints []hosts.Endpoint
	for i := range 40 {
		if !rapid.Bool().Draw(t, "listed") {
			continue
		}
		starts := rapid.Int64Range(1, 2).Draw(t, "starts")
		endpoints = append(endpoints, endpointAt(i, rapid.Bool().Draw(t, "leaving")).
			WithInstance(fmt.Sprint(starts), time.UnixMilli(starts)).WithHeartbeats(rapid.Int64Range(0, 1).Draw(t, "heartbeats")))
	}
	list, err := hosts.NewList(version, endpoints)
	if err != nil {
		t.Fatal(err)
	}
	return list
}

func endpointAt(i int, leaving bool) hosts.Endpoint {
	host := fmt.Sprintf("10.0.%d.%d", i/250, i%250)
	return hosts.NewEndpoint("desk", host, "north", host+":1", leaving).WithSlots(8)
}

func TestDiffLeadsToTheList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		older, newer := drawList(t, 1), drawList(t, 2)
		got, err := older.Apply(newer.DiffFrom(older.Digest(), 7))
		if err != nil {
			t.Fatal(err)
		}
		if got.Version() != newer.Version() || !slices.Equal(got.Endpoints(), newer.Endpoints()) {
			t.Fatalf("got %v, want %v", got.Endpoints(), newer.Endpoints())
		}
	})
}

func TestDiffOfAChangeIsSmall(t *testing.T) {
	is := is.New(t)
	var before []hosts.Endpoint
	for i := range 530 {
		before = append(before, endpointAt(i, false))
	}
	after := slices.Clone(before)
	after[100] = after[100].WithLeaving()
	older, _ := hosts.NewList(1, before)
	newer, _ := hosts.NewList(2, after)
	diff := newer.DiffFrom(older.Digest(), 2)
	is.Equal(len(diff.Ranges()), 1)
	is.True(len(diff.Endpoints()) < 25)
	whole := newer.DiffFrom(hosts.Digest{}, 2)
	var none *hosts.List
	got, err := none.Apply(whole)
	is.NoErr(err)
	is.Equal(got.Endpoints(), newer.Endpoints())
}

func TestWarmUpTimesDoNotDiffer(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	first, _ := hosts.NewList(1, []hosts.Endpoint{endpointAt(1, false).WithWarmAt(now)})
	second, _ := hosts.NewList(1, []hosts.Endpoint{endpointAt(1, false).WithWarmAt(now.Add(time.Millisecond))})
	is.Equal(len(second.DiffFrom(first.Digest(), 1).Ranges()), 0)
}

func TestDiffOutsideItsRangesIsInvalid(t *testing.T) {
	var none *hosts.List
	if _, err := none.Apply(hosts.NewDiff(1, 1, nil, []hosts.Endpoint{endpointAt(1, false)})); err == nil {
		t.Fatal("a difference with an endpoint outside its ranges was applied")
	}
}

// transfer is a difference on its way from one replica to another, with the list that it was asked for with.
type transfer struct {
	to   int
	base *hosts.List
	diff hosts.Diff
}

// TestHistoriesOfDifferences lets replicas fetch differences from each other while lists are published; differences are lost,
// late and doubled. A replica must never go back, and must hold exactly the list that was published as its version.
func TestHistoriesOfDifferences(t *testing.T) {
	const replicaCount = 4
	rapid.Check(t, func(t *rapid.T) {
		published := map[uint64]*hosts.List{}
		replicas := make([]*hosts.List, replicaCount)
		var pending []transfer
		version := uint64(0)
		adopt := func(i int, list *hosts.List) {
			if replicas[i] == nil || list.Version() > replicas[i].Version() {
				replicas[i] = list
			}
			if want := published[replicas[i].Version()]; !slices.Equal(replicas[i].Endpoints(), want.Endpoints()) {
				t.Fatalf("version %d is %v, want %v", want.Version(), replicas[i].Endpoints(), want.Endpoints())
			}
		}
		replica := rapid.IntRange(0, replicaCount-1)
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				version++
				published[version] = drawList(t, version)
				adopt(replica.Draw(t, "watcher"), published[version])
			},
			"fetch": func(t *rapid.T) {
				to, from := replica.Draw(t, "to"), replicas[replica.Draw(t, "from")]
				if from != nil {
					pending = append(pending, transfer{to: to, base: replicas[to], diff: from.DiffFrom(replicas[to].Digest(), 1)})
				}
			},
			"deliver": func(t *rapid.T) {
				if len(pending) == 0 {
					t.Skip("nothing is on its way")
				}
				i := rapid.IntRange(0, len(pending)-1).Draw(t, "transfer")
				list, err := pending[i].base.Apply(pending[i].diff)
				if err != nil {
					t.Fatal(err)
				}
				adopt(pending[i].to, list)
				if !rapid.Bool().Draw(t, "again") {
					pending = slices.Delete(pending, i, i+1)
				}
			},
			"lose": func(*rapid.T) { pending = nil },
		})
	})
}
