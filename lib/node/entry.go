package node

import (
	"context"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/chain"
	"tamarackrudder.org/lib/press"
	"tamarackrudder.org/lib/retry"
	"tamarackrudder.org/lib/rules"
	"tamarackrudder.org/lib/verd"
)

// entry is the state of one request at its entry node, the node that got it from a caller or from the local backend
// server.
type entry struct {
	request        call.Request
	route          rules.Route
	ledger         *retry.Ledger
	parent         *chain.Open
	pressFlow      press.Flow
	tried          []string
	redirects      int
	slots          int
	countedInPress bool // press.Table counts it for pressFlow
	shed           bool
	countedInSplit bool // split.Table counts it for its service
	backpressure   []call.Backpressure
}

// Serve handles a request that a caller or the local backend server sent to this node, and returns its final answer.
func (n *Node) Serve(ctx context.Context, r call.Request) call.Answer {
	start := n.clock.Now()
	n.serving.enter()
	defer n.serving.leave()
	e, v := n.admit(r)
	if v != nil {
		return n.refuse(e, *v, start)
	}
	caller := ctx
	ctx, cancel := context.WithDeadline(ctx, e.request.Deadline())
	defer cancel()
	detach := context.AfterFunc(n.inFlightCtx, cancel)
	defer detach()
	if e.parent != nil {
		e.parent.BeginCall(start)
		stop := context.AfterFunc(e.parent.Context(), cancel)
		defer stop()
	}
	if n.settings.untraced {
		// The platform's retry budget counts all requests, not only successful ones.
		n.retries.RecordRequest(e.request.Service(), e.request.RetryFraction())
	}
	a := call.AcrossAttempts(e.request, n.withStopReason(caller, n.serveInQuota(ctx, e)))
	if a.Verdict().IsNotRun() && a.RetryAfter() == 0 {
		a = a.WithRetryAfter(n.retryAfter(e.request))
	}
	n.finish(e, a, start)
	return a
}

// refuse returns the refusal of a request for which no attempt was made.
func (n *Node) refuse(e *entry, v verd.Verdict, start time.Time) call.Answer {
	a := call.AcrossAttempts(e.request, call.Refusal(v)).WithRetryAfter(n.retryAfter(e.request))
	n.uncountSplit(e, v)
	n.recordOutcome(e, a.Verdict(), start)
	return a
}

// Refuse refuses a request that was not read completely, so that it has not run.
func (n *Node) Refuse(r call.Request, v verd.Verdict) call.Answer {
	return n.refuse(&entry{request: r}, v, n.clock.Now())
}

// admit matches a request to its route in the rules in force and sets its limits. It returns a verdict if the request
// has to be refused before any attempt.
func (n *Node) admit(r call.Request) (*entry, *verd.Verdict) {
	e := &entry{request: r}
	set := n.rules.Load()
	if set == nil || !n.ready.Load() {
		return e, notRun(verd.ReasonNoRules)
	}
	route, ok := set.Match(r.Host(), r.Method(), r.Path())
	if !ok {
		return e, notRun(verd.ReasonUnknownRoute)
	}
	e.route = route
	if v := n.checkStopping(e); v != nil {
		return e, v
	}
	r, v := n.identify(set, route, r)
	e.request = r
	if v != nil {
		return e, v
	}
	class, _ := set.Class(route.Class())
	name, fits := n.split.Choose(route)
	e.countedInSplit = fits
	service, _ := set.Service(name)
	e.slots = service.Slots()
	e.request = r.WithRoute(name, route.NonIdempotent()).WithLatencyObjective(route.LatencyObjective()).
		WithClass(class.Name(), set.Priority(class, r.Organisation()))
	if r.Body().Len() > service.MaxBody() {
		return e, notRun(verd.ReasonBodyTooLarge)
	}
	if route.Keyed() && r.Key() == "" {
		return e, notRun(verd.ReasonKeyMissing)
	}
	if !fits {
		n.logDecision("refused to keep the weights of the split route", e.request, "route", route.Name(), "service", name)
		return e, notRun(verd.ReasonShedEarly)
	}
	return e, n.setLimits(e)
}

// setLimits sets the deadline and the retry allowance of a request and decides whether it is admitted. Those of a
// downstream call with a parent token come from its parent request.
func (n *Node) setLimits(e *entry) *verd.Verdict {
	now := n.clock.Now()
	timeout := e.route.Timeout()
	if requested := e.request.Timeout(); requested > 0 {
		timeout = min(timeout, requested)
	}
	e.request = e.request.WithDeadline(n.boundByStop(now.Add(timeout)))
	if e.request.ParentToken() != "" {
		return n.inheritLimits(e)
	}
	allowance := e.route.Retries()
	if key := e.request.Key(); key != "" && n.recent.seenBefore(key) {
		allowance = 0
	}
	e.ledger = retry.NewLedger(allowance)
	if n.settings.untraced {
		return n.admitUntraced(e)
	}
	e.pressFlow = press.NewFlow(e.route.Name(), e.request.Class())
	// A resend of a non-idempotent request is mostly answered from its stored claim, so its outcome says nothing about
	// load.
	e.countedInPress = n.settings.control == ControlFull && (e.request.Fresh() || !e.request.NonIdempotent())
	if e.countedInPress && !n.press.Admit(e.pressFlow) {
		return notRun(verd.ReasonShedEarly)
	}
	return nil
}

