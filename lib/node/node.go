package node

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"tamarackrudder.org/lib/admit"
	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/capped"
	"tamarackrudder.org/lib/chain"
	"tamarackrudder.org/lib/claims"
	"tamarackrudder.org/lib/crash"
	"tamarackrudder.org/lib/fanout"
	"tamarackrudder.org/lib/hosts"
	"tamarackrudder.org/lib/lease"
	"tamarackrudder.org/lib/limit"
	"tamarackrudder.org/lib/mesh"
	"tamarackrudder.org/lib/origin"
	"tamarackrudder.org/lib/picker"
	"tamarackrudder.org/lib/press"
	"tamarackrudder.org/lib/queue"
	"tamarackrudder.org/lib/retry"
	"tamarackrudder.org/lib/rules"
	"tamarackrudder.org/lib/split"
	"tamarackrudder.org/lib/spread"
	"tamarackrudder.org/lib/stats"
	"tamarackrudder.org/lib/takes"
)

const (
	// maxWorkers bounds the requests that the backend server is ever given at once, whatever the slots.
	maxWorkers = 512
	// initialSlots is the concurrency limit until the rules or the list of hosts set the slots.
	initialSlots = 16
	// unlimited is a queue capacity that is never reached.
	unlimited = 1 << 20
	// logLinesPerSecond bounds the log lines about single requests, for each message.
	logLinesPerSecond = 20
	// usableSlotFraction is the part of its slots that a backend server is given on untraced nodes; some servers slow
	// down when all slots are taken.
	usableSlotFraction = 0.93
)

// Node is one node: the published values in force, and the tables and loops that its decisions rest on.
type Node struct {
	Common
	rulesStore    *spread.Store
	hostsStore    *spread.Store
	rules         atomic.Pointer[rules.Set]
	hosts         atomic.Pointer[hosts.List]
	published     atomic.Pointer[publishedList]
	neighbors     atomic.Pointer[mesh.Neighbors]
	ready         atomic.Bool
	leaving       atomic.Bool
	stopping      atomic.Bool
	listedLeaving atomic.Bool
	flushed       atomic.Bool                    // while leaving: nothing more goes to the backend server
	lastListed    atomic.Pointer[hosts.Endpoint] // this endpoint as it was last listed, nil before
	replaced      atomic.Pointer[replacedInstance]

	refusesCallers atomic.Bool
	refusesAll     atomic.Bool
	stopDeadline   atomic.Pointer[time.Time] // the latest deadline of requests that enter while the node stops
	inFlightCtx    context.Context           // of all requests that entered here; ends when a stopping node gives up what is left
	cancelInFlight context.CancelFunc

	queue         *queue.Queue
	limit         *limit.Limit
	claims        *claims.Table
	group         *lease.Group
	crashes       *crash.Table
	press         *press.Table
	picker        *picker.Table
	split         *split.Table
	retries       *retry.Budget
	retryFraction retry.Fraction
	chain         *chain.Table
	fanout        *fanout.Table
	origin        *origin.Table
	gauge         *admit.Gauge
	gate          *admit.Gate
	runTimes      *runTimes
	takes         *takes.Learner
	leafRoutes    leafRoutes
	logLimiter    *capped.Limiter
	entryCounts   entryCounts
	stats         *stats.Table
	recent        *recentKeys
	quotas        quotas
	suspectSlot   chan struct{} // full while a crash suspect runs

	serving   *inFlightCounter // requests that entered here
	executing *inFlightCounter // requests for the local backend server

	ctx              context.Context
	cancel           context.CancelFunc
	heartbeatTrigger chan struct{}
	lostWatcher      chan struct{} // full after the first report that a watcher cannot read the platform

	mu                   sync.Mutex
	organisationRequests map[string]int
	heartbeatsInFlight   map[string]bool
	fetching             map[string]bool // by the name of the value
	lastReplyAt          time.Time
	lostWatcherAt        time.Time // when a peer last reported that it cannot read the platform
	heartbeatRounds      int
}

