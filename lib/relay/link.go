package relay

import (
	"net"
	"net/rpc"
	"sync"
	"time"
)

const (
	methodPing = "Ping"
	// pingAfter is how long a connection with open requests may deliver no bytes before a ping is sent on it.
	pingAfter = 200 * time.Millisecond
	// pingReplyTimeout is how long a connection may deliver no bytes after a ping was sent on it.
	pingReplyTimeout = 350 * time.Millisecond
	// maxSilence is how long a connection with open requests may deliver no bytes, whether a ping was sent or not.
	maxSilence = time.Second
	// retiredConnTTL is how long a silent connection stays open after it was replaced, for answers to the requests that
	// were sent on it.
	retiredConnTTL = time.Minute
)

// link holds the current connection to one peer, none where client is nil.
type link struct {
	opening chan struct{} // full while a connection is opened
	mu      sync.Mutex
	client  *rpc.Client
	conn    *monitoredConn
}

func newLink() *link { return &link{opening: make(chan struct{}, 1)} }

// current returns the connection, nil if there is none or it has gone silent.
func (l *link) current() (*rpc.Client, *monitoredConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client == nil || l.conn.isSilent() {
		return nil, nil
	}
	return l.client, l.conn
}

// replace makes a new connection the current one. A silent one before it stays open for a while, for answers to the requests
// that were sent on it.
func (l *link) replace(conn net.Conn, locate Locate) (*rpc.Client, *monitoredConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client != nil {
		silent := l.conn
		time.AfterFunc(retiredConnTTL, func() { _ = silent.Close() })
	}
	l.conn = &monitoredConn{Conn: conn}
	l.client = rpc.NewClientWithCodec(clientCodec{newFramedConn(l.conn, locate)})
	return l.client, l.conn
}

// monitoredConn counts the open requests on a connection and records when it last delivered bytes, to detect a connection
// that has failed without an error.
type monitoredConn struct {
	net.Conn
	mu      sync.Mutex
	pending int
	// silentSince is when the last bytes were received or, if later, when a request was sent while none was open.
	silentSince time.Time
	pingSentAt  time.Time
}

// Read reads from the connection and records the time if any bytes were received.
func (c *monitoredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.mu.Lock()
		c.silentSince = time.Now()
		c.mu.Unlock()
	}
	return n, err
}

func (c *monitoredConn) requestSent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 {
		c.silentSince = time.Now()
	}
	c.pending++
}

func (c *monitoredConn) requestEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
}

// pingIfDue sends a ping if requests are open and no bytes have come for pingAfter. A peer may work on a request for long,
// but answers a ping at once, so an unanswered ping shows that the connection has failed and the request is not just slow.
func (c *monitoredConn) pingIfDue(client *rpc.Client) {
	if c.recordPingIfDue() {
		client.Go(serviceName+"."+methodPing, Empty{}, &Empty{}, make(chan *rpc.Call, 1))
	}
}

// recordPingIfDue reports whether a ping is due, and then records it as sent.
func (c *monitoredConn) recordPingIfDue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.pending == 0 || now.Sub(c.silentSince) < pingAfter || c.pingSentAt.After(c.silentSince) {
		return false
	}
	c.pingSentAt = now
	return true
}

// isSilent reports whether the connection counts as failed: requests are open, and a ping was not answered in time or
// nothing has come for maxSilence. Such a connection may stay silent for good while a new one would work.
func (c *monitoredConn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 {
		return false
	}
	now := time.Now()
	return now.Sub(c.silentSince) > maxSilence || (c.pingSentAt.After(c.silentSince) && now.Sub(c.pingSentAt) > pingReplyTimeout)
}
