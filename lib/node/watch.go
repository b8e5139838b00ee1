package node

import (
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"tamarackrudder.org/lib/spread"
)

const (
	// watchersPerZone is the number of nodes in each availability zone that watch the platform for all the others.
	watchersPerZone   = 2
	watchTimeout      = 25 * time.Second
	idleCheckInterval = time.Second
	minWatchBackoff   = 200 * time.Millisecond
	maxWatchBackoff   = 10 * time.Second
	// silenceTimeout is the time without any heartbeat reply after which a node watches the platform itself.
	silenceTimeout = 10 * time.Second
	// lostWatcherTTL is how long the report of a watcher that cannot read the platform holds; it comes with each heartbeat.
	lostWatcherTTL = 1500 * time.Millisecond
)

// watchLoop watches one value at the platform while shouldWatch returns true, and offers each new version to the
// store.
func (n *Node) watchLoop(name string, store *spread.Store) {
	seen := uint64(0)
	pause := minWatchBackoff
	for n.ctx.Err() == nil {
		if !n.shouldWatch(store) {
			n.wait(n.ctx, n.jitter(idleCheckInterval))
			continue
		}
		seen = max(seen, store.Current().Sequence())
		sequence, text, err := n.seams.Watch(n.ctx, name, seen, watchTimeout)
		if err != nil {
			_ = level.Debug(n.log).Log("msg", "platform cannot be watched", "name", name, "err", err)
			n.wait(n.ctx, n.jitter(pause))
			pause = min(maxWatchBackoff, 2*pause)
			continue
		}
		pause = minWatchBackoff
		if text == nil {
			continue
		}
		seen = max(seen, sequence)
		n.offerValue(name, store, sequence, text, "platform")
	}
}

// shouldWatch reports whether this node watches the platform itself: it is set to, it has no value yet, it is one of
// the watchers of its zone, or no peer has answered its heartbeats for silenceTimeout.
func (n *Node) shouldWatch(store *spread.Store) bool {
	list := n.hosts.Load()
	if n.settings.alwaysWatch || list == nil || store.Current().Version() == 0 {
		return true
	}
	if slices.Contains(list.Watchers(n.settings.zone, watchersPerZone), n.settings.self) {
		return true
	}
	return n.unansweredFor(silenceTimeout)
}

// unansweredFor reports whether no peer has answered a heartbeat for longer than d.
func (n *Node) unansweredFor(d time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.clock.Now().Sub(n.lastReplyAt) > d
}

// jitter returns a random duration from half of d to one and a half of d.
func (n *Node) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(n.seams.Random()*float64(d))
}

// recordLostWatcher records the report of a peer that it follows the platform and cannot read it.
func (n *Node) recordLostWatcher(addr string) {
	n.mu.Lock()
	known := n.clock.Now().Sub(n.lostWatcherAt) <= lostWatcherTTL
	n.lostWatcherAt = n.clock.Now()
	n.mu.Unlock()
	if known {
		return
	}
	_ = level.Info(n.log).Log("msg", "a watcher cannot read the platform, checking it more often", "watcher", addr)
	select {
	case n.lostWatcher <- struct{}{}:
	default:
	}
}

// hasLostWatcher reports whether a peer has reported lately that it follows the platform and cannot read it.
func (n *Node) hasLostWatcher() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.lostWatcherAt.IsZero() && n.clock.Now().Sub(n.lostWatcherAt) <= lostWatcherTTL
}
