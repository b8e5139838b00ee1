package quota

import (
	"slices"
	"sync"
	"time"

	"tamarackrudder.org/lib/clock"
	"tamarackrudder.org/lib/hosts"
)

const (
	// maxHomes is how many nodes may be the home of an organisation if those that rank before them are dead.
	maxHomes = 6
	// settleTime is how long a new home waits for the other nodes to adopt the list that it is the first in.
	settleTime = 2 * time.Second
	// maxPlaces bounds the organisations whose homes are kept.
	maxPlaces = 4096
)

// Ranking finds the homes of organisations in the list of hosts, by rendezvous hashing.
type Ranking struct {
	clock     clock.Clock
	self      string
	mu        sync.Mutex
	list      *hosts.List
	adoptedAt time.Time
	// before is the list that was in force settleTime before adoptedAt or later, nil at the start.
	before *hosts.List
	places map[string]Place
}

// Place is where an organisation's tokens are, as seen from this node.
type Place struct {
	homes []string
	rank  int
	nodes int
	// settled is when the other nodes have adopted a list in which this node is the first. If it succeeds predecessors that
	// are no longer listed, it is that as soon as none of them grants tokens.
	settled      time.Time
	succeeds     bool
	predecessors []string
}

// Homes returns the addresses of the nodes to ask, in order.
func (p Place) Homes() []string { return p.homes }

// NewRanking returns a ranking without a list for the node at the address self.
func NewRanking(c clock.Clock, self string) *Ranking {
	return &Ranking{clock: c, self: self, places: map[string]Place{}}
}

// Adopt puts a list in force.
func (r *Ranking) Adopt(list *hosts.List) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if r.list != nil && now.Sub(r.adoptedAt) >= settleTime {
		r.before = r.list
	}
	r.list, r.adoptedAt = list, now
	for organisation, p := range r.places {
		if p.rank != 0 {
			delete(r.places, organisation)
			continue
		}
		moved := r.find(organisation)
		if moved.rank == 0 {
			moved.settled, moved.succeeds, moved.predecessors = p.settled, p.succeeds, p.predecessors
			r.places[organisation] = moved
		} else {
			delete(r.places, organisation)
		}
	}
}

// Place returns where the tokens of an organisation are, and whether a list is in force.
func (r *Ranking) Place(organisation string) (Place, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.list == nil {
		return Place{}, false
	}
	if p, ok := r.places[organisation]; ok {
		return p, true
	}
	if len(r.places) >= maxPlaces {
		clear(r.places)
	}
	p := r.find(organisation)
	r.places[organisation] = p
	return p, true
}

// find ranks the nodes of the list in force.
func (r *Ranking) find(organisation string) Place {
	ranked := hosts.Rank(r.list.Endpoints(), organisation)
	p := Place{rank: slices.Index(ranked, r.self), nodes: len(ranked)}
	p.homes = slices.Clone(ranked[:min(maxHomes, len(ranked))])
	p.settled = r.adoptedAt
	if p.rank == 0 {
		r.settle(&p, organisation)
	}
	return p
}

// settle finds which other nodes may take themselves for the first, because they have not adopted the list yet.
func (r *Ranking) settle(p *Place, organisation string) {
	rank := -1
	var ranked []string
	if r.before != nil {
		ranked = hosts.Rank(r.before.Endpoints(), organisation)
		rank = slices.Index(ranked, r.self)
	}
	if rank == 0 {
		return
	}
	p.settled = r.adoptedAt.Add(settleTime)
	if rank > 0 {
		p.predecessors, p.succeeds = ranked[:min(rank, maxHomes)], true
	}
}
