package budget

import "io"

const (
	// minSegment and maxSegment bound the size in bytes of the segments that a body is read into.
	minSegment = 4 << 10
	maxSegment = 1 << 20
)

// UnknownLength is the length of a body that ends with its stream.
const UnknownLength = -1

// ReadAll reads a body in segments, for which it takes the bytes from a hold: all at once if the length in bytes is known, else
// segment by segment. The error is ErrExhausted, io.ErrUnexpectedEOF for a body that ends before its length, or that of the
// reader.
func ReadAll(r io.Reader, length int64, h *Hold) ([][]byte, error) {
	if length == UnknownLength {
		return readToEnd(r, h)
	}
	if err := h.Take(length); err != nil {
		return nil, err
	}
	return ReadSegments(r, length)
}

// ReadSegments reads a body of a known length in bytes, for which the bytes were taken before. Memory is allocated as the
// bytes come, so that a body that is only announced takes little. The error is io.ErrUnexpectedEOF for a body that ends before
// its length, or that of the reader.
func ReadSegments(r io.Reader, length int64) ([][]byte, error) {
	var segments [][]byte
	size := int64(ShortBytes)
	for length > 0 {
		segment := make([]byte, min(size, length))
		n, err := fill(r, segment)
		switch {
		case n == len(segment):
		case err == io.EOF:
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
		segments = append(segments, segment)
		length -= int64(n)
		size = min(maxSegment, 2*size)
	}
	return segments, nil
}

func readToEnd(r io.Reader, h *Hold) ([][]byte, error) {
	var segments [][]byte
	for size := int64(minSegment); ; size = min(maxSegment, 2*size) {
		size = min(size, h.room())
		if size <= 0 {
			return atEnd(r, segments)
		}
		if err := h.Take(size); err != nil {
			return nil, err
		}
		segment := make([]byte, size)
		n, err := fill(r, segment)
		if n > 0 {
			segments = append(segments, segment[:n])
		}
		if err == io.EOF {
			return segments, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// atEnd returns the segments if the stream ends here.
func atEnd(r io.Reader, segments [][]byte) ([][]byte, error) {
	n, err := fill(r, make([]byte, 1))
	switch {
	case n > 0:
		return nil, ErrExhausted
	case err == io.EOF:
		return segments, nil
	}
	return nil, err
}

// fill reads until the segment is full or the reader fails. Unlike that of io.ReadFull, its error distinguishes the end of the
// stream from a stream that broke off.
func fill(r io.Reader, segment []byte) (int, error) {
	n := 0
	for n < len(segment) {
		read, err := r.Read(segment[n:])
		n += read
		if err != nil {
			return n, err
		}
	}
	return n, nil
}
