package relay

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"sync"
	"time"
)

// greeting opens every connection; nodes of another version send another one.
const greeting = "tamarackrudder/1\n"

const (
	// maxFrame bounds one message of a peer, in bytes.
	maxFrame        = 20 << 20
	frameHeaderSize = 4
	greetingTimeout = 2 * time.Second
)

var (
	// errUnsendable says that a message was too large to be sent, so that the peer has not got it.
	errUnsendable = errors.New("message is too large to be sent")
	// errFrameTooLarge says that a peer's message is too large to be read.
	errFrameTooLarge = errors.New("peer's message is too large")
	// ErrVersion says that a peer speaks another version.
	ErrVersion = errors.New("peer speaks another version")
)

// bytesSent counts what this process has sent to peers.
var bytesSent = expvar.NewInt("peerBytesSent")

// framed cuts the stream into frames of bounded size; each holds one message.
type framed struct {
	conn    net.Conn
	in      *bufio.Reader
	decoder *gob.Decoder
	frame   bytes.Buffer
	writing sync.Mutex
	out     bytes.Buffer
	encoder *gob.Encoder
}

func newFramed(conn net.Conn) *framed {
	f := &framed{conn: conn, in: bufio.NewReader(conn)}
	f.decoder = gob.NewDecoder(&f.frame)
	f.encoder = gob.NewEncoder(&f.out)
	return f
}

// exchangeGreetings sends this node's greeting and checks the peer's.
func exchangeGreetings(conn net.Conn) error {
	if err := conn.SetDeadline(time.Now().Add(greetingTimeout)); err != nil {
		return fmt.Errorf("greeting: %w", err)
	}
	if _, err := io.WriteString(conn, greeting); err != nil {
		return fmt.Errorf("greeting: %w", err)
	}
	theirs := make([]byte, len(greeting))
	if _, err := io.ReadFull(conn, theirs); err != nil {
		return fmt.Errorf("greeting: %w", err)
	}
	if string(theirs) != greeting {
		return fmt.Errorf("%w: greeting %q", ErrVersion, theirs)
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		return fmt.Errorf("greeting: %w", err)
	}
	return nil
}

// readFrame fills the buffer with the next frame once the last one is used up.
func (f *framed) readFrame() error {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(f.in, header[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxFrame {
		return fmt.Errorf("%w: %d bytes", errFrameTooLarge, size)
	}
	f.frame.Reset()
	if _, err := io.CopyN(&f.frame, f.in, int64(size)); err != nil {
		return fmt.Errorf("frame: %w", err)
	}
	return nil
}

func (f *framed) readHeader(header any) error {
	if err := f.readFrame(); err != nil {
		_ = f.conn.Close()
		return err
	}
	return f.readBody(header)
}

func (f *framed) readBody(body any) error {
	if err := f.decoder.Decode(body); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	return nil
}

func (f *framed) write(header, body any) error {
	f.writing.Lock()
	defer f.writing.Unlock()
	f.out.Reset()
	f.out.Write(make([]byte, frameHeaderSize))
	if err := errors.Join(f.encoder.Encode(header), f.encoder.Encode(body)); err != nil {
		_ = f.conn.Close()
		return fmt.Errorf("encode: %w", err)
	}
	frame := f.out.Bytes()
	if len(frame)-frameHeaderSize > maxFrame {
		_ = f.conn.Close()
		return errUnsendable
	}
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-frameHeaderSize))
	bytesSent.Add(int64(len(frame)))
	if _, err := f.conn.Write(frame); err != nil {
		_ = f.conn.Close()
		return fmt.Errorf("write: %w", err)
	}
	return nil
}

type clientCodec struct{ *framed }

// WriteRequest sends the head and body of a request.
func (c clientCodec) WriteRequest(r *rpc.Request, body any) error { return c.write(r, body) }

// ReadResponseHeader reads the head of the next answer.
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error { return c.readHeader(r) }

// ReadResponseBody reads the body of the answer whose head was read.
func (c clientCodec) ReadResponseBody(body any) error { return c.readBody(body) }

// Close closes the connection.
func (c clientCodec) Close() error { return c.conn.Close() }

type serverCodec struct{ *framed }

// ReadRequestHeader reads the head of the next request.
func (c serverCodec) ReadRequestHeader(r *rpc.Request) error { return c.readHeader(r) }

// ReadRequestBody reads the body of the request whose head was read.
func (c serverCodec) ReadRequestBody(body any) error { return c.readBody(body) }

// WriteResponse sends the head and body of an answer.
func (c serverCodec) WriteResponse(r *rpc.Response, body any) error { return c.write(r, body) }

// Close closes the connection.
func (c serverCodec) Close() error { return c.conn.Close() }
