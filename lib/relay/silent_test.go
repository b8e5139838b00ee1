package relay_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/relay"
)

// mute is a connection that goes silent for good: nothing that is sent arrives, and nothing comes.
type mute struct {
	net.Conn
	silent *atomic.Bool
	closed chan struct{}
}

func (m mute) Write(b []byte) (int, error) {
	if m.silent.Load() {
		return len(b), nil
	}
	return m.Conn.Write(b)
}

func (m mute) Read(b []byte) (int, error) {
	n, err := m.Conn.Read(b)
	if m.silent.Load() {
		<-m.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// TestNewConnectionWhereOneIsSilent cuts a connection without any sign; the peer stays reachable by new ones.
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
			return mute{Conn: conn, silent: silent, closed: closed}, err
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
