package relay_test

import (
	"bytes"
	"context"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"tamarackrudder.org/lib/budget"
	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/relay"
	"tamarackrudder.org/lib/verd"
)

const longBody = 24 << 20 // bytes, more than one message between nodes may have

// stuckConn writes so many bytes and then blocks, as if the peer had stopped reading, until it is closed or its deadline passes.
type stuckConn struct {
	net.Conn
	left  atomic.Int64
	ended chan struct{}
	once  sync.Once
}

func (c *stuckConn) Write(b []byte) (int, error) {
	if c.left.Add(-int64(len(b))) >= 0 {
		return c.Conn.Write(b)
	}
	<-c.ended
	return 0, os.ErrDeadlineExceeded
}

func (c *stuckConn) SetWriteDeadline(t time.Time) error {
	if !t.IsZero() {
		c.end()
	}
	return c.Conn.SetWriteDeadline(t)
}

func (c *stuckConn) Close() error {
	c.end()
	return c.Conn.Close()
}

func (c *stuckConn) end() { c.once.Do(func() { close(c.ended) }) }

// dialStuck returns a dial function whose connections block after so many bytes.
func dialStuck(after int64) relay.Dial {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		conn, err := relay.DialTCP(ctx, addr)
		if err != nil {
			return nil, err
		}
		stuck := &stuckConn{Conn: conn, ended: make(chan struct{})}
		stuck.left.Store(after)
		return stuck, nil
	}
}

// oldPeerConn renames the messages that peers of older builds do not know.
type oldPeerConn struct{ net.Conn }

func (c oldPeerConn) Write(b []byte) (int, error) {
	return c.Conn.Write(bytes.ReplaceAll(b, []byte("Node.Grant"), []byte("Node.Other")))
}

func dialOldPeer(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := relay.DialTCP(ctx, addr)
	return oldPeerConn{conn}, err
}

// serveBodies starts a server with a budget for bodies, which counts the requests that it runs.
func serveBodies(t *testing.T, bodies *budget.Budget) (addr string, runs *atomic.Int64) {
	t.Helper()
	runs = &atomic.Int64{}
	l := listen(t)
	s := relay.NewServer(l, relay.Handlers{
		Bodies: bodies,
		Exec: func(_ context.Context, r call.Request) call.Answer {
			runs.Add(1)
			return call.NewAnswer(200, nil, []byte{byte(r.Body().Len() >> 20)})
		},
	})
	go func() { _ = s.Serve() }()
	t.Cleanup(s.Close)
	return l.Addr().String(), runs
}

func awaitGivenBack(t *testing.T, bodies *budget.Budget) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); bodies.Taken() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes are still taken", bodies.Taken())
		}
	}
}

// TestLongBodies guards against bodies that exceed the memory of the peer, or break the connection that other requests share.
func TestLongBodies(t *testing.T) {
	const room = 64 << 20
	tests := []struct {
		name string
		dial relay.Dial
		size int
		room int64
		want verd.Verdict
		runs int64
	}{
		{"long body", relay.DialTCP, longBody, room, verd.Ran(), 1},
		{"no room at the peer", relay.DialTCP, longBody, longBody / 2, verd.NotRun(verd.ReasonBodiesFull), 0},
		{"no room for a short one", relay.DialTCP, 1000, 500, verd.NotRun(verd.ReasonBodiesFull), 0},
		{"peer of an older build", dialOldPeer, 12 << 20, room, verd.Ran(), 1},
		{"too long for a peer of an older build", dialOldPeer, longBody, room, verd.NotRun(verd.ReasonBodyTooLarge), 0},
		{"peer stops reading", dialStuck(longBody / 2), longBody, room, verd.NotRun(verd.ReasonDeadline), 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			bodies := budget.New(test.room, test.room/8)
			addr, runs := serveBodies(t, bodies)
			peers := relay.NewPeers(test.dial)
			timeout := 20 * time.Second
			if test.want.Reason() == verd.ReasonDeadline {
				timeout = time.Second
			}
			r := request("1", strings.Repeat("x", test.size), timeout)
			ctx, cancel := context.WithDeadline(t.Context(), r.Deadline())
			defer cancel()
			a := peers.Exec(ctx, addr, r)
			is.Equal(a.Verdict(), test.want)
			if a.Verdict().HasRun() {
				is.Equal(a.Body(), []byte{byte(test.size >> 20)})
			}
			awaitGivenBack(t, bodies)
			is.Equal(runs.Load(), test.runs)
			is.True(peers.Exec(t.Context(), addr, request("2", "", 10*time.Second)).Verdict().HasRun())
		})
	}
}

// TestCanceledLongBodyHasNotRun cancels a request in the middle of its body, beside requests that must not wait for it.
func TestCanceledLongBodyHasNotRun(t *testing.T) {
	is := is.New(t)
	bodies := newBodies()
	addr, runs := serveBodies(t, bodies)
	peers := relay.NewPeers(dialStuck(longBody / 2))
	ctx, cancel := context.WithCancel(t.Context())
	answered := make(chan call.Answer, 1)
	go func() { answered <- peers.Exec(ctx, addr, request("long", strings.Repeat("x", longBody), time.Minute)) }()
	for deadline := time.Now().Add(10 * time.Second); bodies.Taken() == 0 && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
	}
	is.Equal(bodies.Taken(), int64(longBody))
	for range 20 {
		is.True(peers.Exec(t.Context(), addr, request("short", "body", 10*time.Second)).Verdict().HasRun())
	}
	is.Equal(len(answered), 0)
	cancel()
	is.Equal((<-answered).Verdict(), verd.NotRun(verd.ReasonCanceled))
	awaitGivenBack(t, bodies)
	is.Equal(runs.Load(), int64(20))
}
