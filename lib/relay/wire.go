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

// FieldWire is the wire format of a header field.
type FieldWire struct {
	Name  string
	Value string
}

// RequestWire is the wire format of a request. Remaining is the time left until the deadline, so that the clocks of the two
// hosts need not agree. Suspect marks a request that may have crashed a backend server, Again is the retry fraction, Deeper
// marks a downstream call, Goal is the latency objective, and Caller is the service of the backend server beside the node
// that the request entered.
type RequestWire struct {
	ID            string
	Method        string
	Path          string
	Query         string
	Fields        []FieldWire
	Body          []byte
	Key           string
	Tenant        string
	Service       string
	Class         string
	Priority      int
	NonIdempotent bool
	Remaining     time.Duration
	Allowance     int
	Suspect       bool
	Host          string
	Caller        string
	Goal          time.Duration
	Deeper        bool
	Again         float64
}

// PressureWire is the wire format of a back-pressure signal.
type PressureWire struct {
	Service string
	Class   string
	Admits  bool
	Busy    bool
}

// NeedWire is the wire format of the slot demand of a route at one service: Cost is the slot time of one request, Level
// the admit level of the service.
type NeedWire struct {
	Service string
	Cost    time.Duration
	Level   float64
}

// AnswerWire is the wire format of an answer. Kind and Reason are its verdict; Unspent is the unused part of the retry
// allowance, ComeBack the retry-after delay, and Needs the slot demand. Proven is set if the claims of the key's owner prove
// that no attempt has run, Shed if a downstream call was refused because of overload, Callers if the route is an entry route.
type AnswerWire struct {
	Kind      string
	Reason    string
	Status    int
	Fields    []FieldWire
	Body      []byte
	Unspent   int
	Pressures []PressureWire
	InFlight  int
	Proven    bool
	Shed      bool
	Load      float64
	ComeBack  time.Duration
	Needs     []NeedWire
	Callers   bool
}

// StampWire is the wire format of the stamp of a published value, by which nodes find the newer one.
type StampWire struct {
	Version  uint64
	Sequence uint64
}

// MemberWire is the wire format of an endpoint in a membership list; Addr is its rpc address.
type MemberWire struct {
	Addr    string
	Zone    string
	Leaving bool
}

// MembershipWire is the wire format of one version of a service's membership list.
type MembershipWire struct {
	Version uint64
	Members []MemberWire
}

// StandingWire is the wire format of a member status: whether an incarnation of an endpoint has released its keys.
type StandingWire struct {
	Addr        string
	Incarnation int64
	Released    bool
}

// StateWire is the wire format of an endpoint's lease state. If Compact is set, the lists, member statuses and refusals are
// left out, and Digest identifies them. Floor is the minimum list version in use; from version CompleteFrom on, History has
// all lists that were in use.
type StateWire struct {
	Addr         string
	Incarnation  int64
	Informed     bool
	Granting     bool
	Floor        uint64
	CompleteFrom uint64
	Service      string
	History      []MembershipWire
	Standings    []StandingWire
	Refused      []StandingWire
	Compact      bool
	Digest       uint64
}

// CrashWire is the wire format of a crash of the backend server at an endpoint; AtNano is Unix time in nanoseconds.
type CrashWire struct {
	Addr   string
	AtNano int64
}

// MarkWire is the wire format of the crash mark of a request fingerprint.
type MarkWire struct {
	Fingerprint uint64
	Crashes     []CrashWire
}

// BeatWire is the wire format of a heartbeat and of the reply to one.
type BeatWire struct {
	From    string
	Leaving bool
	Rules   StampWire
	Hosts   StampWire
	State   StateWire
	Marks   []MarkWire
}

// ValueWire is the wire format of a published value, such as the rules; Version and Sequence are its stamp.
type ValueWire struct {
	Version  uint64
	Sequence uint64
	Text     []byte
}

// EndpointWire is the wire format of an endpoint of the list of hosts; times are Unix time in milliseconds, zero where they
// are not known.
type EndpointWire struct {
	Service    string
	Host       string
	Zone       string
	Addr       string
	Leaving    bool
	Instance   string
	Slots      int
	Started    int64
	WarmAt     int64
	Heartbeats int64
}

// DigestWire is the wire format of the digest of a list of hosts, with one hash for each range of addresses.
type DigestWire struct {
	Ranges []uint64
}

// DiffWire is the wire format of the difference between two lists of hosts: all endpoints that the newer one has in the
// ranges that differ. Version and Sequence are the stamp of the newer one.
type DiffWire struct {
	Version   uint64
	Sequence  uint64
	Ranges    []int
	Endpoints []EndpointWire
}

// ClaimWire is the wire format of the claim of an idempotency key; ExpiresNano is Unix time in nanoseconds.
type ClaimWire struct {
	Key         string
	Fingerprint uint64
	ExpiresNano int64
	Done        bool
	Answer      AnswerWire
}