// inheritLimits gives a downstream call of the local backend server the class, the organisation, the remaining time and the
// retry allowance of its parent request.
func (n *Node) inheritLimits(e *entry) *verd.Verdict {
	parent, ok := n.chain.Find(e.request.ParentToken())
	if !ok {
		return notRun(verd.ReasonBadContext)
	}
	parentRequest := parent.Request()
	e.request = e.request.WithClass(parentRequest.Class(), parentRequest.Priority()).WithOrganisation(parentRequest.Organisation())
	if parentRequest.Deadline().Before(e.request.Deadline()) {
		e.request = e.request.WithDeadline(parentRequest.Deadline())
	}
	if !parent.Ledger().BeginCall(e.request.Fingerprint()) {
		return notRun(verd.ReasonRetrySpent)
	}
	e.ledger, e.parent = parent.Ledger(), parent
	return nil
}

// admitUntraced admits requests of an entry route with the admission probability that follows from the slot demand of
// the route. It admits all requests of internal routes, so that work that a backend server has begun is finished.
func (n *Node) admitUntraced(e *entry) *verd.Verdict {
	name := e.route.Name()
	if n.isDownstreamCall(e) {
		n.entryCounts.downstream.Add(1)
		e.request = e.request.WithDownstream(true).WithRetryFraction(n.retryFraction.Value())
		n.fanout.Called(name)
		return nil
	}
	n.entryCounts.fromCallers.Add(1)
	if n.settings.control != ControlFull {
		return nil
	}
	d := n.gate.Admit(name, n.classRank(e.request))
	if d.Admitted() {
		return nil
	}
	n.entryCounts.refused.Add(1)
	n.logDecision("refused at entry", e.request, "route", name, "service", d.Service(), "level", d.Level(), "share", d.Probability(),
		"accepted", d.Accepted())
	return notRun(verd.ReasonShedEarly)
}

func notRun(reason verd.Reason) *verd.Verdict {
	v := verd.NotRun(reason)
	return &v
}

// finish records the outcome of a request: for its split route, for its parent request or its back-pressure flow, and
// in the statistics.
func (n *Node) finish(e *entry, a call.Answer, start time.Time) {
	v := a.Verdict()
	n.uncountSplit(e, v)
	shed := e.shed || v.IsOverload()
	switch {
	case e.parent != nil:
		e.parent.EndCall(n.clock.Now(), shed, e.backpressure)
		if !v.HasRun() {
			e.parent.Ledger().RecordFailure(e.request.Fingerprint())
		}
	case e.countedInPress:
		n.press.Ended(e.pressFlow, shed, e.backpressure)
	}
	n.recordOutcome(e, v, start)
}

// uncountSplit takes a request that was refused for lack of capacity or quota out of the count of its service on a split route.
func (n *Node) uncountSplit(e *entry, v verd.Verdict) {
	if e.countedInSplit && v.IsNotRun() && (v.IsOverload() || v.Reason() == verd.ReasonQuota) {
		n.split.RecordRefusal(e.route, e.request.Service())
	}
}

func (n *Node) recordOutcome(e *entry, v verd.Verdict, start time.Time) {
	r := e.request
	took := n.clock.Now().Sub(start)
	n.stats.Record(r.Organisation(), r.Class(), v, took)
	if v.HasRun() {
		return
	}
	if v.Reason() != verd.ReasonShedEarly {
		n.logDecision("request ended without an answer", r, "service", r.Service(), "class", r.Class(),
			"verdict", v.Kind(), "reason", v.Reason(), "tookMs", took.Milliseconds(), "tried", strings.Join(e.tried, ","))
	}
}

// logDecision logs a decision on one request. Beyond logLinesPerSecond lines with the same message it logs nothing; the
// next line says how many were omitted.
func (n *Node) logDecision(msg string, r call.Request, fields ...any) {
	omitted, ok := n.logLimiter.Allow(msg)
	if !ok {
		return
	}
	line := append([]any{"msg", msg, "id", r.ID()}, fields...)
	if omitted > 0 {
		line = append(line, "omitted", omitted)
	}
	_ = level.Info(n.log).Log(line...)
}
