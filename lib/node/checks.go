package node

import (
	"sync/atomic"
	"time"

	"tamarackrudder.org/lib/clock"
)

const (
	// checksPerSecond is how often all nodes together ask whether a watch has missed changes.
	checksPerSecond = 4
	minCheckInterval   = 600 * time.Millisecond
	maxCheckInterval    = 30 * time.Second
	// gatherPerEndpoint is how long changes are gathered for each endpoint there is, and mostGathered bounds it.
	gatherPerEndpoint   = 8 * time.Millisecond
	maxGather = 600 * time.Millisecond
	// isolatedAfter is how long no peer has answered before a node relies on its own checks alone.
	isolatedAfter = 1500 * time.Millisecond
)

// Checks says how often a node asks the platform for changes, and whether its watch has missed some: a change that one
// node finds reaches the others by heartbeats, so the checks are shared out among all that hear each other.
type Checks struct {
	clock clock.Clock
	node  atomic.Pointer[Node]
}

// NewChecks returns checks that follow no node yet.
func NewChecks(c clock.Clock) *Checks { return &Checks{clock: c} }

// Follow makes the checks depend on what a node sees.
func (c *Checks) Follow(n *Node) { c.node.Store(n) }

// Pause returns the time until the next check.
func (c *Checks) Pause() time.Duration {
	n := c.node.Load()
	if n == nil {
		return minCheckInterval
	}
	list := n.hosts.Load()
	n.mu.Lock()
	alone := c.clock.Now().Sub(n.lastReplyAt) > isolatedAfter
	n.mu.Unlock()
	if alone || list == nil {
		return minCheckInterval
	}
	shared := time.Duration(len(list.Endpoints())) * time.Second / checksPerSecond
	return min(maxCheckInterval, max(minCheckInterval, shared))
}

// Gather returns how long changes are gathered before the next ones are asked for: the changes of all endpoints reach every
// node, so without it what the nodes ask grows with the square of their number.
func (c *Checks) Gather() time.Duration {
	n := c.node.Load()
	if n == nil {
		return 0
	}
	list := n.hosts.Load()
	if list == nil {
		return 0
	}
	return min(maxGather, time.Duration(len(list.Endpoints()))*gatherPerEndpoint)
}
