package relay_test

import (
	"context"
	"errors"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/relay"
	"tamarackrudder.org/lib/verd"
)

// mutedConn is a connection that fails without an error once silent is set: it discards what is written, and reads block
// until closed is closed.
type mutedConn struct {
	net.Conn
	silent *atomic.Bool
	closed chan struct{}
}

func (m mutedConn) Write(b []byte) (int, error) {
	if m.silent.Load() {
		return len(b), nil
	}
	return m.Conn.Write(b)
}

func (m mutedConn) Read(b []byte) (int, error) {
	n, err := m.Conn.Read(b)
	if m.silent.Load() {
		<-m.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// TestNewConnectionWhereOneIsSilent guards against using a connection for ever that fails without an error, while the peer
// stays reachable over a new one.
func TestNewConnectionWhereOneIsSilent(t *testing.T) {
	is := is.New(t)
	addr := serve(t, echo)
	silent, dials := &atomic.Bool{}, 0
	closed := make(chan struct{})
	t.Cleanup(func() { close(closed) })
	peers := relay.NewPeers(func(ctx context.Context, addr string) (net.Conn, error) {
		conn, err := relay.DialTCP(ctx, addr)
		dials++
		if dials == 1 {
			return mutedConn{Conn: conn, silent: silent, closed: closed}, err
		}
		return conn, err
	})
	exec := func(limit time.Duration) call.Answer {
		r := request("1", "body", limit)
		ctx, cancel := context.WithDeadline(t.Context(), r.Deadline())
		defer cancel()
		return peers.Exec(ctx, addr, r)
	}
	is.True(exec(time.Second).Verdict().HasRun())
	silent.Store(true)
	go exec(10 * time.Second) // waits on the silent connection
	time.Sleep(1200 * time.Millisecond)
	is.True(exec(time.Second).Verdict().HasRun())
	is.Equal(dials, 2)
}

// TestRequestOnSilentConnection guards against waiting until the deadline for an idempotent request whose connection has
// gone silent: it is given up within a second. A non-idempotent request is awaited until its deadline.
func TestRequestOnSilentConnection(t *testing.T) {
	const limit, soon = 3 * time.Second, time.Second
	tests := []struct {
		name          string
		nonIdempotent bool
		reachable     bool
		want          verd.Verdict
		atOnce        bool
	}{
		{"may run again", false, true, verd.MayHaveRun(verd.ReasonLinkSilent), true},
		{"may run again, peer is gone", false, false, verd.MayHaveRun(verd.ReasonSilent), true},
		{"runs at most once", true, true, verd.MayHaveRun(verd.ReasonSilent), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			addr := serve(t, echo)
			silent, closed, dials := &atomic.Bool{}, make(chan struct{}), &atomic.Int64{}
			t.Cleanup(func() { close(closed) })
			peers := relay.NewPeers(func(ctx context.Context, addr string) (net.Conn, error) {
				first := dials.Add(1) == 1
				if !first && !test.reachable {
					return nil, errors.New("no route to host")
				}
				conn, err := relay.DialTCP(ctx, addr)
				if first {
					return mutedConn{Conn: conn, silent: silent, closed: closed}, err
				}
				return conn, err
			})
			r := request("1", "body", limit).WithRoute("desk", test.nonIdempotent)
			ctx, cancel := context.WithDeadline(t.Context(), r.Deadline())
			defer cancel()
			is.True(peers.Exec(ctx, addr, r).Verdict().HasRun())
			silent.Store(true)
			start := time.Now()
			a := peers.Exec(ctx, addr, r)
			is.Equal(a.Verdict(), test.want)
			is.Equal(time.Since(start) < soon, test.atOnce)
		})
	}
}

// TestSlowPeerIsNotSilent guards against giving up a request that takes the peer longer than the bound on silence: the
// peer's replies to pings show that the connection works.
func TestSlowPeerIsNotSilent(t *testing.T) {
	is := is.New(t)
	addr := serve(t, func(ctx context.Context, r call.Request) call.Answer {
		time.Sleep(2 * time.Second)
		return echo(ctx, r)
	})
	dials := 0
	peers := relay.NewPeers(func(ctx context.Context, addr string) (net.Conn, error) {
		dials++
		return relay.DialTCP(ctx, addr)
	})
	r := request("1", "body", 5*time.Second)
	is.True(peers.Exec(t.Context(), addr, r).Verdict().HasRun())
	is.Equal(dials, 1)
}

// TestRequestsEndInTimeWhilePeerDoesNotGreet guards against requests held past their deadlines by a suspended peer.
func TestRequestsEndInTimeWhilePeerDoesNotGreet(t *testing.T) {
	is := is.New(t)
	addr := listen(t).Addr().String() // the kernel accepts connections
	peers := relay.NewPeers(relay.DialTCP)
	answers := make(chan call.Answer)
	began := time.Now()
	const requests, timeout = 4, 300 * time.Millisecond
	for i := range requests {
		go func() {
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			answers <- peers.Exec(ctx, addr, request(strconv.Itoa(i), "x", timeout))
		}()
	}
	for range requests {
		is.Equal((<-answers).Verdict(), verd.NotRun(verd.ReasonPeerUnreachable))
	}
	is.True(time.Since(began) < 3*timeout)
}
