package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/claims"
	"tamarackrudder.org/lib/crash"
	"tamarackrudder.org/lib/queue"
	"tamarackrudder.org/lib/rules"
	"tamarackrudder.org/lib/verd"
)

// failedStatus is the least status of a backend server that failed (RFC 9110, section 15.6).
const failedStatus = 500

// deadlineMargin is how long before its deadline the backend server is told to end a request, so that its own word arrives in
// time and its connection can be kept.
const deadlineMargin = 12 * time.Millisecond

// maxDeadlineMultiple is how many times its deadline a request takes that was stuck with a stopped process.
const maxDeadlineMultiple = 2

// settleTimeout is how long past its deadline a non-idempotent request's answer is still waited for, to be stored.
const settleTimeout = 5 * time.Second

// Exec runs a request on the own backend server, or refuses it.
func (n *Node) Exec(ctx context.Context, r call.Request) call.Answer {
	n.executing.enter()
	defer n.executing.leave()
	a := n.exec(ctx, r)
	if r.Service() != n.settings.service || n.rules.Load() == nil {
		return a.WithInFlight(n.queue.Open())
	}
	if n.settings.untraced {
		route := n.routeOf(r)
		n.origin.Ran(route, r.Caller())
		a = a.WithNeeds(n.demandOf(route)).WithFromCallers(n.origin.IsCallers(route))
	} else {
		a = a.WithPressures(append(n.localBackpressure(r), a.Pressures()...))
	}
	return a.WithInFlight(n.queue.Open())
}

func (n *Node) exec(ctx context.Context, r call.Request) call.Answer {
	service, ok := n.localService()
	switch {
	case !ok || !n.ready.Load():
		return refuse(r, verd.ReasonNoRules)
	case r.Service() != n.settings.service:
		return refuse(r, verd.ReasonNotOwner)
	case n.settings.untraced && !n.isListed():
		return refuse(r, verd.ReasonLeaving)
	}
	if r.Deduped() {
		return n.execDeduped(ctx, r, service)
	}
	return n.execGuarded(ctx, r, service)
}

// refuse ends a request that has not been sent to the backend server; all of its allowance is unspent.
func refuse(r call.Request, reason verd.Reason) call.Answer {
	return call.Refusal(verd.NotRun(reason)).WithUnspent(r.Allowance())
}

// execDeduped runs a non-idempotent request at most once for its key.
func (n *Node) execDeduped(ctx context.Context, r call.Request, service rules.Service) call.Answer {
	fingerprint := r.Fingerprint()
	held, claimed := n.claims.Look(r.Key(), fingerprint)
	if !claimed {
		permit := n.group.Permit(r.Key())
		if !permit.Allowed() {
			return refuse(r, permit.Reason())
		}
		held = n.claims.Claim(r.Key(), fingerprint, claims.NewLeave(permit.At(), permit.Fence()), n.bounds(service))
	}
	switch held.Outcome() {
	case claims.Known:
		return held.Answer().WithUnspent(r.Allowance())
	case claims.Running:
		return n.awaitRunning(ctx, r, held.Settled())
	}
	a := n.execGuarded(ctx, r, service)
	if a.Verdict() == verd.MayHaveRun(verd.ReasonDeadline) {
		return a // the job that still runs settles the claim
	}
	n.settle(r, a)
	return a.WithProven(a.Verdict().IsNotRun())
}

func (n *Node) bounds(service rules.Service) claims.Bounds {
	t := n.settings.terms
	return claims.NewBounds(service.Horizon(), service.Keys(), t.Future(), t.Skew())
}

// awaitRunning waits for the end of a request that runs already.
func (n *Node) awaitRunning(ctx context.Context, r call.Request, settled <-chan struct{}) call.Answer {
	select {
	case <-settled:
	case <-ctx.Done():
		return call.Refusal(verd.MayHaveRun(verd.ReasonDeadline))
	}
	if a, ok := n.claims.Answer(r.Key()); ok {
		return a
	}
	return refuse(r, verd.ReasonQueueFull).WithProven(true)
}

