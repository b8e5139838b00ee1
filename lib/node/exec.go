package node

import (
	"context"
	"fmt"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/crash"
	"tamarackrudder.org/lib/queue"
	"tamarackrudder.org/lib/rules"
	"tamarackrudder.org/lib/verd"
)

// failedStatus is the lowest status code that counts as a failure of the backend server (RFC 9110, section 15.6).
const failedStatus = 500

// deadlineMargin is by how much the deadline that the backend server gets is earlier than that of the request, so that
// its answer arrives in time and the connection can be kept.
const deadlineMargin = 12 * time.Millisecond

// minRunTime is the shortest time until a request's deadline with which an untraced node sends it to the backend server.
const minRunTime = 2 * deadlineMargin

// maxDeadlineMultiple bounds the runs that count as latency samples, as a multiple of the time that was left until the
// deadline. A longer run was stuck in a suspended process.
const maxDeadlineMultiple = 2

// Exec runs a request on the local backend server or refuses it. The answer carries the load of this endpoint and,
// depending on the settings, slot demand or back-pressure.
func (n *Node) Exec(ctx context.Context, r call.Request) call.Answer {
	n.executing.enter()
	defer n.executing.leave()
	a := n.execBounded(ctx, r)
	if r.Service() != n.settings.service || n.rules.Load() == nil {
		return a.WithInFlight(n.queue.InFlight())
	}
	if n.settings.untraced {
		route := n.routeOf(r)
		n.origin.RecordRun(route, r.EntryService())
		a = n.withCapacity(a).WithDemands(n.demandOf(route)).WithEntryRoute(n.origin.IsEntryRoute(route))
	} else {
		a = a.WithBackpressure(append(n.localBackpressure(r), a.Backpressure()...))
	}
	return a.WithInFlight(n.queue.InFlight())
}

// execBounded executes a request with a deadline before the end of a stop. If only that deadline is too early, the refusal
// names the stop, so that the entry node sends the request elsewhere.
func (n *Node) execBounded(ctx context.Context, r call.Request) call.Answer {
	bounded := r.WithDeadline(n.boundByStop(r.Deadline()))
	a := n.exec(ctx, bounded)
	if bounded.Deadline().Before(r.Deadline()) && a.Verdict() == verd.NotRun(verd.ReasonDeadline) {
		return refuse(r, verd.ReasonLeaving)
	}
	return a
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
	case n.isReplaced():
		return refuse(r, verd.ReasonBackendReplaced)
	}
	if r.Deduped() {
		return n.execDeduped(ctx, r, service)
	}
	return n.execGuarded(ctx, r, service)
}

// refuse returns the refusal of a request that was not sent to the backend server; its whole retry allowance is
// unspent.
func refuse(r call.Request, reason verd.Reason) call.Answer {
	return call.Refusal(verd.NotRun(reason)).WithUnspentRetries(r.Allowance())
}

// execGuarded refuses a request if this endpoint is leaving, its organisation is at the limit or its fingerprint is blocked
// after crashes. Crash suspects run one at a time.
func (n *Node) execGuarded(ctx context.Context, r call.Request, service rules.Service) call.Answer {
	if n.leaving.Load() {
		return refuse(r, verd.ReasonLeaving)
	}
	if !n.acquireOrganisation(r.Organisation(), service.Name()) {
		return refuse(r, verd.ReasonOrganisationLimit)
	}
	defer n.releaseOrganisation(r.Organisation())
	fingerprint := r.CallerFingerprint()
	status := n.crashes.Status(fingerprint)
	if status == crash.Blocked {
		return refuse(r, verd.ReasonCrashSuspect)
	}
	if status == crash.Clear && (!r.CrashSuspect() || n.crashes.HasSucceeded(fingerprint)) {
		return n.execQueued(ctx, r, service)
	}
	return n.execSuspect(ctx, r, service)
}

// execSuspect runs a crash suspect while no other suspect runs. It looks up the status again after waiting for its
// turn, since crash marks or a successful run may have changed it.
func (n *Node) execSuspect(ctx context.Context, r call.Request, service rules.Service) call.Answer {
	select {
	case n.suspectSlot <- struct{}{}:
	case <-ctx.Done():
		return refuse(r, verd.ReasonDeadline)
	}
	release := sync.OnceFunc(func() { <-n.suspectSlot })
	defer release()
	fingerprint := r.CallerFingerprint()
	switch n.crashes.Status(fingerprint) {
	case crash.Blocked:
		return refuse(r, verd.ReasonCrashSuspect)
	case crash.Clear:
		if !r.CrashSuspect() || n.crashes.HasSucceeded(fingerprint) {
			release()
		}
	}
	return n.execQueued(ctx, r, service)
}

