package conns

import (
	"io"
	"net/http"

	"tamarackrudder.org/lib/budget"
)

const (
	// maxAnswerBytes bounds what the bodies of answers that a pool is reading take together, in bytes.
	maxAnswerBytes = 48 << 20
	// shortAnswerBytes is the part of them that long bodies leave to short ones.
	shortAnswerBytes = 16 << 20
)

// readBody reads the body of an answer, or one byte more than maxBody, into one buffer for which it takes the bytes first. A
// body of an unknown length is read in segments, which take as much again until they are joined.
func readBody(response *http.Response, maxBody int64, hold *budget.Hold, held *budget.Budget) ([]byte, error) {
	length, parts := response.ContentLength, held.Hold()
	defer parts.Release()
	var segments [][]byte
	if response.Body == http.NoBody || length < 0 || length > maxBody {
		var err error
		if segments, err = budget.ReadAll(io.LimitReader(response.Body, maxBody+1), budget.UnknownLength, parts); err != nil {
			return nil, err
		}
		length = 0
		for _, s := range segments {
			length += int64(len(s))
		}
	}
	if err := hold.Take(length); err != nil {
		return nil, err
	}
	body := make([]byte, length)
	if segments == nil {
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	rest := body
	for _, s := range segments {
		rest = rest[copy(rest, s):]
	}
	return body, nil
}
