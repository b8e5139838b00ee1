package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/gossip"
	"tamarackrudder.org/lib/hosts"
	"tamarackrudder.org/lib/lease"
	"tamarackrudder.org/lib/spread"
)

// serviceName is the name under which net/rpc registers the receiver; it is part of the protocol.
const serviceName = "Node"

// Handlers are the functions of a node that handle the messages of its peers.
type Handlers struct {
	// Exec runs a request on the local backend server, or refuses it.
	Exec func(ctx context.Context, r call.Request) call.Answer
	// Heartbeat processes a peer's heartbeat and returns this node's.
	Heartbeat func(b gossip.Heartbeat) gossip.Heartbeat
	// Fetch returns the published value of a name, such as the rules, that this node has in force.
	Fetch func(name string) spread.Value
	// FetchHosts returns the difference from the list of hosts with the given digest to this node's.
	FetchHosts func(known hosts.Digest) hosts.Diff
	// Handover stores a part of the claims of a peer that released its keys.
	Handover func(h gossip.Handover) error
	// Reclaim ends this endpoint's ownership of the keys of a restarted peer, and returns this endpoint's claims.
	Reclaim func(l lease.ReclaimRequest) gossip.ReclaimReply
	// Locate returns the location of a peer by which sent bytes are counted; it may be nil.
	Locate Locate
}

// Server accepts connections of peers and passes their messages to the handlers.
type Server struct {
	handlers Handlers
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	closed   bool
}

// NewServer returns a server that accepts connections on the listener once Serve is called.
func NewServer(listener net.Listener, handlers Handlers) *Server {
	return &Server{handlers: handlers, listener: listener, conns: map[net.Conn]struct{}{}}
}

// Serve accepts connections until the server is closed; it then returns nil.
func (s *Server) Serve() error {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept connection of peer: %w", err)
		}
		go s.serveConn(conn)
	}
}

func (s *Server) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if exchangeGreetings(ctx, conn) != nil || !s.track(conn) {
		return
	}
	defer s.untrack(conn)
	server := rpc.NewServer()
	receiver := &Node{ctx: ctx, handlers: s.handlers, cancels: map[string]context.CancelFunc{}}
	if err := server.RegisterName(serviceName, receiver); err != nil {
		return
	}
	server.ServeCodec(serverCodec{framedConn: newFramedConn(conn, s.handlers.Locate), lost: cancel})
}

// track registers a connection to be closed with the server. It returns false if the server is closed already.
func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = struct{}{}
	return !s.closed
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// Close closes the listener and all connections; the contexts of requests that run are canceled.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// Node is the net/rpc receiver for one connection of a peer. Its exported methods are the rpc methods, by name.
type Node struct {
	ctx      context.Context
	handlers Handlers
	mu       sync.Mutex
	cancels  map[string]context.CancelFunc
}

// Exec runs a request. Its context ends at the deadline, when the peer cancels the request, or when the connection is lost.
func (n *Node) Exec(args RequestWire, reply *AnswerWire) error {
	now := time.Now()
	ctx, cancel := context.WithDeadline(n.ctx, now.Add(args.Remaining))
	defer cancel()
	n.mu.Lock()
	n.cancels[args.ID] = cancel
	n.mu.Unlock()
	defer n.forget(args.ID)
	*reply = toAnswerWire(n.handlers.Exec(ctx, args.request(now)))
	return nil
}

func (n *Node) forget(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cancels, id)
}

// Cancel cancels the context of a request with the given identifier; without such a request it does nothing.
func (n *Node) Cancel(id string, _ *Empty) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cancel, ok := n.cancels[id]; ok {
		cancel()
	}
	return nil
}

// Ping returns at once, which shows the peer that the connection works.
func (*Node) Ping(Empty, *Empty) error { return nil }

// Beat processes a heartbeat of the peer and replies with this node's.
func (n *Node) Beat(args BeatWire, reply *BeatWire) error {
	*reply = toBeatWire(n.handlers.Heartbeat(args.heartbeat()))
	return nil
}

// Fetch replies with the published value of a name.
func (n *Node) Fetch(name string, reply *ValueWire) error {
	v := n.handlers.Fetch(name)
	*reply = ValueWire{Version: v.Version(), Sequence: v.Sequence(), Text: v.Text()}
	return nil
}

// Handover stores a part of the claims of the peer; the last part completes the handover.
func (n *Node) Handover(args HandoverWire, _ *Empty) error {
	return n.handlers.Handover(args.handover())
}

// GiveBack ends this endpoint's ownership of the keys of the restarted peer, and replies with this endpoint's claims.
func (n *Node) GiveBack(args GiveBackWire, reply *ReturnWire) error {
	*reply = toReturnWire(n.handlers.Reclaim(lease.NewReclaimRequest(args.From, args.Incarnation, args.Kept)))
	return nil
}