// acquireOrganisation counts a request against the limit of its organisation and reports whether it is within the limit.
func (n *Node) acquireOrganisation(organisation, service string) bool {
	bound, limited := n.rules.Load().OrganisationLimit(organisation, service)
	n.mu.Lock()
	defer n.mu.Unlock()
	if limited && n.organisationRequests[organisation] >= bound {
		return false
	}
	n.organisationRequests[organisation]++
	return true
}

func (n *Node) releaseOrganisation(organisation string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.organisationRequests[organisation]--
	if n.organisationRequests[organisation] == 0 {
		delete(n.organisationRequests, organisation)
	}
}

// execQueued puts a request into the queue and waits for its answer. When the context ends, a request that has not
// started is withdrawn, while a deduplicated one that has started goes on so that its answer is stored.
func (n *Node) execQueued(ctx context.Context, r call.Request, service rules.Service) call.Answer {
	ended := make(chan call.Answer, 1)
	route := n.routeOf(r)
	run := func() { n.runJob(ctx, r, service, route, ended) }
	drop := func() {
		a := refuse(r, n.dropReason())
		n.settle(r, a)
		ended <- a
	}
	ticket := queue.NewTicket(r.Class(), n.queuePriority(r), r.Deadline(), n.estimateRoute(route), run, drop).
		WithFlow(r.Organisation(), n.rules.Load().Weight(r.Organisation()))
	if n.sharesMachine() {
		ticket.WithUsefulBy(n.usefulBy(r)).WithBegun(r.Downstream())
	}
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
		return refuse(r, verd.ReasonOf(ctx))
	}
	if r.Deduped() {
		return call.Refusal(verd.MayHaveRun(verd.ReasonDeadline))
	}
	return <-ended
}

// dropReason returns why a queued request is dropped: an endpoint that leaves drops all, so that entry nodes send them
// elsewhere.
func (n *Node) dropReason() verd.Reason {
	if n.leaving.Load() {
		return verd.ReasonLeaving
	}
	return verd.ReasonQueueFull
}

// runJob runs a request in a worker of the queue and settles its claim. A deduplicated request goes on without its
// caller until settleTimeout after its deadline.
func (n *Node) runJob(ctx context.Context, r call.Request, service rules.Service, route string, ended chan<- call.Answer) {
	n.executing.enter()
	defer n.executing.leave()
	if r.Deduped() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(n.ctx, r.Deadline().Add(settleTimeout))
		defer cancel()
		release := r.Body().Retain()
		defer release()
	}
	a := n.runGuarded(ctx, r, service, route)
	n.settle(r, a)
	ended <- a
}

// runGuarded is runBackend, but a panic ends only the request, which may have run.
func (n *Node) runGuarded(ctx context.Context, r call.Request, service rules.Service, route string) (a call.Answer) {
	defer func() {
		if cause := recover(); cause != nil {
			n.logPanic("run", cause, debug.Stack())
			a = call.Refusal(verd.MayHaveRun(verd.ReasonAnswerLost))
		}
	}()
	return n.runBackend(ctx, r, service, route)
}

// HandlePanic logs that the handler of a peer's message has panicked.
func (n *Node) HandlePanic(method string, cause any, stack []byte) {
	n.logPanic("message "+method, cause, stack)
}

func (n *Node) logPanic(where string, cause any, stack []byte) {
	_ = level.Error(n.log).Log("msg", "unexpected failure, only this request or message is lost", "at", where,
		"cause", fmt.Sprint(cause), "stack", string(stack))
}

// runBackend sends a request to the local backend server and records the outcome. If the context ended before the
// answer, it also sends a request to the cancel path of the service, where the rules name one.
func (n *Node) runBackend(ctx context.Context, r call.Request, service rules.Service, route string) call.Answer {
	switch {
	case n.leaving.Load() && n.flushed.Load():
		return refuse(r, verd.ReasonLeaving) // it had waited elsewhere than in the queue
	case n.isReplaced():
		return refuse(r, verd.ReasonBackendReplaced)
	case n.settings.untraced && r.Deadline().Sub(n.clock.Now()) < minRunTime:
		return refuse(r, verd.ReasonDeadline)
	}
	open := n.chain.Open(ctx, r)
	defer n.chain.Close(open)
	defer n.fanout.Ended(n.fanout.Started(route))
	n.retryFraction.Record(r.RetryFraction())
	start, inFlight := n.clock.Now(), n.queue.Running()
	sent := n.prepareForBackend(r)
	a, broken := n.seams.Run(ctx, sent, open.Token(), service.ShedStatus())
	total := n.clock.Now().Sub(start)
	n.recordRun(backendRun{request: r, route: route, start: start, total: total, selfTime: total - open.Waited(), inFlight: inFlight}, a)
	if broken {
		a = n.classifyBrokenConn(ctx, r, a, route, total)
	}
	if a.Verdict().Reason() == verd.ReasonBackendReplaced {
		n.recordReplaced(sent.Instance())
	}
	if ctx.Err() != nil && service.CancelPath() != "" {
		go n.seams.Cancel(service.CancelPath(), open.Token())
	}
	return a.WithUnspentRetries(open.Ledger().Left()).WithDownstreamShed(open.Shed()).WithBackpressure(open.Backpressure())
}