// HandoverWire is the wire format of one part of a handover of claims; FenceNano is the key cutoff in nanoseconds of Unix
// time.
type HandoverWire struct {
	From        string
	Incarnation int64
	FenceNano   int64
	Claims      []ClaimWire
	Last        bool
}

// GiveBackWire is the wire format of an endpoint's request to reclaim the keys of its earlier incarnations. Kept is set
// if the endpoint still has their claims.
type GiveBackWire struct {
	From        string
	Incarnation int64
	Kept        bool
}

// ReturnWire is the wire format of the reply to a reclaim. Holds is set if the claims and the key cutoff stand in for those
// of the incarnation that lost the keys. FenceNano is the key cutoff in nanoseconds of Unix time; List is the version of the
// list in force, 0 if the endpoint has to ask again.
type ReturnWire struct {
	Holds     bool
	FenceNano int64
	List      uint64
	Claims    []ClaimWire
}

// Empty is the wire format of a message or a reply without content.
type Empty struct{}

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

func toRequestWire(r call.Request, remaining time.Duration) RequestWire {
	return RequestWire{
		ID: r.ID(), Method: r.Method(), Path: r.Path(), Query: r.Query(),
		Fields: toFieldWires(r.Fields()), Body: r.Body(), Key: r.Key(), Tenant: r.Tenant(),
		Service: r.Service(), Class: r.Class(), Priority: r.Priority(), NonIdempotent: r.NonIdempotent(),
		Remaining: remaining, Allowance: r.Allowance(), Suspect: r.CrashSuspect(), Again: r.RetryFraction(),
		Host: r.Host(), Caller: r.EntryService(), Goal: r.LatencyObjective(), Deeper: r.Downstream(),
	}
}

func (w RequestWire) request(now time.Time) call.Request {
	return call.NewRequest(w.ID, w.Method, w.Path, w.Query).
		WithFields(fromFieldWires(w.Fields)).WithBody(w.Body).WithKey(w.Key).WithTenant(w.Tenant).
		WithRoute(w.Service, w.NonIdempotent).WithClass(w.Class, w.Priority).
		WithDeadline(now.Add(w.Remaining)).WithAllowance(w.Allowance).WithCrashSuspect(w.Suspect).WithRetryFraction(w.Again).
		WithHost(w.Host).WithEntryService(w.Caller).WithLatencyObjective(w.Goal).WithDownstream(w.Deeper)
}

func toAnswerWire(a call.Answer) AnswerWire {
	w := AnswerWire{
		Kind: string(a.Verdict().Kind()), Reason: string(a.Verdict().Reason()), Status: a.Status(),
		Fields: toFieldWires(a.Fields()), Body: a.Body(), Unspent: a.UnspentRetries(), InFlight: a.InFlight(),
		Proven: a.ProvenNotRun(), Shed: a.DownstreamShed(), Load: a.Load(), ComeBack: a.RetryAfter(), Callers: a.IsEntryRoute(),
	}
	for _, n := range a.Demands() {
		w.Needs = append(w.Needs, NeedWire{Service: n.Service(), Cost: n.Cost(), Level: n.Level()})
	}
	for _, p := range a.Backpressure() {
		w.Pressures = append(w.Pressures, PressureWire{Service: p.Service(), Class: p.Class(), Admits: p.Admits(), Busy: p.Busy()})
	}
	return w
}

func (w AnswerWire) answer() call.Answer {
	v, err := verd.Parse(w.Kind, w.Reason)
	if err != nil {
		return call.Refusal(verd.MayHaveRun(verd.ReasonPeerVersion))
	}
	a := call.Refusal(v)
	if v.HasRun() {
		a = call.NewAnswer(w.Status, fromFieldWires(w.Fields), w.Body)
	}
	demands := make([]call.Demand, 0, len(w.Needs))
	for _, n := range w.Needs {
		demands = append(demands, call.NewDemand(n.Service, n.Cost, n.Level))
	}
	backpressure := make([]call.Backpressure, 0, len(w.Pressures))
	for _, p := range w.Pressures {
		backpressure = append(backpressure, call.NewBackpressure(p.Service, p.Class, p.Admits).WithBusy(p.Busy))
	}
	return a.WithUnspentRetries(w.Unspent).WithInFlight(w.InFlight).WithBackpressure(backpressure).
		WithProvenNotRun(w.Proven).WithDownstreamShed(w.Shed).WithLoad(w.Load).
		WithRetryAfter(w.ComeBack).WithDemands(demands).WithEntryRoute(w.Callers)
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
		From: b.From(), Leaving: b.Leaving(), Rules: toStampWire(b.Rules()), Hosts: toStampWire(b.Hosts()),
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
	return gossip.NewHeartbeat(w.From, w.Leaving, w.Rules.stamp(), w.Hosts.stamp()).WithService(w.State.state(), marks)
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
