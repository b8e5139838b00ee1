package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const heartbeat = 1500 * time.Millisecond

// endpoint is a stand-in of an endpoint of the platform. It follows PROTOCOL; what a case adds is in its work function.
type endpoint struct {
	host  *host
	slots int
	// work runs a request that has a slot. It returns the status and the body of the answer, and false if the endpoint ends.
	work func(ctx context.Context, e *endpoint, r *http.Request, body []byte) (status int, answer []byte, alive bool)

	// arrived is told of each request but health probes; it may be nil.
	arrived func(e *endpoint, attempt string)

	mu       sync.Mutex
	id       string
	born     time.Time
	beats    int
	server   *http.Server
	free     chan struct{}
	running  int
	starting bool
	leftAt   time.Time // when the store has accepted that this boot leaves, zero before
	queue    chan struct{}
}

func startEndpoint(h *host, slots int, behaviour func(*endpoint)) (*endpoint, error) {
	e := &endpoint{host: h, slots: slots}
	behaviour(e)
	return e, e.start()
}

var (
	bootsMu sync.Mutex
	boots   int
)

// start begins a new boot, with a new id.
func (e *endpoint) start() error {
	listener, err := net.Listen("tcp", e.host.fleet.addr(e.host.ip, portApp))
	if err != nil {
		return err
	}
	bootsMu.Lock()
	boots++
	number := boots
	bootsMu.Unlock()
	e.mu.Lock()
	e.id, e.born, e.beats, e.running, e.leftAt = fmt.Sprintf("i-%08x", number), time.Now(), 0, 0, time.Time{}
	e.free, e.queue = make(chan struct{}, e.slots), make(chan struct{}, e.slots)
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve), IdleTimeout: 10 * time.Second}
	server, id := e.server, e.id
	e.mu.Unlock()
	e.host.fleet.record.line("endpoint %s of %s starts at %s", id, e.host.service, e.host.ip)
	go func() { _ = server.Serve(listener) }()
	go e.beat(id)
	return nil
}

// beat writes the endpoint's entry until this boot has ended. The entry is removed after three intervals of silence.
func (e *endpoint) beat(id string) {
	key := names.Entries + id
	for {
		e.mu.Lock()
		if e.id != id {
			e.mu.Unlock()
			time.Sleep(3 * heartbeat)
			e.host.fleet.store.remove(key)
			return
		}
		e.beats++
		entry := e.entry("ready")
		first := e.beats == 1
		e.mu.Unlock()
		if first { // the entry changes when more than the sequence changes
			e.host.fleet.store.put(key, entry)
		}
		time.Sleep(heartbeat)
	}
}

// entry returns what the endpoint writes to the store; the caller holds the lock.
func (e *endpoint) entry(state string) string {
	return fmt.Sprintf(entryFormat, e.host.service, e.host.fleet.addr(e.host.ip, portApp), e.host.zone,
		e.slots, state, e.beats, e.born.UnixMilli())
}

// drain reports that the endpoint is draining. It serves for some time more, then ends, and another boot follows.
func (e *endpoint) drain(serves, pause time.Duration) {
	e.mu.Lock()
	id := e.id
	e.host.fleet.store.put(names.Entries+id, e.entry("draining"))
	e.leftAt = time.Now()
	e.mu.Unlock()
	e.host.fleet.record.line("endpoint %s at %s is draining", id, e.host.ip)
	time.AfterFunc(serves, func() {
		e.host.fleet.store.remove(names.Entries + id)
		e.crash(pause)
	})
}

// crash ends the endpoint at once; it is back after a while.
func (e *endpoint) crash(down time.Duration) {
	e.mu.Lock()
	server, id := e.server, e.id
	if e.starting {
		e.mu.Unlock()
		return
	}
	e.starting, e.id = true, ""
	e.mu.Unlock()
	e.host.fleet.record.line("endpoint %s of %s at %s crashes", id, e.host.service, e.host.ip)
	_ = server.Close()
	time.AfterFunc(down, func() {
		if err := e.start(); err != nil {
			e.host.fleet.record.line("endpoint at %s does not start: %v", e.host.ip, err)
		}
		e.mu.Lock()
		e.starting = false
		e.mu.Unlock()
	})
}

func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	id, free := e.id, e.free
	e.mu.Unlock()
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", id)
		return
	}
	attempt := r.Header.Get(names.Attempt)
	w.Header().Set(names.Attempt, attempt)
	w.Header().Set("Keep-Alive", "timeout=10")
	if e.arrived != nil {
		e.arrived(e, attempt)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if wanted := r.Header.Get(names.Instance); wanted != "" && wanted != id {
		w.Header().Set("X-Instance-Id", id)
		e.refuse(w, attempt, http.StatusMisdirectedRequest)
		return
	}
	ms, err := strconv.ParseFloat(r.Header.Get(names.Deadline), 64)
	if err != nil {
		ms = 60_000
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms*float64(time.Millisecond)))
	defer cancel()
	if !e.acquire(ctx, free) {
		e.refuse(w, attempt, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-free }()
	e.host.fleet.record.line("run %s %s at %s (%s)", attempt, r.URL.Path, e.host.ip, id)
	e.mu.Lock()
	e.running++
	running := e.running
	e.mu.Unlock()
	status, answer, alive := e.work(ctx, e, r, body)
	e.mu.Lock()
	e.running--
	e.mu.Unlock()
	if !alive {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(names.Load, fmt.Sprintf("%d,0,%d", running, e.slots))
	w.Header().Set(names.Stamp, id+"."+attempt)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(status)
	_, _ = w.Write(answer)
}

// acquire takes a slot. As many requests as there are slots may wait for one.
func (e *endpoint) acquire(ctx context.Context, free chan struct{}) bool {
	e.mu.Lock()
	queue := e.queue
	e.mu.Unlock()
	select {
	case queue <- struct{}{}:
		defer func() { <-queue }()
	default:
		return false
	}
	select {
	case free <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *endpoint) refuse(w http.ResponseWriter, attempt string, status int) {
	e.host.fleet.record.line("not run %s at %s: %d", attempt, e.host.ip, status)
	w.Header().Set(names.NotRun, "1")
	w.WriteHeader(status)
}

// sleep waits for a time, and returns the status of an endpoint that has worked so long: 504 if the time limit came first.
func sleep(ctx context.Context, d time.Duration) int {
	select {
	case <-time.After(d):
		return http.StatusOK
	case <-ctx.Done():
		return http.StatusGatewayTimeout
	}
}
