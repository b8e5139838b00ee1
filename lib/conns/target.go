package conns

import (
	"io"
	"net/http"
	"strings"
)

// writeRequest writes a request whose target is the opaque part of its URL. Of a target that begins with two slashes, net/http
// makes an absolute URL of another host; the scheme that it puts before the target is left out.
func writeRequest(w io.Writer, r *http.Request) error {
	if strings.HasPrefix(r.URL.Opaque, "//") {
		w = &omitter{w: w, before: len(r.Method) + len(" "), omit: len(r.URL.Scheme) + len(":")}
	}
	return r.Write(w)
}

// omitter leaves out a number of bytes that come after some others.
type omitter struct {
	w      io.Writer
	before int
	omit   int
}

// Write writes all bytes but those that are to be left out, and counts them as written.
func (o *omitter) Write(b []byte) (int, error) {
	kept := b[:min(len(b), o.before)]
	rest := b[len(kept):]
	o.before -= len(kept)
	omitted := min(len(rest), o.omit)
	o.omit -= omitted
	for _, part := range [][]byte{kept, rest[omitted:]} {
		if _, err := o.w.Write(part); err != nil {
			return 0, err
		}
	}
	return len(b), nil
}
