package relay

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"sync"
	"time"
)

// greeting is the first message of either side on a connection. It names the protocol version: a node accepts only peers
// that send the same greeting.
const greeting = "tamarackrudder/1\n"

const (
	// maxFrame is the largest message between nodes, in bytes without the frame header.
	maxFrame        = 20 << 20
	frameHeaderSize = 4
	greetingTimeout = 2 * time.Second
)

var (
	// errMessageTooLarge means that a message to a peer exceeds maxFrame; nothing of it was sent.
	errMessageTooLarge = errors.New("message to peer is too large")
	// errFrameTooLarge means that a peer announced a message that exceeds maxFrame.
	errFrameTooLarge = errors.New("message from peer is too large")
	// ErrVersion means that a peer uses another version of the protocol between nodes.
	ErrVersion = errors.New("peer uses another protocol version")
)

// framedConn sends and receives gob-encoded messages in frames: a header with the message's size, then the message. The
// size is checked before a message is read, so that no peer can make this node buffer an unbounded one.
type framedConn struct {
	conn    net.Conn
	in      *bufio.Reader
	decoder *gob.Decoder
	frame   bytes.Buffer
	began   time.Time // when the frame that was read last began to arrive
	writeMu sync.Mutex
	out     bytes.Buffer
	encoder *gob.Encoder
	locate  Locate
}

// newFramedConn returns a framed connection that counts what it sends by the location that locate returns, which may be nil.
func newFramedConn(conn net.Conn, locate Locate) *framedConn {
	f := &framedConn{conn: conn, in: bufio.NewReader(conn), locate: locate}
	f.decoder = gob.NewDecoder(&f.frame)
	f.encoder = gob.NewEncoder(&f.out)
	return f
}

// exchangeGreetings sends the greeting and reads the peer's, within greetingTimeout and before the deadline of the context. It
// fails with ErrVersion if they differ.
func exchangeGreetings(ctx context.Context, conn net.Conn) error {
	deadline := time.Now().Add(greetingTimeout)
	if earlier, ok := ctx.Deadline(); ok && earlier.Before(deadline) {
		deadline = earlier
	}
	if err := conn.SetDeadline(deadline); err != nil {
		return fmt.Errorf("set deadline for greeting: %w", err)
	}
	if _, err := io.WriteString(conn, greeting); err != nil {
		return fmt.Errorf("send greeting: %w", err)
	}
	received := make([]byte, len(greeting))
	if _, err := io.ReadFull(conn, received); err != nil {
		return fmt.Errorf("read greeting of peer: %w", err)
	}
	if string(received) != greeting {
		return fmt.Errorf("%w: got greeting %q, want %q", ErrVersion, received, greeting)
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return fmt.Errorf("clear deadline after greeting: %w", err)
	}
	return nil
}

// readFrame reads the next frame into the buffer, in place of the last one.
func (f *framedConn) readFrame() error {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(f.in, header[:]); err != nil {
		return err
	}
	f.began = time.Now()
	size := binary.BigEndian.Uint32(header[:])
	if size > maxFrame {
		return fmt.Errorf("%w: %d bytes, limit is %d", errFrameTooLarge, size, maxFrame)
	}
	f.frame.Reset()
	if _, err := io.CopyN(&f.frame, f.in, int64(size)); err != nil {
		return fmt.Errorf("read message from peer: %w", err)
	}
	return nil
}

func (f *framedConn) readHeader(header any) error {
	if err := f.readFrame(); err != nil {
		_ = f.conn.Close()
		return err
	}
	return f.readBody(header)
}

func (f *framedConn) readBody(body any) error {
	if err := f.decoder.Decode(body); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	return nil
}

// write sends a message in one frame. The body of a long request follows the frame, directly from the memory that holds it.
func (f *framedConn) write(header, body any) error {
	f.writeMu.Lock()
	defer f.writeMu.Unlock()
	if err := f.writeFrame(header, body); err != nil {
		return err
	}
	long, ok := body.(*LongWire)
	if !ok {
		return nil
	}
	for _, segment := range long.segments {
		if _, err := f.conn.Write(segment); err != nil {
			_ = f.conn.Close()
			return fmt.Errorf("write body to peer: %w", err)
		}
	}
	long.sent = true
	countSent(header, int(long.Length), f.conn.RemoteAddr(), f.locate)
	return nil
}

func (f *framedConn) writeFrame(header, body any) error {
	f.out.Reset()
	f.out.Write(make([]byte, frameHeaderSize))
	if err := errors.Join(f.encoder.Encode(header), f.encoder.Encode(body)); err != nil {
		_ = f.conn.Close()
		return fmt.Errorf("encode message to peer: %w", err)
	}
	frame := f.out.Bytes()
	if len(frame)-frameHeaderSize > maxFrame {
		_ = f.conn.Close()
		return fmt.Errorf("%w: %d bytes, limit is %d", errMessageTooLarge, len(frame)-frameHeaderSize, maxFrame)
	}
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-frameHeaderSize))
	countSent(header, len(frame), f.conn.RemoteAddr(), f.locate)
	if _, err := f.conn.Write(frame); err != nil {
		_ = f.conn.Close()
		return fmt.Errorf("write message to peer: %w", err)
	}
	return nil
}

// clientCodec is the rpc.ClientCodec of a framed connection.
type clientCodec struct{ *framedConn }

// WriteRequest sends the header and the body of a request in one frame.
func (c clientCodec) WriteRequest(r *rpc.Request, body any) error { return c.write(r, body) }

// ReadResponseHeader reads the next frame and decodes the header of the response in it.
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error { return c.readHeader(r) }

// ReadResponseBody decodes the body of the response whose header was read last; a nil body discards it.
func (c clientCodec) ReadResponseBody(body any) error { return c.readBody(body) }

// Close closes the connection, which ends all reads and writes on it.
func (c clientCodec) Close() error { return c.conn.Close() }

// serverCodec is the rpc.ServerCodec of a framed connection.
type serverCodec struct {
	*framedConn
	grant *grant
	// lost is called once no further request can be read; net/rpc then still waits for the calls that run.
	lost func()
	// count is called with the number of replies that become due, and with a negative one when they are written.
	count func(n int)
}

// ReadRequestHeader reads the next frame and decodes the header of the request in it.
func (c serverCodec) ReadRequestHeader(r *rpc.Request) error {
	if err := c.readHeader(r); err != nil {
		c.lost()
		return err
	}
	c.count(1)
	return nil
}

// ReadRequestBody decodes the body of the request whose header was read last; a nil body discards it.
func (c serverCodec) ReadRequestBody(body any) error {
	if err := c.readBody(body); err != nil {
		return err
	}
	long, ok := body.(*LongWire)
	if !ok {
		return nil
	}
	long.received = c.began
	var err error
	if long.segments, err = c.grant.read(c.in, long.Length); err != nil {
		_ = c.conn.Close() // the rest of the body would be taken for a message
	}
	return err
}

// WriteResponse sends the header and the body of a response in one frame.
func (c serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer c.count(-1)
	return c.write(r, body)
}

// Close closes the connection, which ends all reads and writes on it.
func (c serverCodec) Close() error { return c.conn.Close() }
