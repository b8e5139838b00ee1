package relay

import (
	"time"

	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/claims"
	"tamarackrudder.org/lib/crash"
	"tamarackrudder.org/lib/gossip"
	"tamarackrudder.org/lib/hosts"
	"tamarackrudder.org/lib/lease"
	"tamarackrudder.org/lib/spread"
	"tamarackrudder.org/lib/verd"
)

// minStatus and maxStatus bound the status codes of answers (RFC 9110, section 15).
const minStatus, maxStatus = 200, 599

func toFieldWires(fields []call.Field) []FieldWire {
	wires := make([]FieldWire, 0, len(fields))
	for _, f := range fields {
		wires = append(wires, FieldWire{Name: f.Name(), Value: f.Value()})
	}
	return wires
}

func fromFieldWires(wires []FieldWire) []call.Field {
	fields := make([]call.Field, 0, len(wires))
	for _, w := range wires {
		fields = append(fields, call.NewField(w.Name, w.Value))
	}
	return fields
}

// toRequestWire converts a request without its body.
func toRequestWire(r call.Request, remaining time.Duration) RequestWire {
	return RequestWire{
		ID: r.ID(), Method: r.Method(), Path: r.Path(), Query: r.Query(), EmptyQuery: r.EmptyQuery(),
		Fields: toFieldWires(r.Fields()), Key: r.Key(), Tenant: r.Organisation(),
		Service: r.Service(), Class: r.Class(), Priority: r.Priority(), NonIdempotent: r.NonIdempotent(),
		Remaining: remaining, Allowance: r.Allowance(), Suspect: r.CrashSuspect(), Again: r.RetryFraction(),
		Host: r.Host(), Caller: r.EntryService(), Goal: r.LatencyObjective(), Deeper: r.Downstream(),
	}
}

func (w RequestWire) request(body call.Body, now time.Time) call.Request {
	return call.NewRequest(w.ID, w.Method, w.Path, w.Query).WithEmptyQuery(w.EmptyQuery).
		WithFields(fromFieldWires(w.Fields)).WithBody(body).WithKey(w.Key).WithOrganisation(w.Tenant).
		WithRoute(w.Service, w.NonIdempotent).WithClass(w.Class, w.Priority).
		WithDeadline(now.Add(w.Remaining)).WithAllowance(w.Allowance).WithCrashSuspect(w.Suspect).WithRetryFraction(w.Again).
		WithHost(w.Host).WithEntryService(w.Caller).WithLatencyObjective(w.Goal).WithDownstream(w.Deeper)
}

func toAnswerWire(a call.Answer) AnswerWire {
	w := AnswerWire{
		Kind: string(a.Verdict().Kind()), Reason: string(a.Verdict().Reason()), Status: a.Status(),
		Fields: toFieldWires(a.Fields()), Body: a.Body(), Unspent: a.UnspentRetries(), InFlight: a.InFlight(),
		Proven: a.ProvenNotRun(), Shed: a.DownstreamShed(), Load: a.Load(), Slow: a.Slowdown(), Takes: a.Takes(), Pace: a.Pace(),
		Fails:    a.Failing(),
		ComeBack: a.RetryAfter(), Callers: a.IsEntryRoute(),
	}
	for _, n := range a.Demands() {
		w.Needs = append(w.Needs, NeedWire{
			Service: n.Service(), Cost: n.Cost(), Level: n.Level(), Calls: n.Calls(), Rejected: 1 - n.Accepted(),
		})
	}
	for _, p := range a.Backpressure() {
		w.Pressures = append(w.Pressures, PressureWire{Service: p.Service(), Class: p.Class(), Admits: p.Admits(), Busy: p.Busy()})
	}
	return w
}

func (w AnswerWire) answer() call.Answer {
	v, err := verd.Parse(w.Kind, w.Reason)
	if err != nil || (v.HasRun() && !isFinalStatus(w.Status)) {
		return call.Refusal(verd.MayHaveRun(verd.ReasonPeerVersion))
	}
	a := call.Refusal(v)
	if v.HasRun() {
		a = call.NewAnswer(w.Status, fromFieldWires(w.Fields), w.Body)
	}
	demands := make([]call.Demand, 0, len(w.Needs))
	for _, n := range w.Needs {
		demands = append(demands, n.demand())
	}
	backpressure := make([]call.Backpressure, 0, len(w.Pressures))
	for _, p := range w.Pressures {
		backpressure = append(backpressure, call.NewBackpressure(p.Service, p.Class, p.Admits).WithBusy(p.Busy))
	}
	return a.WithUnspentRetries(w.Unspent).WithInFlight(w.InFlight).WithBackpressure(backpressure).
		WithProvenNotRun(w.Proven).WithDownstreamShed(w.Shed).WithLoad(w.Load).WithSlowdown(w.Slow).WithTakes(w.Takes).WithPace(w.Pace).
		WithFailing(w.Fails).
		WithRetryAfter(w.ComeBack).WithDemands(demands).WithEntryRoute(w.Callers)
}

// isFinalStatus reports whether a response with a status code can be an answer.
func isFinalStatus(status int) bool { return status >= minStatus && status <= maxStatus }

// demand returns the demand; peers of earlier versions send no calls.
func (w NeedWire) demand() call.Demand {
	d := call.NewDemand(w.Service, w.Cost, w.Level).WithAccepted(1 - w.Rejected)
	if w.Calls > 0 {
		d = d.WithCalls(w.Calls)
	}
	return d
}

func toStampWire(s spread.Stamp) StampWire {
	return StampWire{Version: s.Version(), Sequence: s.Sequence()}
}

