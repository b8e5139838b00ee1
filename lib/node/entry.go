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

// entry is one request at the node that it entered.
type entry struct {
	request   call.Request
	route     rules.Route
	ledger    *retry.Ledger
	parent    *chain.Open
	pressFlow      press.Flow
	tried     []string
	redirects int
	slots     int
	countedInPress   bool
	shed      bool
	countedInSplit    bool // counted for its part of a split route
	backpressure []call.Pressure
}

// Serve takes a request of a caller, or of the own backend server, to its end.
func (n *Node) Serve(ctx context.Context, r call.Request) call.Answer {
	start := n.clock.Now()
	e, v := n.admit(r)
	if v != nil {
		return n.refuse(e, *v, start)
	}
	ctx, cancel := context.WithDeadline(ctx, e.request.Deadline())
	defer cancel()
	if e.parent != nil {
		e.parent.Enter(start)
		stop := context.AfterFunc(e.parent.Context(), cancel)
		defer stop()
	}
	n.serving.enter()
	defer n.serving.leave()
	if n.settings.untraced {
		n.retries.Earn(e.request.Service(), e.request.Again()) // the platform's bound counts requests, not successes
	}
	a := call.Truthful(e.request, n.sendWithRetries(ctx, e))
	if a.Verdict().IsNotRun() && a.ComeBack() == 0 {
		a = a.WithComeBack(n.retryAfter(e.request))
	}
	n.finish(e, a, start)
	return a
}

// refuse ends a request that is not sent anywhere.
func (n *Node) refuse(e *entry, v verd.Verdict, start time.Time) call.Answer {
	a := call.Truthful(e.request, call.Refusal(v)).WithComeBack(n.retryAfter(e.request))
	n.uncountSplit(e, v)
	n.record(e, a.Verdict(), start)
	return a
}

// admit classifies a request by the rules in force and checks all that can be checked here.
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
	class, _ := set.Class(route.Class())
	name, fits := n.split.Choose(route)
	e.countedInSplit = fits
	service, _ := set.Service(name)
	e.slots = service.Slots()
	e.request = r.WithRoute(name, route.NonIdempotent()).WithGoal(route.Goal()).WithClass(class.Name(), class.Priority())
	if len(r.Body()) > service.MaxBody() {
		return e, notRun(verd.ReasonBodyTooLarge)
	}
	if route.Keyed() && r.Key() == "" {
		return e, notRun(verd.ReasonKeyMissing)
	}
	if !fits {
		n.logDecision("refused to keep weights", e.request, "route", route.Name(), "service", name)
		return e, notRun(verd.ReasonShedEarly)
	}
	return e, n.setLimits(e)
}

// setLimits gives a request its deadline and allowance, its own or those of the request that it was sent for.
func (n *Node) setLimits(e *entry) *verd.Verdict {
	now := n.clock.Now()
	timeout := e.route.Timeout()
	if asked := e.request.Timeout(); asked > 0 {
		timeout = min(timeout, asked)
	}
	e.request = e.request.WithDeadline(now.Add(timeout))
	if e.request.Parent() != "" {
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
	// A resend of a non-idempotent request mostly gets a stored answer, which says nothing about load.
	e.countedInPress = n.settings.control == ControlFull && (e.request.Fresh() || !e.request.NonIdempotent())
	if e.countedInPress && !n.press.Admit(e.pressFlow) {
		return notRun(verd.ReasonShedEarly)
	}
	return nil
}

// inheritLimits lets a call of the own backend server share what is left to the request that it was sent for.
func (n *Node) inheritLimits(e *entry) *verd.Verdict {
	parent, ok := n.chain.Find(e.request.Parent())
	if !ok {
		return notRun(verd.ReasonBadContext)
	}
	pr := parent.Request()
	e.request = e.request.WithClass(pr.Class(), pr.Priority()).WithTenant(pr.Tenant())
	if pr.Deadline().Before(e.request.Deadline()) {
		e.request = e.request.WithDeadline(pr.Deadline())
	}
	if !parent.Ledger().Begin(e.request.Fingerprint()) {
		return notRun(verd.ReasonRetrySpent)
	}
	e.ledger, e.parent = parent.Ledger(), parent
	return nil
}

// admitUntraced admits a request by what those of its route are known to need; what a backend server has begun is finished.
func (n *Node) admitUntraced(e *entry) *verd.Verdict {
	name := e.route.Name()
	if !n.origin.IsCallers(name) {
		n.entryCounts.downstream.Add(1)
		e.request = e.request.WithDeeper(true).WithAgain(n.retryFraction.Share())
		n.fanout.Called(name)
		return nil
	}
	n.entryCounts.callers.Add(1)
	if n.settings.control != ControlFull {
		return nil
	}
	d := n.gate.Admit(name, n.classRank(e.request))
	if d.Admitted() {
		return nil
	}
	n.entryCounts.refused.Add(1)
	n.logDecision("refused at entry", e.request, "route", name, "service", d.Service(), "level", d.Level(), "share", d.Share())
	return notRun(verd.ReasonShedEarly)
}

func notRun(reason verd.Reason) *verd.Verdict {
	v := verd.NotRun(reason)
	return &v
}

// finish passes on what the request taught.
func (n *Node) finish(e *entry, a call.Answer, start time.Time) {
	v := a.Verdict()
	n.uncountSplit(e, v)
	shed := e.shed || v.IsOverload()
	switch {
	case e.parent != nil:
		e.parent.Leave(n.clock.Now(), shed, e.backpressure)
		if !v.HasRun() {
			e.parent.Ledger().Failed(e.request.Fingerprint())
		}
	case e.countedInPress:
		n.press.Ended(e.pressFlow, shed, e.backpressure)
	}
	n.record(e, v, start)
}

// uncountSplit takes a request that was refused for want of room out of what its part of a split route was given.
func (n *Node) uncountSplit(e *entry, v verd.Verdict) {
	if e.countedInSplit && v.IsNotRun() && v.IsOverload() {
		n.split.Refused(e.route, e.request.Service())
	}
}

func (n *Node) record(e *entry, v verd.Verdict, start time.Time) {
	r := e.request
	took := n.clock.Now().Sub(start)
	n.stats.Record(r.Tenant(), r.Class(), v, took)
	if v.HasRun() {
		return
	}
	if v.Reason() != verd.ReasonShedEarly {
		n.logDecision("request ended without an answer", r, "service", r.Service(), "class", r.Class(),
			"verdict", v.Kind(), "reason", v.Reason(), "tookMs", took.Milliseconds(), "tried", strings.Join(e.tried, ","))
	}
}

// logDecision logs a decision on a request, unless many alike were logged in this second.
func (n *Node) logDecision(msg string, r call.Request, fields ...any) {
	omitted, ok := n.logBudget.Take(msg)
	if !ok {
		return
	}
	line := append([]any{"msg", msg, "id", r.ID()}, fields...)
	if omitted > 0 {
		line = append(line, "omitted", omitted)
	}
	_ = level.Info(n.log).Log(line...)
}
