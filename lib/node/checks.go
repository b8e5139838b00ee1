package node

import (
	"slices"
	"sync/atomic"
	"time"

	"tamarackrudder.org/lib/hosts"
)

const (
	// checksPerSecond is how often all nodes together check the platform for changes that a watch has missed.
	checksPerSecond = 4
	// urgentChecksPerSecond applies while watchers cannot read the platform: then only the checks find changes.
	urgentChecksPerSecond = 20
	minUrgentInterval     = 300 * time.Millisecond
	minCheckInterval      = 600 * time.Millisecond
	maxCheckInterval      = 30 * time.Second
	// aloneCheckInterval applies while no other endpoint is listed: when a whole fleet starts, all nodes watch the platform for
	// the first entries.
	aloneCheckInterval = 2 * time.Second
	// coalescePerEndpoint is how long to wait for further changes for each listed endpoint, between minCoalesce and
	// maxCoalesce. When a whole fleet starts, its endpoints register one after another while the list is still short.
	coalescePerEndpoint = 8 * time.Millisecond
	minCoalesce         = 100 * time.Millisecond
	maxCoalesce         = 600 * time.Millisecond
	// isolatedAfter is the time without any heartbeat reply after which a node checks at the shortest interval, since
	// changes that other nodes find no longer reach it.
	isolatedAfter = 1500 * time.Millisecond
)

// Checks sets how often a node checks the platform for changes that its watch has missed, and how long it waits for
// further changes before it reads them. A change that one node finds reaches the others by heartbeat, so the checks are
// divided among all nodes that exchange heartbeats.
type Checks struct {
	node atomic.Pointer[Node]
}

// NewChecks returns checks without a node; until Follow is called they use the shortest interval and do not wait for
// further changes.
func NewChecks() *Checks { return &Checks{} }

// Follow derives the intervals from the list of hosts and the heartbeat replies of a node.
func (c *Checks) Follow(n *Node) { c.node.Store(n) }

// Pause returns the time until the next check.
func (c *Checks) Pause() time.Duration {
	n := c.node.Load()
	if n == nil {
		return minCheckInterval
	}
	list := n.hosts.Load()
	switch {
	case list == nil:
		return minCheckInterval
	case len(list.Endpoints()) <= 1:
		return aloneCheckInterval
	case n.unansweredFor(isolatedAfter):
		return minCheckInterval
	}
	if n.hasLostWatcher() {
		return max(minUrgentInterval, time.Duration(len(list.Endpoints()))*time.Second/urgentChecksPerSecond)
	}
	interval := time.Duration(len(list.Endpoints())) * time.Second / checksPerSecond
	return min(maxCheckInterval, max(minCheckInterval, interval))
}

// Urgent returns a channel that receives when Pause becomes shorter, because a watcher cannot read the platform any more.
func (c *Checks) Urgent() <-chan struct{} {
	if n := c.node.Load(); n != nil {
		return n.lostWatcher
	}
	return nil
}

// Standby reports whether the watchers of the node's availability zone follow the platform for it, so that it needs no watch
// of its own: it is ready and not isolated, and there are as many watchers as there should be besides it. Changes that all
// watchers have missed are found by the checks, which a node makes in any case.
func (c *Checks) Standby() bool {
	n := c.node.Load()
	if n == nil || !n.Ready() || n.unansweredFor(isolatedAfter) {
		return false
	}
	watchers := n.hosts.Load().Watchers(n.settings.zone, watchersPerZone)
	return len(watchers) == watchersPerZone && !slices.Contains(watchers, n.settings.self)
}

// Known returns the version of the list of hosts and the sequence of the rules that are in force, zero before the first.
func (c *Checks) Known() (hostsVersion, rulesSequence uint64) {
	n := c.node.Load()
	if n == nil {
		return 0, 0
	}
	return n.hostsStore.Current().Version(), n.rulesStore.Current().Sequence()
}

// Listed returns the list of hosts in force as it was published, nil before the first.
func (c *Checks) Listed() *hosts.List {
	n := c.node.Load()
	if n == nil {
		return nil
	}
	if p := n.published.Load(); p != nil {
		return p.list
	}
	return nil
}

// Coalesce returns how long to wait after a change, so that further ones are read with it. The changes of all endpoints
// reach every node, so without the wait the number of requests would grow with the square of the number of nodes.
func (c *Checks) Coalesce() time.Duration {
	n := c.node.Load()
	if n == nil || n.hosts.Load() == nil {
		return 0
	}
	return min(maxCoalesce, max(minCoalesce, time.Duration(len(n.hosts.Load().Endpoints()))*coalescePerEndpoint))
}
