package wiring

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/google/uuid"
	"github.com/oklog/run"

	"tamarackrudder.org/lib/back"
	"tamarackrudder.org/lib/budget"
	"tamarackrudder.org/lib/clock"
	"tamarackrudder.org/lib/front"
	"tamarackrudder.org/lib/guard"
	"tamarackrudder.org/lib/node"
	"tamarackrudder.org/lib/opsapi"
	"tamarackrudder.org/lib/plat"
	"tamarackrudder.org/lib/relay"
)

var levels = map[string]level.Option{
	"debug": level.AllowDebug(), "info": level.AllowInfo(), "warn": level.AllowWarn(), "error": level.AllowError(),
}

const (
	readHeaderTimeout = 5 * time.Second
	maxHeaderBytes    = 64 << 10
)

func newLogger(s settings, out io.Writer) log.Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(out))
	logger = level.NewFilter(logger, levels[s.logLevel])
	return log.With(logger, "ts", log.DefaultTimestampUTC, "node", s.rpcAddr, "service", s.service)
}

func newNode(s settings, logger log.Logger) *node.Node {
	peers := relay.NewPeers(relay.DialTCP)
	backend := back.New(s.backendAddr, s.conns, back.NativeDialect()).WithAnswers(newReadAnswers(s.memoryBytes()))
	platform := plat.New(s.platformAddr)
	terms := node.TermsOf(s.lease, s.skew)
	nodeSettings := node.NewSettings(s.rpcAddr, s.service, s.zone).
		WithSeeds(s.peers).WithTerms(terms).WithHeartbeat(s.heartbeat).WithControl(node.Control(s.control))
	seams := nodeSeams(peers, backend, watcher(platform))
	if s.zoneDelay == 0 {
		return node.New(node.NewCommon(clock.System{}, logger, nodeSettings, seams))
	}
	delay := &zoneDelay{delay: s.zoneDelay, exec: peers.Exec}
	seams.Exec = delay.run
	delay.node = node.New(node.NewCommon(clock.System{}, logger, nodeSettings, seams))
	return delay.node
}

// nodeSeams returns the functions with which a node calls its peers and its backend server and watches published values.
func nodeSeams(peers *relay.Peers, backend *back.Client, watch watchFunc) node.Seams {
	return node.Seams{
		Exec: peers.Exec, Heartbeat: peers.Heartbeat, Fetch: peers.Fetch, FetchHosts: peers.FetchHosts,
		Tokens: peers.Tokens, Handover: peers.Handover, Reclaim: peers.Reclaim,
		Run: backend.Run, Cancel: backend.Cancel, Probe: backend.Probe,
		Watch: watch, DecodeList: plat.DecodeList, EncodeList: plat.EncodeList,
		NewID: uuid.NewString, Random: rand.Float64,
	}
}

type watchFunc = func(ctx context.Context, name string, after uint64, wait time.Duration) (uint64, []byte, error)

// watcher adapts a client's watch to the node's, which expects nil text and no error if no newer value came in time.
func watcher(p *plat.Client) watchFunc {
	return func(ctx context.Context, name string, after uint64, wait time.Duration) (uint64, []byte, error) {
		v, err := p.Watch(ctx, name, after, wait)
		if errors.Is(err, plat.ErrUnchanged) {
			return 0, nil, nil
		}
		return v.Sequence(), v.Text(), err
	}
}

// serveNode runs a node with the settings of the command line until a signal or a failed listener ends it.
func serveNode(ctx context.Context, received *signals, s settings) error {
	tuneMemory(gcPercent, s.memoryBytes())
	logger := newLogger(s, os.Stderr)
	n := newNode(s, logger)
	bodies := newBodyBudget(s.memoryBytes())
	callers := front.New(front.Seams{
		Serve: n.Serve, Refuse: n.Refuse, NewID: uuid.NewString, Bodies: bodies, MaxBody: n.MaxBody, Leaving: n.Leaving,
	})
	reload := received.reloadActor(func() {
		_ = level.Info(logger).Log("msg", "signal ignored, settings of the command line change at the next start")
	})
	return process{settings: s, node: n, callers: callers, bodies: bodies, logger: logger}.serveAll(ctx, received, reload)
}