// execGuarded keeps away what must not run here now, and runs crash suspects one at a time.
func (n *Node) execGuarded(ctx context.Context, r call.Request, service rules.Service) call.Answer {
	if n.leaving.Load() {
		return refuse(r, verd.ReasonLeaving)
	}
	if !n.acquireTenant(r.Tenant(), service.Name()) {
		return refuse(r, verd.ReasonTenantLimit)
	}
	defer n.releaseTenant(r.Tenant())
	standing := n.crashes.Standing(r.Fingerprint())
	if standing == crash.Blocked {
		return refuse(r, verd.ReasonCrashSuspect)
	}
	if standing == crash.Clear && (!r.Suspect() || n.crashes.HasSucceeded(r.Fingerprint())) {
		return n.execQueued(ctx, r, service)
	}
	return n.execSuspect(ctx, r, service)
}

// execSuspect runs a suspect while no other suspect runs; what it learns while it waits counts.
func (n *Node) execSuspect(ctx context.Context, r call.Request, service rules.Service) call.Answer {
	select {
	case n.suspectSlot <- struct{}{}:
	case <-ctx.Done():
		return refuse(r, verd.ReasonDeadline)
	}
	release := sync.OnceFunc(func() { <-n.suspectSlot })
	defer release()
	switch n.crashes.Standing(r.Fingerprint()) {
	case crash.Blocked:
		return refuse(r, verd.ReasonCrashSuspect)
	case crash.Clear:
		if !r.Suspect() || n.crashes.HasSucceeded(r.Fingerprint()) {
			release()
		}
	}
	return n.execQueued(ctx, r, service)
}

// acquireTenant counts a request against its tenant's limit.
func (n *Node) acquireTenant(tenant, service string) bool {
	bound, limited := n.rules.Load().TenantLimit(tenant, service)
	n.mu.Lock()
	defer n.mu.Unlock()
	if limited && n.tenantRequests[tenant] >= bound {
		return false
	}
	n.tenantRequests[tenant]++
	return true
}

func (n *Node) releaseTenant(tenant string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tenantRequests[tenant]--
	if n.tenantRequests[tenant] == 0 {
		delete(n.tenantRequests, tenant)
	}
}

// execQueued puts a request in its class queue and waits for its end.
func (n *Node) execQueued(ctx context.Context, r call.Request, service rules.Service) call.Answer {
	ended := make(chan call.Answer, 1)
	route := n.routeOf(r)
	run := func() { n.runJob(ctx, r, service, route, ended) }
	drop := func() {
		a := refuse(r, verd.ReasonQueueFull)
		n.settle(r, a)
		ended <- a
	}
	ticket := queue.NewTicket(r.Class(), n.queuePriority(r), r.Deadline(), n.estimateRoute(route), run, drop)
	defer n.updateGauge()
	outcome := n.queue.Put(ticket)
	n.updateGauge()
	switch outcome {
	case queue.Queued:
	case queue.Full:
		return refuse(r, verd.ReasonQueueFull)
	case queue.TooLate:
		return refuse(r, verd.ReasonDeadline)
	case queue.Closed:
		return refuse(r, verd.ReasonLeaving)
	}
	select {
	case a := <-ended:
		return a
	case <-ctx.Done():
	}
	if n.queue.Withdraw(ticket) {
		return refuse(r, contextReason(ctx))
	}
	if r.Deduped() {
		return call.Refusal(verd.MayHaveRun(verd.ReasonDeadline))
	}
	return <-ended
}

func contextReason(ctx context.Context) verd.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verd.ReasonDeadline
	}
	return verd.ReasonCanceled
}

// runJob runs a request in a worker and settles its claim where its caller may have gone.
func (n *Node) runJob(ctx context.Context, r call.Request, service rules.Service, route string, ended chan<- call.Answer) {
	n.executing.enter()
	defer n.executing.leave()
	if r.Deduped() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(n.ctx, r.Deadline().Add(settleTimeout))
		defer cancel()
	}
	a := n.runBackend(ctx, r, service, route)
	n.settle(r, a)
	ended <- a
}

// settle stores the end of a non-idempotent request, also where its caller has gone.
func (n *Node) settle(r call.Request, a call.Answer) {
	if r.Deduped() {
		n.claims.Settle(r.Key(), a)
	}
}

