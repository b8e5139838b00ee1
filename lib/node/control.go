package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"tamarackrudder.org/lib/gossip"
	"tamarackrudder.org/lib/lease"
	"tamarackrudder.org/lib/spread"
)

const (
	// randomPeerRounds is the number of heartbeat rounds after which one heartbeat also goes to a random peer of any
	// service.
	randomPeerRounds = 4
	// pushFanout is the number of random peers of any service that get a heartbeat at once after a change (Demers et
	// al., "Epidemic Algorithms for Replicated Database Maintenance", 1987).
	pushFanout       = 4
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
	for {
		fanout := 0
		select {
		case <-n.ctx.Done():
			return
		case <-n.heartbeatTrigger:
			fanout = pushFanout
		case <-n.clock.After(n.settings.heartbeatInterval):
			n.heartbeatRounds++
			if n.heartbeatRounds%randomPeerRounds == 0 {
				fanout = 1
			}
		}
		n.heartbeatRound(fanout)
	}
}

// heartbeatRound sends heartbeats to the peers of this service, to as many random peers of any service as fanout says,
// and to the endpoints that the picker has marked as silent, so that no request is spent on finding out whether they
// answer again. It does not wait for the replies.
func (n *Node) heartbeatRound(fanout int) {
	sameService := n.servicePeers()
	targets := slices.Concat(sameService, n.randomPeers(fanout), n.picker.MarkedSilent())
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

// servicePeers returns the addresses of the other endpoints of this node's service; with leases, also those of older
// lists that may still be in use.
func (n *Node) servicePeers() []string {
	list := n.hosts.Load()
	if n.Leased() || list == nil {
		return n.group.Peers()
	}
	var peers []string
	for _, e := range list.Members(n.settings.service) {
		if e.RPCAddr() != n.settings.self {
			peers = append(peers, e.RPCAddr())
		}
	}
	return peers
}

// leaseStateFor returns the lease state to send to a peer, empty if no route in force needs leases.
func (n *Node) leaseStateFor(addr string) lease.State {
	if !n.Leased() {
		return lease.State{}
	}
	return n.group.StateFor(addr)
}

// randomPeers returns up to count random endpoints of the list of hosts, or the seeds while no list or no rules are in
// force.
func (n *Node) randomPeers(count int) []string {
	list := n.hosts.Load()
	if list == nil || n.rules.Load() == nil {
		return n.settings.seeds
	}
	endpoints := list.Endpoints()
	peers := make([]string, 0, count)
	for range count {
		if len(endpoints) == 0 {
			break
		}
		e := endpoints[int(n.seams.Random()*float64(len(endpoints)))]
		if e.RPCAddr() != n.settings.self {
			peers = append(peers, e.RPCAddr())
		}
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
	return gossip.NewHeartbeat(n.settings.self, n.leaving.Load(),
		n.rulesStore.Current().Stamp(), n.hostsStore.Current().Stamp())
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
	n.crashes.Merge(h.Marks())
	if h.Leaving() {
		n.picker.MarkLeaving(h.From())
	}
}

func (n *Node) hasNewerValue(h gossip.Heartbeat) bool {
	return h.Rules().Supersedes(n.rulesStore.Current().Stamp()) || h.Hosts().Supersedes(n.hostsStore.Current().Stamp())
}

// fetchNewer fetches the values of which a heartbeat reports a newer version from its sender.
func (n *Node) fetchNewer(ctx context.Context, h gossip.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	if h.Rules().Supersedes(n.rulesStore.Current().Stamp()) {
		n.fetch(ctx, h.From(), NameRules, n.rulesStore)
	}
	if h.Hosts().Supersedes(n.hostsStore.Current().Stamp()) {
		n.fetch(ctx, h.From(), NameHosts, n.hostsStore)
	}
}

func (n *Node) fetch(ctx context.Context, addr, name string, store *spread.Store) {
	v, err := n.seams.Fetch(ctx, addr, name)
	if err != nil {
		return
	}
	n.offerValue(name, store, v.Sequence(), v.Text(), addr)
}

func (n *Node) offerValue(name string, store *spread.Store, sequence uint64, text []byte, source string) {
	if _, err := store.Offer(sequence, text); err != nil {
		_ = level.Error(n.log).Log("msg", "published value refused, the one in force stays", "name", name,
			"sequence", sequence, "from", source, "err", err)
	}
}

// Fetch returns the published value of a name that is in force here, for a peer; the zero Value for an unknown name.
func (n *Node) Fetch(name string) spread.Value {
	switch name {
	case NameRules:
		return n.rulesStore.Current()
	case NameHosts:
		return n.hostsStore.Current()
	}
	return spread.Value{}
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
