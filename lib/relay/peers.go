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
	// answerGrace is how long after the deadline of a request the peer's answer is still awaited, since it may state
	// that the request did not run.
	answerGrace = 20 * time.Millisecond
	// cancelGrace is how long after the cancellation of a request the peer's answer is still awaited.
	cancelGrace = 100 * time.Millisecond
	// probeTimeout is how long a peer may take to answer a ping after a connection to it has gone silent.
	probeTimeout = 300 * time.Millisecond
)

var errUnreachable = errors.New("peer cannot be reached")

// Dial opens a connection to a peer. It is a parameter of Peers so that tests can make connections fail.
type Dial func(ctx context.Context, addr string) (net.Conn, error)

// DialTCP opens a TCP connection to a peer, with the socket options of package conns.
func DialTCP(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := conns.DialTCP(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUnreachable, err)
	}
	return conn, nil
}

// Peers sends messages to other nodes, over one connection to each that is opened at the first message.
type Peers struct {
	dial   Dial
	mu     sync.Mutex
	links  map[string]*link
	locate Locate
}

// NewPeers returns a sender that has no connections yet and opens them with dial.
func NewPeers(dial Dial) *Peers { return &Peers{dial: dial, links: map[string]*link{}} }

// CountBy lets sent bytes be counted by the location of the peer from the next connection on.
func (p *Peers) CountBy(locate Locate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.locate = locate
}

func (p *Peers) locator() Locate {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.locate
}

func (p *Peers) link(addr string) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.links[addr]
	if !ok {
		l = newLink()
		p.links[addr] = l
	}
	return l
}

