package node

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"tamarackrudder.org/lib/gossip"
	"tamarackrudder.org/lib/lease"
	"tamarackrudder.org/lib/quota"
)

const (
	// randomPeerRounds is the number of heartbeat rounds after which one heartbeat also goes to a random peer of any
	// service.
	randomPeerRounds = 4
	// minRoundInterval is the least time between a round and one that news starts, so that many changes in quick succession,
	// as when a whole fleet starts, do not cost a round each.
	minRoundInterval = 50 * time.Millisecond
	// maxSilentProbed bounds the silent endpoints that get a heartbeat in one round.
	maxSilentProbed  = 8
	heartbeatTimeout = time.Second
)

// triggerHeartbeat starts a heartbeat round now instead of at the next interval.
func (n *Node) triggerHeartbeat() {
	select {
	case n.heartbeatTrigger <- struct{}{}:
	default:
	}
}

func (n *Node) heartbeatLoop() {
	var lastRound time.Time
	for {
		randomPeers := 0
		select {
		case <-n.ctx.Done():
			return
		case <-n.heartbeatTrigger:
			if !n.Leased() && !n.wait(n.ctx, minRoundInterval-n.clock.Now().Sub(lastRound)) {
				return
			}
		case <-n.clock.After(n.settings.heartbeatInterval):
			n.heartbeatRounds++
			if n.heartbeatRounds%randomPeerRounds == 0 {
				randomPeers = 1
			}
		}
		lastRound = n.clock.Now()
		n.heartbeatRound(randomPeers)
	}
}

// heartbeatRound sends heartbeats to this node's neighbors, to the given number of random peers of any service, and to some
// of the endpoints that the picker has marked as silent, so that no request is spent on finding out whether they answer
// again. It does not wait for the replies. News spreads from neighbor to neighbor (Demers et al., "Epidemic Algorithms for
// Replicated Database Maintenance", 1987).
func (n *Node) heartbeatRound(randomPeers int) {
	sameService := n.servicePeers()
	targets := slices.Concat(sameService, n.otherPeers(), n.randomPeers(randomPeers), n.silentPeers())
	var round sync.WaitGroup
	for _, addr := range slices.Compact(slices.Sorted(slices.Values(targets))) {
		if !n.startHeartbeat(addr) {
			continue
		}
		round.Go(func() { n.heartbeatPeer(addr, slices.Contains(sameService, addr)) })
	}
	go func() {
		round.Wait()
		n.reclaimKeys()
		n.markReady()
	}()
}

// servicePeers returns the addresses of the neighbors of this node's service; with leases, those of all its endpoints, also
// of older lists that may still be in use.
func (n *Node) servicePeers() []string {
	neighbors := n.neighbors.Load()
	if n.Leased() || neighbors == nil {
		return n.group.Peers()
	}
	return neighbors.Service()
}

// otherPeers returns the addresses of the neighbors of any service, or the seeds while no list or no rules are in force.
func (n *Node) otherPeers() []string {
	neighbors := n.neighbors.Load()
	if neighbors == nil {
		return n.settings.seeds
	}
	if n.rules.Load() == nil {
		return slices.Concat(n.settings.seeds, neighbors.Others())
	}
	return neighbors.Others()
}

// silentPeers returns the addresses of up to maxSilentProbed endpoints that are marked as silent, from a random one on.
func (n *Node) silentPeers() []string {
	silent := n.picker.MarkedSilent()
	if len(silent) <= maxSilentProbed {
		return silent
	}
	first := int(n.seams.Random() * float64(len(silent)))
	return slices.Concat(silent[first:], silent[:first])[:maxSilentProbed]
}

// leaseStateFor returns the lease state to send to a peer, empty if no route in force needs leases.
func (n *Node) leaseStateFor(addr string) lease.State {
	if !n.Leased() {
		return lease.State{}
	}
	return n.group.StateFor(addr)
}

