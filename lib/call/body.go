package call

import (
	"bytes"
	"io"
)

// Body is the complete body of a request. It is kept in segments, so that a long one is never copied into one piece.
type Body struct {
	segments [][]byte
	size     int
	retain   func() (release func())
}

// NewBody returns the body with the given segments, which must not be modified from then on.
func NewBody(segments ...[]byte) Body {
	b := Body{segments: segments}
	for _, s := range segments {
		b.size += len(s)
	}
	return b
}

// WithRetain returns the body with the function that Retain calls.
func (b Body) WithRetain(retain func() (release func())) Body { b.retain = retain; return b }

// Retain keeps the memory of the body accounted for until release is called, also when its request has ended before.
func (b Body) Retain() (release func()) {
	if b.retain == nil {
		return func() {}
	}
	return b.retain()
}

// Len returns the length in bytes.
func (b Body) Len() int { return b.size }

// Segments returns the segments; they must not be modified.
func (b Body) Segments() [][]byte { return b.segments }

// Bytes returns the body in one piece, which must not be modified; that of a body of several segments is a copy.
func (b Body) Bytes() []byte {
	switch len(b.segments) {
	case 0:
		return nil
	case 1:
		return b.segments[0]
	}
	return bytes.Join(b.segments, nil)
}

// NewReader returns a reader of the whole body.
func (b Body) NewReader() io.Reader {
	readers := make([]io.Reader, 0, len(b.segments))
	for _, s := range b.segments {
		readers = append(readers, bytes.NewReader(s))
	}
	return io.MultiReader(readers...)
}
