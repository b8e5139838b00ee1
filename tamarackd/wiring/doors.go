package wiring

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"tamarackrudder.org/lib/doors"
)

const (
	// writePiece is how many bytes of an answer are written at a time, so that a caller's progress is seen.
	writePiece = 64 << 10
	// refusalTime is how long the refusal of a connection may take to be written.
	refusalTime = 10 * time.Millisecond
	// fullAnswer refuses a connection before a request is read.
	fullAnswer = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// watchCallers returns the listener of a server with its connections entered in an account.
func watchCallers(server *http.Server, listener net.Listener, table *doors.Table) net.Listener {
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return doors.NewContext(ctx, conn.(*callerConn).caller)
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		switch caller := conn.(*callerConn).caller; state {
		case http.StateActive:
			caller.Enter(doors.Served, 0)
		case http.StateIdle:
			caller.Enter(doors.Waiting, 0)
		}
	}
	return callersListener{Listener: listener, table: table}
}

type callersListener struct {
	net.Listener
	table *doors.Table
}

// Accept returns the next connection for which there is room, and refuses those before it.
func (l callersListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err // as it is, since the server looks at its type
		}
		c := &callerConn{Conn: conn}
		caller, ok := l.table.Admit(c.end)
		if ok {
			c.caller = caller
			return c, nil
		}
		_ = conn.SetWriteDeadline(time.Now().Add(refusalTime))
		_, _ = io.WriteString(conn, fullAnswer)
		_ = conn.Close()
	}
}

// callerConn is a connection of a caller that keeps its account.
type callerConn struct {
	net.Conn
	caller *doors.Caller
}

// end makes the connection end. While a body arrives, its request is still refused.
func (c *callerConn) end(p doors.Phase) {
	if p == doors.Body {
		_ = c.SetReadDeadline(time.Unix(1, 0))
		return
	}
	_ = c.Close()
}

// Read reads from the caller, unless it has to give way.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.caller.Received(b[:n]) {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write writes to the caller in pieces.
func (c *callerConn) Write(b []byte) (int, error) {
	c.caller.Sending()
	written := 0
	for len(b) > 0 {
		n, err := c.Conn.Write(b[:min(len(b), writePiece)])
		c.caller.Sent(n)
		written += n
		if err != nil {
			return written, err
		}
		b = b[n:]
	}
	return written, nil
}

// Close closes the connection and ends its account.
func (c *callerConn) Close() error {
	c.caller.Leave()
	return c.Conn.Close()
}

// CloseWrite ends what is written, as net/http does before it closes a connection with unread bytes.
func (c *callerConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}