// process is a node with what its listeners need.
type process struct {
	settings settings
	node     *node.Node
	callers  http.Handler
	bodies   *budget.Budget
	logger   log.Logger
}

// serveAll runs a node's listeners and the given actors in one group. The first of them that fails, or a signal, ends all.
// It returns nil after a signal.
func (p process) serveAll(ctx context.Context, received *signals, actors ...actor) error {
	s, n, logger := p.settings, p.node, p.logger
	defer n.Close()
	listeners, err := listenAll(ctx, s)
	if err != nil {
		return err
	}
	opsapi.Publish(n)
	server := newServer(p.callers)
	wellFormed := guard.New(listeners.http, maxHeaderBytes)
	listeners.http = watchCallers(server, wellFormed, newDoors(s.memoryBytes(), s.descriptors, p.bodies))
	ops := newServer(opsapi.NewHandler(n))
	peers := relay.NewServer(listeners.rpc, relay.Handlers{
		Exec: n.Exec, Heartbeat: n.HandleHeartbeat, Fetch: n.Fetch, FetchHosts: n.FetchHosts,
		Tokens: n.HandleTokens, Handover: n.HandleHandover, Reclaim: n.HandleReclaim,
		Bodies: p.bodies, Locate: n.Locate, Panicked: n.HandlePanic,
	})
	var group run.Group
	group.Add(func() error { return serve(server, listeners.http) }, func(error) {
		stop(n, server, s.shortened(time.Duration(received.stopDelay.Load())), logger)
	})
	group.Add(peers.Serve, func(error) { peers.Close() })
	group.Add(func() error { return serve(ops, listeners.ops) }, func(error) { _ = ops.Close() })
	for _, a := range append(actors, received.stopActor(ctx, logger)) {
		group.Add(a.run, a.interrupt)
	}
	_ = level.Info(logger).Log("msg", "started", "version", Version, "http", s.httpAddr, "ops", s.opsAddr)
	err = group.Run()
	if errors.Is(err, run.ErrSignal) {
		_ = level.Info(logger).Log("msg", "stopped", "cause", err)
		return nil
	}
	return fmt.Errorf("stopped: %w", err)
}

// actor is a member of a run.Group: run blocks until interrupt is called or it fails.
type actor struct {
	run       func() error
	interrupt func(error)
}

type listeners struct {
	http net.Listener
	rpc  net.Listener
	ops  net.Listener
}

func listenAll(ctx context.Context, s settings) (listeners, error) {
	var config net.ListenConfig
	var l listeners
	var errs [3]error
	l.http, errs[0] = config.Listen(ctx, "tcp", s.httpAddr)
	l.rpc, errs[1] = config.Listen(ctx, "tcp", s.rpcAddr)
	l.ops, errs[2] = config.Listen(ctx, "tcp", s.opsAddr)
	if err := errors.Join(errs[:]...); err != nil {
		return l, fmt.Errorf("listen: %w", err)
	}
	return l, nil
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes,
		DisableGeneralOptionsHandler: true, // the handler refuses "OPTIONS *", as every target that is no path
	}
}

func serve(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("listener %s: %w", listener.Addr(), err)
}

// stop ends the node without aborting requests: the node drains, callers get time to move to other nodes, and requests in
// flight are awaited. The callers' listener closes only after the last request has ended: downstream calls of the backend
// server arrive there, and callers learn there when to come back.
func stop(n *node.Node, server *http.Server, s settings, logger log.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), s.stopTimeout)
	defer cancel()
	_ = level.Info(logger).Log("msg", "stopping", "callersServedFor", s.drainDelay, "endsWithin", s.stopTimeout)
	n.Stop(ctx, s.drainDelay)
	if err := n.Finish(ctx); err != nil {
		_ = level.Error(logger).Log("msg", "requests in flight were given up at the stop timeout", "err", err)
	}
	if err := server.Shutdown(ctx); err != nil {
		_ = level.Error(logger).Log("msg", "callers were still connected at the stop timeout", "err", err)
	}
}
