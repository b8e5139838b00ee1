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
	// randomEvery is the number of heartbeat rounds between those that also reach a peer of any service.
	randomEvery = 4
	// pushFanout is the number of peers of any service that are told at once of a new value
	// (Demers et al., "Epidemic Algorithms for Replicated Database Maintenance", 1987).
	pushFanout  = 4
	beatTimeout = time.Second
)

// beatNow starts a heartbeat round without waiting for the next one.
func (n *Node) beatNow() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

func (n *Node) beatLoop() {
	for {
		fanout := 0
		select {
		case <-n.ctx.Done():
			return
		case <-n.wake:
			fanout = pushFanout
		case <-n.clock.After(n.settings.beatEvery):
			n.rounds++
			if n.rounds%randomEvery == 0 {
				fanout = 1
			}
		}
		n.beatRound(fanout)
	}
}

// beatRound sends heartbeats to the peers of the own service, to some of any service, and to those that fell silent, so
// that no request is spent on finding out whether they are back; it does not wait for them.
func (n *Node) beatRound(fanout int) {
	own := n.servicePeers()
	targets := slices.Concat(own, n.randomPeers(fanout), n.picker.Silent())
	var round sync.WaitGroup
	for _, addr := range slices.Compact(slices.Sorted(slices.Values(targets))) {
		if !n.startBeat(addr) {
			continue
		}
		round.Go(func() { n.beatPeer(addr, slices.Contains(own, addr)) })
	}
	go func() {
		round.Wait()
		n.takeBack()
		n.becomeReady()
	}()
}

// servicePeers returns the addresses of the other endpoints of the own service.
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

// stateFor returns the own part in the leases of the service, empty where there are none.
func (n *Node) stateFor(addr string) lease.State {
	if !n.Leased() {
		return lease.State{}
	}
	return n.group.StateFor(addr)
}

// randomPeers draws peers from the whole list, or takes the seeds while there is none.
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

// startBeat keeps a second heartbeat from being sent to a peer that has not answered the first.
func (n *Node) startBeat(addr string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.beating[addr] || addr == n.settings.self {
		return false
	}
	n.beating[addr] = true
	return true
}

func (n *Node) beatPeer(addr string, sameService bool) {
	ctx, cancel := context.WithTimeout(n.ctx, beatTimeout)
	defer cancel()
	asked := n.clock.Now()
	question := n.beat()
	if sameService {
		question = question.WithService(n.stateFor(addr), n.crashes.Marks())
	}
	reply, err := n.seams.Beat(ctx, addr, question)
	n.mu.Lock()
	delete(n.beating, addr)
	if err == nil {
		n.heardAt = n.clock.Now()
	}
	n.mu.Unlock()
	if err != nil {
		return
	}
	n.picker.Heard(addr)
	n.takeBeat(reply)
	if sameService && n.Leased() && reply.State().Addr() == addr {
		n.group.Take(asked, reply.State())
		n.tellNews()
	}
	n.fetchNewer(ctx, reply)
}

// tellNews spreads a refused lease without waiting for the next round.
func (n *Node) tellNews() {
	if n.group.News() {
		n.beatNow()
	}
}

func (n *Node) beat() gossip.Beat {
	return gossip.NewBeat(n.settings.self, n.leaving.Load(),
		n.rulesStore.Current().Stamp(), n.hostsStore.Current().Stamp())
}

// TakeBeat answers a peer's heartbeat.
func (n *Node) TakeBeat(b gossip.Beat) gossip.Beat {
	n.takeBeat(b)
	reply := n.beat()
	switch {
	case b.State().Addr() != "":
		reply = reply.WithService(n.group.Answer(b.State()), n.crashes.Marks())
		n.tellNews()
	case !n.Leased():
		reply = reply.WithService(lease.State{}, n.crashes.Marks())
	}
	if n.isNewer(b) {
		go n.fetchNewer(n.ctx, b)
	}
	return reply
}

func (n *Node) takeBeat(b gossip.Beat) {
	n.crashes.Merge(b.Marks())
	if b.Leaving() {
		n.picker.Leaving(b.From())
	}
}

func (n *Node) isNewer(b gossip.Beat) bool {
	return b.Rules().Beats(n.rulesStore.Current().Stamp()) || b.Hosts().Beats(n.hostsStore.Current().Stamp())
}

// fetchNewer gets from a peer the values of which it has a newer version.
func (n *Node) fetchNewer(ctx context.Context, b gossip.Beat) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	if b.Rules().Beats(n.rulesStore.Current().Stamp()) {
		n.fetch(ctx, b.From(), NameRules, n.rulesStore)
	}
	if b.Hosts().Beats(n.hostsStore.Current().Stamp()) {
		n.fetch(ctx, b.From(), NameHosts, n.hostsStore)
	}
}

func (n *Node) fetch(ctx context.Context, addr, name string, store *spread.Store) {
	v, err := n.seams.Fetch(ctx, addr, name)
	if err != nil {
		return
	}
	n.offer(name, store, v.Sequence(), v.Text(), addr)
}

func (n *Node) offer(name string, store *spread.Store, sequence uint64, text []byte, source string) {
	if _, err := store.Offer(sequence, text); err != nil {
		_ = level.Error(n.log).Log("msg", "value refused", "name", name, "sequence", sequence, "from", source, "err", err)
	}
}

// Fetch returns a value in force by its name, for a peer.
func (n *Node) Fetch(name string) spread.Value {
	switch name {
	case NameRules:
		return n.rulesStore.Current()
	case NameHosts:
		return n.hostsStore.Current()
	}
	return spread.Value{}
}

// becomeReady lets the node serve once it has both values and has asked its peers for newer ones.
func (n *Node) becomeReady() {
	if n.rules.Load() == nil || n.hosts.Load() == nil {
		return
	}
	if n.ready.CompareAndSwap(false, true) {
		_ = level.Info(n.log).Log("msg", "ready")
	}
}
