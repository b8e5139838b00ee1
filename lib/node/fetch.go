package node

import (
	"context"
	"errors"

	"github.com/go-kit/log/level"

	"tamarackrudder.org/lib/gossip"
	"tamarackrudder.org/lib/hosts"
	"tamarackrudder.org/lib/spread"
)

// publishedList is the list of hosts in force as it was published, before endpoints were kept as leaving, with the
// platform's revision of it.
type publishedList struct {
	list     *hosts.List
	sequence uint64
}

// fetchNewer fetches the values of which a heartbeat reports a newer version from its sender. A value that is being
// fetched from another peer is left out; the next heartbeat shows whether it is still needed.
func (n *Node) fetchNewer(ctx context.Context, h gossip.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	if h.Rules().Supersedes(n.rulesStore.Current().Stamp()) {
		n.fetchOnce(NameRules, func() { n.fetch(ctx, h.From(), NameRules, n.rulesStore) })
	}
	if h.Hosts().Supersedes(n.hostsStore.Current().Stamp()) {
		n.fetchOnce(NameHosts, func() { n.fetchHosts(ctx, h.From()) })
	}
}

// fetchOnce calls fetch unless a call for the same value has not returned yet.
func (n *Node) fetchOnce(name string, fetch func()) {
	n.mu.Lock()
	busy := n.fetching[name]
	n.fetching[name] = true
	n.mu.Unlock()
	if busy {
		return
	}
	fetch()
	n.mu.Lock()
	n.fetching[name] = false
	n.mu.Unlock()
}

func (n *Node) fetch(ctx context.Context, addr, name string, store *spread.Store) {
	v, err := n.seams.Fetch(ctx, addr, name)
	if err != nil {
		_ = level.Debug(n.log).Log("msg", "value not fetched", "name", name, "from", addr, "err", err)
		return
	}
	n.offerValue(name, store, v.Sequence(), v.Text(), addr)
}

// fetchHosts fetches what a peer's list of hosts has changed against the one in force here, or the whole list from a
// peer that sends no differences.
func (n *Node) fetchHosts(ctx context.Context, addr string) {
	if n.seams.FetchHosts == nil {
		n.fetch(ctx, addr, NameHosts, n.hostsStore)
		return
	}
	var base *hosts.List
	if known := n.published.Load(); known != nil {
		base = known.list
	}
	diff, err := n.seams.FetchHosts(ctx, addr, base.Digest())
	if errors.Is(err, gossip.ErrUnsupported) {
		n.fetch(ctx, addr, NameHosts, n.hostsStore)
		return
	}
	if err != nil {
		_ = level.Debug(n.log).Log("msg", "list of hosts not fetched", "from", addr, "err", err)
		return
	}
	if diff.Version() != 0 {
		n.applyDiff(base, diff, addr)
	}
}

func (n *Node) applyDiff(base *hosts.List, diff hosts.Diff, source string) {
	list, err := base.Apply(diff)
	if err != nil {
		_ = level.Error(n.log).Log("msg", "difference of the list of hosts refused", "version", diff.Version(), "from", source, "err", err)
		return
	}
	text, err := n.seams.EncodeList(list)
	if err != nil {
		_ = level.Error(n.log).Log("msg", "list of hosts cannot be encoded", "version", diff.Version(), "from", source, "err", err)
		return
	}
	n.offerValue(NameHosts, n.hostsStore, diff.Sequence(), text, source)
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

// FetchHosts returns the difference from a list of hosts with the given digest to the one in force here, for a peer. Its
// version is zero if there is no list in force here.
func (n *Node) FetchHosts(known hosts.Digest) hosts.Diff {
	p := n.published.Load()
	if p == nil {
		return hosts.Diff{}
	}
	return p.list.DiffFrom(known, p.sequence)
}
