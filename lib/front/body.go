package front

import (
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/labstack/echo/v4"

	"tamarackrudder.org/lib/budget"
	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/doors"
	"tamarackrudder.org/lib/verd"
)

// maxBodyTime is how long a caller may take to send a body, if its own timeout is not shorter.
const maxBodyTime = time.Minute

// restTime is how long after a refusal the rest of the body is read and dropped, so that the caller gets the answer before the
// connection is closed.
const restTime = 500 * time.Millisecond

// refusalTime is how long the answer to a request whose body was not read may take to be written.
const refusalTime = 5 * time.Second

// Handle reads the body of a request whose head was read, of at most limit bytes, and serves the request. With a reason
// other than ReasonNone it refuses the request without its body.
func (s Seams) Handle(ec echo.Context, r call.Request, limit int64, reason verd.Reason) call.Answer {
	begun, caller := time.Now(), doors.Of(ec.Request().Context())
	if caller.HasToEnd() {
		reason = verd.ReasonCanceled
	}
	body, release := call.Body{}, func() {}
	if reason == verd.ReasonNone {
		body, release, reason = s.readBody(ec, limit, r.Timeout())
	}
	if reason != verd.ReasonNone {
		dropBody(ec)
		return s.Refuse(r, verd.NotRun(reason))
	}
	defer release()
	ctx, scope := budget.NewScope(ec.Request().Context())
	defer scope.End()
	a := s.Serve(ctx, withoutTime(r.WithBody(body), time.Since(begun)))
	if a.Verdict().HasRun() && !caller.HoldAnswer(int64(len(a.Body()))) {
		return s.Refuse(r, verd.MayHaveRun(verd.ReasonAnswerTooLarge))
	}
	return a
}

// dropBody lets the connection be closed after the answer without the rest of a body, for which net/http would wait otherwise.
func dropBody(ec echo.Context) {
	if ec.Request().ContentLength == 0 {
		return
	}
	ec.Response().Header().Set(echo.HeaderConnection, "close")
	controller := http.NewResponseController(ec.Response().Writer)
	_ = controller.SetReadDeadline(time.Now().Add(restTime))
	_ = controller.SetWriteDeadline(time.Now().Add(refusalTime))
}

// withoutTime takes the time that the body took to arrive from the timeout of the caller, who has waited since.
func withoutTime(r call.Request, took time.Duration) call.Request {
	if r.Timeout() == 0 {
		return r
	}
	return r.WithTimeout(max(time.Millisecond, r.Timeout()-took))
}

// readBody reads the complete body of a request of a caller that waits for the answer for the given timeout, zero if it is not
// known. The memory of the body is taken from the budget of the seams until release is called.
func (s Seams) readBody(ec echo.Context, limit int64, timeout time.Duration) (body call.Body, release func(), reason verd.Reason) {
	h := ec.Request()
	if h.ContentLength == 0 {
		return call.Body{}, func() {}, verd.ReasonNone
	}
	hold, caller := s.Bodies.Hold(), doors.Of(h.Context())
	caller.Enter(doors.Body, max(0, h.ContentLength))
	segments, err := s.read(ec, limit, timeout, hold)
	if !caller.Enter(doors.Served, 0) {
		err = budget.ErrExhausted // the body was too slow while others needed its memory
	}
	if err != nil {
		hold.Release()
		return call.Body{}, func() {}, bodyReason(err)
	}
	return call.NewBody(segments...).WithRetain(hold.Retain), hold.Release, verd.ReasonNone
}

func (s Seams) read(ec echo.Context, limit int64, timeout time.Duration, hold *budget.Hold) ([][]byte, error) {
	h, w := ec.Request(), ec.Response().Writer
	limit = s.bodyLimit(limit)
	if h.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	if timeout <= 0 || timeout > maxBodyTime {
		timeout = maxBodyTime
	}
	// The errors are ignored: without deadlines a caller may only take longer.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout))
	segments, err := budget.ReadAll(http.MaxBytesReader(w, h.Body, limit), h.ContentLength, hold)
	if err == nil {
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	}
	return segments, err
}

// bodyLimit returns the length in bytes of the largest body that is read: what the services accept and the budget can hold, at
// most the given number.
func (s Seams) bodyLimit(most int64) int64 {
	most = min(most, s.Bodies.Largest())
	if accepted := s.MaxBody(); accepted > 0 {
		return min(most, accepted)
	}
	return most
}

// bodyReason returns why a request is refused whose body could not be read.
func bodyReason(err error) verd.Reason {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return verd.ReasonBodyTooLarge
	case errors.Is(err, budget.ErrExhausted):
		return verd.ReasonBodiesFull
	case errors.Is(err, os.ErrDeadlineExceeded):
		return verd.ReasonDeadline
	}
	return verd.ReasonBodyTruncated
}
