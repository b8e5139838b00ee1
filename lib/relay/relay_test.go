package relay_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"tamarackrudder.org/lib/budget"
	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/gossip"
	"tamarackrudder.org/lib/hosts"
	"tamarackrudder.org/lib/lease"
	"tamarackrudder.org/lib/relay"
	"tamarackrudder.org/lib/spread"
	"tamarackrudder.org/lib/verd"
)

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// serve starts a server that runs requests with exec, and returns its address.
func serve(t *testing.T, exec func(ctx context.Context, r call.Request) call.Answer) string {
	t.Helper()
	l := listen(t)
	s := relay.NewServer(l, relay.Handlers{
		Bodies:    newBodies(),
		Exec:      exec,
		Heartbeat: func(b gossip.Heartbeat) gossip.Heartbeat { return b },
		Fetch:     func(name string) spread.Value { return spread.NewValue(1, 2, []byte(name)) },
		Handover:  func(gossip.Handover) error { return nil },
		Reclaim: func(lease.ReclaimRequest) gossip.ReclaimReply {
			return gossip.NewReclaimReply(true, time.Unix(9, 0), 7, nil)
		},
	})
	go func() { _ = s.Serve() }()
	t.Cleanup(s.Close)
	return l.Addr().String()
}

func request(id, body string, timeout time.Duration) call.Request {
	return call.NewRequest(id, "POST", "/x", "").WithBody(call.NewBody([]byte(body))).WithDeadline(time.Now().Add(timeout))
}

// newBodies returns a budget in which only the largest bodies of these tests do not fit.
func newBodies() *budget.Budget { return budget.New(64<<20, 8<<20) }

func echo(_ context.Context, r call.Request) call.Answer {
	return call.NewAnswer(200, nil, r.Body().Bytes()).WithSlowdown(2.5).WithTakes(7).WithPace(time.Second).WithFailing(0.5)
}

// TestEveryAnswerReachesItsRequest guards against mixing up answers of concurrent requests on one connection.
func TestEveryAnswerReachesItsRequest(t *testing.T) {
	is := is.New(t)
	addr := serve(t, func(ctx context.Context, r call.Request) call.Answer {
		time.Sleep(time.Duration(r.Body().Len()%7) * time.Millisecond) // so that answers come in another order than requests
		return echo(ctx, r)
	})
	peers := relay.NewPeers(relay.DialTCP)
	var all sync.WaitGroup
	for i := range 200 {
		all.Go(func() {
			body := strings.Repeat(fmt.Sprintf("%d,", i), 1+i*i)
			a := peers.Exec(context.Background(), addr, request(fmt.Sprint(i), body, time.Minute))
			if !a.Verdict().HasRun() || string(a.Body()) != body {
				t.Errorf("request %d: %v with %d bytes", i, a.Verdict(), len(a.Body()))
			}
			if a.Slowdown() != 2.5 || a.Takes() != 7 || a.Pace() != time.Second || a.Failing() != 0.5 {
				t.Errorf("request %d: slowdown %v, takes %v, pace %v, failing %v", i, a.Slowdown(), a.Takes(), a.Pace(), a.Failing())
			}
		})
	}
	all.Wait()
	v, err := peers.Fetch(t.Context(), addr, "rules")
	is.NoErr(err)
	is.Equal(string(v.Text()), "rules")
	r, err := peers.Reclaim(t.Context(), addr, lease.NewReclaimRequest("me", 1, true))
	is.NoErr(err)
	is.Equal(r.List(), uint64(7))
}

// TestPeerRecognisesTheCaller guards against a crashing request that the node which runs it takes for that of another caller.
func TestPeerRecognisesTheCaller(t *testing.T) {
	is := is.New(t)
	received := make(chan uint64, 1)
	addr := serve(t, func(ctx context.Context, r call.Request) call.Answer {
		received <- r.CallerFingerprint()
		return echo(ctx, r)
	})
	peers := relay.NewPeers(relay.DialTCP)
	for _, body := range []string{"", "short", strings.Repeat("long", 1<<18)} {
		sent := request("1", body, time.Minute).WithEntryService("desk").WithEmptyQuery(true)
		is.True(peers.Exec(t.Context(), addr, sent).Verdict().HasRun())
		is.Equal(<-received, sent.CallerFingerprint())
	}
}

