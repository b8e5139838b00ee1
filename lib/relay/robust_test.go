package relay_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/gossip"
	"tamarackrudder.org/lib/hosts"
	"tamarackrudder.org/lib/relay"
	"tamarackrudder.org/lib/spread"
	"tamarackrudder.org/lib/verd"
)

// failingListener fails a number of calls of Accept as if the process had no descriptors left.
type failingListener struct {
	net.Listener
	left atomic.Int64
}

// Accept fails while failures are left.
func (l *failingListener) Accept() (net.Conn, error) {
	if l.left.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestFailedAcceptDoesNotEndTheServer guards against a node that ends because it cannot accept one connection.
func TestFailedAcceptDoesNotEndTheServer(t *testing.T) {
	is := is.New(t)
	l := &failingListener{Listener: listen(t)}
	l.left.Store(3)
	s := relay.NewServer(l, relay.Handlers{Exec: echo, Bodies: newBodies()})
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	a := relay.NewPeers(relay.DialTCP).Exec(t.Context(), l.Addr().String(), request("1", "body", time.Minute))
	is.True(a.Verdict().HasRun())
	s.Close()
	is.NoErr(<-served)
}

// TestPanicEndsOnlyItsRequest lets handlers panic. The process must go on, and the peer must not take the request as not run.
func TestPanicEndsOnlyItsRequest(t *testing.T) {
	is := is.New(t)
	l := listen(t)
	s := relay.NewServer(l, relay.Handlers{
		Bodies: newBodies(),
		Exec: func(ctx context.Context, r call.Request) call.Answer {
			if r.ID() == "bad" {
				panic("bad request")
			}
			return echo(ctx, r)
		},
		Heartbeat: func(gossip.Heartbeat) gossip.Heartbeat { panic("bad heartbeat") },
	})
	go func() { _ = s.Serve() }()
	t.Cleanup(s.Close)
	peers := relay.NewPeers(relay.DialTCP)
	a := peers.Exec(t.Context(), l.Addr().String(), request("bad", "body", time.Minute))
	is.Equal(a.Verdict().Kind(), verd.KindMayHaveRun)
	_, err := peers.Heartbeat(t.Context(), l.Addr().String(), gossip.NewHeartbeat("me", false, spread.Stamp{}, spread.Stamp{}))
	is.True(err != nil)
	is.True(peers.Exec(t.Context(), l.Addr().String(), request("good", "body", time.Minute)).Verdict().HasRun())
}

// slowListener accepts connections whose writes take a while.
type slowListener struct{ net.Listener }

func (l slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return slowConn{conn}, err
}

type slowConn struct{ net.Conn }

func (c slowConn) Write(b []byte) (int, error) {
	time.Sleep(50 * time.Millisecond)
	return c.Conn.Write(b)
}

// TestClosingServerWritesItsReplies guards against the loss of the answer to a request that has just ended, when the node stops.
func TestClosingServerWritesItsReplies(t *testing.T) {
	is := is.New(t)
	l := listen(t)
	ended := make(chan struct{})
	s := relay.NewServer(slowListener{l}, relay.Handlers{Bodies: newBodies(), Exec: func(ctx context.Context, r call.Request) call.Answer {
		defer close(ended)
		return echo(ctx, r)
	}})
	go func() { _ = s.Serve() }()
	answered := make(chan call.Answer, 1)
	go func() {
		answered <- relay.NewPeers(relay.DialTCP).Exec(context.Background(), l.Addr().String(), request("1", "body", time.Minute))
	}()
	<-ended
	s.Close()
	a := <-answered
	is.True(a.Verdict().HasRun())
	is.Equal(string(a.Body()), "body")
}

// TestCancelBeforeItsRequestEndsIt cancels many requests as soon as they are sent. None may run on at the peer.
func TestCancelBeforeItsRequestEndsIt(t *testing.T) {
	var runsOn atomic.Int64
	addr := serve(t, func(ctx context.Context, r call.Request) call.Answer {
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
			runsOn.Add(1)
		}
		return call.Refusal(verd.NotRun(verd.ReasonCanceled))
	})
	peers := relay.NewPeers(relay.DialTCP)
	_, err := peers.Heartbeat(t.Context(), addr, gossip.Heartbeat{}) // opens the connection
	if err != nil {
		t.Fatal(err)
	}
	var all sync.WaitGroup
	for i := range 500 {
		ctx, cancel := context.WithCancel(t.Context())
		all.Go(func() { peers.Exec(ctx, addr, request(fmt.Sprint(i), "body", 8*time.Second)) })
		cancel()
	}
	all.Wait()
	time.Sleep(1200 * time.Millisecond)
	if runsOn.Load() > 0 {
		t.Fatalf("%d canceled requests ran on", runsOn.Load())
	}
}

// FuzzMessagesOfPeers sends arbitrary bytes as a frame. The server must go on serving other connections.
func FuzzMessagesOfPeers(f *testing.F) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	s := relay.NewServer(l, relay.Handlers{
		Bodies: newBodies(),
		Exec:   echo, Heartbeat: func(b gossip.Heartbeat) gossip.Heartbeat { return b },
		FetchHosts: func(known hosts.Digest) hosts.Diff { return hosts.NewDiff(1, 1, nil, nil) },
	})
	go func() { _ = s.Serve() }()
	f.Cleanup(s.Close)
	for _, seed := range [][]byte{nil, {0}, {0xff, 0xff, 0xff, 0xff}, bytes.Repeat([]byte{0x7f}, 64), recordedFrame(f)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, "tamarackrudder/1\n")
		_ = binary.Write(conn, binary.BigEndian, uint32(len(frame)))
		_, _ = conn.Write(frame)
		a := relay.NewPeers(relay.DialTCP).Exec(t.Context(), l.Addr().String(), request("1", "body", time.Minute))
		if !a.Verdict().HasRun() {
			t.Fatalf("the next request ends as %v", a.Verdict())
		}
	})
}

// recordedFrame returns the frame of a request as a peer sends it.
func recordedFrame(f *testing.F) []byte {
	f.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go relay.NewPeers(relay.DialTCP).Exec(context.Background(), l.Addr().String(), request("1", "body", time.Second))
	conn, err := l.Accept()
	if err != nil {
		f.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	greeting := make([]byte, len("tamarackrudder/1\n"))
	_, _ = io.ReadFull(conn, greeting)
	_, _ = conn.Write(greeting)
	var size uint32
	if err := binary.Read(conn, binary.BigEndian, &size); err != nil {
		f.Fatal(err)
	}
	frame := make([]byte, size)
	if _, err := io.ReadFull(conn, frame); err != nil {
		f.Fatal(err)
	}
	return frame
}
