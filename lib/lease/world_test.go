package lease_test

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/claims"
	"tamarackrudder.org/lib/clock"
	"tamarackrudder.org/lib/hosts"
	"tamarackrudder.org/lib/lease"
)

const (
	length  = 2 * time.Second
	drift   = 200 * time.Millisecond
	skew    = 250 * time.Millisecond
	future  = 250 * time.Millisecond
	horizon = time.Minute
	service = "ledger"
)

var terms = lease.NewTerms(length, drift, skew, future)

// hostClock is the clock of one host, off by a constant within the skew bound.
type hostClock struct {
	*clock.Manual
	offset time.Duration
}

func (h hostClock) Now() time.Time { return h.Manual.Now().Add(h.offset) }

// proc is the process of one endpoint with its memory. generation counts the starts of the process.
type proc struct {
	addr       string
	clock      hostClock
	group      *lease.Group
	table      *claims.Table
	generation int
	up         bool
	paused     bool
	leaving    bool
}

func (p *proc) runs() bool { return p.up && !p.paused }

// message is a heartbeat, a reply to one or a handover, in transit.
type message struct {
	from           string
	to             string
	fromGeneration int
	toGeneration   int
	sentAt         time.Time
	state          lease.State
	reply          bool
	claims         []claims.Claim
	cutoff         time.Time
	handover       bool
}

// attempt is a request between the lease check and the claim.
type attempt struct {
	addr       string
	generation int
	key        string
	permit     lease.Permit
}

// world is a simulated service: its processes, the messages in transit, and the runs of each key on the backend servers.
type world struct {
	t         *rapid.T
	now       *clock.Manual
	procs     map[string]*proc
	addrs     []string
	lists     []lease.Membership
	inTransit []message
	keys      []string
	pending   []attempt
	runs      map[string]int
	refused   int
	nextAddr  int
	cutLinks  map[string]bool
	zones     map[string]string
	log       []string
}

func newWorld(t *rapid.T, size int) *world {
	w := &world{
		t: t, now: clock.NewManual(time.Unix(1_800_000_000, 0)), procs: map[string]*proc{},
		runs: map[string]int{}, cutLinks: map[string]bool{}, zones: map[string]string{},
	}
	for range size {
		w.newHost()
	}
	w.publish(w.addrs)
	for _, addr := range w.addrs {
		w.boot(addr)
		w.procs[addr].group.Adopt(w.lists[0])
	}
	return w
}

func (w *world) logf(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf(format, args...))
}

func (w *world) newHost() string {
	w.nextAddr++
	addr := fmt.Sprintf("10.0.0.%d:1", w.nextAddr)
	offset := time.Duration(rapid.IntRange(-int(skew/2), int(skew/2)).Draw(w.t, "offset"))
	w.procs[addr] = &proc{addr: addr, clock: hostClock{Manual: w.now, offset: offset}}
	w.addrs = append(w.addrs, addr)
	return addr
}

func (w *world) boot(addr string) {
	p := w.procs[addr]
	p.group = lease.NewGroup(p.clock, terms, addr)
	p.table = newTable(p)
	p.generation++
	p.up, p.paused, p.leaving = true, false, false
	w.logf("boot %s", addr)
}

func (w *world) publish(addrs []string) {
	members := make([]hosts.Endpoint, 0, len(addrs))
	for _, addr := range addrs {
		members = append(members, hosts.NewEndpoint(service, "", w.zones[addr], addr, w.procs[addr].leaving))
	}
	version := uint64(1)
	if len(w.lists) > 0 {
		version = w.lists[len(w.lists)-1].Version() + uint64(rapid.IntRange(1, 3).Draw(w.t, "step"))
	}
	w.lists = append(w.lists, lease.NewMembership(version, members))
	w.logf("publish %d %v", version, addrs)
}

