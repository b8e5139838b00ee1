package relay

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/rpc"
	"runtime/debug"
	"sync"
	"time"

	"tamarackrudder.org/lib/budget"
	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/gossip"
	"tamarackrudder.org/lib/hosts"
	"tamarackrudder.org/lib/lease"
	"tamarackrudder.org/lib/quota"
	"tamarackrudder.org/lib/recent"
	"tamarackrudder.org/lib/spread"
	"tamarackrudder.org/lib/verd"
)

const (
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
	// lastReplyTime is how long a server that closes waits for replies that are not written yet.
	lastReplyTime = 200 * time.Millisecond
	// maxEarlyCancels is the number of cancellations in each of the two generations of those that are kept for requests that
	// have not begun; most are of ended ones.
	maxEarlyCancels = 500
)

// failedAccepts counts the connections of peers that could not be accepted.
var failedAccepts = expvar.NewInt("peerAcceptsFailed")

// errPanicked is the reply to a message whose handler has panicked.
var errPanicked = errors.New("handler of the message has failed")

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
	// Tokens replies to an ask for tokens of an organisation.
	Tokens func(ctx context.Context, a quota.Ask) quota.Grant
	// Bodies is the memory for all request bodies in hand.
	Bodies *budget.Budget
	// Locate returns the location of a peer by which sent bytes are counted; it may be nil.
	Locate Locate
	// Panicked is told of a handler that has panicked, with the message's method; it may be nil.
	Panicked func(method string, cause any, stack []byte)
}

// Server accepts connections of peers and passes their messages to the handlers.
type Server struct {
	handlers Handlers
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	closed   bool
	replies  int           // that are not written yet
	written  chan struct{} // closed when none is left; nil while nobody waits for that
}

// NewServer returns a server that accepts connections on the listener once Serve is called.
func NewServer(listener net.Listener, handlers Handlers) *Server {
	return &Server{handlers: handlers, listener: listener, conns: map[net.Conn]struct{}{}}
}

// Serve accepts connections until the server is closed; it then returns nil. A connection that cannot be accepted, for
// example for lack of descriptors, does not end it.
func (s *Server) Serve() error {
	pause := minAcceptPause
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			failedAccepts.Add(1)
			time.Sleep(pause)
			pause = min(maxAcceptPause, 2*pause)
			continue
		}
		pause = minAcceptPause
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
	granted := &grant{bodies: s.handlers.Bodies}
	defer granted.release()
	receiver := &Node{
		ctx: ctx, handlers: s.handlers, grant: granted,
		cancels: map[string]context.CancelFunc{}, earlyCancels: recent.NewSet[string](maxEarlyCancels),
	}
	if err := server.RegisterName(serviceName, receiver); err != nil {
		return
	}
	server.ServeCodec(serverCodec{framedConn: newFramedConn(conn, s.handlers.Locate), grant: granted, lost: cancel, count: s.countReplies})
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

// countReplies counts replies that are due, and those written with a negative number.
func (s *Server) countReplies(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replies += n
	if s.replies == 0 && s.written != nil {
		close(s.written)
		s.written = nil
	}
}

// awaitReplies waits until all replies are written, but no longer than lastReplyTime.
func (s *Server) awaitReplies() {
	s.mu.Lock()
	written := make(chan struct{})
	if s.replies == 0 {
		close(written)
	} else {
		s.written = written
	}
	s.mu.Unlock()
	select {
	case <-written:
	case <-time.After(lastReplyTime):
	}
}

// Close closes the listener, and all connections once the replies to requests that have ended are written; the contexts of
// requests that still run are canceled.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.awaitReplies()
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
	grant    *grant
	mu       sync.Mutex
	cancels  map[string]context.CancelFunc
	// earlyCancels holds the identifiers of canceled requests that were not known.
	earlyCancels *recent.Set[string]
}

// guarded calls a handler. It returns an error if the handler panics, which would otherwise end the process.
func (n *Node) guarded(method string, handle func()) (err error) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		if n.handlers.Panicked != nil {
			n.handlers.Panicked(method, cause, debug.Stack())
		}
		err = errPanicked
	}()
	handle()
	return nil
}

// Exec runs a request. Its context ends at the deadline, when the peer cancels the request, or when the connection is lost. A
// request whose handler panics may have run.
func (n *Node) Exec(args RequestWire, reply *AnswerWire) error {
	if len(args.Body) == 0 {
		n.exec(args.request(call.Body{}, time.Now()), reply)
		return nil
	}
	hold := n.handlers.Bodies.Hold()
	defer hold.Release()
	if hold.Take(int64(len(args.Body))) != nil {
		*reply = toAnswerWire(call.Refusal(verd.NotRun(verd.ReasonBodiesFull)).WithUnspentRetries(args.Allowance))
		return nil
	}
	n.exec(args.request(call.NewBody(args.Body).WithRetain(hold.Retain), time.Now()), reply)
	return nil
}

func (n *Node) exec(r call.Request, reply *AnswerWire) {
	ctx, cancel := context.WithDeadline(n.ctx, r.Deadline())
	defer cancel()
	n.register(r.ID(), cancel)
	defer n.forget(r.ID())
	if n.guarded("Exec", func() { *reply = toAnswerWire(n.handlers.Exec(ctx, r)) }) != nil {
		*reply = toAnswerWire(call.Refusal(verd.MayHaveRun(verd.ReasonAnswerLost)))
	}
}

// register lets Cancel end a request, or ends it if Cancel came first: net/rpc handles each message in a goroutine of its own.
func (n *Node) register(id string, cancel context.CancelFunc) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cancels[id] = cancel
	if n.earlyCancels.Has(id) {
		cancel()
	}
}

func (n *Node) forget(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cancels, id)
}

// Cancel cancels the context of a request with the given identifier. The identifier of an unknown one is kept for a while, since
// the request may be about to begin.
func (n *Node) Cancel(id string, _ *Empty) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cancel, ok := n.cancels[id]; ok {
		cancel()
		return nil
	}
	n.earlyCancels.Add(id)
	return nil
}

// Ping returns at once, which shows the peer that the connection works.
func (*Node) Ping(Empty, *Empty) error { return nil }

// Beat processes a heartbeat of the peer and replies with this node's.
func (n *Node) Beat(args BeatWire, reply *BeatWire) error {
	return n.guarded("Beat", func() { *reply = toBeatWire(n.handlers.Heartbeat(args.heartbeat())) })
}

// Fetch replies with the published value of a name.
func (n *Node) Fetch(name string, reply *ValueWire) error {
	return n.guarded("Fetch", func() {
		v := n.handlers.Fetch(name)
		*reply = ValueWire{Version: v.Version(), Sequence: v.Sequence(), Text: v.Text()}
	})
}

// Handover stores a part of the claims of the peer; the last part completes the handover.
func (n *Node) Handover(args HandoverWire, _ *Empty) error {
	var refused error
	if err := n.guarded("Handover", func() { refused = n.handlers.Handover(args.handover()) }); err != nil {
		return err
	}
	return refused
}

// GiveBack ends this endpoint's ownership of the keys of the restarted peer, and replies with this endpoint's claims.
func (n *Node) GiveBack(args GiveBackWire, reply *ReturnWire) error {
	return n.guarded("GiveBack", func() {
		*reply = toReturnWire(n.handlers.Reclaim(lease.NewReclaimRequest(args.From, args.Incarnation, args.Kept)))
	})
}
