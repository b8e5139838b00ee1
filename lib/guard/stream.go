package guard

import (
	"bytes"
	"math"
	"strconv"

	"tamarackrudder.org/lib/heads"
)

// part is the part of a message that the next byte belongs to.
type part int

const (
	partHead part = iota
	partBody
	partChunkSize
	partChunk
	partChunkEnd
	partTrailer
)

// stream follows the bytes of one connection from message to message.
type stream struct {
	check   func(head []byte) (heads.Framing, error)
	maxHead int
	part    part
	begun   []byte // a head or a line whose end has not come
	left    int64  // bytes to the end of the body or chunk
}

// accept returns how many bytes come before a malformed message, all if there is none.
func (s *stream) accept(b []byte) int {
	for i := 0; i < len(b); {
		n, ok := s.next(b[i:])
		if !ok {
			return i
		}
		i += n
	}
	return len(b)
}

// next takes some bytes, and reports whether they are well-formed.
func (s *stream) next(b []byte) (taken int, ok bool) {
	switch s.part {
	case partHead:
		return s.nextOfHead(b)
	case partBody, partChunk:
		return s.nextOfBody(b), true
	}
	return s.nextOfLine(b)
}

func (s *stream) nextOfBody(b []byte) int {
	n := min(int64(len(b)), s.left)
	s.left -= n
	switch {
	case s.left > 0:
	case s.part == partChunk:
		s.part = partChunkEnd
	default:
		s.part = partHead
	}
	return int(n)
}

func (s *stream) nextOfHead(b []byte) (int, bool) {
	before, text := len(s.begun), b
	if before > 0 {
		s.begun = append(s.begun, b...)
		text = s.begun
	}
	n := heads.Length(text, before)
	switch {
	case max(n, len(s.begun)) > s.maxHead:
		return 0, false
	case n == 0 && before == 0:
		s.begun = bytes.Clone(b)
		return len(b), true
	case n == 0:
		return len(b), true
	}
	framing, err := s.check(text[:n])
	s.begun = nil
	switch {
	case framing.IsUntilClose():
		s.part, s.left = partBody, math.MaxInt64
	case framing.IsChunked():
		s.part = partChunkSize
	case framing.Length() > 0:
		s.part, s.left = partBody, framing.Length()
	}
	return n - before, err == nil
}

// nextOfLine takes bytes of a line between chunks or of the trailer fields.
func (s *stream) nextOfLine(b []byte) (int, bool) {
	end := bytes.IndexByte(b, '\n') + 1
	if end == 0 {
		s.begun = append(s.begun, b...)
		return len(b), len(s.begun) <= s.maxHead
	}
	line, ok := bytes.CutSuffix(append(s.begun, b[:end]...), []byte("\r\n"))
	s.begun = s.begun[:0]
	switch s.part {
	case partChunkSize:
		size, err := parseChunkSize(line)
		s.part, s.left = partChunk, size
		if size == 0 {
			s.part = partTrailer
		}
		return end, ok && err == nil
	case partChunkEnd:
		s.part = partChunkSize
		return end, ok && len(line) == 0
	}
	if len(line) == 0 {
		s.part = partHead
	}
	return end, ok
}

// parseChunkSize returns the size of the chunk that a line without its end begins.
func parseChunkSize(line []byte) (int64, error) {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	size, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, 63)
	return int64(size), err
}