func (w *world) pick(label string, ok func(*proc) bool) *proc {
	var fit []*proc
	for _, addr := range w.addrs {
		if p := w.procs[addr]; ok(p) {
			fit = append(fit, p)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	return rapid.SampledFrom(fit).Draw(w.t, label)
}

// members returns the addresses of the newest list.
func (w *world) members() []string {
	var addrs []string
	for _, e := range w.lists[len(w.lists)-1].Members() {
		addrs = append(addrs, e.RPCAddr())
	}
	return addrs
}

func (w *world) sendHeartbeats(p *proc) {
	for _, to := range p.group.Peers() {
		target, known := w.procs[to]
		if !known {
			continue
		}
		w.inTransit = append(w.inTransit, message{
			from: p.addr, to: to, fromGeneration: p.generation, toGeneration: target.generation, sentAt: p.clock.Now(), state: p.group.StateFor(to),
		})
	}
}

func (w *world) link(a, b string) string { return a + ">" + b }

// deliver delivers one message, or drops it where the link is cut or the receiving process is gone.
func (w *world) deliver(i int) {
	m := w.inTransit[i]
	w.inTransit = slices.Delete(w.inTransit, i, i+1)
	to := w.procs[m.to]
	if w.cutLinks[w.link(m.from, m.to)] || !to.up || to.generation != m.toGeneration {
		return
	}
	if to.paused {
		w.inTransit = append(w.inTransit, m)
		return
	}
	switch {
	case m.handover:
		w.logf("handover %s>%s", m.from, m.to)
		to.table.Import(m.claims)
		to.group.RecordHandover(m.from, m.state.Incarnation(), m.cutoff)
	case m.reply:
		to.group.HandleReply(m.sentAt, m.state)
	default:
		s := to.group.HandleHeartbeat(m.state)
		w.inTransit = append(w.inTransit, message{
			from: m.to, to: m.from, fromGeneration: to.generation, toGeneration: m.fromGeneration, sentAt: m.sentAt, state: s, reply: true,
		})
	}
}

// sendHandover sends the claims of a leaving endpoint to its peers once enough of them have recorded the release.
func (w *world) sendHandover(p *proc) {
	if !p.leaving || !p.group.ReleaseAcknowledged() {
		return
	}
	freeze(p)
	for _, to := range p.group.Peers() {
		target, known := w.procs[to]
		if !known {
			continue
		}
		w.inTransit = append(w.inTransit, message{
			from: p.addr, to: to, fromGeneration: p.generation, toGeneration: target.generation, state: p.group.StateFor(""),
			claims: p.table.Claims(), cutoff: p.group.Cutoff(), handover: true,
		})
	}
}

// reclaim lets an endpoint ask its peers for its keys. It ends without a result at the first peer out of reach.
func (w *world) reclaim(p *proc) {
	request, pending := p.group.PendingReclaim()
	if !pending {
		return
	}
	cutoff, list, covered := request.Cutoff(), uint64(0), request.Kept()
	for _, addr := range p.group.Peers() {
		peer := w.procs[addr]
		if !peer.runs() || w.cutLinks[w.link(p.addr, addr)] {
			return
		}
		covers, peerCutoff, version := peer.group.AnswerReclaim(request)
		all := peer.table.ExportAndRevoke()
		if w.cutLinks[w.link(addr, p.addr)] || version == 0 || (list != 0 && version != list) {
			return
		}
		p.table.Import(all)
		list, covered = version, covered || covers
		if peerCutoff.After(cutoff) {
			cutoff = peerCutoff
		}
	}
	if covered {
		w.logf("reclaim %s", p.addr)
		p.group.FinishReclaim(cutoff, list)
	}
}

func (w *world) newKey(offset time.Duration) string {
	id := uuid.NewSHA1(uuid.NameSpaceURL, []byte(strconv.Itoa(len(w.keys))))
	id[6] = 0x70 | id[6]&0x0f
	ms := w.now.Now().Add(offset).UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	w.keys = append(w.keys, id.String())
	return id.String()
}

// startAttempt is the first half of an attempt: the lease is checked, or the key is refused.
func (w *world) startAttempt(p *proc, key string) {
	if _, claimed := p.table.Lookup(key, 1); claimed {
		return
	}
	permit := p.group.Permit(key)
	if !permit.Allowed() {
		w.refused++
		return
	}
	w.pending = append(w.pending, attempt{addr: p.addr, generation: p.generation, key: key, permit: permit})
}

// finishAttempt is the second half: the claim, and the run on the backend server.
func (w *world) finishAttempt(i int) {
	a := w.pending[i]
	p := w.procs[a.addr]
	if p.up && p.paused {
		return
	}
	w.pending = slices.Delete(w.pending, i, i+1)
	if !p.up || p.generation != a.generation {
		return
	}
	result := claim(p, a)
	if result.Outcome() != claims.Fresh {
		return
	}
	w.runs[a.key]++
	w.logf("run %s at %s cutoff %v", a.key, a.addr, a.permit.Cutoff().UnixMilli())
	if rapid.Bool().Draw(w.t, "settle") {
		p.table.Settle(a.key, call.NewAnswer(200, nil, nil))
	}
}

var bounds = claims.NewBounds(horizon, 1000, future, skew)

func newTable(p *proc) *claims.Table { return claims.NewTable(p.clock) }

func freeze(p *proc) { p.table.Freeze() }

func claim(p *proc, a attempt) claims.Result {
	return p.table.Claim(a.key, 1, claims.NewPermission(a.permit.At(), a.permit.Cutoff()), bounds)
}
