package conns

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"tamarackrudder.org/lib/budget"
)

const (
	// maxInlineBody is the largest body, in bytes, that is written before the answer is read; longer ones are written
	// concurrently.
	maxInlineBody = 2 << 10
	// maxResponses bounds the responses that are read for one request, including late answers to earlier requests.
	maxResponses = 4
	// restTimeout is how long the rest of a request may take to be written after the end of the connection has ended the body of
	// its answer.
	restTimeout = time.Second
)

var (
	errBrokenOff = errors.New("the connection ended before the whole request was sent")
	errSwitched  = errors.New("the server switched to a protocol that was not asked for")
)

// Reply is an answer that was read completely.
type Reply struct {
	status     int
	header     http.Header
	body       []byte
	untilClose bool // the end of the connection was the end of the body
}

// Status returns the HTTP status code.
func (r Reply) Status() int { return r.status }

// Header returns the header fields, which the caller must not modify.
func (r Reply) Header() http.Header { return r.header }

// Body returns the complete body, which the caller must not modify.
func (r Reply) Body() []byte { return r.body }

// Exchange is one request with the conditions that its answer must meet.
type Exchange struct {
	request *http.Request
	matches func(http.Header) bool
	maxBody int64
	id      string
	refused func(status int, header http.Header) bool
	keep    func(*budget.Hold) // takes over what the body of the answer has taken
}

// NewExchange returns an exchange. matches reports, given the header of an answer, whether it belongs to this request
// rather than to an earlier one; maxBody is the largest accepted body of an answer in bytes.
func NewExchange(request *http.Request, matches func(http.Header) bool, maxBody int64) Exchange {
	return Exchange{request: request, matches: matches, maxBody: maxBody}
}

// WithID returns the exchange with an ID that is common to all attempts to send a request. refused reports whether an answer
// lets the request be sent again; the answers to both attempts then look alike, so each goes over a connection of its own.
func (e Exchange) WithID(id string, refused func(status int, header http.Header) bool) Exchange {
	e.id, e.refused = id, refused
	return e
}

// Do sends a request once and reads its complete answer. The error is ErrUnsent, ErrLost or ErrTooLarge. When the
// context ends, the connection is closed, from which the server can see that the answer is no longer awaited.
func (p *Pool) Do(ctx context.Context, e Exchange) (Reply, error) {
	c, err := p.acquire(ctx, e.id)
	if err != nil {
		return Reply{}, err
	}
	e.keep = func(h *budget.Hold) { budget.Keep(ctx, h) }
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	reply, idle, err := c.exchange(e)
	if !stop() || err != nil || idle <= 0 {
		p.discard(c)
		return reply, err
	}
	p.release(c, idle)
	return reply, nil
}

// exchange returns the answer and how long the connection may stay idle in the pool, zero if it must be closed.
func (c *conn) exchange(e Exchange) (Reply, time.Duration, error) {
	written, err := c.send(e.request)
	if err != nil {
		return Reply{}, 0, err
	}
	reply, idle, err := c.receive(e)
	if err == nil && reply.untilClose {
		if !c.endedInOrder(written) {
			return Reply{}, 0, fmt.Errorf("%w: %w", ErrLost, errBrokenOff)
		}
		return reply, 0, nil
	}
	if err == nil && e.refused != nil && e.refused(reply.status, reply.header) && !c.recordRefused(e.id) {
		idle = 0
	}
	select {
	case failure := <-written:
		if failure != nil {
			idle = 0
		}
	default: // the server answered before it had read the whole request
		idle = 0
	}
	return reply, idle, err
}

// endedInOrder reports whether a connection whose end was read carried the whole request. Else the end may be that of a broken
// connection, of which only the writer got the error.
func (c *conn) endedInOrder(written <-chan error) bool {
	select {
	case failure := <-written:
		return failure == nil && pendingError(c.Conn) == nil
	case <-time.After(restTimeout):
		return false
	}
}

// counter counts the bytes written to a connection.
type counter struct {
	w     io.Writer
	count int
}

func (w *counter) Write(b []byte) (int, error) {
	n, err := w.w.Write(b)
	w.count += n
	return n, err
}

// send writes a request; one with a long body is written concurrently while the answer is read. The channel receives
// the result of the write.
func (c *conn) send(r *http.Request) (<-chan error, error) {
	written := make(chan error, 1)
	w := &counter{w: c.Conn}
	c.out.Reset(w)
	write := func() error { return errors.Join(writeRequest(c.out, r), c.out.Flush()) }
	if r.ContentLength > maxInlineBody {
		go func() { written <- write() }()
		return written, nil
	}
	err := write()
	if err != nil && w.count == 0 {
		return nil, fmt.Errorf("%w: %w", ErrUnsent, err)
	}
	written <- err // even with an error: the server may have read a part of the request, and its answer decides
	return written, nil
}

// receive reads the answer that belongs to the request and skips interim responses and late answers to earlier
// requests. The bodies of the latter together may take as much as that of the answer.
func (c *conn) receive(e Exchange) (Reply, time.Duration, error) {
	skippable := e.maxBody
	for range maxResponses {
		response, err := c.readHead(e.request)
		if err != nil {
			return Reply{}, 0, fmt.Errorf("%w: %w", ErrLost, err)
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return Reply{}, 0, fmt.Errorf("%w: %w", ErrLost, errSwitched)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if e.matches(response.Header) {
			return c.readAnswer(response, e)
		}
		skipped, err := io.Copy(io.Discard, io.LimitReader(response.Body, skippable+1))
		if err != nil {
			return Reply{}, 0, fmt.Errorf("%w: %w", ErrLost, err)
		}
		if skipped > skippable {
			break
		}
		skippable -= skipped
	}
	return Reply{}, 0, fmt.Errorf("%w: received only interim responses and answers to other requests", ErrLost)
}

// readAnswer reads the body of an answer, and also returns how long the connection may then stay idle in the pool.
func (c *conn) readAnswer(response *http.Response, e Exchange) (Reply, time.Duration, error) {
	hold := c.held.Hold()
	body, err := readBody(response, e.maxBody, hold, c.held)
	if err == nil {
		e.keep(hold)
	} else {
		hold.Release()
	}
	switch {
	case errors.Is(err, budget.ErrExhausted):
		return Reply{}, 0, fmt.Errorf("%w: %w", ErrTooLarge, err)
	case err != nil:
		return Reply{}, 0, fmt.Errorf("%w: %w", ErrLost, err)
	case int64(len(body)) > e.maxBody:
		return Reply{}, 0, ErrTooLarge
	}
	idle := idleTime(response.Header.Get("Keep-Alive"))
	if response.Close || c.in.Buffered() > 0 {
		idle = 0
	}
	untilClose := response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
	return Reply{status: response.StatusCode, header: response.Header, body: body, untilClose: untilClose}, idle, nil
}