// client returns the connection to a peer. It opens one if there is none or if the current one has gone silent.
func (p *Peers) client(ctx context.Context, addr string) (*rpc.Client, *monitoredConn, error) {
	l := p.link(addr)
	if client, conn := l.current(); client != nil {
		return client, conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	select {
	case l.opening <- struct{}{}:
	case <-ctx.Done():
		return nil, nil, fmt.Errorf("%w: %w", errUnreachable, ctx.Err())
	}
	defer func() { <-l.opening }()
	if client, conn := l.current(); client != nil {
		return client, conn, nil
	}
	conn, err := p.open(ctx, addr)
	if err != nil {
		return nil, nil, err
	}
	client, monitored := l.replace(conn, p.locator())
	return client, monitored, nil
}

// open opens a connection to a peer of the same protocol version.
func (p *Peers) open(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	if err := exchangeGreetings(ctx, conn); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// drop removes a connection that has failed, unless it was replaced already.
func (p *Peers) drop(addr string, client *rpc.Client) {
	l := p.link(addr)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client == client {
		l.client = nil
	}
}

// Exec sends a request to a peer, which runs it, and returns the answer. If no answer comes, the verdict is "not run" only
// if the request cannot have reached the peer, or if the peer rejected the rpc call itself. When the caller cancels, Exec
// forwards the cancellation to the peer and awaits its answer for cancelGrace.
func (p *Peers) Exec(ctx context.Context, addr string, r call.Request) call.Answer {
	if r.Body().Len() > maxShortBody {
		return p.execLong(ctx, addr, r)
	}
	client, conn, err := p.client(ctx, addr)
	if err != nil {
		return call.Refusal(verd.NotRun(dialReason(err)))
	}
	args := toRequestWire(r, time.Until(r.Deadline()))
	args.Body = r.Body().Bytes()
	return p.exec(ctx, channel{addr: addr, client: client, conn: conn, shared: true}, r, func(reply *AnswerWire) *rpc.Call {
		return client.Go(serviceName+".Exec", args, reply, make(chan *rpc.Call, 1))
	})
}

// channel is the connection to a peer over which a request is sent. One that is shared by requests is checked for silence.
type channel struct {
	addr   string
	client *rpc.Client
	conn   *monitoredConn
	shared bool
}

// exec sends a request to a peer and awaits the answer.
func (p *Peers) exec(ctx context.Context, to channel, r call.Request, send func(reply *AnswerWire) *rpc.Call) call.Answer {
	to.conn.requestSent()
	defer to.conn.requestEnded()
	var reply AnswerWire
	pending := send(&reply)
	lateTimer := time.NewTimer(time.Until(r.Deadline()) + answerGrace)
	defer lateTimer.Stop()
	silenceCheck := time.NewTicker(pingAfter)
	defer silenceCheck.Stop()
	if !to.shared {
		silenceCheck.Stop()
	}
	canceled := ctx.Done()
	for {
		select {
		case <-pending.Done:
			return p.answerOf(to, pending, &reply)
		case <-lateTimer.C:
			return call.Refusal(verd.MayHaveRun(lateReason(ctx)))
		case <-silenceCheck.C:
			if to.conn.isSilent() && !r.NonIdempotent() {
				return p.silentAnswer(ctx, to.addr)
			}
			to.conn.pingIfDue(to.client)
		case <-canceled:
			canceled = nil // the peer's answer states whether the request ran, so it is still awaited
			silenceCheck.Stop()
			if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
				to.client.Go(serviceName+".Cancel", r.ID(), &Empty{}, make(chan *rpc.Call, 1))
				lateTimer.Reset(min(cancelGrace, time.Until(r.Deadline())+answerGrace))
			}
		}
	}
}

// lateReason returns why no answer came in time: the caller has canceled, or the peer is silent.
func lateReason(ctx context.Context) verd.Reason {
	if errors.Is(ctx.Err(), context.Canceled) {
		return verd.ReasonCanceled
	}
	return verd.ReasonSilent
}

// silentAnswer returns the answer to an idempotent request that is given up because its connection has gone silent. The
// reason is ReasonLinkSilent if the peer answers a ping on another connection, else ReasonSilent.
func (p *Peers) silentAnswer(ctx context.Context, addr string) call.Answer {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
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

// answerOf returns the answer of a finished call. After an error it distinguishes a request that cannot have reached the
// peer from one whose answer did not arrive: net/rpc returns ErrShutdown only for a request that it did not write, and a
// peer does not read a frame that was written in part.
func (p *Peers) answerOf(to channel, pending *rpc.Call, reply *AnswerWire) call.Answer {
	if pending.Error == nil {
		return reply.answer()
	}
	p.drop(to.addr, to.client)
	var refused rpc.ServerError
	switch {
	case errors.As(pending.Error, &refused):
		return call.Refusal(verd.NotRun(verd.ReasonPeerVersion))
	case errors.Is(pending.Error, rpc.ErrShutdown), errors.Is(pending.Error, errMessageTooLarge):
		return call.Refusal(verd.NotRun(verd.ReasonPeerUnreachable))
	}
	return call.Refusal(verd.MayHaveRun(verd.ReasonConnLost))
}

// invoke calls an rpc method of a peer and waits for the reply until the context ends.
func (p *Peers) invoke(ctx context.Context, addr, method string, args, reply any) error {
	client, conn, err := p.client(ctx, addr)
	if err != nil {
		return err
	}
	conn.requestSent()
	defer conn.requestEnded()
	pending := client.Go(serviceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-pending.Done:
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", errUnreachable, ctx.Err())
	}
	if pending.Error == nil {
		return nil
	}
	var refused rpc.ServerError
	if !errors.As(pending.Error, &refused) { // the connection of a peer that answers with an error works
		p.drop(addr, client)
	}
	return fmt.Errorf("%s at %s: %w", method, addr, pending.Error)
}

// Heartbeat sends a heartbeat to a peer and returns the heartbeat that the peer replies with.
func (p *Peers) Heartbeat(ctx context.Context, addr string, b gossip.Heartbeat) (gossip.Heartbeat, error) {
	var reply BeatWire
	if err := p.invoke(ctx, addr, "Beat", toBeatWire(b), &reply); err != nil {
		return gossip.Heartbeat{}, markNotListening(err)
	}
	return reply.heartbeat(), nil
}

// Fetch returns a published value, such as the rules, as the peer has it in force.
func (p *Peers) Fetch(ctx context.Context, addr, name string) (spread.Value, error) {
	var reply ValueWire
	if err := p.invoke(ctx, addr, "Fetch", name, &reply); err != nil {
		return spread.Value{}, err
	}
	return spread.NewValue(reply.Version, reply.Sequence, reply.Text), nil
}

// Handover transfers a part of this endpoint's claims to a peer.
func (p *Peers) Handover(ctx context.Context, addr string, h gossip.Handover) error {
	var reply Empty
	return p.invoke(ctx, addr, "Handover", toHandoverWire(h), &reply)
}

// Reclaim asks a peer to give up the keys that it took over from an earlier incarnation of this endpoint, and returns the
// peer's claims.
func (p *Peers) Reclaim(ctx context.Context, addr string, l lease.ReclaimRequest) (gossip.ReclaimReply, error) {
	var reply ReturnWire
	args := GiveBackWire{From: l.Addr(), Incarnation: l.Incarnation(), Kept: l.Kept()}
	if err := p.invoke(ctx, addr, "GiveBack", args, &reply); err != nil {
		return gossip.ReclaimReply{}, err
	}
	return reply.reclaimReply(), nil
}