// randomPeers returns up to count random endpoints of the list of hosts, none while there is no list.
func (n *Node) randomPeers(count int) []string {
	list := n.hosts.Load()
	if list == nil || len(list.Endpoints()) == 0 {
		return nil
	}
	endpoints := list.Endpoints()
	peers := make([]string, 0, count)
	for range count {
		e := endpoints[min(len(endpoints)-1, int(n.seams.Random()*float64(len(endpoints))))]
		peers = append(peers, e.RPCAddr())
	}
	return peers
}

// startHeartbeat records that a heartbeat to a peer is in flight. It reports false if the peer has not answered the last
// one yet, or if the address is that of this node.
func (n *Node) startHeartbeat(addr string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.heartbeatsInFlight[addr] || addr == n.settings.self {
		return false
	}
	n.heartbeatsInFlight[addr] = true
	return true
}

func (n *Node) heartbeatPeer(addr string, sameService bool) {
	ctx, cancel := context.WithTimeout(n.ctx, heartbeatTimeout)
	defer cancel()
	sentAt := n.clock.Now()
	request := n.heartbeat()
	if sameService {
		request = request.WithService(n.leaseStateFor(addr), n.crashes.Marks())
	}
	reply, err := n.seams.Heartbeat(ctx, addr, request)
	n.mu.Lock()
	delete(n.heartbeatsInFlight, addr)
	if err == nil {
		n.lastReplyAt = n.clock.Now()
	}
	n.mu.Unlock()
	if err == nil || errors.Is(err, quota.ErrNotListening) {
		n.quotas.touch.Answered(addr)
	}
	if err != nil {
		return
	}
	n.picker.MarkAlive(addr)
	n.applyHeartbeat(reply)
	if sameService && n.Leased() && reply.State().Addr() == addr {
		n.group.HandleReply(sentAt, reply.State())
		n.announceRefusals()
	}
	n.fetchNewer(ctx, reply)
}

// announceRefusals starts a heartbeat round if this endpoint refuses a lease that it did not refuse before, so that
// the peers learn of it at once.
func (n *Node) announceRefusals() {
	if n.group.RefusalsChanged() {
		n.triggerHeartbeat()
	}
}

func (n *Node) heartbeat() gossip.Heartbeat {
	lost := n.seams.PlatformLost != nil && n.seams.PlatformLost()
	return gossip.NewHeartbeat(n.settings.self, n.leaving.Load(),
		n.rulesStore.Current().Stamp(), n.hostsStore.Current().Stamp()).WithPlatformLost(lost)
}

// HandleHeartbeat records the heartbeat of a peer and returns the reply. Values of which the peer has a newer version are
// fetched in the background.
func (n *Node) HandleHeartbeat(h gossip.Heartbeat) gossip.Heartbeat {
	n.applyHeartbeat(h)
	reply := n.heartbeat()
	switch {
	case h.State().Addr() != "":
		reply = reply.WithService(n.group.HandleHeartbeat(h.State()), n.crashes.Marks())
		n.announceRefusals()
	case !n.Leased():
		reply = reply.WithService(lease.State{}, n.crashes.Marks())
	}
	if n.hasNewerValue(h) {
		go n.fetchNewer(n.ctx, h)
	}
	return reply
}

func (n *Node) applyHeartbeat(h gossip.Heartbeat) {
	if n.crashes.Merge(h.Marks()) {
		n.triggerHeartbeat() // the neighbors of this node's neighbors hear of the crash only through it
	}
	if h.Leaving() {
		n.picker.MarkLeaving(h.From())
	}
	if h.PlatformLost() {
		n.recordLostWatcher(h.From())
	}
}

func (n *Node) hasNewerValue(h gossip.Heartbeat) bool {
	return h.Rules().Supersedes(n.rulesStore.Current().Stamp()) || h.Hosts().Supersedes(n.hostsStore.Current().Stamp())
}

// markReady marks the node as ready to serve if rules and a list of hosts are in force. It runs at the end of a heartbeat
// round, when newer values that the replies reported have been fetched.
func (n *Node) markReady() {
	if n.rules.Load() == nil || n.hosts.Load() == nil {
		return
	}
	if n.ready.CompareAndSwap(false, true) {
		_ = level.Info(n.log).Log("msg", "ready")
	}
}
