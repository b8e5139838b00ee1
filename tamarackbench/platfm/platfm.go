package platfm

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"tamarackrudder.org/lib/plat"
)

const maxValueBytes = 2 << 20

// value is the newest text published under a name, and the one before it, which a stale service serves. Sequence numbers
// begin at 1; zero means that nothing was published. The channel changed is closed and replaced at each publication.
type value struct {
	sequence         uint64
	text             []byte
	previousSequence uint64
	previousText     []byte
	changed          chan struct{}
}

// Platform is the stand-in for the configuration service. Its methods may be called concurrently.
type Platform struct {
	mu     sync.Mutex
	values map[string]*value
	calls  int64
	outage bool
	stale  bool
}

// New returns a service without values; reads of a name get no value until one is published under it.
func New() *Platform { return &Platform{values: map[string]*value{}} }

// valueOf returns the value under a name, and creates it where it is missing. The caller holds the lock.
func (p *Platform) valueOf(name string) *value {
	v, ok := p.values[name]
	if !ok {
		v = &value{changed: make(chan struct{})}
		p.values[name] = v
	}
	return v
}

// Publish replaces the value under a name and wakes the calls that wait for its change.
func (p *Platform) Publish(name string, text []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.valueOf(name)
	v.previousSequence, v.previousText = v.sequence, v.text
	v.sequence, v.text = v.sequence+1, text
	close(v.changed)
	v.changed = make(chan struct{})
}

// SetOutage turns an outage on or off: during it, reads are answered with status 503. A read that already waits notices
// the outage only if its value changes; otherwise it ends at its time limit, as without an outage.
func (p *Platform) SetOutage(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outage = on
}

// SetStale turns staleness on or off: while it is on, reads get the value before the newest one, where there is one.
func (p *Platform) SetStale(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale = on
}

// Calls returns the number of reads so far. A watch counts as one read for each time that it is sent.
func (p *Platform) Calls() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Handler returns the HTTP handler of the service, with the switches and pages for tests under /test.
func (p *Platform) Handler() http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.GET("/v1/values/:name", p.serveValue)
	e.PUT("/test/values/:name", p.publishValue)
	e.POST("/test/outage", p.switchHandler(p.SetOutage))
	e.POST("/test/stale", p.switchHandler(p.SetStale))
	e.GET("/test/calls", func(ec echo.Context) error {
		return ec.String(http.StatusOK, strconv.FormatInt(p.Calls(), 10))
	})
	return e
}

func (*Platform) switchHandler(set func(bool)) echo.HandlerFunc {
	return func(ec echo.Context) error {
		set(ec.QueryParam("on") == "true")
		return ec.NoContent(http.StatusNoContent)
	}
}

func (p *Platform) publishValue(ec echo.Context) error {
	text, err := io.ReadAll(io.LimitReader(ec.Request().Body, maxValueBytes))
	if err != nil {
		return ec.NoContent(http.StatusBadRequest)
	}
	p.Publish(ec.Param("name"), text)
	return ec.NoContent(http.StatusNoContent)
}

// snapshot returns the sequence number and text to serve now, the channel that is closed at the next change, and whether
// the service is in an outage.
func (p *Platform) snapshot(name string) (sequence uint64, text []byte, changed <-chan struct{}, outage bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.valueOf(name)
	if p.stale && v.previousSequence > 0 {
		return v.previousSequence, v.previousText, v.changed, p.outage
	}
	return v.sequence, v.text, v.changed, p.outage
}

// serveValue answers with the value if its sequence number is above the parameter after. Otherwise it waits up to waitMs
// milliseconds for a change, and answers with status 304 if none came.
func (p *Platform) serveValue(ec echo.Context) error {
	p.mu.Lock()
	p.calls++
	p.mu.Unlock()
	after, _ := strconv.ParseUint(ec.QueryParam("after"), 10, 64)
	waitMs, _ := strconv.ParseInt(ec.QueryParam("waitMs"), 10, 64)
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		sequence, text, changed, outage := p.snapshot(ec.Param("name"))
		if outage {
			return ec.NoContent(http.StatusServiceUnavailable)
		}
		if sequence > after {
			ec.Response().Header().Set(plat.HeaderVersion, strconv.FormatUint(sequence, 10))
			return ec.Blob(http.StatusOK, echo.MIMEOctetStream, text)
		}
		select {
		case <-changed:
		case <-timeout:
			return ec.NoContent(http.StatusNotModified)
		case <-ec.Request().Context().Done():
			return ec.Request().Context().Err()
		}
	}
}