// prepareForBackend sets the instance of the backend server that a request is meant for, also when it is listed no longer, and
// on untraced nodes a deadline that is earlier by deadlineMargin.
func (n *Node) prepareForBackend(r call.Request) call.Request {
	if local := n.lastListed.Load(); local != nil {
		r = r.WithInstance(local.Instance())
	}
	if n.settings.untraced {
		return r.WithDeadline(r.Deadline().Add(-deadlineMargin))
	}
	return r
}

// backendRun is one request that the local backend server ran. Of its duration, selfTime leaves out the waits for
// downstream calls.
type backendRun struct {
	request  call.Request
	route    string
	start    time.Time
	total    time.Duration
	selfTime time.Duration
	inFlight int
}

// recordRun updates the run times, the crash table and the concurrency limit after a run.
func (n *Node) recordRun(r backendRun, a call.Answer) {
	v := a.Verdict()
	n.learnFrom(r, a)
	n.gauge.RecordSend(v.Reason() == verd.ReasonBackendShed)
	if !v.IsNotRun() {
		n.runTimes.sample(r.route, r.total) // failed runs take slots too
	}
	if v.HasRun() {
		n.crashes.RecordSuccess(r.request.CallerFingerprint())
	}
	if v.HasRun() && a.Status() >= failedStatus {
		n.logDecision("backend server failed", r.request, "route", r.route, "status", a.Status(),
			"tookMs", r.total.Milliseconds(), "inFlight", r.inFlight)
		return // the duration of a failure says nothing about how long a request takes
	}
	if n.settings.untraced {
		return
	}
	switch {
	case v.Reason() == verd.ReasonBackendShed:
		n.limit.RecordShed()
	case v.HasRun() && r.total <= maxDeadlineMultiple*r.request.Deadline().Sub(r.start): // else it was stuck
		n.limit.Sample(r.route, r.total, r.selfTime, r.inFlight)
	}
}

// classifyBrokenConn returns the answer for a run whose connection broke. If the backend server has crashed, it also
// marks the fingerprint and sends the mark to the peers; otherwise only the connection was lost.
func (n *Node) classifyBrokenConn(ctx context.Context, r call.Request, a call.Answer, route string, total time.Duration) call.Answer {
	n.logDecision("connection to backend server broke", r, "route", route, "tookMs", total.Milliseconds())
	if !n.hasCrashed(ctx) {
		return call.Refusal(verd.MayHaveRun(verd.ReasonConnLost))
	}
	fingerprint := r.CallerFingerprint()
	crashes := n.crashes.RecordCrash(fingerprint)
	n.logDecision("backend server crashed beside the request", r, "route", route, "caller", r.EntryService(),
		"fingerprint", strconv.FormatUint(fingerprint, 16), "crashes", crashes, "succeeded", n.crashes.HasSucceeded(fingerprint))
	n.triggerHeartbeat()
	return a
}

// isListed reports whether the list of hosts in force names this endpoint.
func (n *Node) isListed() bool {
	_, listed := n.localEndpoint()
	return listed
}

// hasCrashed reports whether a broken connection counts as a crash of the backend server. On untraced nodes it does not
// if the server still accepts connections, since then only that one was lost.
func (n *Node) hasCrashed(ctx context.Context) bool {
	return !n.settings.untraced || !n.seams.Probe(context.WithoutCancel(ctx))
}

// localBackpressure returns the back-pressure of the local service: for the request's class, and for each other class
// that the queue holds back.
func (n *Node) localBackpressure(r call.Request) []call.Backpressure {
	set := n.rules.Load()
	local := call.NewBackpressure(n.settings.service, r.Class(), !n.queue.HoldsBack(r.Priority()))
	backpressure := []call.Backpressure{local.WithBusy(n.queue.IsBusy(r.Priority()))}
	for _, c := range set.Classes() {
		if c.Name() != r.Class() && n.queue.HoldsBack(set.Priority(c, r.Organisation())) {
			backpressure = append(backpressure, call.NewBackpressure(n.settings.service, c.Name(), false))
		}
	}
	return backpressure
}
