package conns

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	bufferSize  = 4 << 10
	dialTimeout = time.Second
	// idleMargin is how long before the server closes an idle connection it is no longer used.
	idleMargin     = 500 * time.Millisecond
	defaultIdle    = 5 * time.Second
	keepAliveEvery = time.Second
	keepAliveLost  = 2
	// unackedTime is how long sent bytes may stay without an acknowledgement, in milliseconds.
	unackedTime = 3000
	// tcpUserTimeout is the socket option of RFC 5482, which package syscall does not name.
	tcpUserTimeout = 0x12
)

var (
	// ErrUnsent says that nothing of the request can have reached the server.
	ErrUnsent = errors.New("request was not sent")
	// ErrLost says that the request was sent and its whole answer did not come.
	ErrLost = errors.New("answer is lost")
	// ErrTooLarge says that the answer is larger than is taken.
	ErrTooLarge = errors.New("answer is too large")
	errFull     = errors.New("all connections are in use")
)

// Dial opens a connection.
type Dial func(ctx context.Context, addr string) (net.Conn, error)

// DialTCP opens a TCP connection that notices a dead peer within seconds.
func DialTCP(ctx context.Context, addr string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: setUserTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveEvery, Interval: keepAliveEvery, Count: keepAliveLost,
	}}
	return dialer.DialContext(ctx, "tcp", addr)
}

// conn is one connection; between exchanges it is idle in the pool.
type conn struct {
	net.Conn
	in      *bufio.Reader
	out     *bufio.Writer
	expires time.Time
}

// Pool holds the connections to one server.
type Pool struct {
	addr   string
	most   int
	dial   Dial
	mu     sync.Mutex
	idle   []*conn // the one used last stands last
	opened int
}

// NewPool returns a pool of at most so many connections to an IP address and port.
func NewPool(addr string, most int, dial Dial) *Pool {
	return &Pool{addr: addr, most: most, dial: dial}
}

// take returns a connection without unread bytes, a kept one if there is.
func (p *Pool) take(ctx context.Context) (*conn, error) {
	for {
		c := p.pop()
		if c == nil {
			return p.open(ctx)
		}
		if time.Now().Before(c.expires) && isQuiet(c.Conn) {
			return c, nil
		}
		p.discard(c)
	}
}

func (p *Pool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.idle) - 1
	if last < 0 {
		return nil
	}
	c := p.idle[last]
	p.idle = p.idle[:last]
	return c
}

func (p *Pool) open(ctx context.Context) (*conn, error) {
	p.mu.Lock()
	if p.opened >= p.most {
		p.mu.Unlock()
		return nil, fmt.Errorf("%w: %w", ErrUnsent, errFull)
	}
	p.opened++
	p.mu.Unlock()
	raw, err := p.dial(ctx, p.addr)
	if err != nil {
		p.closed()
		return nil, fmt.Errorf("%w: %w", ErrUnsent, err)
	}
	return &conn{Conn: raw, in: bufio.NewReaderSize(raw, bufferSize), out: bufio.NewWriterSize(raw, bufferSize)}, nil
}

func (p *Pool) closed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opened--
}

func (p *Pool) discard(c *conn) {
	_ = c.Close() // nothing is lost: no request waits on it
	p.closed()
}

// keep puts a connection back for the time the server says, and closes those whose time is over.
func (p *Pool) keep(c *conn, idle time.Duration) {
	now := time.Now()
	c.expires = now.Add(idle)
	p.mu.Lock()
	var old []*conn
	for len(p.idle) > 0 && now.After(p.idle[0].expires) {
		old = append(old, p.idle[0])
		p.idle = p.idle[1:]
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
	for _, o := range old {
		p.discard(o)
	}
}

// idleTime returns for how long a connection may be used again by the server's Keep-Alive field.
func idleTime(keepAlive string) time.Duration {
	for _, part := range strings.Split(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdle
}
