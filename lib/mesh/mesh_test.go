package mesh_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"tamarackrudder.org/lib/hosts"
	"tamarackrudder.org/lib/mesh"
)

const (
	zones            = 5
	heartbeat        = 400 * time.Millisecond
	nearDelay        = time.Millisecond
	remoteDelay      = 20 * time.Millisecond
	endpointsOfOne   = 5
	restartedPercent = 20
)

// arrival is the delivery of news to a node.
type arrival struct {
	at   time.Duration
	node int
}

type arrivals []arrival

func (a arrivals) Len() int           { return len(a) }
func (a arrivals) Less(i, j int) bool { return a[i].at < a[j].at }
func (a arrivals) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }

// Push adds an arrival.
func (a *arrivals) Push(x any) { *a = append(*a, x.(arrival)) }

// Pop removes the last arrival.
func (a *arrivals) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// fleet is a fleet in simulated time; nodes that are down neither receive nor pass on news.
type fleet struct {
	list     *hosts.List
	index    map[string]int
	peers    [][]int
	down     map[int]bool
	messages int
}

func newFleet(size, perService int) *fleet {
	f := &fleet{index: map[string]int{}, down: map[int]bool{}}
	var endpoints []hosts.Endpoint
	for i := range size {
		host := fmt.Sprintf("10.%d.%d.%d", i%zones, i/200, i%200)
		service := fmt.Sprintf("s%d", i/perService)
		endpoints = append(endpoints, hosts.NewEndpoint(service, host, fmt.Sprintf("z%d", i%zones), host+":1", false))
	}
	f.list, _ = hosts.NewList(1, endpoints)
	for i, e := range f.list.Endpoints() {
		f.index[e.RPCAddr()] = i
	}
	for _, e := range f.list.Endpoints() {
		n := mesh.Choose(f.list, e.RPCAddr(), e.Service(), e.Zone())
		var peers []int
		for _, addr := range slices.Concat(n.Service(), n.Others()) {
			if !slices.Contains(peers, f.index[addr]) {
				peers = append(peers, f.index[addr])
			}
		}
		f.peers = append(f.peers, peers)
	}
	return f
}

func (f *fleet) delay(a, b int) time.Duration {
	if f.list.Endpoints()[a].Zone() == f.list.Endpoints()[b].Zone() {
		return nearDelay
	}
	return remoteDelay
}

// spread returns when the last node that is up has got news of node 0, if each passes it on at once to those neighbors that
// the mask lets through, and to the others at the heartbeat after.
func (f *fleet) spread(lost float64) time.Duration {
	random := rand.New(rand.NewPCG(1, 2))
	heard := map[int]time.Duration{}
	queue := &arrivals{{node: 0}}
	last := time.Duration(0)
	for queue.Len() > 0 {
		a := heap.Pop(queue).(arrival)
		if _, known := heard[a.node]; known || f.down[a.node] {
			continue
		}
		heard[a.node], last = a.at, a.at
		for other, peers := range f.peers {
			pushed := slices.Contains(f.peers[a.node], other)
			asks := slices.Contains(peers, a.node)
			if !pushed && !asks {
				continue
			}
			at := a.at + 3*f.delay(a.node, other) // a heartbeat, and the difference fetched
			if pushed {
				f.messages++
			}
			if !pushed || random.Float64() < lost {
				at += heartbeat
			}
			heap.Push(queue, arrival{at: at, node: other})
		}
	}
	if len(heard) < f.up() {
		return time.Hour
	}
	return last
}

func (f *fleet) up() int { return len(f.peers) - len(f.down) }

func TestNewsReachesAllNodesAtBoundedCost(t *testing.T) {
	const bound = 2 * time.Second // the shortest time in which the platform wants a draining endpoint unused
	for _, size := range []int{30, 100, 300, 530} {
		for _, perService := range []int{endpointsOfOne, size / 3} {
			t.Run(fmt.Sprintf("%d nodes, %d in a service", size, perService), func(t *testing.T) {
				is := is.New(t)
				f := newFleet(size, perService)
				for _, peers := range f.peers {
					is.True(len(peers) <= mesh.MaxNeighbors)
				}
				steps := math.Log(float64(size))/math.Log(3) + 2
				// A step takes three messages; a node that is nobody's neighbor hears the news with its next heartbeat.
				is.True(f.spread(0) <= heartbeat+time.Duration(steps*float64(3*remoteDelay)))
				is.True(f.messages <= size*mesh.MaxNeighbors)
				for i := range size {
					if i > 0 && rand.New(rand.NewPCG(uint64(i), 3)).IntN(100) < restartedPercent {
						f.down[i] = true
					}
				}
				is.True(f.spread(0.2) <= bound) // a fifth of the nodes is down, a fifth of the messages is lost
			})
		}
	}
}

func TestNeighborsChangeLittleWithTheList(t *testing.T) {
	is := is.New(t)
	before := newFleet(100, endpointsOfOne)
	endpoints := before.list.Endpoints()
	after, _ := hosts.NewList(2, slices.Delete(slices.Clone(endpoints), 50, 51))
	changed := 0
	for _, e := range after.Endpoints() {
		older := mesh.Choose(before.list, e.RPCAddr(), e.Service(), e.Zone())
		newer := mesh.Choose(after, e.RPCAddr(), e.Service(), e.Zone())
		for _, addr := range slices.Concat(newer.Service(), newer.Others()) {
			if !slices.Contains(slices.Concat(older.Service(), older.Others()), addr) {
				changed++
			}
		}
	}
	is.True(changed <= 2*mesh.MaxNeighbors)
}

func TestLeavingEndpointIsNobodysNeighbor(t *testing.T) {
	is := is.New(t)
	f := newFleet(30, endpointsOfOne)
	endpoints := slices.Clone(f.list.Endpoints())
	endpoints[3] = endpoints[3].WithLeaving()
	list, _ := hosts.NewList(2, endpoints)
	for _, e := range list.Endpoints() {
		n := mesh.Choose(list, e.RPCAddr(), e.Service(), e.Zone())
		is.True(!slices.Contains(slices.Concat(n.Service(), n.Others()), endpoints[3].RPCAddr()))
	}
}
