package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// Ask is one attempt of a client.
type Ask struct {
	id      string
	method  string
	host    string
	path    string
	body    []byte
	limit   time.Duration // the time limit that is sent
	patient time.Duration // how long the client of the test keeps listening, for the judgement
}

// Got is what a client got.
type Got struct {
	ask    Ask
	status int // 0 if no complete answer came
	stamp  string
	body   string
	header http.Header
	sent   time.Time
	took   time.Duration
	err    error
}

// NewID returns the ID of a client attempt.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Send sends one request on a new connection to the node of a host, and waits for the answer.
func (h *Host) Send(a Ask) Got {
	return h.send(a, func(a Ask, g *Got) error { return h.exchange(a, g) })
}

func (h *Host) send(a Ask, exchange func(Ask, *Got) error) Got {
	if a.id == "" {
		a.id = NewID()
	}
	if a.patient == 0 {
		a.patient = a.limit
	}
	g := Got{ask: a, sent: time.Now()}
	h.world.record.Add("send %s %s %s to %s, limit %d ms", a.id, a.method, a.path, h.name, a.limit.Milliseconds())
	g.err = exchange(a, &g)
	g.took = time.Since(g.sent)
	if g.err != nil {
		h.world.record.Add("no answer %s after %d ms: %v", a.id, g.took.Milliseconds(), shortError(g.err))
		return g
	}
	h.world.record.Add("answer %s status %d after %d ms", a.id, g.status, g.took.Milliseconds())
	return g
}

// shortError leaves the addresses out of the error of a connection.
func shortError(err error) string {
	text := err.Error()
	if i := strings.LastIndex(text, ": "); i >= 0 {
		return text[i+2:]
	}
	return text
}

func (h *Host) exchange(a Ask, g *Got) error {
	conn, err := h.dial()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	return exchangeOn(conn, bufio.NewReader(conn), a, g)
}

func (h *Host) dial() (net.Conn, error) {
	return net.DialTimeout("tcp", fmt.Sprintf("%s:%d", h.ip, portOutbound), time.Second)
}

func exchangeOn(conn net.Conn, in *bufio.Reader, a Ask, g *Got) error {
	_ = conn.SetDeadline(g.sent.Add(a.patient))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", a.method, a.path, a.host, names.Attempt, a.id, names.Deadline,
		a.limit.Milliseconds())
	if a.method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(a.body))
	}
	if _, err := conn.Write(append([]byte(head+"\r\n"), a.body...)); err != nil {
		return err
	}
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	g.status, g.stamp, g.body, g.header = response.StatusCode, response.Header.Get(names.Stamp), string(body), response.Header
	return nil
}

// Kept is a client that sends its requests one after the other on a connection that it keeps.
type Kept struct {
	host *Host
	conn net.Conn
	in   *bufio.Reader
	used bool // an answer has come on the connection
}

// IsKept reports whether the next request goes out on a connection on which one was answered.
func (k *Kept) IsKept() bool { return k.conn != nil && k.used }

// Send sends one request and waits for the answer. After an error, or an answer that closes the connection, the next one is sent on
// a new connection.
func (k *Kept) Send(a Ask) Got {
	g := k.host.send(a, func(a Ask, g *Got) error {
		if k.conn == nil {
			conn, err := k.host.dial()
			if err != nil {
				return err
			}
			k.conn, k.in, k.used = conn, bufio.NewReader(conn), false
		}
		return exchangeOn(k.conn, k.in, a, g)
	})
	k.used = true
	if g.err != nil || g.header.Get("Connection") == "close" {
		k.Close()
	}
	return g
}

// Close closes the connection.
func (k *Kept) Close() {
	if k.conn != nil {
		_ = k.conn.Close()
		k.conn = nil
	}
}
