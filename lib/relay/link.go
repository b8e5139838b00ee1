package relay

import (
	"net"
	"net/rpc"
	"sync"
	"time"
)

const (
	methodPing = "Ping"
	// quiet is how long nothing may come on a connection before it is tested.
	quiet = 200 * time.Millisecond
	// pingWait is how long the answer to a test may take.
	pingWait = 350 * time.Millisecond
	// silence is how long nothing may come on a connection that was not tested.
	silence = time.Second
)

// link is the connection to one peer; its lock is held while it is being opened.
type link struct {
	mu     sync.Mutex
	client *rpc.Client
	heard  *heard
}

// heard notes when a connection last brought anything, and what is waited for on it.
type heard struct {
	net.Conn
	mu      sync.Mutex
	pending int
	since   time.Time // the last bytes, or the first message that is waited for after a pause
	tested  time.Time // the last ping
}

// Read reads from the connection and notes that the peer is heard.
func (h *heard) Read(b []byte) (int, error) {
	n, err := h.Conn.Read(b)
	if n > 0 {
		h.mu.Lock()
		h.since = time.Now()
		h.mu.Unlock()
	}
	return n, err
}

func (h *heard) sent() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.pending == 0 {
		h.since = time.Now()
	}
	h.pending++
}

func (h *heard) answered() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending--
}

// test sends a ping where answers are waited for and nothing has come for a while: what the peer works on may take its
// time, a ping does not.
func (h *heard) test(client *rpc.Client) {
	if h.needsTest() {
		client.Go(serviceName+"."+methodPing, Empty{}, &Empty{}, make(chan *rpc.Call, 1))
	}
}

func (h *heard) needsTest() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if h.pending == 0 || now.Sub(h.since) < quiet || h.tested.After(h.since) {
		return false
	}
	h.tested = now
	return true
}

// isSilent reports whether a ping was not answered in time, or answers are waited for and nothing has come for long: the
// connection may have gone silent for good while a new one would work.
func (h *heard) isSilent() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.pending == 0 {
		return false
	}
	now := time.Now()
	return now.Sub(h.since) > silence || (h.tested.After(h.since) && now.Sub(h.tested) > pingWait)
}
