package front

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/verd"
)

// Header fields between callers and nodes.
const (
	HeaderKey     = "Idempotency-Key"
	HeaderTimeout = "Tamarack-Timeout-Ms"
	HeaderTenant  = "Tamarack-Tenant"
	HeaderContext = "Tamarack-Context"
	HeaderFresh   = "Tamarack-Fresh"
	HeaderVerdict = "Tamarack-Verdict"
	HeaderReason  = "Tamarack-Reason"
	HeaderRequest = "Tamarack-Request"
)

const (
	// MaxBody bounds every body, whatever the rules allow, in bytes.
	MaxBody         = 16 << 20
	maxKeyBytes     = 128
	maxTenantBytes  = 40
	retryAfterSpan  = "1"
	ownHeaderPrefix = "Tamarack-"
)

// Serve answers one request; it is the only way into the decisions.
type Serve func(ctx context.Context, r call.Request) call.Answer

// Seams are what the front needs from the node.
type Seams struct {
	// Serve answers a request.
	Serve Serve
	// NewID mints an identifier for a request.
	NewID func() string
	// Leaving reports whether callers should go elsewhere.
	Leaving func() bool
}

// New returns the handler of the callers' listener.
func New(seams Seams) http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	c := controller{seams: seams}
	e.Any("/*", c.handle)
	return e
}

type controller struct {
	seams Seams
}

func (c controller) handle(ec echo.Context) error {
	if c.seams.Leaving() {
		ec.Response().Header().Set(echo.HeaderConnection, "close")
	}
	r, refusal := c.read(ec.Request())
	if refusal != nil {
		return write(ec, r.ID(), call.Truthful(r, call.Refusal(*refusal)))
	}
	return write(ec, r.ID(), c.seams.Serve(ec.Request().Context(), r))
}

// read builds the request, or says why it is refused.
func (c controller) read(h *http.Request) (call.Request, *verd.Verdict) {
	key := h.Header.Get(HeaderKey)
	r := call.NewRequest(c.seams.NewID(), h.Method, h.URL.EscapedPath(), h.URL.RawQuery).
		WithKey(key).WithFresh(h.Header.Get(HeaderFresh) == "true")
	body, err := ReadBody(h, MaxBody)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return r, refuse(verd.ReasonBodyTooLarge)
	}
	if err != nil {
		return r, refuse(verd.ReasonBodyTruncated)
	}
	timeout, err := readTimeout(h.Header.Get(HeaderTimeout))
	if err != nil || len(h.Header.Get(HeaderTenant)) > maxTenantBytes {
		return r, refuse(verd.ReasonBadRequest)
	}
	if len(key) > maxKeyBytes {
		return r, refuse(verd.ReasonKeyUnreadable)
	}
	r = r.WithBody(body).WithFields(EndToEnd(h.Header, isOwnField)).WithTimeout(timeout)
	return r.WithTenant(h.Header.Get(HeaderTenant)).WithParent(h.Header.Get(HeaderContext)), nil
}

func refuse(reason verd.Reason) *verd.Verdict {
	v := verd.NotRun(reason)
	return &v
}

func readTimeout(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseUint(text, 10, 31)
	if err != nil || ms == 0 {
		return 0, fmt.Errorf("bad timeout %q", text)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// ReadBody reads a request's whole body, at most so many bytes.
func ReadBody(h *http.Request, most int64) ([]byte, error) {
	if h.ContentLength == 0 {
		return nil, nil
	}
	return io.ReadAll(http.MaxBytesReader(nil, h.Body, most))
}

func isOwnField(name string) bool {
	return strings.HasPrefix(name, ownHeaderPrefix) || name == HeaderKey
}

// EndToEnd returns the header fields of a request that concern more than one connection, without those to be left out.
func EndToEnd(header http.Header, without func(name string) bool) []call.Field {
	var fields []call.Field
	for name, values := range header {
		if isConnectionField(name) || without(name) {
			continue
		}
		for _, value := range values {
			fields = append(fields, call.NewField(name, value))
		}
	}
	return fields
}

func isConnectionField(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Content-Length", "Accept-Encoding", "Expect":
		return true
	}
	return false
}

// WriteWhole sends the answer of a backend server with its length, so that a cut one is never taken for whole.
func WriteWhole(ec echo.Context, a call.Answer, without func(name string) bool) error {
	header := ec.Response().Header()
	for _, f := range a.Fields() {
		if !without(f.Name()) {
			header[f.Name()] = append(header[f.Name()], f.Value())
		}
	}
	header.Set(echo.HeaderContentLength, strconv.Itoa(len(a.Body())))
	ec.Response().WriteHeader(a.Status())
	_, err := ec.Response().Write(a.Body())
	return wrap(err)
}

func write(ec echo.Context, id string, a call.Answer) error {
	header := ec.Response().Header()
	v := a.Verdict()
	header.Set(HeaderRequest, id)
	header.Set(HeaderVerdict, string(v.Kind()))
	if v.HasRun() {
		return WriteWhole(ec, a, isOwnField)
	}
	header.Set(HeaderReason, string(v.Reason()))
	if v.IsOverload() || v.Reason() == verd.ReasonLeaving {
		header.Set(echo.HeaderRetryAfter, retryAfterSpan)
	}
	return wrap(ec.String(Status(v), Text(v)+"\n"))
}

func wrap(err error) error {
	if err != nil {
		return fmt.Errorf("answer to caller: %w", err)
	}
	return nil
}
