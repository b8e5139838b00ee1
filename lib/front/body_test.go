package front_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"tamarackrudder.org/lib/budget"
	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/front"
	"tamarackrudder.org/lib/verd"
)

const (
	room    = 1 << 20
	spare   = 128 << 10
	waiting = 5 * time.Second
)

// send opens a connection and sends the head of a request with the given fields, and the beginning of its body.
func send(t *testing.T, s *httptest.Server, fields, body string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(waiting))
	_, err = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: x\r\n"+fields+"\r\n\r\n"+body)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

func chunk(size int) string { return fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size)) }

func await(t *testing.T, what string, is func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waiting); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal(what)
		}
	}
}

// TestBodiesBeyondTheBudgetAreRefusedAtOnce sends no more of a body than is needed to refuse it.
func TestBodiesBeyondTheBudgetAreRefusedAtOnce(t *testing.T) {
	const chunked = "Transfer-Encoding: chunked"
	tests := []struct {
		name   string
		held   int64
		fields string
		body   string
		status int
		reason verd.Reason
	}{
		{"announced, beside others", room / 2, "Content-Length: 600000", "", 503, verd.ReasonBodiesFull},
		{"announced, never fits", 0, "Content-Length: 1000000", "", 413, verd.ReasonBodyTooLarge},
		{"grown, beside others", room / 2, chunked, chunk(600_000), 503, verd.ReasonBodiesFull},
		{"grown, never fits", 0, chunked, chunk(room-spare) + chunk(1), 413, verd.ReasonBodyTooLarge},
		{"short, beside long ones", room - spare, "Content-Length: 4", "body", 201, verd.ReasonNone},
		{"unreadable head, body not sent", 0, front.HeaderTimeout + ": soon\r\nContent-Length: 9", "", 400, verd.ReasonBadRequest},
		{"not sent in time", 0, front.HeaderTimeout + ": 100\r\nContent-Length: 9", "half", 503, verd.ReasonDeadline},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			bodies := budget.New(room, spare)
			s := httptest.NewServer(front.New(seams(echo, bodies)))
			defer s.Close()
			others := bodies.Hold()
			is.NoErr(others.Take(test.held))
			conn := send(t, s, test.fields, test.body)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.Equal(response.StatusCode, test.status)
			is.Equal(response.Header.Get(front.HeaderReason), string(test.reason))
			is.Equal(response.Header.Get("Retry-After") != "", test.status == http.StatusServiceUnavailable)
			is.Equal(response.Close, test.reason != verd.ReasonNone)
			_ = response.Body.Close()
			others.Release()
			await(t, "bytes are still taken", func() bool { return bodies.Taken() == 0 })
		})
	}
}

// TestBodyIsGivenBackOnEveryWayOut guards against bytes that stay taken, by the way in which a request ends.
func TestBodyIsGivenBackOnEveryWayOut(t *testing.T) {
	const length = "Content-Length: 200000"
	body := strings.Repeat("x", 200_000)
	tests := []struct {
		name  string
		serve front.Serve
		body  string
		leave bool // the caller closes the connection
	}{
		{"answer", echo, body, false},
		{"refusal", func(context.Context, call.Request) call.Answer {
			return call.Refusal(verd.NotRun(verd.ReasonQueueFull))
		}, body, false},
		{"panic", func(context.Context, call.Request) call.Answer { panic(http.ErrAbortHandler) }, body, false},
		{"caller leaves", func(ctx context.Context, _ call.Request) call.Answer {
			<-ctx.Done()
			return call.Refusal(verd.MayHaveRun(verd.ReasonCanceled))
		}, body, true},
		{"caller leaves within the body", echo, body[:100_000], true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			bodies := budget.New(room, spare)
			s := httptest.NewServer(front.New(seams(test.serve, bodies)))
			defer s.Close()
			conn := send(t, s, length, test.body)
			if test.leave {
				await(t, "nothing is taken", func() bool { return bodies.Taken() == 200_000 })
				is.NoErr(conn.Close())
			} else {
				_, _ = io.CopyN(io.Discard, conn, 1)
			}
			await(t, "bytes are still taken", func() bool { return bodies.Taken() == 0 })
		})
	}
}

// TestRetainedBodyStaysTaken keeps a body beyond its answer, as a run does that goes on without its caller.
func TestRetainedBodyStaysTaken(t *testing.T) {
	is := is.New(t)
	bodies := budget.New(room, spare)
	var release func()
	s := httptest.NewServer(front.New(seams(func(ctx context.Context, r call.Request) call.Answer {
		release = r.Body().Retain()
		return echo(ctx, r)
	}, bodies)))
	defer s.Close()
	response, err := http.Post(s.URL+"/x", "text/plain", strings.NewReader("body"))
	is.NoErr(err)
	_, err = io.ReadAll(response.Body)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(bodies.Taken(), int64(4))
	release()
	is.Equal(bodies.Taken(), int64(0))
}

// TestTimeOfTheBodyCounts guards against a deadline that is later than the caller's by the time that the body took to arrive.
func TestTimeOfTheBodyCounts(t *testing.T) {
	const (
		timeout = 2 * time.Second
		pause   = 300 * time.Millisecond
	)
	is := is.New(t)
	left := make(chan time.Duration, 1)
	s := httptest.NewServer(front.New(seams(func(ctx context.Context, r call.Request) call.Answer {
		left <- r.Timeout()
		return echo(ctx, r)
	}, budget.New(room, spare))))
	defer s.Close()
	conn := send(t, s, front.HeaderTimeout+": 2000\r\nContent-Length: 8", "half")
	time.Sleep(pause)
	_, err := io.WriteString(conn, "half")
	is.NoErr(err)
	got := <-left
	is.True(got <= timeout-pause)
	is.True(got > 0)
}
