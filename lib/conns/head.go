package conns

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"tamarackrudder.org/lib/heads"
)

// maxHead is the largest accepted head of a response, status line and header fields, in bytes.
const maxHead = 32 << 10

// readHead reads the head of the next response, which is checked before net/http reads it; its body is not read yet.
func (c *conn) readHead(r *http.Request) (*http.Response, error) {
	c.source.limit(maxHead)
	defer c.source.unlimit()
	head, err := c.peekHead()
	if err != nil {
		return nil, err
	}
	if _, err := heads.CheckResponse(head); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.in, r)
}

// peekHead waits until the buffer holds a head, and returns it.
func (c *conn) peekHead() ([]byte, error) {
	for scanned := 0; ; {
		if _, err := c.in.Peek(scanned + 1); err != nil {
			return nil, err
		}
		buffered, err := c.in.Peek(c.in.Buffered())
		if err != nil {
			return nil, err
		}
		if n := heads.Length(buffered, scanned); n > 0 {
			return buffered[:n], nil
		}
		scanned = len(buffered)
		if scanned == c.in.Size() {
			c.enlarge(buffered)
		}
	}
}

// enlarge makes room in the buffer for the longest head; the source's limit ends longer ones.
func (c *conn) enlarge(buffered []byte) {
	begin := bytes.NewReader(bytes.Clone(buffered))
	c.in = bufio.NewReaderSize(io.MultiReader(begin, c.source), maxHead+len(buffered))
}
