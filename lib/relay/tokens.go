package relay

import (
	"context"
	"errors"
	"fmt"
	"net/rpc"
	"syscall"
	"time"

	"tamarackrudder.org/lib/gossip"
	"tamarackrudder.org/lib/quota"
)

// TokensWire is the wire format of an ask for tokens of an organisation.
type TokensWire struct {
	Organisation string
	From         string
	Want         int
	Refused      int
	Returned     int
}

// GrantedWire is the wire format of the reply to an ask for tokens.
type GrantedWire struct {
	Granted int
	Full    bool
	Wait    time.Duration
	Spacing time.Duration
	Hold    time.Duration
}

// Tokens asks a peer for tokens of an organisation. The error wraps quota.ErrNotListening if no process listens at the address,
// and gossip.ErrUnsupported if the peer does not know the message. If the connection breaks, a second ask shows which.
func (p *Peers) Tokens(ctx context.Context, addr string, a quota.Ask) (quota.Grant, error) {
	args := TokensWire{Organisation: a.Organisation(), From: a.From(), Want: a.Want(), Refused: a.Refused(), Returned: a.Returned()}
	var reply GrantedWire
	err := p.invoke(ctx, addr, "Tokens", args, &reply)
	var refused rpc.ServerError
	if err != nil && ctx.Err() == nil && !errors.As(err, &refused) && !errors.Is(err, syscall.ECONNREFUSED) {
		err = p.invoke(ctx, addr, "Tokens", args, &reply)
	}
	switch {
	case err == nil:
		return reply.grant(), nil
	case errors.As(err, &refused):
		return quota.Grant{}, fmt.Errorf("%w: %w", gossip.ErrUnsupported, err)
	}
	return quota.Grant{}, markNotListening(err)
}

// markNotListening returns the error, with quota.ErrNotListening if a connection was refused.
func markNotListening(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return fmt.Errorf("%w: %w", quota.ErrNotListening, err)
	}
	return err
}

// Tokens replies to a peer's ask for tokens.
func (n *Node) Tokens(args TokensWire, reply *GrantedWire) error {
	return n.guarded("Tokens", func() {
		a := quota.NewAsk(args.Organisation, args.From, args.Want).WithRefused(args.Refused).WithReturned(args.Returned)
		g := n.handlers.Tokens(n.ctx, a)
		*reply = GrantedWire{Granted: g.Granted(), Full: g.Full(), Wait: g.Wait(), Spacing: g.Spacing(), Hold: g.Hold()}
	})
}

func (w GrantedWire) grant() quota.Grant {
	return quota.NewGrant(w.Granted, w.Full).WithAppointments(w.Wait, w.Spacing).WithHold(w.Hold)
}