// TestStatusThatIsNoneIsNoAnswer guards against passing on what a peer of another version took for an answer.
func TestStatusThatIsNoneIsNoAnswer(t *testing.T) {
	for status, ran := range map[int]bool{-1: false, 0: false, 99: false, 100: false, 199: false, 200: true, 599: true, 600: false, 1000: false} {
		is := is.New(t)
		addr := serve(t, func(context.Context, call.Request) call.Answer { return call.NewAnswer(status, nil, []byte("body")) })
		a := relay.NewPeers(relay.DialTCP).Exec(t.Context(), addr, request("1", "", time.Minute))
		is.Equal(a.Verdict().HasRun(), ran)
		is.True(ran || a.Verdict() == verd.MayHaveRun(verd.ReasonPeerVersion))
	}
}

// TestHeartbeatKeepsItsState guards against wire types that lose a part of a heartbeat, with a full and a compact lease state.
func TestHeartbeatKeepsItsState(t *testing.T) {
	is := is.New(t)
	addr := serve(t, echo)
	members := []hosts.Endpoint{hosts.NewEndpoint("ledger", "", "z1", "127.0.0.1:1", true)}
	state := lease.NewState("me", 5, true, true).
		WithLists(3, 2, []lease.Membership{lease.NewMembership(4, members)}).
		WithMemberStatuses([]lease.MemberStatus{lease.NewMemberStatus("me", 5, true)}).
		WithRefused([]lease.MemberStatus{lease.NewMemberStatus("other", 4, false)}).WithDigest()
	peers := relay.NewPeers(relay.DialTCP)
	for _, state := range []lease.State{state, lease.NewCompactState("me", 5, true, true, state.Digest())} {
		sent := gossip.NewHeartbeat("me", true, spread.NewStamp(1, 2), spread.NewStamp(3, 4)).WithService(state, nil)
		got, err := peers.Heartbeat(t.Context(), addr, sent)
		is.NoErr(err)
		is.Equal(got.State(), state)
		is.Equal(got.Rules(), sent.Rules())
		is.True(got.Leaving())
	}
}

// TestVerdictsOfBrokenConnections guards against a wrong verdict for a request whose connection fails: "not run" is allowed only
// if the peer cannot have received the request.
func TestVerdictsOfBrokenConnections(t *testing.T) {
	tests := []struct {
		name   string
		accept func(conn net.Conn)
		want   verd.Verdict
	}{
		{"another version", func(conn net.Conn) {
			_, _ = io.WriteString(conn, "tamarackrudder/9\n")
			_, _ = io.ReadAll(conn)
		}, verd.NotRun(verd.ReasonPeerVersion)},
		{"no greeting", func(conn net.Conn) { _ = conn.Close() }, verd.NotRun(verd.ReasonPeerUnreachable)},
		{"cut after the request", func(conn net.Conn) {
			greet(conn)
			_, _ = io.ReadFull(conn, make([]byte, 200))
			_ = conn.Close()
		}, verd.MayHaveRun(verd.ReasonConnLost)},
		{"answer cut short", func(conn net.Conn) {
			greet(conn)
			_, _ = io.ReadFull(conn, make([]byte, 200))
			_, _ = conn.Write([]byte{0, 0, 1, 0, 42})
			_ = conn.Close()
		}, verd.MayHaveRun(verd.ReasonConnLost)},
		{"answer without end", func(conn net.Conn) {
			greet(conn)
			_, _ = io.ReadFull(conn, make([]byte, 200))
			_, _ = conn.Write([]byte{255, 255, 255, 255})
			_, _ = io.ReadAll(conn)
		}, verd.MayHaveRun(verd.ReasonConnLost)},
		{"no answer", func(conn net.Conn) {
			greet(conn)
			_, _ = io.ReadAll(conn)
		}, verd.MayHaveRun(verd.ReasonSilent)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			l := listen(t)
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					go test.accept(conn)
				}
			}()
			peers := relay.NewPeers(relay.DialTCP)
			a := peers.Exec(context.Background(), l.Addr().String(), request("1", "body", 300*time.Millisecond))
			is.Equal(a.Verdict(), test.want)
		})
	}
}

