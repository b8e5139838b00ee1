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

	"tamarackrudder.org/lib/budget"
)

const (
	bufferSize  = 4 << 10
	dialTimeout = time.Second
	// idleMargin is how long before the server's idle timeout a connection is no longer reused.
	idleMargin        = 500 * time.Millisecond
	defaultIdle       = 5 * time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// maxRefused is how many refused requests a connection carries until it is closed.
	maxRefused = 64
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
	held    *budget.Budget // of the pool
	refused []string       // the IDs of requests that were refused on it; a second copy of a refusal may still arrive
	expires time.Time      // from here on it is not reused
	expiry  *time.Timer    // closes it then
}

// recordRefused records that a request was refused on the connection, and reports whether the connection may carry others.
func (c *conn) recordRefused(id string) bool {
	c.refused = append(c.refused, id)
	return len(c.refused) < maxRefused
}

// mayCarry reports whether the answer to a request cannot be confused with that to an earlier attempt.
func (c *conn) mayCarry(id string) bool { return !slices.Contains(c.refused, id) }

// Pool holds the connections to one server.
type Pool struct {
	addr     string
	maxConns int
	dial     Dial
	held     *budget.Budget // for the bodies that are being read
	mu       sync.Mutex
	idle     []*conn // least recently used first
	opened   int
}

// NewPool returns a pool of at most maxConns connections to an IP address and port.
func NewPool(addr string, maxConns int, dial Dial) *Pool {
	return &Pool{addr: addr, maxConns: maxConns, dial: dial, held: budget.New(maxAnswerBytes, shortAnswerBytes)}
}

// WithAnswers returns the pool with another memory for the bodies of answers that it is reading.
func (p *Pool) WithAnswers(memory *budget.Budget) *Pool {
	p.held = memory
	return p
}

// acquire returns an idle connection that is usable for the request with the ID, or opens one.
func (p *Pool) acquire(ctx context.Context, id string) (*conn, error) {
	for {
		c := p.pop(id)
		if c == nil {
			return p.open(ctx)
		}
		if time.Now().Before(c.expires) && isReusable(c.Conn) {
			return c, nil
		}
		p.discard(c)
	}
}

// pop takes the idle connection that was used last, of those that may carry the request with the ID.
func (p *Pool) pop(id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range slices.Backward(p.idle) {
		if c.mayCarry(id) {
			return p.take(i)
		}
	}
	return nil
}

// take removes an idle connection by its index; the caller holds the lock.
func (p *Pool) take(i int) *conn {
	c := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	c.expiry.Stop()
	return c
}

// open opens a connection. In a full pool it replaces the idle connection that was least recently used, if there is one.
func (p *Pool) open(ctx context.Context) (*conn, error) {
	if err := p.reserve(); err != nil {
		return nil, err
	}
	raw, err := p.dial(ctx, p.addr)
	if err != nil {
		p.connClosed()
		return nil, fmt.Errorf("%w: %w", ErrUnsent, err)
	}
	return newConn(raw, p.held), nil
}

// reserve makes room for one more connection.
func (p *Pool) reserve() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.opened < p.maxConns:
		p.opened++
	case len(p.idle) > 0:
		_ = p.take(0).Close() // the error is irrelevant: no request uses the connection
	default:
		return fmt.Errorf("%w: %w", ErrUnsent, errPoolFull)
	}
	return nil
}

func newConn(raw net.Conn, held *budget.Budget) *conn {
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
