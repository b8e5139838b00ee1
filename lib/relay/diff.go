package relay

import (
	"context"
	"errors"
	"fmt"
	"net/rpc"
	"time"

	"tamarackrudder.org/lib/gossip"
	"tamarackrudder.org/lib/hosts"
)

// FetchHosts returns the difference from the list of hosts with the given digest to that of a peer. The error is
// gossip.ErrUnsupported if the peer does not know the message.
func (p *Peers) FetchHosts(ctx context.Context, addr string, known hosts.Digest) (hosts.Diff, error) {
	var reply DiffWire
	err := p.invoke(ctx, addr, "FetchHosts", DigestWire{Ranges: known.Ranges()}, &reply)
	var refused rpc.ServerError
	if errors.As(err, &refused) {
		return hosts.Diff{}, fmt.Errorf("%w: %w", gossip.ErrUnsupported, err)
	}
	if err != nil {
		return hosts.Diff{}, err
	}
	return reply.diff(), nil
}

// FetchHosts replies with the difference from the peer's list of hosts to the one in force here.
func (n *Node) FetchHosts(known DigestWire, reply *DiffWire) error {
	return n.guarded("FetchHosts", func() { *reply = toDiffWire(n.handlers.FetchHosts(hosts.NewDigest(known.Ranges))) })
}

func toDiffWire(d hosts.Diff) DiffWire {
	w := DiffWire{Version: d.Version(), Sequence: d.Sequence(), Ranges: d.Ranges()}
	for _, e := range d.Endpoints() {
		w.Endpoints = append(w.Endpoints, EndpointWire{
			Service: e.Service(), Host: e.Host(), Zone: e.Zone(), Addr: e.RPCAddr(), Leaving: e.Leaving(),
			Instance: e.Instance(), Slots: e.Slots(), Heartbeats: e.Heartbeats(),
			Started: unixMillis(e.Started()), WarmAt: unixMillis(e.WarmAt()),
		})
	}
	return w
}

func (w DiffWire) diff() hosts.Diff {
	endpoints := make([]hosts.Endpoint, 0, len(w.Endpoints))
	for _, e := range w.Endpoints {
		endpoints = append(endpoints, hosts.NewEndpoint(e.Service, e.Host, e.Zone, e.Addr, e.Leaving).WithSlots(e.Slots).
			WithInstance(e.Instance, fromUnixMillis(e.Started)).WithWarmAt(fromUnixMillis(e.WarmAt)).WithHeartbeats(e.Heartbeats))
	}
	return hosts.NewDiff(w.Version, w.Sequence, w.Ranges, endpoints)
}

// unixMillis returns a time in Unix milliseconds, zero for the zero time.
func unixMillis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func fromUnixMillis(millis int64) time.Time {
	if millis == 0 {
		return time.Time{}
	}
	return time.UnixMilli(millis)
}
