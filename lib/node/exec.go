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

// lastWord is how long before its deadline the backend server is told to end a request, so that its own word arrives in
// time and its connection can be kept.
const lastWord = 12 * time.Millisecond

// stuckSpans is how many times its deadline a request takes that was stuck with a stopped process.
const stuckSpans = 2

// settleTime is how long past its deadline a non-idempotent request's answer is still waited for, to be stored.
const settleTime = 5 * time.Second

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
		a = a.WithNeeds(n.needsOf(route)).WithFromCallers(n.origin.IsCallers(route))
	} else {
		a = a.WithPressures(append(n.ownPressures(r), a.Pressures()...))
	}
	return a.WithInFlight(n.queue.Open())
}

func (n *Node) exec(ctx context.Context, r call.Request) call.Answer {
	service, ok := n.ownService()
	switch {
	case !ok || !n.ready.Load():
		return refuse(r, verd.ReasonNoRules)
	case r.Service() != n.settings.service:
		return refuse(r, verd.ReasonNotOwner)
	case n.settings.untraced && !n.isListed():
		return refuse(r, verd.ReasonLeaving)
	}
	if r.Deduped() {
		return n.execOnce(ctx, r, service)
	}
	return n.execGuarded(ctx, r, service)
}

// refuse ends a request that has not been sent to the backend server; all of its allowance is unspent.
func refuse(r call.Request, reason verd.Reason) call.Answer {
	return call.Refusal(verd.NotRun(reason)).WithUnspent(r.Allowance())
}

// execOnce runs a non-idempotent request at most once for its key.
func (n *Node) execOnce(ctx context.Context, r call.Request, service rules.Service) call.Answer {
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
		return n.join(ctx, r, held.Settled())
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

// join waits for the end of a request that runs already.
func (n *Node) join(ctx context.Context, r call.Request, settled <-chan struct{}) call.Answer {
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
	if !n.takeTenant(r.Tenant(), service.Name()) {
		return refuse(r, verd.ReasonTenantLimit)
	}
	defer n.freeTenant(r.Tenant())
	standing := n.crashes.Standing(r.Fingerprint())
	if standing == crash.Blocked {
		return refuse(r, verd.ReasonCrashSuspect)
	}
	if standing == crash.Clear && (!r.Suspect() || n.crashes.HasSucceeded(r.Fingerprint())) {
		return n.execQueued(ctx, r, service)
	}
	return n.execAlone(ctx, r, service)
}

// execAlone runs a suspect while no other suspect runs; what it learns while it waits counts.
func (n *Node) execAlone(ctx context.Context, r call.Request, service rules.Service) call.Answer {
	select {
	case n.alone <- struct{}{}:
	case <-ctx.Done():
		return refuse(r, verd.ReasonDeadline)
	}
	release := sync.OnceFunc(func() { <-n.alone })
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

// takeTenant counts a request against its tenant's limit.
func (n *Node) takeTenant(tenant, service string) bool {
	bound, limited := n.rules.Load().TenantLimit(tenant, service)
	n.mu.Lock()
	defer n.mu.Unlock()
	if limited && n.tenants[tenant] >= bound {
		return false
	}
	n.tenants[tenant]++
	return true
}

func (n *Node) freeTenant(tenant string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tenants[tenant]--
	if n.tenants[tenant] == 0 {
		delete(n.tenants, tenant)
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
	ticket := queue.NewTicket(r.Class(), n.queuePriority(r), r.Deadline(), n.estimateOf(route), run, drop)
	defer n.observe()
	outcome := n.queue.Put(ticket)
	n.observe()
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
		ctx, cancel = context.WithDeadline(n.ctx, r.Deadline().Add(settleTime))
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
	n.repeats.Note(r.Again())
	start, inFlight := n.clock.Now(), n.queue.Running()
	a, broken := n.seams.Run(ctx, n.addressed(r), open.Token(), service.ShedStatus())
	whole := n.clock.Now().Sub(start)
	n.learn(run{request: r, route: route, start: start, whole: whole, own: whole - open.Waited(), inFlight: inFlight}, a)
	if broken {
		a = n.brokenOff(ctx, r, a, route, whole)
	}
	if ctx.Err() != nil && service.CancelPath() != "" {
		go n.seams.Cancel(service.CancelPath(), open.Token())
	}
	return a.WithUnspent(open.Ledger().Left()).WithShed(open.Shed()).WithPressures(open.Pressures())
}

// addressed names the backend server that a request is meant for, and tells it to end a little before the deadline.
func (n *Node) addressed(r call.Request) call.Request {
	if own, ok := n.ownEndpoint(); ok {
		r = r.WithInstance(own.Instance())
	}
	if n.settings.untraced && r.Deadline().Sub(n.clock.Now()) > 2*lastWord {
		return r.WithDeadline(r.Deadline().Add(-lastWord))
	}
	return r
}

// run is one request that the own backend server was sent, and how long it took: as a whole, and without deeper calls.
type run struct {
	request  call.Request
	route    string
	start    time.Time
	whole    time.Duration
	own      time.Duration
	inFlight int
}

// learn takes in how a run ended.
func (n *Node) learn(r run, a call.Answer) {
	v := a.Verdict()
	if !v.IsNotRun() {
		n.costs.sample(r.route, r.whole) // failures take slots too
	}
	if v.HasRun() {
		n.crashes.Succeeded(r.request.Fingerprint())
	}
	if v.HasRun() && a.Status() >= failedStatus {
		n.decided("backend server failed", r.request, "route", r.route, "status", a.Status(),
			"tookMs", r.whole.Milliseconds(), "inFlight", r.inFlight)
		return // a failure says nothing about how long a request needs
	}
	if n.settings.untraced {
		return
	}
	switch {
	case v.Reason() == verd.ReasonBackendShed:
		n.limit.Shed()
	case v.HasRun() && r.whole <= stuckSpans*r.request.Deadline().Sub(r.start): // longer where a process was stopped
		n.limit.Sample(r.route, r.whole, r.own, r.inFlight)
	}
}

// brokenOff tells a backend server that crashed from one that lost a connection.
func (n *Node) brokenOff(ctx context.Context, r call.Request, a call.Answer, route string, whole time.Duration) call.Answer {
	n.decided("connection to backend server broke", r, "route", route, "tookMs", whole.Milliseconds())
	if !n.hasCrashed(ctx) {
		return call.Refusal(verd.MayHaveRun(verd.ReasonConnLost))
	}
	n.crashes.Crashed(r.Fingerprint())
	n.beatNow()
	return a
}

// isListed reports whether the list in force names the own backend server.
func (n *Node) isListed() bool {
	_, listed := n.ownEndpoint()
	return listed
}

// hasCrashed reports whether a connection that broke tells of a crash: a backend server that still accepts connections
// lost only that one.
func (n *Node) hasCrashed(ctx context.Context) bool {
	return !n.settings.untraced || !n.seams.Probe(context.WithoutCancel(ctx))
}

// ownPressures returns what the own service admits: the request's class, and the classes that it holds back.
func (n *Node) ownPressures(r call.Request) []call.Pressure {
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