// New returns a node and starts its background loops; Close ends them.
func New(common Common) *Node {
	c, s := common.clock, common.settings
	n := &Node{
		Common:           common,
		limit:            limit.New(c, initialSlots),
		claims:           claims.NewTable(c),
		group:            lease.NewGroup(c, s.terms, s.self),
		crashes:          crash.NewTable(c, s.self),
		press:            press.NewTable(c, common.seams.Random),
		picker:           picker.NewTable(c, common.seams.Random, s.zone),
		split:            split.NewTable(c, common.seams.Random),
		retries:          retry.NewBudget(c, s.retryRatio, s.retrySlack, s.retryWindow),
		chain:            chain.NewTable(common.seams.NewID),
		fanout:           fanout.NewTable(c),
		origin:           origin.NewTable(),
		gauge:            admit.NewGauge(c),
		gate:             admit.NewGate(c, s.retryRatio),
		runTimes:         newRunTimes(c),
		takes:            takes.New(c),
		logLimiter:       capped.NewLimiter(c, logLinesPerSecond),
		stats:            stats.NewTable(),
		recent:           newRecentKeys(),
		suspectSlot:      make(chan struct{}, 1),
		heartbeatTrigger: make(chan struct{}, 1),
		lostWatcher:      make(chan struct{}, 1),
		serving:          newInFlightCounter(), executing: newInFlightCounter(),
		organisationRequests: map[string]int{},
		heartbeatsInFlight:   map[string]bool{},
		fetching:             map[string]bool{},
		lastReplyAt:          c.Now(),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.inFlightCtx, n.cancelInFlight = context.WithCancel(n.ctx)
	n.quotas = n.newQuotas()
	n.rulesStore = spread.NewStore(spread.Seams{Parse: n.parseRules, Apply: n.applyRules})
	n.hostsStore = spread.NewStore(spread.Seams{Parse: n.parseHosts, Apply: n.applyHosts})
	n.queue = queue.New(c, queue.Seams{Capacity: n.queueCapacity, Limit: n.concurrencyLimit, Estimate: n.estimateAll}, maxWorkers)
	go n.heartbeatLoop()
	go n.watchLoop(NameRules, n.rulesStore)
	go n.watchLoop(NameHosts, n.hostsStore)
	if s.untraced {
		go n.logLoad()
	} else {
		go n.probeLoop()
	}
	return n
}

// Close ends the loops; requests in flight are not waited for.
func (n *Node) Close() {
	n.cancel()
	n.queue.Close()
}

func (n *Node) parseRules(_ uint64, text []byte) (uint64, error) {
	set, err := n.decodeRules(text)
	if err != nil {
		return 0, err
	}
	return set.Version(), nil
}

func (n *Node) decodeRules(text []byte) (*rules.Set, error) {
	if n.seams.DecodeRules != nil {
		return n.seams.DecodeRules(text)
	}
	return rules.Parse(text)
}

func (n *Node) parseHosts(sequence uint64, text []byte) (uint64, error) {
	list, err := n.seams.DecodeList(sequence, text)
	if err != nil {
		return 0, err
	}
	return list.Version(), nil
}

func (n *Node) applyRules(v spread.Value) {
	set, err := n.decodeRules(v.Text())
	if err != nil {
		return
	}
	n.rules.Store(set)
	if list := n.hosts.Load(); list != nil {
		n.adoptMembership(list)
	}
	if s, ok := set.Service(n.settings.service); ok && s.Slots() > 0 {
		n.limit.SetSlots(s.Slots())
		n.queue.Wake()
	}
	_ = level.Info(n.log).Log("msg", "rules in force", "version", v.Version(), "sequence", v.Sequence())
	n.triggerHeartbeat()
}

func (n *Node) applyHosts(v spread.Value) {
	list, err := n.seams.DecodeList(v.Sequence(), v.Text())
	if err != nil {
		return
	}
	n.published.Store(&publishedList{list: list, sequence: v.Sequence()})
	list = list.KeepLeaving(n.hosts.Load())
	n.hosts.Store(list)
	neighbors := mesh.Choose(list, n.settings.self, n.settings.service, n.settings.zone)
	n.neighbors.Store(&neighbors)
	n.adoptHomes(list, slices.Concat(neighbors.Service(), neighbors.Others()))
	n.origin.SetServices(list.Services())
	if n.settings.untraced {
		n.retries.SetSlack(n.settings.retrySlack / float64(max(1, len(list.Endpoints()))))
	}
	n.picker.RemoveUnlisted(list)
	n.adoptMembership(list)
	_ = level.Info(n.log).Log("msg", "list of hosts in force", "version", list.Version(), "endpoints", len(list.Endpoints()))
	n.triggerHeartbeat()
	n.applyLocalEndpoint()
}

// applyLocalEndpoint applies what the list of hosts in force says of this endpoint. On untraced nodes one that is no longer
// listed is leaving as well, since some never announce it.
func (n *Node) applyLocalEndpoint() {
	local, listed := n.localEndpoint()
	if !listed {
		if n.settings.untraced && n.lastListed.Load() != nil {
			n.applyListedLeaving(true)
		}
		return
	}
	n.lastListed.Store(&local)
	if local.Slots() > 0 {
		n.limit.SetSlots(local.Slots())
		n.takes.SetEndpoint(local.Slots(), local.Instance())
		n.queue.Wake()
	}
	n.applyListedLeaving(local.Leaving())
}

// Leased reports whether any route in force needs an owner for its keys; if none does, leases are neither requested nor
// granted.
func (n *Node) Leased() bool {
	set := n.rules.Load()
	return set != nil && set.Keyed()
}

func (n *Node) adoptMembership(list *hosts.List) {
	if n.Leased() {
		n.group.Adopt(lease.NewMembership(list.Version(), list.Members(n.settings.service)))
	}
}

// localEndpoint returns this node's entry in the list of hosts in force, and whether there is one for its service.
func (n *Node) localEndpoint() (hosts.Endpoint, bool) {
	list := n.hosts.Load()
	if list == nil {
		return hosts.Endpoint{}, false
	}
	e, ok := list.Find(n.settings.self)
	return e, ok && e.Service() == n.settings.service
}

// localService returns the rules in force for this node's service, and whether there are any.
func (n *Node) localService() (rules.Service, bool) {
	set := n.rules.Load()
	if set == nil {
		return rules.Service{}, false
	}
	return set.Service(n.settings.service)
}

func (n *Node) queueCapacity() int {
	s, ok := n.localService()
	switch {
	case n.settings.control == ControlNone:
		return unlimited
	case !ok:
		return initialSlots
	}
	if n.settings.untraced {
		return unlimited // tickets that cannot finish before their deadline are refused one by one
	}
	return s.Queue()
}

func (n *Node) concurrencyLimit() int {
	s, ok := n.localService()
	switch {
	case n.settings.control == ControlNone:
		return maxWorkers
	case n.settings.control == ControlStatic && ok && s.Slots() > 0:
		return s.Slots()
	}
	if n.settings.untraced {
		return n.usableSlots()
	}
	return n.limit.Current()
}

// usableSlots returns usableSlotFraction of the slots that the list of hosts gives this endpoint, at least 1.
func (n *Node) usableSlots() int {
	local, ok := n.localEndpoint()
	if !ok || local.Slots() == 0 {
		return initialSlots
	}
	return max(1, int(usableSlotFraction*float64(local.Slots())))
}

func (n *Node) estimateAll() time.Duration { return n.estimateRoute(limit.AllRoutes) }

// estimateRoute returns the expected run time of a route's requests by which the queue refuses those that cannot finish
// in time, zero if it must not refuse any.
func (n *Node) estimateRoute(route string) time.Duration {
	switch {
	case n.settings.control == ControlNone || n.settings.control == ControlStatic:
		return 0
	case n.settings.untraced && route == limit.AllRoutes:
		return 0
	case n.settings.untraced:
		return n.runTimes.estimate(route)
	}
	return n.limit.Estimate(route)
}

// routeOf returns the name of the route that a request matches in the rules in force, limit.AllRoutes if none does.
func (n *Node) routeOf(r call.Request) string {
	route, ok := n.rules.Load().Match(r.Host(), r.Method(), r.Path())
	if !ok {
		return limit.AllRoutes
	}
	return route.Name()
}