func (w StampWire) stamp() spread.Stamp { return spread.NewStamp(w.Version, w.Sequence) }

func toStateWire(s lease.State) StateWire {
	w := StateWire{Addr: s.Addr(), Incarnation: s.Incarnation(), Informed: s.Informed(), Granting: s.Granting()}
	if s.IsCompact() {
		w.Compact, w.Digest = true, s.Digest()
		return w
	}
	w.Floor, w.CompleteFrom = s.MinVersion(), s.CompleteFrom()
	for _, m := range s.History() {
		mw := MembershipWire{Version: m.Version()}
		for _, e := range m.Members() {
			w.Service = e.Service()
			mw.Members = append(mw.Members, MemberWire{Addr: e.RPCAddr(), Zone: e.Zone(), Leaving: e.Leaving()})
		}
		w.History = append(w.History, mw)
	}
	w.Standings, w.Refused = toStandingWires(s.MemberStatuses()), toStandingWires(s.Refused())
	return w
}

func toStandingWires(statuses []lease.MemberStatus) []StandingWire {
	wires := make([]StandingWire, 0, len(statuses))
	for _, st := range statuses {
		wires = append(wires, StandingWire{Addr: st.Addr(), Incarnation: st.Incarnation(), Released: st.Released()})
	}
	return wires
}

func fromStandingWires(wires []StandingWire) []lease.MemberStatus {
	statuses := make([]lease.MemberStatus, 0, len(wires))
	for _, w := range wires {
		statuses = append(statuses, lease.NewMemberStatus(w.Addr, w.Incarnation, w.Released))
	}
	return statuses
}

func (w StateWire) state() lease.State {
	if w.Compact {
		return lease.NewCompactState(w.Addr, w.Incarnation, w.Informed, w.Granting, w.Digest)
	}
	history := make([]lease.Membership, 0, len(w.History))
	for _, mw := range w.History {
		members := make([]hosts.Endpoint, 0, len(mw.Members))
		for _, m := range mw.Members {
			members = append(members, hosts.NewEndpoint(w.Service, "", m.Zone, m.Addr, m.Leaving))
		}
		history = append(history, lease.NewMembership(mw.Version, members))
	}
	return lease.NewState(w.Addr, w.Incarnation, w.Informed, w.Granting).
		WithLists(w.Floor, w.CompleteFrom, history).
		WithMemberStatuses(fromStandingWires(w.Standings)).WithRefused(fromStandingWires(w.Refused)).WithDigest()
}

func toBeatWire(b gossip.Heartbeat) BeatWire {
	w := BeatWire{
		From: b.From(), Leaving: b.Leaving(), Lost: b.PlatformLost(), Rules: toStampWire(b.Rules()), Hosts: toStampWire(b.Hosts()),
		State: toStateWire(b.State()),
	}
	for _, m := range b.Marks() {
		mw := MarkWire{Fingerprint: m.Fingerprint()}
		for _, c := range m.Crashes() {
			mw.Crashes = append(mw.Crashes, CrashWire{Addr: c.Addr(), AtNano: c.At().UnixNano()})
		}
		w.Marks = append(w.Marks, mw)
	}
	return w
}

func (w BeatWire) heartbeat() gossip.Heartbeat {
	marks := make([]crash.Mark, 0, len(w.Marks))
	for _, mw := range w.Marks {
		crashes := make([]crash.Crash, 0, len(mw.Crashes))
		for _, c := range mw.Crashes {
			crashes = append(crashes, crash.NewCrash(c.Addr, time.Unix(0, c.AtNano)))
		}
		marks = append(marks, crash.NewMark(mw.Fingerprint, crashes))
	}
	return gossip.NewHeartbeat(w.From, w.Leaving, w.Rules.stamp(), w.Hosts.stamp()).
		WithPlatformLost(w.Lost).WithService(w.State.state(), marks)
}

func toHandoverWire(h gossip.Handover) HandoverWire {
	w := HandoverWire{From: h.From(), Incarnation: h.Incarnation(), FenceNano: h.Cutoff().UnixNano(), Last: h.Last()}
	w.Claims = toClaimWires(h.Claims())
	return w
}

func toClaimWires(all []claims.Claim) []ClaimWire {
	wires := make([]ClaimWire, 0, len(all))
	for _, c := range all {
		wires = append(wires, ClaimWire{
			Key: c.Key(), Fingerprint: c.Fingerprint(), ExpiresNano: c.Expires().UnixNano(),
			Done: c.Done(), Answer: toAnswerWire(c.Answer()),
		})
	}
	return wires
}

func fromClaimWires(wires []ClaimWire) []claims.Claim {
	all := make([]claims.Claim, 0, len(wires))
	for _, c := range wires {
		all = append(all, claims.NewClaim(c.Key, c.Fingerprint, time.Unix(0, c.ExpiresNano), c.Done, c.Answer.answer()))
	}
	return all
}

func toReturnWire(r gossip.ReclaimReply) ReturnWire {
	return ReturnWire{
		Holds: r.Covers(), FenceNano: r.Cutoff().UnixNano(), List: r.List(), Claims: toClaimWires(r.Claims()),
	}
}

func (w ReturnWire) reclaimReply() gossip.ReclaimReply {
	return gossip.NewReclaimReply(w.Holds, time.Unix(0, w.FenceNano), w.List, fromClaimWires(w.Claims))
}

func (w HandoverWire) handover() gossip.Handover {
	return gossip.NewHandover(w.From, w.Incarnation, time.Unix(0, w.FenceNano), fromClaimWires(w.Claims), w.Last)
}
