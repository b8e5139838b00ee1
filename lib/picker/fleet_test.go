package picker_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"tamarackrudder.org/lib/clock"
	"tamarackrudder.org/lib/hosts"
	"tamarackrudder.org/lib/picker"
)

const (
	zoneCount  = 5
	fleetSlots = 18
	meanWork   = 57 * time.Millisecond
)

// server is a backend server that runs fleetSlots requests at a time and queues the others.
type server struct {
	speed   float64
	running int
	queue   []job
}

// job is one request with the node that sent it.
type job struct {
	from int
	to   int
	sent time.Duration
	ends time.Duration
}

type jobs []job

func (j jobs) Len() int           { return len(j) }
func (j jobs) Less(a, b int) bool { return j[a].ends < j[b].ends }
func (j jobs) Swap(a, b int)      { j[a], j[b] = j[b], j[a] }

// Push adds a job.
func (j *jobs) Push(x any) { *j = append(*j, x.(job)) }

// Pop removes the last job.
func (j *jobs) Pop() any {
	last := (*j)[len(*j)-1]
	*j = (*j)[:len(*j)-1]
	return last
}

// service is a service of a large fleet with the nodes that place requests on it, in simulated time.
type service struct {
	clock   *clock.Manual
	start   time.Time
	random  *rand.Rand
	members []hosts.Endpoint
	servers []server
	nodes   []*picker.Table
	running jobs
	waits   []time.Duration
	remote  int
}

func newService(endpoints, nodes int, speeds []float64) *service {
	start := time.Unix(1_800_000_000, 0)
	s := &service{clock: clock.NewManual(start), start: start, random: rand.New(rand.NewPCG(5, 6))}
	for i := range endpoints {
		addr := fmt.Sprintf("10.%d.0.%d:1", i%zoneCount, 10+i)
		e := hosts.NewEndpoint("wages", addr, fmt.Sprintf("z%d", i%zoneCount), addr, false).WithSlots(fleetSlots)
		s.members = append(s.members, e)
		s.servers = append(s.servers, server{speed: speeds[i/zoneCount%len(speeds)]})
	}
	for i := range nodes {
		s.nodes = append(s.nodes, picker.NewTable(s.clock, s.random.Float64, fmt.Sprintf("z%d", i%zoneCount)))
	}
	return s
}

func (s *service) now() time.Duration { return s.clock.Now().Sub(s.start) }

// begin runs a job, or queues it at a server whose slots are all in use.
func (s *service) begin(j job) {
	server := &s.servers[j.to]
	if server.running >= fleetSlots {
		server.queue = append(server.queue, j)
		return
	}
	server.running++
	s.waits = append(s.waits, s.now()-j.sent)
	work := time.Duration(float64(meanWork) * (0.5 + s.random.Float64()) / server.speed)
	j.ends = s.now() + work
	heap.Push(&s.running, j)
}

// end answers a job, and begins the next one of its server.
func (s *service) end(j job) {
	server := &s.servers[j.to]
	server.running--
	s.nodes[j.from].RecordAnswer(s.members[j.to].RPCAddr(), s.now()-j.sent, server.running+len(server.queue), picker.Served)
	if len(server.queue) > 0 {
		next := server.queue[0]
		server.queue = server.queue[1:]
		s.begin(next)
	}
}

// place lets a random node place a request.
func (s *service) place() {
	from := s.random.IntN(len(s.nodes))
	addr, _ := s.nodes[from].Pick(s.members, nil, fleetSlots)
	to := slices.IndexFunc(s.members, func(e hosts.Endpoint) bool { return e.RPCAddr() == addr })
	s.nodes[from].RecordSent(addr)
	if s.members[to].Zone() != fmt.Sprintf("z%d", from%zoneCount) {
		s.remote++
	}
	s.begin(job{from: from, to: to, sent: s.now()})
}

// run offers a fraction of what all servers can do, for a time.
func (s *service) run(load float64, length time.Duration) {
	capacity := 0.0
	for _, server := range s.servers {
		capacity += server.speed * fleetSlots / meanWork.Seconds()
	}
	next := time.Duration(0)
	for s.now() < length {
		if len(s.running) > 0 && s.running[0].ends <= next {
			s.clock.Advance(s.running[0].ends - s.now())
			s.end(heap.Pop(&s.running).(job))
			continue
		}
		s.clock.Advance(next - s.now())
		s.place()
		next += time.Duration(-math.Log(1-s.random.Float64()) / (load * capacity) * float64(time.Second))
	}
}

// waitedLonger returns the fraction of the requests that waited longer than d for a slot.
func (s *service) waitedLonger(d time.Duration) float64 {
	long := 0
	for _, w := range s.waits {
		if w > d {
			long++
		}
	}
	return float64(long) / float64(len(s.waits))
}

// TestPlacementInLargeFleets offers a load of 0.7 to services whose endpoints differ in speed, by so many nodes that each knows
// little of most endpoints. Few requests may wait for a slot, and most must stay in their zone.
func TestPlacementInLargeFleets(t *testing.T) {
	for _, endpoints := range []int{6, 18, 30} {
		for _, nodes := range []int{12, 30, 94} {
			t.Run(fmt.Sprintf("%d endpoints, %d nodes", endpoints, nodes), func(t *testing.T) {
				is := is.New(t)
				s := newService(endpoints, nodes, []float64{0.6, 1, 1.4})
				s.run(0.7, 3*time.Second)
				remote := float64(s.remote) / float64(len(s.waits))
				t.Logf("waited longer than 15 ms: %.3f, than %s: %.3f, other zone: %.3f",
					s.waitedLonger(15*time.Millisecond), meanWork, s.waitedLonger(meanWork), remote)
				is.True(s.waitedLonger(15*time.Millisecond) <= 0.1)
				is.True(s.waitedLonger(meanWork) <= 0.01)
				is.True(remote <= 0.5)
			})
		}
	}
}
