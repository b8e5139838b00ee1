package conns

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// inlineBody is the largest body, in bytes, that is written before the answer is read.
	inlineBody = 2 << 10
	// mostStrays bounds the answers to earlier requests that are passed over.
	mostStrays = 4
)

// Reply is a whole answer.
type Reply struct {
	status int
	header http.Header
	body   []byte
}

// Status returns the status code.
func (r Reply) Status() int { return r.status }

// Header returns the header fields; not to be changed.
func (r Reply) Header() http.Header { return r.header }

// Body returns the whole body; not to be changed.
func (r Reply) Body() []byte { return r.body }

// Exchange is one request with what its answer must be like.
type Exchange struct {
	request *http.Request
	belongs func(http.Header) bool
	most    int64
}

// NewExchange returns an exchange; belongs tells an answer to it from one to an earlier request, and the body of the
// answer is at most so many bytes.
func NewExchange(request *http.Request, belongs func(http.Header) bool, most int64) Exchange {
	return Exchange{request: request, belongs: belongs, most: most}
}

// Do sends a request once and reads its whole answer. Its error is ErrUnsent, ErrLost or ErrTooLarge. The connection is
// closed when the context ends, which tells the server that nobody waits.
func (p *Pool) Do(ctx context.Context, e Exchange) (Reply, error) {
	c, err := p.take(ctx)
	if err != nil {
		return Reply{}, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	reply, idle, err := c.exchange(e)
	if !stop() || err != nil || idle <= 0 {
		p.discard(c)
		return reply, err
	}
	p.keep(c, idle)
	return reply, nil
}

// exchange returns the answer, and for how long the connection may be kept, zero if it may not.
func (c *conn) exchange(e Exchange) (Reply, time.Duration, error) {
	written, err := c.send(e.request)
	if err != nil {
		return Reply{}, 0, err
	}
	reply, idle, err := c.receive(e)
	select {
	case failure := <-written:
		if failure != nil {
			idle = 0
		}
	default: // the server answered before it read the whole request
		idle = 0
	}
	return reply, idle, err
}

// counter counts the bytes that went to a connection.
type counter struct {
	w     io.Writer
	count int
}

func (w *counter) Write(b []byte) (int, error) {
	n, err := w.w.Write(b)
	w.count += n
	return n, err
}

// send writes a request; a long one is written on while the answer is read.
func (c *conn) send(r *http.Request) (<-chan error, error) {
	written := make(chan error, 1)
	w := &counter{w: c.Conn}
	c.out.Reset(w)
	write := func() error { return errors.Join(r.Write(c.out), c.out.Flush()) }
	if r.ContentLength > inlineBody {
		go func() { written <- write() }()
		return written, nil
	}
	err := write()
	if err != nil && w.count == 0 {
		return nil, fmt.Errorf("%w: %w", ErrUnsent, err)
	}
	written <- err // what the server made of a part of it, its answer tells
	return written, nil
}

// receive reads the answer that belongs to the request.
func (c *conn) receive(e Exchange) (Reply, time.Duration, error) {
	for range mostStrays {
		response, err := http.ReadResponse(c.in, e.request)
		if err != nil {
			return Reply{}, 0, fmt.Errorf("%w: %w", ErrLost, err)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		body, err := io.ReadAll(io.LimitReader(response.Body, e.most+1))
		if err != nil {
			return Reply{}, 0, fmt.Errorf("%w: %w", ErrLost, err)
		}
		if int64(len(body)) > e.most {
			return Reply{}, 0, ErrTooLarge
		}
		if !e.belongs(response.Header) {
			continue
		}
		idle := idleTime(response.Header.Get("Keep-Alive"))
		if response.Close || c.in.Buffered() > 0 {
			idle = 0
		}
		return Reply{status: response.StatusCode, header: response.Header, body: body}, idle, nil
	}
	return Reply{}, 0, fmt.Errorf("%w: only answers to other requests came", ErrLost)
}
