package front

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"tamarackrudder.org/lib/budget"
	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/verd"
)

// Header fields between callers and nodes; the names are part of the interface.
const (
	HeaderKey          = "Idempotency-Key"
	HeaderTimeout      = "Tamarack-Timeout-Ms"
	HeaderOrganisation = "Tamarack-Tenant"
	HeaderContext      = "Tamarack-Context"
	// HeaderCredential holds the key by which an organisation is recognised.
	HeaderCredential = "Tamarack-Api-Key"
	HeaderFresh      = "Tamarack-Fresh"
	HeaderVerdict    = "Tamarack-Verdict"
	HeaderReason     = "Tamarack-Reason"
	HeaderRequest    = "Tamarack-Request"
)

const (
	// MaxBody is the largest accepted request body in bytes; the rules of a service can only lower it.
	MaxBody              = 16 << 20
	maxKeyBytes          = 128
	maxOrganisationBytes = 40
	retryAfterSeconds    = "1"
	headerPrefix         = "Tamarack-"
)

// Serve routes one request, runs it or refuses it, and returns its answer. The handler passes every request that it can
// read to Serve and decides nothing else itself.
type Serve func(ctx context.Context, r call.Request) call.Answer

// Seams are the functions of the node that the handler calls.
type Seams struct {
	// Serve runs or refuses a request that was read completely.
	Serve Serve
	// NewID returns a new unique identifier for a request.
	NewID func() string
	// Refuse records a request that is refused before it was read completely, and returns its answer.
	Refuse func(r call.Request, v verd.Verdict) call.Answer
	// Bodies is the memory for all request bodies in hand.
	Bodies *budget.Budget
	// MaxBody returns the size in bytes of the largest request body that any service accepts, 0 if it is not known yet.
	MaxBody func() int64
	// Leaving reports whether responses close their connections, so that callers connect to another node.
	Leaving func() bool
}

// New returns the handler for requests of callers, on any method and path.
func New(seams Seams) http.Handler {
	return NewHandler(controller{seams: seams}.handle)
}

// NewHandler returns the handler that passes every request to handle, with any method and target.
func NewHandler(handle echo.HandlerFunc) http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	// Before the router, which answers unknown methods and targets that are no path itself.
	e.Pre(func(echo.HandlerFunc) echo.HandlerFunc { return handle })
	return e
}

type controller struct {
	seams Seams
}

func (c controller) handle(ec echo.Context) error {
	if c.seams.Leaving() {
		ec.Response().Header().Set(echo.HeaderConnection, "close")
	}
	r, reason := c.readHead(ec.Request())
	return write(ec, r.ID(), c.seams.Handle(ec, r, MaxBody, reason))
}

// readHead converts an HTTP request without its body. It returns a reason if the request must be refused; the returned request
// then has only the parts that were read before.
func (c controller) readHead(h *http.Request) (call.Request, verd.Reason) {
	key := h.Header.Get(HeaderKey)
	r, ok := NewRequest(c.seams.NewID(), h)
	r = r.WithKey(key).WithFresh(h.Header.Get(HeaderFresh) == "true")
	timeout, err := readTimeout(h.Header.Get(HeaderTimeout))
	if !ok || err != nil || len(h.Header.Get(HeaderOrganisation)) > maxOrganisationBytes {
		return r, verd.ReasonBadRequest
	}
	if len(key) > maxKeyBytes {
		return r, verd.ReasonKeyUnreadable
	}
	r = r.WithFields(EndToEndFields(h.Header, isProjectField)).WithTimeout(timeout)
	r = r.WithCredential(h.Header.Get(HeaderCredential))
	return r.WithOrganisation(h.Header.Get(HeaderOrganisation)).WithParentToken(h.Header.Get(HeaderContext)), verd.ReasonNone
}

func readTimeout(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseUint(text, 10, 31)
	if err != nil || ms == 0 {
		return 0, fmt.Errorf("timeout %q is not a whole number of milliseconds from 1 to 2147483647", text)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// isProjectField reports whether a field belongs to the interface between caller and node, so that it is not passed on.
func isProjectField(name string) bool {
	return strings.HasPrefix(name, headerPrefix) || name == HeaderKey
}

// EndToEndFields returns the end-to-end header fields of a request, which are passed on to the backend server, without those
// for which omit returns true.
func EndToEndFields(header http.Header, omit func(name string) bool) []call.Field {
	return call.EndToEndFields(header, func(name string) bool { return isForNode(name) || omit(name) })
}

// isForNode reports whether a field of a request tells the node how to read the body or to write the answer.
func isForNode(name string) bool { return name == "Accept-Encoding" || name == "Expect" }

// WriteAnswer writes the response of a backend server, without the header fields for which omit returns true. It sets the
// Content-Length of every body, so that the caller can distinguish a truncated response from a complete one.
func WriteAnswer(ec echo.Context, a call.Answer, omit func(name string) bool) error {
	header := ec.Response().Header()
	for _, f := range a.Fields() {
		if !omit(f.Name()) {
			header[f.Name()] = append(header[f.Name()], f.Value())
		}
	}
	if mayHaveBody(ec.Request().Method, a.Status()) {
		header.Set(echo.HeaderContentLength, strconv.Itoa(len(a.Body())))
	}
	ec.Response().WriteHeader(a.Status())
	_, err := ec.Response().Write(a.Body())
	return wrapWriteError(err)
}

// mayHaveBody reports whether a response to a method can have a body; the length of one that cannot is not known here.
func mayHaveBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

func write(ec echo.Context, id string, a call.Answer) error {
	header := ec.Response().Header()
	v := a.Verdict()
	header.Set(HeaderRequest, id)
	header.Set(HeaderVerdict, string(v.Kind()))
	if v.HasRun() {
		return WriteAnswer(ec, a, isProjectField)
	}
	header.Set(HeaderReason, string(v.Reason()))
	switch {
	case v.IsOverload() || v.Reason() == verd.ReasonLeaving:
		header.Set(echo.HeaderRetryAfter, retryAfterSeconds)
	case v.Reason() == verd.ReasonQuota:
		header.Set(echo.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(a.RetryAfter().Seconds()))))
	}
	return wrapWriteError(ec.String(Status(v), Text(v)+"\n"))
}

func wrapWriteError(err error) error {
	if err != nil {
		return fmt.Errorf("write answer to caller: %w", err)
	}
	return nil
}
