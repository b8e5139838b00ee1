package conns

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	bufferSize  = 4 << 10
	dialTimeout = time.Second
	// idleMargin is how long before the server's idle timeout a connection is no longer reused.
	idleMargin        = 500 * time.Millisecond
	defaultIdle       = 5 * time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// unackedTimeoutMS is how long sent bytes may stay unacknowledged, in milliseconds, before the kernel closes the
	// connection.
	unackedTimeoutMS = 3000
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT (RFC 5482), which package syscall does not define.
	tcpUserTimeout = 0x12
)

var (
	// ErrUnsent means that nothing of the request can have reached the server.
	ErrUnsent = errors.New("request was not sent")
	// ErrLost means that the request was sent, at least in part, and no complete answer to it was received.
	ErrLost = errors.New("no complete answer received")
	// ErrTooLarge means that the body of the answer exceeds the limit of the exchange, or what is left to it beside the
	// answers that are being read.
	ErrTooLarge = errors.New("answer body exceeds the size limit")
	errPoolFull = errors.New("all connections of the pool are in use")
)

// Dial opens a connection to an IP address and port.
type Dial func(ctx context.Context, addr string) (net.Conn, error)

// DialTCP opens a TCP connection that detects an unreachable peer within seconds, by keep-alive probes and a limit on
// unacknowledged data.
func DialTCP(ctx context.Context, addr string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: setUserTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
	}}
	return dialer.DialContext(ctx, "tcp", addr)
}

// conn is one connection; between exchanges it is idle in the pool.
type conn struct {
	net.Conn
	source  *limitedReader // what in reads from
	in      *bufio.Reader
	out     *bufio.Writer
	held    *budget     // of the pool
	expires time.Time   // from here on it is not reused
	expiry  *time.Timer // closes it then
}

// Pool holds the connections to one server.
type Pool struct {
	addr     string
	maxConns int
	dial     Dial
	held     *budget // for the bodies that are being read
	mu       sync.Mutex
	idle     []*conn // least recently used first
	opened   int
}

// NewPool returns a pool of at most maxConns connections to an IP address and port.
func NewPool(addr string, maxConns int, dial Dial) *Pool {
	return &Pool{addr: addr, maxConns: maxConns, dial: dial, held: newBudget(maxHeldBytes)}
}

// acquire returns an idle connection that is usable, or opens one.
func (p *Pool) acquire(ctx context.Context) (*conn, error) {
	for {
		c := p.pop()
		if c == nil {
			return p.open(ctx)
		}
		if time.Now().Before(c.expires) && isReusable(c.Conn) {
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
	c.expiry.Stop()
	return c
}

func (p *Pool) open(ctx context.Context) (*conn, error) {
	p.mu.Lock()
	if p.opened >= p.maxConns {
		p.mu.Unlock()
		return nil, fmt.Errorf("%w: %w", ErrUnsent, errPoolFull)
	}
	p.opened++
	p.mu.Unlock()
	raw, err := p.dial(ctx, p.addr)
	if err != nil {
		p.connClosed()
		return nil, fmt.Errorf("%w: %w", ErrUnsent, err)
	}
	return newConn(raw, p.held), nil
}

func newConn(raw net.Conn, held *budget) *conn {
	source := &limitedReader{r: raw}
	return &conn{
		Conn: raw, source: source, held: held,
		in: bufio.NewReaderSize(source, bufferSize), out: bufio.NewWriterSize(raw, bufferSize),
	}
}

func (p *Pool) connClosed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opened--
}

func (p *Pool) discard(c *conn) {
	_ = c.Close() // the error is irrelevant: no request uses the connection
	p.connClosed()
}

// release returns a connection to the pool, which closes it when the idle time is over.
func (p *Pool) release(c *conn, idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.expires = time.Now().Add(idle)
	c.expiry = time.AfterFunc(idle, func() { p.expire(c) })
	p.idle = append(p.idle, c)
}

// expire closes a connection if it is idle and its time is over; it may have been used since its timer fired.
func (p *Pool) expire(c *conn) {
	p.mu.Lock()
	i := slices.Index(p.idle, c)
	expired := i >= 0 && !time.Now().Before(c.expires)
	if expired {
		p.idle = slices.Delete(p.idle, i, i+1)
	}
	p.mu.Unlock()
	if expired {
		p.discard(c)
	}
}

// idleTime returns how long a connection may stay idle, by the server's Keep-Alive header field less idleMargin.
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
