package back_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"tamarackrudder.org/lib/back"
	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/verd"
)

// startRawServer answers every request on a connection with the given bytes, written one by one if singleBytes is set, and
// counts the requests. With an empty answer it closes the connection after the first request.
func startRawServer(t *testing.T, answer string, singleBytes bool) (addr string, requests *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	requests = &atomic.Int64{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go answerConn(conn, answer, singleBytes, requests)
		}
	}()
	return l.Addr().String(), requests
}

func answerConn(conn net.Conn, answer string, singleBytes bool, requests *atomic.Int64) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.ReadAll(r.Body)
		requests.Add(1)
		if answer == "" {
			return
		}
		if !singleBytes {
			_, _ = io.WriteString(conn, answer)
			continue
		}
		for i := range len(answer) {
			_, _ = io.WriteString(conn, answer[i:i+1])
		}
	}
}

func TestRun(t *testing.T) {
	const complete = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
	tests := []struct {
		name        string
		answer      string
		singleBytes bool
		want        verd.Verdict
		broken      bool
	}{
		{"whole", complete, false, verd.Ran(), false},
		{"whole in single bytes", complete, true, verd.Ran(), false},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n", true, verd.Ran(), false},
		{
			"refused by header", "HTTP/1.1 503 No\r\nTamarack-Verdict: not-run\r\nContent-Length: 0\r\n\r\n", false,
			verd.NotRun(verd.ReasonBackendShed), false,
		},
		{"refused by status", "HTTP/1.1 529 No\r\nContent-Length: 0\r\n\r\n", false, verd.NotRun(verd.ReasonBackendShed), false},
		{"no answer", "", false, verd.MayHaveRun(verd.ReasonAnswerLost), true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			addr, _ := startRawServer(t, test.answer, test.singleBytes)
			a, broken := back.New(addr, 4, back.NativeDialect()).Run(t.Context(), request(t, "POST", ""), "token", 529)
			is.Equal(a.Verdict(), test.want)
			is.Equal(broken, test.broken)
			if test.want.HasRun() {
				is.Equal(string(a.Body()), "whole")
			}
		})
	}
}

// TestEndlessAnswerMayHaveRun guards against an endless answer that fills the memory of the node.
func TestEndlessAnswerMayHaveRun(t *testing.T) {
	const (
		sentAtMost = 32 << 20 // bytes, so that the test ends
		timeout    = 10 * time.Second
	)
	tests := []struct {
		name   string
		start  string
		want   verd.Verdict
		broken bool
	}{
		{"no head", "", verd.MayHaveRun(verd.ReasonAnswerLost), true},
		{"header field", "HTTP/1.1 200 OK\r\nX-Long: ", verd.MayHaveRun(verd.ReasonAnswerLost), true},
		{"body", "HTTP/1.1 200 OK\r\n\r\n", verd.MayHaveRun(verd.ReasonAnswerTooLarge), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			addr, requests := startRawServer(t, test.start+strings.Repeat("x", sentAtMost), false)
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			a, broken := back.New(addr, 4, back.NativeDialect()).Run(ctx, request(t, "POST", ""), "token", 0)
			is.Equal(a.Verdict(), test.want)
			is.Equal(broken, test.broken)
			is.Equal(len(a.Body()), 0)
			is.Equal(requests.Load(), int64(1))
		})
	}
}

// TestFieldsOfOneConnectionAreNotPassedOn guards against passing on a header field that the response's Connection names (RFC 9110, 7.6.1).
func TestFieldsOfOneConnectionAreNotPassedOn(t *testing.T) {
	is := is.New(t)
	addr, _ := startRawServer(t, "HTTP/1.1 200 OK\r\nConnection: x-hop, keep-alive\r\nConnection: X-Other-Hop\r\n"+
		"X-Hop: 1\r\nX-Other-Hop: 1\r\nX-End: 1\r\nContent-Length: 0\r\n\r\n", false)
	a, _ := back.New(addr, 1, back.NativeDialect()).Run(t.Context(), request(t, "GET", ""), "token", 0)
	is.Equal(a.Fields(), []call.Field{call.NewField("X-End", "1")})
}

func request(t *testing.T, method, body string) call.Request {
	t.Helper()
	return call.NewRequest("id", method, "/x", "").WithBody(call.NewBody([]byte(body))).WithKey("key").
		WithDeadline(time.Now().Add(time.Minute))
}

// TestTruncatedAnswerIsNeverComplete guards against taking a truncated response for a complete one: the server closes the
// connection after each possible number of bytes.
func TestTruncatedAnswerIsNeverComplete(t *testing.T) {
	const complete = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
	for cut := 1; cut < len(complete); cut++ {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil {
				_, _ = io.ReadAll(r.Body)
			}
			_, _ = io.WriteString(conn, complete[:cut])
			_ = conn.Close()
		}()
		a, broken := back.New(l.Addr().String(), 1, back.NativeDialect()).Run(t.Context(), request(t, "POST", "x"), "token", 0)
		if a.Verdict() != verd.MayHaveRun(verd.ReasonAnswerLost) || !broken {
			t.Errorf("cut after %d bytes: %v", cut, a.Verdict())
		}
		_ = l.Close()
	}
}

// TestNeverSentTwice guards against resends by the HTTP client. The server closes each connection without an answer; the
// client of net/http would send a request with an Idempotency-Key again.
func TestNeverSentTwice(t *testing.T) {
	is := is.New(t)
	for _, body := range []string{"", "body"} {
		addr, requests := startRawServer(t, "", false)
		client := back.New(addr, 1, back.NativeDialect())
		for i := range 20 {
			a, _ := client.Run(t.Context(), request(t, "POST", body), fmt.Sprint(i), 0)
			is.True(!a.Verdict().HasRun())
		}
		is.Equal(requests.Load(), int64(20))
	}
}

func TestRequestOnClosedConnectionIsNotResent(t *testing.T) {
	is := is.New(t)
	answers := &atomic.Int64{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() { // answers the first request of a connection and closes it on the second
				defer func() { _ = conn.Close() }()
				in := bufio.NewReader(conn)
				for i := range 2 {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.ReadAll(r.Body)
					answers.Add(1)
					if i == 0 {
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
					}
				}
			}()
		}
	}()
	client := back.New(l.Addr().String(), 1, back.NativeDialect())
	for _, body := range []string{"", "body"} {
		for i := range 10 {
			a, _ := client.Run(t.Context(), request(t, "POST", body), "token", 0)
			is.Equal(a.Verdict().HasRun(), i%2 == 0)
		}
	}
	is.Equal(answers.Load(), int64(20)) // each request reached the server once
}

func TestNotRunWhereNothingListens(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := l.Addr().String()
	is.NoErr(l.Close())
	a, broken := back.New(addr, 1, back.NativeDialect()).Run(t.Context(), request(t, "POST", "x"), "token", 0)
	is.Equal(a.Verdict(), verd.NotRun(verd.ReasonBackendDown))
	is.True(!broken)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	a, _ = back.New(addr, 1, back.NativeDialect()).Run(ctx, request(t, "POST", "x"), "token", 0)
	is.True(strings.Contains(a.Verdict().Error(), "not-run"))
}
