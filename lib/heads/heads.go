package heads

import (
	"bytes"
	"errors"
	"fmt"
)

// ErrMalformed means that the bytes are no head of an HTTP/1 message that every reader understands alike.
var ErrMalformed = errors.New("malformed head")

var (
	lineEnd          = []byte("\r\n")
	version10        = []byte("HTTP/1.0")
	version11        = []byte("HTTP/1.1")
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
	chunked          = []byte("chunked")
)

const (
	statusDigits = 3
	// maxLengthDigits is how many decimal digits fit into 63 bits, whichever they are.
	maxLengthDigits = 18
)

// Length returns the length of the head at the beginning of b, with the empty line at its end, 0 if that is not there yet. The
// first scanned bytes were looked at by an earlier call.
func Length(b []byte, scanned int) int {
	for i := scanned; ; i++ {
		next := bytes.IndexByte(b[i:], '\n')
		if next < 0 {
			return 0
		}
		i += next
		if line := bytes.TrimSuffix(b[:i], lineEnd[:1]); len(line) == 0 || line[len(line)-1] == '\n' {
			return i + 1
		}
	}
}

// CheckResponse returns where the body of a response ends that does not answer a HEAD, and an error that is ErrMalformed if its
// head, with the empty line at its end, is none.
func CheckResponse(head []byte) (Framing, error) {
	line, fields, ok := bytes.Cut(head, lineEnd)
	if !ok {
		return Framing{}, malformed("status line", line)
	}
	version, status, _ := bytes.Cut(line, []byte(" "))
	code, reason, _ := bytes.Cut(status, []byte(" "))
	if !isVersion(version) || !isStatus(code) || !isText(reason) {
		return Framing{}, malformed("status line", line)
	}
	f, isStated, err := readFields(fields, bytes.Equal(version, version11))
	switch {
	case err != nil, code[0] == '1', string(code) == "204", string(code) == "304":
		return Framing{}, err
	}
	f.untilClose = !isStated
	return f, nil
}

// CheckRequest returns where the body of a request ends, and an error that is ErrMalformed if its head, with the empty line at its
// end, is none.
func CheckRequest(head []byte) (Framing, error) {
	line, fields, ok := bytes.Cut(head, lineEnd)
	method, rest, _ := bytes.Cut(line, []byte(" "))
	target, version, _ := bytes.Cut(rest, []byte(" "))
	if !ok || !isToken(method) || len(target) == 0 || !isText(target) || !isVersion(version) {
		return Framing{}, malformed("request line", line)
	}
	f, _, err := readFields(fields, bytes.Equal(version, version11))
	return f, err
}

// Framing is how the end of a message's body is known.
type Framing struct {
	length     int64
	chunked    bool
	untilClose bool
}

// Length returns the length of the body in bytes, 0 if the head states none.
func (f Framing) Length() int64 { return f.length }

// IsChunked reports whether the body is sent in chunks.
func (f Framing) IsChunked() bool { return f.chunked }

// IsUntilClose reports whether the body ends with its connection.
func (f Framing) IsUntilClose() bool { return f.untilClose }

func isVersion(b []byte) bool { return bytes.Equal(b, version10) || bytes.Equal(b, version11) }

// isStatus reports whether a status code is one of 100 to 599 (RFC 9110, section 15).
func isStatus(b []byte) bool {
	return len(b) == statusDigits && b[0] >= '1' && b[0] <= '5' && isNumber(b)
}

// readFields checks the header fields up to the empty line, which must be the end. It also reports whether they state a framing.
func readFields(lines []byte, mayBeChunked bool) (f Framing, isStated bool, err error) {
	for framings := 0; ; {
		line, rest, ok := bytes.Cut(lines, lineEnd)
		switch {
		case !ok:
			return f, false, malformed("line end", line)
		case len(line) == 0 && len(rest) == 0 && framings <= 1:
			return f, framings > 0, nil
		case len(line) == 0:
			return f, false, malformed("end, or more than one framing of the body", rest)
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isToken(name) || !isText(value) {
			return f, false, malformed("header field", line)
		}
		value = bytes.Trim(value, " \t")
		switch {
		case isWord(name, contentLength):
			framings++
			f.length, ok = parseLength(value)
		case isWord(name, transferEncoding):
			framings++
			f.chunked = mayBeChunked && isWord(value, chunked)
			ok = f.chunked
		}
		if !ok {
			return f, false, malformed("framing of the body", line)
		}
		lines = rest
	}
}

// parseLength returns a length, and false if the text is none or does not fit into 63 bits.
func parseLength(b []byte) (int64, bool) {
	if !isNumber(b) || len(b) > maxLengthDigits {
		return 0, false
	}
	n := int64(0)
	for _, c := range b {
		n = 10*n + int64(c-'0')
	}
	return n, true
}

// malformed quotes the beginning of what is malformed.
func malformed(what string, text []byte) error {
	const quoted = 80 // bytes
	return fmt.Errorf("%w: %s: %q", ErrMalformed, what, text[:min(len(text), quoted)])
}

// isWord reports whether a text is a word of ASCII letters in any case. Other characters that fold to letters are longer.
func isWord(b, word []byte) bool { return len(b) == len(word) && bytes.EqualFold(b, word) }

// isNumber reports whether a text consists of one or more decimal digits.
func isNumber(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}
	return len(b) > 0
}

// isToken reports whether a text is a token (RFC 9110, section 5.6.2).
func isToken(b []byte) bool {
	for _, c := range b {
		if !tokenBytes[c] {
			return false
		}
	}
	return len(b) > 0
}

// isText reports whether a text has no control bytes but the tab.
func isText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

var tokenBytes = func() (is [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		is[c] = true
	}
	return is
}()
