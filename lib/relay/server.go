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
	"tamarackrudder.org/lib/lease"
	"tamarackrudder.org/lib/spread"
)

// serviceName is the name of the receiver at net/rpc.
const serviceName = "Node"

// Handlers are what a node does with the messages of its peers.
type Handlers struct {
	// Exec runs a request on the node's own backend server.
	Exec func(ctx context.Context, r call.Request) call.Answer
	// Beat takes in a heartbeat and returns the node's own.
	Beat func(b gossip.Beat) gossip.Beat
	// Fetch returns a published value by its name.
	Fetch func(name string) spread.Value
	// Handover takes over the claims of a peer.
	Handover func(h gossip.Handover) error
	// GiveBack returns the keys that an earlier incarnation of a peer lost.
	GiveBack func(l lease.Loss) gossip.Return
}

// Server takes peers' connections.
type Server struct {
	handlers Handlers
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	closed   bool
}

// NewServer returns a server on a listener.
func NewServer(listener net.Listener, handlers Handlers) *Server {
	return &Server{handlers: handlers, listener: listener, conns: map[net.Conn]struct{}{}}
}

// Serve takes connections until the server is closed.
func (s *Server) Serve() error {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("peers' listener: %w", err)
		}
		go s.serveConn(conn)
	}
}

func (s *Server) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if exchangeGreetings(conn) != nil || !s.track(conn) {
		return
	}
	defer s.untrack(conn)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server := rpc.NewServer()
	receiver := &Node{ctx: ctx, handlers: s.handlers, cancels: map[string]context.CancelFunc{}}
	if err := server.RegisterName(serviceName, receiver); err != nil {
		return
	}
	server.ServeCodec(serverCodec{newFramed(conn)})
}

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

// Close ends the listener and every connection.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// Node is the net/rpc receiver of one peer's connection.
type Node struct {
	ctx      context.Context
	handlers Handlers
	mu       sync.Mutex
	cancels  map[string]context.CancelFunc
}

// Exec runs a request; it ends early when the peer cancels it or its connection is lost.
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

// Cancel ends a request that nobody waits for.
func (n *Node) Cancel(id string, _ *Empty) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cancel, ok := n.cancels[id]; ok {
		cancel()
	}
	return nil
}

// Ping says that the connection works.
func (*Node) Ping(Empty, *Empty) error { return nil }

// Beat takes in a heartbeat.
func (n *Node) Beat(args BeatWire, reply *BeatWire) error {
	*reply = toBeatWire(n.handlers.Beat(args.beat()))
	return nil
}

// Fetch returns a published value.
func (n *Node) Fetch(name string, reply *ValueWire) error {
	v := n.handlers.Fetch(name)
	*reply = ValueWire{Version: v.Version(), Sequence: v.Sequence(), Text: v.Text()}
	return nil
}

// Handover takes over claims.
func (n *Node) Handover(args HandoverWire, _ *Empty) error {
	return n.handlers.Handover(args.handover())
}

// GiveBack returns lost keys.
func (n *Node) GiveBack(args GiveBackWire, reply *ReturnWire) error {
	*reply = toReturnWire(n.handlers.GiveBack(lease.NewLoss(args.From, args.Incarnation, args.Kept)))
	return nil
}
