package conns_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"tamarackrudder.org/lib/conns"
)

const refusal = "HTTP/1.1 503 Full\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n"

// isRefused reports whether the server of these tests refused a request.
func isRefused(status int, _ http.Header) bool { return status == http.StatusServiceUnavailable }

// TestLateCopyOfARefusalIsNotTheNextAnswer guards against taking a late copy of a refusal for the answer to the next attempt of
// the same request.
func TestLateCopyOfARefusalIsNotTheNextAnswer(t *testing.T) {
	for _, maxConns := range []int{1, 4} {
		t.Run(fmt.Sprintf("at most %d connections", maxConns), func(t *testing.T) {
			is := is.New(t)
			first := make(chan struct{}, 1)
			first <- struct{}{}
			addr, opened := server(t, func(conn *net.TCPConn, next func() *http.Request) {
				for r := next(); r != nil; r = next() {
					select {
					case <-first:
						_, _ = io.WriteString(conn, refusal)
						time.AfterFunc(20*time.Millisecond, func() { _, _ = io.WriteString(conn, refusal) })
					default:
						time.Sleep(60 * time.Millisecond)
						_, _ = io.WriteString(conn, completeAnswer(r.Header.Get(headerID), "own"))
					}
				}
			})
			p := conns.NewPool(addr, maxConns, conns.DialTCP)
			reply, err := p.Do(t.Context(), exchange(addr, "1", "").WithID("1", isRefused))
			is.NoErr(err)
			is.Equal(reply.Status(), http.StatusServiceUnavailable)
			reply, err = p.Do(t.Context(), exchange(addr, "1", "").WithID("1", isRefused))
			is.NoErr(err)
			is.Equal(string(reply.Body()), "own")
			is.Equal(opened.Load(), int64(2))
		})
	}
}

// TestRefusalsKeepTheConnection checks that other requests go on over a connection on which some were refused, up to a limit.
func TestRefusalsKeepTheConnection(t *testing.T) {
	is := is.New(t)
	const requests, maxOpened = 100, 2
	addr, opened := server(t, func(conn *net.TCPConn, next func() *http.Request) {
		for r := next(); r != nil; r = next() {
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Full\r\nX-Id: "+r.Header.Get(headerID)+"\r\nContent-Length: 0\r\n\r\n")
		}
	})
	p := conns.NewPool(addr, 4, conns.DialTCP)
	for i := range requests {
		id := fmt.Sprint(i)
		_, err := p.Do(t.Context(), exchange(addr, id, "").WithID(id, isRefused))
		is.NoErr(err)
	}
	is.Equal(opened.Load(), int64(maxOpened))
}