// runBackend sends a request to the own backend server and takes in what its end tells.
func (n *Node) runBackend(ctx context.Context, r call.Request, service rules.Service, route string) call.Answer {
	open := n.chain.Open(ctx, r)
	defer n.chain.Close(open)
	defer n.fanout.Ended(n.fanout.Started(route))
	n.retryFraction.Note(r.Again())
	start, inFlight := n.clock.Now(), n.queue.Running()
	a, broken := n.seams.Run(ctx, n.prepareForBackend(r), open.Token(), service.ShedStatus())
	whole := n.clock.Now().Sub(start)
	n.recordRun(backendRun{request: r, route: route, start: start, total: whole, selfTime: whole - open.Waited(), inFlight: inFlight}, a)
	if broken {
		a = n.classifyBrokenConn(ctx, r, a, route, whole)
	}
	if ctx.Err() != nil && service.CancelPath() != "" {
		go n.seams.Cancel(service.CancelPath(), open.Token())
	}
	return a.WithUnspent(open.Ledger().Left()).WithShed(open.Shed()).WithPressures(open.Pressures())
}

// prepareForBackend names the backend server that a request is meant for, and tells it to end a little before the deadline.
func (n *Node) prepareForBackend(r call.Request) call.Request {
	if own, ok := n.localEndpoint(); ok {
		r = r.WithInstance(own.Instance())
	}
	if n.settings.untraced && r.Deadline().Sub(n.clock.Now()) > 2*deadlineMargin {
		return r.WithDeadline(r.Deadline().Add(-deadlineMargin))
	}
	return r
}

// backendRun is one request that the own backend server was sent, and how long it took: as a whole, and without deeper calls.
type backendRun struct {
	request  call.Request
	route    string
	start    time.Time
	total    time.Duration
	selfTime      time.Duration
	inFlight int
}

// recordRun takes in how a run ended.
func (n *Node) recordRun(r backendRun, a call.Answer) {
	v := a.Verdict()
	if !v.IsNotRun() {
		n.runTimes.sample(r.route, r.total) // failures take slots too
	}
	if v.HasRun() {
		n.crashes.Succeeded(r.request.Fingerprint())
	}
	if v.HasRun() && a.Status() >= failedStatus {
		n.logDecision("backend server failed", r.request, "route", r.route, "status", a.Status(),
			"tookMs", r.total.Milliseconds(), "inFlight", r.inFlight)
		return // a failure says nothing about how long a request needs
	}
	if n.settings.untraced {
		return
	}
	switch {
	case v.Reason() == verd.ReasonBackendShed:
		n.limit.Shed()
	case v.HasRun() && r.total <= maxDeadlineMultiple*r.request.Deadline().Sub(r.start): // longer where a process was stopped
		n.limit.Sample(r.route, r.total, r.selfTime, r.inFlight)
	}
}

// classifyBrokenConn tells a backend server that crashed from one that lost a connection.
func (n *Node) classifyBrokenConn(ctx context.Context, r call.Request, a call.Answer, route string, whole time.Duration) call.Answer {
	n.logDecision("connection to backend server broke", r, "route", route, "tookMs", whole.Milliseconds())
	if !n.hasCrashed(ctx) {
		return call.Refusal(verd.MayHaveRun(verd.ReasonConnLost))
	}
	n.crashes.Crashed(r.Fingerprint())
	n.triggerHeartbeat()
	return a
}

// isListed reports whether the list in force names the own backend server.
func (n *Node) isListed() bool {
	_, listed := n.localEndpoint()
	return listed
}

// hasCrashed reports whether a connection that broke tells of a crash: a backend server that still accepts connections
// lost only that one.
func (n *Node) hasCrashed(ctx context.Context) bool {
	return !n.settings.untraced || !n.seams.Probe(context.WithoutCancel(ctx))
}

// localBackpressure returns what the own service admits: the request's class, and the classes that it holds back.
func (n *Node) localBackpressure(r call.Request) []call.Pressure {
	set := n.rules.Load()
	own := call.NewPressure(n.settings.service, r.Class(), !n.queue.Holds(r.Priority()))
	pressures := []call.Pressure{own.WithBusy(n.queue.IsBusy(r.Priority()))}
	for _, c := range set.Classes() {
		if c.Name() != r.Class() && n.queue.Holds(c.Priority()) {
			pressures = append(pressures, call.NewPressure(n.settings.service, c.Name(), false))
		}
	}
	return pressures
}
