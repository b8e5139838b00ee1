package main

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	beatInterval = 1500 * time.Millisecond
	idleTimeout  = 10 * time.Second
)

// Run is one request that an endpoint has begun to work on.
type Run struct {
	endpoint *Endpoint
	http     *http.Request
	id       string
	begun    time.Time
	deadline time.Time
	body     int64
}

// Handler does the work of one request, and returns the status and the body of the answer.
type Handler func(r Run) (status int, body []byte)

// Endpoint is one backend server.
type Endpoint struct {
	world   *World
	host    *Host
	service string
	slots   int
	handle  Handler
	addr    string

	mu       sync.Mutex
	id       string
	born     int64
	sequence int64
	state    string
	server   *http.Server
	conns    map[net.Conn]bool
	down     bool // it has crashed and is not back
	ended    chan struct{}
	running  atomic.Int64
	arrived  atomic.Int64
}

// Start starts the endpoint under an ID, a new one if that is empty.
func (e *Endpoint) Start(id string) error {
	if id == "" {
		id = fmt.Sprintf("i-%08x", rand.Uint32())
	}
	l, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.id, e.born, e.sequence, e.state, e.ended, e.down = id, time.Now().UnixMilli(), 0, "ready", make(chan struct{}), false
	e.conns = map[net.Conn]bool{}
	e.server = &http.Server{Handler: e, IdleTimeout: idleTimeout, ConnState: func(c net.Conn, s http.ConnState) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if s == http.StateClosed {
			delete(e.conns, c)
		} else {
			e.conns[c] = true
		}
	}}
	server, ended := e.server, e.ended
	e.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	e.write(0)
	go func() {
		for {
			select {
			case <-ended:
				return
			case <-time.After(beatInterval):
				e.mu.Lock()
				e.sequence++
				e.mu.Unlock()
			}
		}
	}()
	return nil
}

// write puts the endpoint's entry into the store.
func (e *Endpoint) write(coldMS int) {
	e.mu.Lock()
	text := fmt.Sprintf(entryFormat, e.service, e.addr, e.host.zone, e.slots, e.state, coldMS, e.sequence, e.born)
	key := names.EntryPrefix + e.id
	e.mu.Unlock()
	e.world.store.Put(key, []byte(text))
}

// Remove takes the entry out of the store.
func (e *Endpoint) Remove() {
	e.world.store.Delete(names.EntryPrefix + e.id)
	e.world.record.Add("entry of endpoint %s of %s removed", e.id, e.service)
}

// Crash ends the endpoint at once, with all its connections.
func (e *Endpoint) Crash() {
	e.mu.Lock()
	server, id := e.server, e.id
	conns := slices.Collect(maps.Keys(e.conns))
	close(e.ended)
	e.mu.Unlock()
	e.world.record.Add("endpoint %s of %s at %s crashes", id, e.service, e.host.name)
	for _, c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	_ = server.Close()
}

// ServeHTTP checks a request as the platform's endpoints do, and runs it.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	id, draining := e.id, e.state != "ready"
	e.mu.Unlock()
	attempt := r.Header.Get(names.Attempt)
	h := w.Header()
	h.Set(names.Attempt, attempt)
	h.Set("Keep-Alive", "timeout=10")
	h.Set(names.Load, fmt.Sprintf("%d,0,%d", e.running.Load(), e.slots))
	if draining {
		h.Set("Connection", "close")
	}
	e.arrived.Add(1)
	if expected := r.Header.Get(names.Expected); expected != "" && expected != id {
		e.world.record.Add("421 %s at %s, which expects %s", attempt, id, expected)
		h.Set(names.Instance, id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if int(e.running.Add(1)) > e.slots {
		e.running.Add(-1)
		h.Set(names.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.running.Add(-1)
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	ms, err := strconv.ParseFloat(r.Header.Get(names.Deadline), 64)
	if err != nil {
		ms = 60_000
	}
	now := time.Now()
	run := Run{endpoint: e, http: r, id: attempt, begun: now, body: n, deadline: now.Add(time.Duration(ms * float64(time.Millisecond)))}
	e.world.record.Add("run %s %s %s at %s, deadline %.0f ms, caller %s", attempt, r.Method, r.URL.Path, e.host.name, ms,
		r.Header.Get(names.Caller))
	status, body := e.handle(run)
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	h.Set(names.Stamp, fmt.Sprintf("stamp.%s", attempt))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// Work sleeps for a time, until the deadline or until the connection is closed.
func (r Run) Work(d time.Duration) (int, []byte) {
	status, body := http.StatusOK, []byte("answer to "+r.id)
	if left := time.Until(r.deadline); left < d {
		d, status, body = left, http.StatusGatewayTimeout, []byte("time limit\n")
	}
	select {
	case <-time.After(d):
	case <-r.http.Context().Done():
	}
	return status, body
}

// CrashFor crashes the endpoint, which is back under a new ID after a time. Its entry stays in the store for three intervals
// of its heartbeats.
func (e *Endpoint) CrashFor(down time.Duration) {
	e.mu.Lock()
	id, isDown := e.id, e.down
	e.down = true
	e.mu.Unlock()
	if isDown {
		return
	}
	e.Crash()
	time.AfterFunc(3*beatInterval, func() { e.world.store.Delete(names.EntryPrefix + id) })
	time.AfterFunc(down, func() {
		if err := e.Start(""); err != nil {
			e.world.record.Add("endpoint at %s is not back: %v", e.host.name, err)
			return
		}
		e.world.record.Add("endpoint of %s at %s is back as %s", e.service, e.host.name, e.id)
	})
}
