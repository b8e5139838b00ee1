package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// endpoint is a stand-in for an application endpoint.
type endpoint struct {
	world   *world
	host    *host
	id      string
	service string
	slots   int
	born    time.Time

	listener net.Listener
	running  chan struct{}
	waiting  atomic.Int64
	mu       sync.Mutex
	conns    map[net.Conn]bool

	// sheds reports whether the endpoint rejects a request as if it were full.
	sheds func() bool
	// doubles reports whether a second copy of an answer follows, and how long after the first.
	doubles func() (time.Duration, bool)
	// crashes reports whether a request crashes each endpoint that begins to run it.
	crashes func(r *http.Request) bool
	// slowness is the factor by which work takes longer, 0 for 1.
	slowness atomic.Int64
}

const endpointQueue = 72

func (w *world) startEndpoint(h *host, service string, slots int) (*endpoint, error) {
	listener, err := net.Listen("tcp", h.addr(portApp))
	if err != nil {
		return nil, err
	}
	e := &endpoint{
		world: w, host: h, id: fmt.Sprintf("i-%06x%02x", time.Now().UnixMicro()&0xffffff, h.index), service: service, slots: slots,
		born: time.Now(), listener: listener, running: make(chan struct{}, slots), conns: map[net.Conn]bool{},
	}
	h.endpoint = e
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns[conn] = true
			e.mu.Unlock()
			go e.serveConn(conn)
		}
	}()
	return e, nil
}

func (e *endpoint) key() string { return names.EntryPrefix + e.id }

// entry returns the endpoint's entry in a state.
func (e *endpoint) entry(state string) []byte {
	return fmt.Appendf(nil, entryFormat, e.service, e.host.addr(portApp), e.host.zone, e.slots, state, e.born.UnixMilli())
}

// exit ends the endpoint with all its connections.
func (e *endpoint) exit() {
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn := range e.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

const (
	crashPause = 3 * time.Second         // until a crashed endpoint is back
	entryTime  = 4500 * time.Millisecond // three heartbeats
)

// crash ends the endpoint without a word, and starts it again some seconds later as another instance. The store drops the entry of the
// crashed one after three missed heartbeats.
func (e *endpoint) crash() {
	e.exit()
	time.AfterFunc(entryTime, func() { e.world.store.remove(e.key()) })
	time.AfterFunc(crashPause, func() {
		next, err := e.world.startEndpoint(e.host, e.service, e.slots)
		if err != nil {
			e.world.record("endpoint on %s is not back: %v", e.host.name, err)
			return
		}
		next.crashes = e.crashes
		e.world.store.put(next.key(), next.entry("ready"))
		e.world.record("endpoint on %s is back as %s", e.host.name, next.id)
	})
}

// incoming is one request as read from a connection.
type incoming struct {
	request *http.Request
	body    []byte
}

// serveConn serves one request at a time. A request whose connection closes is dropped.
func (e *endpoint) serveConn(conn net.Conn) {
	var writing sync.Mutex
	ctx, cancel := context.WithCancel(context.Background())
	requests := make(chan incoming)
	go func() {
		defer close(requests)
		defer cancel()
		in := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			select {
			case requests <- incoming{r, body}:
			case <-time.After(time.Minute):
				return
			}
		}
	}()
	for next := range requests {
		answer := e.serve(ctx, next)
		if answer == nil {
			break
		}
		writing.Lock()
		_, err := conn.Write(answer)
		writing.Unlock()
		if err != nil {
			break
		}
		if e.doubles == nil {
			continue
		}
		if after, ok := e.doubles(); ok {
			e.world.record("endpoint %s will send a second copy of its answer to %s in %s", e.id, next.request.Header.Get(names.Attempt), after)
			time.AfterFunc(after, func() {
				writing.Lock()
				defer writing.Unlock()
				_, _ = conn.Write(answer)
			})
		}
	}
	_ = conn.Close()
	e.mu.Lock()
	delete(e.conns, conn)
	e.mu.Unlock()
}

// serve returns the answer to a request, nil if it was dropped.
func (e *endpoint) serve(ctx context.Context, in incoming) []byte {
	r, id := in.request, in.request.Header.Get(names.Attempt)
	if r.URL.Path == "/health" {
		return message(200, "OK", "", field(names.Instance, e.id), "")
	}
	now := time.Now()
	a := &arrival{
		id: id, endpoint: e, at: now, method: r.Method, target: r.RequestURI, host: r.Host, bodySum: sum(in.body), caller: r.Header.Get(names.Caller),
	}
	defer func() { e.world.arrived(a) }()
	if want := r.Header.Get(names.Expected); want != "" && want != e.id {
		a.outcome = "421"
		return message(421, "Misdirected Request", id, field(names.Instance, e.id)+field(names.NotExecuted, "1"), "")
	}
	full := message(503, "Service Unavailable", id, field(names.NotExecuted, "1")+e.load(), "")
	if e.sheds != nil && e.sheds() || e.waiting.Load() >= endpointQueue {
		a.outcome = "shed"
		return full
	}
	limit, err := strconv.ParseFloat(r.Header.Get(names.Deadline), 64)
	if err != nil {
		limit = 60_000
	}
	timeout := time.After(time.Duration(limit * float64(time.Millisecond)))
	e.waiting.Add(1)
	select {
	case e.running <- struct{}{}:
		e.waiting.Add(-1)
	case <-timeout:
		e.waiting.Add(-1)
		a.outcome = "shed"
		return full
	case <-ctx.Done():
		e.waiting.Add(-1)
		a.outcome = "left"
		return nil
	}
	defer func() { <-e.running }()
	a.ran = time.Now()
	e.world.record("endpoint %s begins to run %s %s", e.id, r.Method, id)
	if e.crashes != nil && e.crashes(r) {
		a.outcome = "crashed the endpoint"
		e.crash()
		return nil
	}
	work, _ := strconv.Atoi(r.Header.Get("X-Work-Ms"))
	select {
	case <-time.After(time.Duration(work) * time.Millisecond * time.Duration(max(1, e.slowness.Load()))):
		a.outcome = "200"
		text := "answer to " + id + " " + strings.Repeat("x", 200)
		return message(200, "OK", id, field(names.Stamp, stamp(id, e.id, text))+e.load(), text)
	case <-timeout:
		a.outcome = "504"
		return message(504, "Gateway Timeout", id, field(names.Stamp, stamp(id, e.id, ""))+e.load(), "")
	case <-ctx.Done():
		a.outcome = "left"
		return nil
	}
}

func stamp(id, endpoint, text string) string {
	return fmt.Sprintf("%s.%s.%x", id, endpoint, sum([]byte(text)))
}

func (e *endpoint) load() string {
	return field(names.Load, fmt.Sprintf("%d,%d,%d", len(e.running), e.waiting.Load(), e.slots))
}

// field returns a header field as it is sent.
func field(name, value string) string { return name + ": " + value + "\r\n" }

func message(status int, reason, id, fields, body string) []byte {
	if id != "" {
		fields = field(names.Attempt, id) + fields
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s", status, reason, fields, len(body), body)
}
