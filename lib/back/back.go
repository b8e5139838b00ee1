package back

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"tamarackrudder.org/lib/budget"
	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/conns"
	"tamarackrudder.org/lib/verd"
)

// Header fields between a node and its backend server in the native dialect.
const (
	HeaderContext  = "Tamarack-Context"
	HeaderDeadline = "Tamarack-Deadline-Ms"
	HeaderVerdict  = "Tamarack-Verdict"
	headerKey      = "Idempotency-Key"
)

const (
	maxAnswerBody = 16 << 20 // bytes
	cancelTimeout = time.Second
	probeTimeout  = time.Second
	// spareHeaderFields is the room in a request's header map for the fields that a dialect adds.
	spareHeaderFields = 8
)

// Dialect converts between a request and the header fields of one kind of backend server: those that are sent with a
// request, and those of the response that state how the request ended.
type Dialect struct {
	// Encode sets the header fields that go to the backend server with a request, such as its deadline. The token
	// identifies the running request; the backend server copies it into its downstream calls.
	Encode func(header http.Header, r call.Request, token string)
	// Belongs reports whether a response with these header fields answers the request and not an earlier one on the
	// same connection.
	Belongs func(header http.Header, r call.Request) bool
	// RefusalReason returns the reason if the response states that the backend server did not run the request, else
	// ReasonNone. A shedStatus other than 0 is the status code with which the service refuses requests under overload.
	RefusalReason func(status int, header http.Header, shedStatus int) verd.Reason
	// Load returns the running and waiting requests per slot that the response reports, negative where it reports none, and
	// how long work takes at this moment as a multiple of the usual time, 0 where it reports none.
	Load func(header http.Header) (load, slowdown float64)
}

// NativeDialect returns the dialect of the Tamarack header fields. A response reports no load in it, and every response is
// taken as the answer to the last request on its connection.
func NativeDialect() Dialect {
	return Dialect{
		Encode: func(header http.Header, r call.Request, token string) {
			if r.Key() != "" {
				header.Set(headerKey, r.Key())
			}
			header.Set(HeaderContext, token)
			header.Set(HeaderDeadline, strconv.FormatInt(r.Deadline().UnixMilli(), 10))
		},
		Belongs: func(http.Header, call.Request) bool { return true },
		RefusalReason: func(status int, header http.Header, shedStatus int) verd.Reason {
			if header.Get(HeaderVerdict) == string(verd.KindNotRun) || (shedStatus != 0 && status == shedStatus) {
				return verd.ReasonBackendShed
			}
			return verd.ReasonNone
		},
		Load: func(http.Header) (load, slowdown float64) { return -1, 0 },
	}
}

// Client sends requests to one backend server over a pool of connections; it never sends a request twice.
type Client struct {
	addr    string
	pool    *conns.Pool
	dialect Dialect
}

// New returns a client for the backend server at an IP address and port. It opens no more than maxConns connections at
// a time.
func New(addr string, maxConns int, dialect Dialect) *Client {
	return &Client{addr: addr, pool: conns.NewPool(addr, maxConns, conns.DialTCP), dialect: dialect}
}

// WithAnswers returns the client with another memory for the bodies of answers that it is reading.
func (c *Client) WithAnswers(memory *budget.Budget) *Client {
	c.pool.WithAnswers(memory)
	return c
}

// Run sends one request and reads its complete response. The second result reports whether the connection broke after the
// request was sent, which a crash of the backend server would also cause.
func (c *Client) Run(ctx context.Context, r call.Request, token string, shedStatus int) (call.Answer, bool) {
	request := c.newRequest(r)
	c.dialect.Encode(request.Header, r, token)
	belongs := func(header http.Header) bool { return c.dialect.Belongs(header, r) }
	refused := func(status int, header http.Header) bool {
		return c.dialect.RefusalReason(status, header, shedStatus) != verd.ReasonNone
	}
	reply, err := c.pool.Do(ctx, conns.NewExchange(request, belongs, maxAnswerBody).WithID(r.ID(), refused))
	if err != nil {
		return refusalFor(ctx, err)
	}
	load, slowdown := c.dialect.Load(reply.Header())
	if reason := c.dialect.RefusalReason(reply.Status(), reply.Header(), shedStatus); reason != verd.ReasonNone {
		return call.Refusal(verd.NotRun(reason)).WithLoad(load).WithSlowdown(slowdown), false
	}
	fields := call.EndToEndFields(reply.Header(), func(string) bool { return false })
	return call.NewAnswer(reply.Status(), fields, reply.Body()).WithLoad(load).WithSlowdown(slowdown), false
}

// newRequest returns the HTTP request for the backend server. Opaque keeps the target exactly as the caller sent it.
func (c *Client) newRequest(r call.Request) *http.Request {
	request := &http.Request{
		Method: r.Method(), URL: &url.URL{Scheme: "http", Host: c.addr, Opaque: r.Target()},
		Host: r.Host(), Header: make(http.Header, len(r.Fields())+spareHeaderFields),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(r.Body().Len()),
	}
	if r.Body().Len() > 0 {
		request.Body = io.NopCloser(r.Body().NewReader())
	}
	request.Header["User-Agent"] = nil // else net/http adds its default value
	for _, f := range r.Fields() {
		request.Header[f.Name()] = append(request.Header[f.Name()], f.Value())
	}
	return request
}

// refusalFor returns the answer for a failed exchange, and whether the connection broke after the request was sent. Only
// an exchange that failed before anything was sent gives the verdict "not run".
func refusalFor(ctx context.Context, err error) (call.Answer, bool) {
	switch {
	case errors.Is(err, conns.ErrTooLarge):
		return call.Refusal(verd.MayHaveRun(verd.ReasonAnswerTooLarge)), false
	case errors.Is(err, conns.ErrUnsent) && ctx.Err() != nil:
		return call.Refusal(verd.NotRun(verd.ReasonOf(ctx))), false
	case errors.Is(err, conns.ErrUnsent):
		return call.Refusal(verd.NotRun(verd.ReasonBackendDown)), false
	case ctx.Err() != nil:
		return call.Refusal(verd.MayHaveRun(verd.ReasonOf(ctx))), false
	}
	return call.Refusal(verd.MayHaveRun(verd.ReasonAnswerLost)), true
}

// Cancel notifies the backend server, with a POST to its cancel path, that the request with the token has been canceled
// and its answer will not be used.
func (c *Client) Cancel(path, token string) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	request := c.newRequest(call.NewRequest("", http.MethodPost, path, ""))
	request.Header.Set(HeaderContext, token)
	all := func(http.Header) bool { return true }
	// The error is ignored: without the notification the backend server only finishes a request whose answer is not used.
	_, _ = c.pool.Do(ctx, conns.NewExchange(request, all, maxAnswerBody))
}

// Probe reports whether the backend server accepts a new TCP connection within probeTimeout.
func (c *Client) Probe(ctx context.Context) bool {
	ctx, stop := context.WithTimeout(ctx, probeTimeout)
	defer stop()
	conn, err := conns.DialTCP(ctx, c.addr)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
