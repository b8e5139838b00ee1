package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/conns"
	"tamarackrudder.org/lib/gossip"
	"tamarackrudder.org/lib/lease"
	"tamarackrudder.org/lib/spread"
	"tamarackrudder.org/lib/verd"
)

const (
	dialTimeout = 500 * time.Millisecond
	// answerGrace is how long past the deadline a peer's own word is waited for.
	answerGrace = 20 * time.Millisecond
	// pingTimeout is how long a peer may take to answer on a new connection.
	pingTimeout = 300 * time.Millisecond
	// oldLife is how long a silent connection is kept for the answers that are still waited for on it.
	oldLife = time.Minute
)

var errUnreachable = errors.New("peer cannot be reached")

// Dial opens a connection to a peer; it is a seam for tests that cut links.
type Dial func(ctx context.Context, addr string) (net.Conn, error)

// DialTCP opens a TCP connection.
func DialTCP(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := conns.DialTCP(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUnreachable, err)
	}
	return conn, nil
}

// Peers sends messages to other nodes over one connection each.
type Peers struct {
	dial  Dial
	mu    sync.Mutex
	links map[string]*link
}

// NewPeers returns a sender without connections.
func NewPeers(dial Dial) *Peers { return &Peers{dial: dial, links: map[string]*link{}} }

func (p *Peers) link(addr string) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.links[addr]
	if !ok {
		l = &link{}
		p.links[addr] = l
	}
	return l
}

// client returns the connection to a peer, a new one where the last has gone silent.
func (p *Peers) client(ctx context.Context, addr string) (*rpc.Client, *heard, error) {
	l := p.link(addr)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client != nil && !l.heard.isSilent() {
		return l.client, l.heard, nil
	}
	if l.client != nil {
		old := l.heard
		time.AfterFunc(oldLife, func() { _ = old.Close() })
		l.client = nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.dial(ctx, addr)
	if err != nil {
		return nil, nil, err
	}
	if err := exchangeGreetings(conn); err != nil {
		_ = conn.Close()
		return nil, nil, err
	}
	l.heard = &heard{Conn: conn}
	l.client = rpc.NewClientWithCodec(clientCodec{newFramed(l.heard)})
	return l.client, l.heard, nil
}

// drop forgets a connection that has failed, unless a newer one took its place.
func (p *Peers) drop(addr string, client *rpc.Client) {
	l := p.link(addr)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client == client {
		l.client = nil
	}
}

// Exec runs a request at a peer and returns its answer, or a truthful verdict where none came.
func (p *Peers) Exec(ctx context.Context, addr string, r call.Request) call.Answer {
	client, heard, err := p.client(ctx, addr)
	if err != nil {
		return call.Refusal(verd.NotRun(dialReason(err)))
	}
	heard.sent()
	defer heard.answered()
	var reply AnswerWire
	remaining := time.Until(r.Deadline())
	pending := client.Go(serviceName+".Exec", toRequestWire(r, remaining), &reply, make(chan *rpc.Call, 1))
	late := time.NewTimer(remaining + answerGrace)
	defer late.Stop()
	check := time.NewTicker(quiet)
	defer check.Stop()
	gone := ctx.Done()
	for {
		select {
		case <-pending.Done:
			return p.ended(addr, client, pending, &reply)
		case <-late.C:
			return call.Refusal(verd.MayHaveRun(verd.ReasonSilent))
		case <-check.C:
			if heard.isSilent() && !r.NonIdempotent() {
				return p.givenUp(ctx, addr)
			}
			heard.test(client)
		case <-gone:
			gone = nil // the peer's own word is waited for
			check.Stop()
			if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
				client.Go(serviceName+".Cancel", r.ID(), &Empty{}, make(chan *rpc.Call, 1))
			}
		}
	}
}

// givenUp returns why a request that may run again is not waited for any longer: only its connection fell silent where
// the peer answers on another.
func (p *Peers) givenUp(ctx context.Context, addr string) call.Answer {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	if err := p.invoke(ctx, addr, methodPing, Empty{}, &Empty{}); err != nil {
		return call.Refusal(verd.MayHaveRun(verd.ReasonSilent))
	}
	return call.Refusal(verd.MayHaveRun(verd.ReasonLinkSilent))
}

func dialReason(err error) verd.Reason {
	if errors.Is(err, ErrVersion) {
		return verd.ReasonPeerVersion
	}
	return verd.ReasonPeerUnreachable
}

// ended tells a request that cannot have reached the peer from one whose answer is lost: net/rpc returns ErrShutdown
// only for what it did not write, and a frame that was not written whole is not read by the peer.
func (p *Peers) ended(addr string, client *rpc.Client, pending *rpc.Call, reply *AnswerWire) call.Answer {
	if pending.Error == nil {
		return reply.answer()
	}
	p.drop(addr, client)
	var refused rpc.ServerError
	switch {
	case errors.As(pending.Error, &refused):
		return call.Refusal(verd.NotRun(verd.ReasonPeerVersion))
	case errors.Is(pending.Error, rpc.ErrShutdown), errors.Is(pending.Error, errUnsendable):
		return call.Refusal(verd.NotRun(verd.ReasonPeerUnreachable))
	}
	return call.Refusal(verd.MayHaveRun(verd.ReasonConnLost))
}

// invoke sends one message and waits for its reply.
func (p *Peers) invoke(ctx context.Context, addr, method string, args, reply any) error {
	client, heard, err := p.client(ctx, addr)
	if err != nil {
		return err
	}
	heard.sent()
	defer heard.answered()
	pending := client.Go(serviceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-pending.Done:
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", errUnreachable, ctx.Err())
	}
	if pending.Error != nil {
		p.drop(addr, client)
		return fmt.Errorf("%s at %s: %w", method, addr, pending.Error)
	}
	return nil
}

// Beat sends a heartbeat and returns the peer's.
func (p *Peers) Beat(ctx context.Context, addr string, b gossip.Beat) (gossip.Beat, error) {
	var reply BeatWire
	if err := p.invoke(ctx, addr, "Beat", toBeatWire(b), &reply); err != nil {
		return gossip.Beat{}, err
	}
	return reply.beat(), nil
}

// Fetch returns a peer's published value by its name.
func (p *Peers) Fetch(ctx context.Context, addr, name string) (spread.Value, error) {
	var reply ValueWire
	if err := p.invoke(ctx, addr, "Fetch", name, &reply); err != nil {
		return spread.Value{}, err
	}
	return spread.NewValue(reply.Version, reply.Sequence, reply.Text), nil
}

// Handover hands claims to a peer.
func (p *Peers) Handover(ctx context.Context, addr string, h gossip.Handover) error {
	var reply Empty
	return p.invoke(ctx, addr, "Handover", toHandoverWire(h), &reply)
}

// GiveBack asks a peer for the keys that an earlier incarnation of this endpoint lost.
func (p *Peers) GiveBack(ctx context.Context, addr string, l lease.Loss) (gossip.Return, error) {
	var reply ReturnWire
	args := GiveBackWire{From: l.Addr(), Incarnation: l.Incarnation(), Kept: l.Kept()}
	if err := p.invoke(ctx, addr, "GiveBack", args, &reply); err != nil {
		return gossip.Return{}, err
	}
	return reply.unpack(), nil
}
