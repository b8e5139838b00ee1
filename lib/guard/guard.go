package guard

import (
	"bytes"
	"context"
	"io"
	"net"

	"tamarackrudder.org/lib/heads"
)

// malformed is read in place of a malformed request. Wherever in a message net/http is, it refuses this.
var malformed = []byte("\r\n\x00\r\n\r\n")

// readAhead is how much more of a head, in bytes, net/http may read than it accepts.
const readAhead = 8 << 10

// maxResponseHead is the largest head of a response, in bytes.
const maxResponseHead = 32 << 10

// failure is a reader that fails.
type failure struct{}

func (failure) Read([]byte) (int, error) { return 0, heads.ErrMalformed }

// Listener accepts connections from which no malformed request can be read.
type Listener struct {
	net.Listener
	maxHead int
}

// New returns a listener for the connections of another one, and a server that refuses heads of more than maxHead bytes.
func New(l net.Listener, maxHead int) *Listener {
	return &Listener{Listener: l, maxHead: maxHead + readAhead}
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, stream: stream{check: heads.CheckRequest, maxHead: l.maxHead}, refusal: bytes.NewReader(malformed)}, nil
}

// DialFunc opens a connection, as a transport of net/http does.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// Dial returns a function that opens connections from which no malformed response can be read; no HEAD may go over them. Reading
// fails at one.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c, stream: stream{check: heads.CheckResponse, maxHead: maxResponseHead}, refusal: failure{}}, nil
	}
}

type conn struct {
	net.Conn
	stream    stream
	refusal   io.Reader // what is read in place of a malformed message
	isRefused bool
}

// Read reads bytes of well-formed messages.
func (c *conn) Read(b []byte) (int, error) {
	if c.isRefused {
		return c.refusal.Read(b)
	}
	n, err := c.Conn.Read(b)
	accepted := c.stream.accept(b[:n])
	if accepted == n {
		return n, err
	}
	c.isRefused = true
	if accepted > 0 {
		return accepted, nil
	}
	return c.refusal.Read(b)
}

// CloseWrite ends the writing side, which net/http does before it closes a connection with unread bytes.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}