// greet exchanges greetings as a node of this version does.
func greet(conn net.Conn) {
	_, _ = io.WriteString(conn, "tamarackrudder/1\n")
	_, _ = io.ReadFull(conn, make([]byte, len("tamarackrudder/1\n")))
}

// TestCallerGoneCancelsAtThePeer guards against requests that go on at a peer after their caller has gone.
func TestCallerGoneCancelsAtThePeer(t *testing.T) {
	canceled := make(chan struct{})
	started := make(chan struct{})
	addr := serve(t, func(ctx context.Context, _ call.Request) call.Answer {
		close(started)
		<-ctx.Done()
		close(canceled)
		return call.Refusal(verd.NotRun(verd.ReasonCanceled))
	})
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	a := relay.NewPeers(relay.DialTCP).Exec(ctx, addr, request("1", "body", time.Minute))
	<-canceled
	is.Equal(a.Verdict(), verd.NotRun(verd.ReasonCanceled)) // the verdict in the peer's answer
}

// TestServerSurvivesMalformedInput guards against a server that fails after malformed input on a connection.
func TestServerSurvivesMalformedInput(t *testing.T) {
	is := is.New(t)
	addr := serve(t, echo)
	for _, noise := range []string{"GET / HTTP/1.1\r\n\r\n", "tamarackrudder/1\n\xff\xff\xff\xff", "tamarackrudder/1\n\x00\x00\x00\x04nope"} {
		conn, err := net.Dial("tcp", addr)
		is.NoErr(err)
		_, _ = io.WriteString(conn, noise)
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, _ = io.ReadAll(conn)
		_ = conn.Close()
	}
	a := relay.NewPeers(relay.DialTCP).Exec(t.Context(), addr, request("1", "body", time.Minute))
	is.True(a.Verdict().HasRun())
}

// TestLostConnectionCancelsItsRequests guards against requests that run after the peer that sent them is gone.
func TestLostConnectionCancelsItsRequests(t *testing.T) {
	started, canceled := make(chan struct{}), make(chan struct{})
	addr := serve(t, func(ctx context.Context, _ call.Request) call.Answer {
		close(started)
		<-ctx.Done()
		close(canceled)
		return call.Refusal(verd.MayHaveRun(verd.ReasonCanceled))
	})
	conns := make(chan net.Conn, 1)
	peers := relay.NewPeers(func(ctx context.Context, addr string) (net.Conn, error) {
		conn, err := relay.DialTCP(ctx, addr)
		conns <- conn
		return conn, err
	})
	go peers.Exec(t.Context(), addr, request("1", "", time.Minute))
	<-started
	_ = (<-conns).Close()
	select {
	case <-canceled:
	case <-time.After(5 * time.Second):
		t.Fatal("the request was not canceled")
	}
}

// TestCancelEndsAtAPeerThatStaysSilent guards against a request that outlasts a stop because its peer does not answer.
func TestCancelEndsAtAPeerThatStaysSilent(t *testing.T) {
	is := is.New(t)
	started, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	addr := serve(t, func(context.Context, call.Request) call.Answer {
		close(started)
		<-release
		return call.NewAnswer(200, nil, nil)
	})
	ctx, cancel := context.WithCancel(t.Context())
	answers := make(chan call.Answer, 1)
	go func() { answers <- relay.NewPeers(relay.DialTCP).Exec(ctx, addr, request("1", "", time.Minute)) }()
	<-started
	cancel()
	select {
	case a := <-answers:
		is.Equal(a.Verdict(), verd.MayHaveRun(verd.ReasonCanceled))
	case <-time.After(5 * time.Second):
		t.Fatal("the canceled request goes on")
	}
}
