package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/rpc"
	"sync"
	"time"

	"tamarackrudder.org/lib/budget"
	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/verd"
)

// maxShortBody is the length in bytes of the longest request body that is sent within its message, over the connection that
// all requests to a peer share. A longer one gets a connection of its own, so that no other request waits behind it.
const maxShortBody = budget.ShortBytes

// maxWholeBody is the length in bytes of the longest body that fits into one message beside the other parts of a request.
const maxWholeBody = maxFrame - 1<<20

// errNotGranted means that a peer reads a body for which it has granted no memory.
var errNotGranted = errors.New("body from peer was not granted")

// grant is the memory that a peer has been granted on its connection, for the body of one long request.
type grant struct {
	bodies *budget.Budget
	mu     sync.Mutex
	hold   *budget.Hold // nil if none is granted
	length int64
}

// take grants memory for a body of the given length, in place of an earlier grant, and reports whether so much is left.
func (g *grant) take(length int64) bool {
	g.release()
	hold := g.bodies.Hold()
	if length < 0 || hold.Take(length) != nil {
		hold.Release()
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hold, g.length = hold, length
	return true
}

// read reads a body for which memory was granted.
func (g *grant) read(r io.Reader, length int64) ([][]byte, error) {
	g.mu.Lock()
	granted := g.hold != nil && length == g.length
	g.mu.Unlock()
	if !granted {
		return nil, errNotGranted
	}
	return budget.ReadSegments(r, length)
}

// claim transfers the granted memory to the request that needs it; a nil hold means that there is none.
func (g *grant) claim() *budget.Hold {
	g.mu.Lock()
	defer g.mu.Unlock()
	hold := g.hold
	g.hold = nil
	return hold
}

// release gives back memory that no request has claimed.
func (g *grant) release() {
	if hold := g.claim(); hold != nil {
		hold.Release()
	}
}

// execLong sends a request with a long body to a peer over a connection of its own, once the peer has granted the memory. A
// request of which not every byte was sent has not run.
func (p *Peers) execLong(ctx context.Context, addr string, r call.Request) call.Answer {
	raw, err := p.open(ctx, addr)
	if err != nil {
		return call.Refusal(verd.NotRun(dialReason(err)))
	}
	conn := &monitoredConn{Conn: raw}
	client := rpc.NewClientWithCodec(clientCodec{newFramedConn(conn, p.locator())})
	defer func() { _ = client.Close() }()
	to := channel{addr: addr, client: client, conn: conn}
	granted, err := askGrant(ctx, client, r.Body().Len())
	var refused rpc.ServerError
	switch {
	case errors.As(err, &refused):
		return p.execWhole(ctx, to, r)
	case err != nil:
		return call.Refusal(verd.NotRun(verd.ReasonPeerUnreachable))
	case !granted:
		return call.Refusal(verd.NotRun(verd.ReasonBodiesFull)).WithUnspentRetries(r.Allowance())
	}
	args := &LongWire{
		Request: toRequestWire(r, time.Until(r.Deadline())), Length: int64(r.Body().Len()), segments: r.Body().Segments(),
	}
	a := p.exec(ctx, to, r, func(reply *AnswerWire) *rpc.Call { return to.sendUntil(ctx, "ExecLong", args, reply) })
	if !args.sent {
		return call.Refusal(verd.NotRun(unsentReason(ctx)))
	}
	return a
}

// askGrant asks a peer for memory for a long body and reports whether the peer granted it.
func askGrant(ctx context.Context, client *rpc.Client, length int) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var reply GrantWire
	pending := client.Go(serviceName+".Grant", int64(length), &reply, make(chan *rpc.Call, 1))
	select {
	case <-pending.Done:
		return reply.Granted, pending.Error
	case <-ctx.Done():
		return false, fmt.Errorf("%w: %w", errUnreachable, ctx.Err())
	}
}

// execWhole sends a request with a long body to a peer of an older build, which knows no grants, within one message.
func (p *Peers) execWhole(ctx context.Context, to channel, r call.Request) call.Answer {
	if r.Body().Len() > maxWholeBody {
		return call.Refusal(verd.NotRun(verd.ReasonBodyTooLarge))
	}
	args := toRequestWire(r, time.Until(r.Deadline()))
	args.Body = r.Body().Bytes()
	return p.exec(ctx, to, r, func(reply *AnswerWire) *rpc.Call { return to.sendUntil(ctx, "Exec", args, reply) })
}

// sendUntil sends a message, and ends the write with the context if it blocks so long.
func (c channel) sendUntil(ctx context.Context, method string, args any, reply *AnswerWire) *rpc.Call {
	stop := context.AfterFunc(ctx, func() { _ = c.conn.SetWriteDeadline(time.Unix(1, 0)) })
	pending := c.client.Go(serviceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	if stop() {
		// The error is that of a closed connection, which ends the call as well.
		_ = c.conn.SetWriteDeadline(time.Time{})
	}
	return pending
}

// unsentReason returns why a request was not sent whole.
func unsentReason(ctx context.Context) verd.Reason {
	if ctx.Err() != nil {
		return verd.ReasonOf(ctx)
	}
	return verd.ReasonPeerUnreachable
}

// Grant takes memory for the long body of the peer's next request on this connection, and replies whether it could.
func (n *Node) Grant(length int64, reply *GrantWire) error {
	reply.Granted = n.grant.take(length)
	return nil
}

// ExecLong runs a request with a long body, as Exec does. Its time counts from when it began to arrive.
func (n *Node) ExecLong(args *LongWire, reply *AnswerWire) error {
	hold := n.grant.claim()
	if hold == nil {
		return errNotGranted
	}
	defer hold.Release()
	n.exec(args.Request.request(call.NewBody(args.segments...).WithRetain(hold.Retain), args.received), reply)
	return nil
}
