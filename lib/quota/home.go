package quota

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"tamarackrudder.org/lib/clock"
)

const (
	// probeValid is how long a home that granted no tokens counts as absent. One that comes back meets its stand-in for no longer.
	probeValid = 100 * time.Millisecond
	// probeTimeout bounds how long a probe waits for a home.
	probeTimeout = 250 * time.Millisecond
	// standInGap is the time without an ask after which a stand-in no longer knows whether the home was back meanwhile.
	standInGap = time.Second
	// maxBuckets bounds the organisations for which one node keeps tokens.
	maxBuckets = 4096
)

// HomeSeams are the functions by which a home learns of its peers.
type HomeSeams struct {
	// InTouch returns since when the node has been in touch with its peers, false if it is not.
	InTouch func() (since time.Time, ok bool)
	// Ask sends an ask to another home. The error wraps ErrNotListening if no process listens at the address.
	Ask func(ctx context.Context, addr string, a Ask) (Grant, error)
	// Changed is told when this node begins to grant the whole quota of an organisation, or only its fallback share.
	Changed func(organisation string, full bool)
}

// Home keeps the tokens of the organisations whose home this node is, and its share of those whose home cannot be reached.
type Home struct {
	clock   clock.Clock
	bounds  Bounds
	ranking *Ranking
	seams   HomeSeams
	mu      sync.Mutex
	buckets map[string]*bucket

	probesMu sync.Mutex
	probes   map[probed]*probe
}

// probed is a home that another node may have to stand in for.
type probed struct {
	organisation string
	addr         string
}

// probe is the last ask for no tokens, which shows whether a home grants any.
type probe struct {
	begun  time.Time
	done   chan struct{}
	ended  time.Time
	absent bool
}

// NewHome returns a home without tokens.
func NewHome(c clock.Clock, b Bounds, ranking *Ranking, seams HomeSeams) *Home {
	return &Home{clock: c, bounds: b, ranking: ranking, seams: seams, buckets: map[string]*bucket{}, probes: map[probed]*probe{}}
}

// Serve replies to an ask for tokens of an organisation with the given limits.
func (h *Home) Serve(ctx context.Context, a Ask, l Limits) Grant {
	p, ok := h.ranking.Place(a.organisation)
	if !ok || l.IsUnlimited() {
		return Grant{}
	}
	d, since := h.dutyOf(ctx, a.organisation, p)
	g, changed := h.grant(a, l, p, d, since)
	if changed {
		h.seams.Changed(a.organisation, g.full)
	}
	return g
}

// grant grants tokens by the node's duty, and reports whether it began or ceased to grant the whole quota.
func (h *Home) grant(a Ask, l Limits, p Place, d duty, since time.Time) (g Grant, changed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	b := h.bucketOf(a.organisation, l, now)
	b.advance(now, l)
	full := d != dutyNone
	changed = b.full != full
	b.full = full
	switch d {
	case dutyNone:
		return b.takeFallback(a, now, p.rank, p.nodes), changed
	case dutyStandIn:
		b.begin(now, b.standIn(now))
	case dutyFirst:
		b.begin(now, b.first(now, since))
	}
	b.takeBack(now, float64(a.returned))
	return b.take(a, now), changed
}

// TakeFallback grants tokens of this node's share of an organisation whose home cannot be reached.
func (h *Home) TakeFallback(organisation string, want int, l Limits) Grant {
	p, ok := h.ranking.Place(organisation)
	if !ok || l.IsUnlimited() {
		return Grant{}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	b := h.bucketOf(organisation, l, now)
	b.advance(now, l)
	return b.takeFallback(Ask{want: want}, now, p.rank, p.nodes)
}

// duty is whether a node grants the whole quota of an organisation.
type duty int

const (
	dutyNone    duty = iota // but for its fallback share
	dutyStandIn             // as long as the homes before it grant nothing
	dutyFirst
)

// dutyOf returns the duty of this node, and since when it has it if it is the first home. One that has just started, or was out
// of touch, grants tokens at once if none of those that would stand in for it does, as after all nodes were killed.
func (h *Home) dutyOf(ctx context.Context, organisation string, p Place) (duty, time.Time) {
	touch, ok := h.seams.InTouch()
	since, now := touch.Add(settleTime), h.clock.Now()
	others := p.predecessors
	switch {
	case !ok || p.rank < 0 || p.rank >= len(p.homes):
		return dutyNone, time.Time{}
	case p.rank == 0 && len(p.homes) > 1 && (now.Before(since) || (now.Before(p.settled) && !p.succeeds)):
		others = p.homes[1:] // those that may stand in for a home that has just started
	case now.Before(since):
		return dutyNone, time.Time{}
	case p.rank > 0:
		others = p.homes[:p.rank]
	case !now.Before(p.settled):
		return dutyFirst, later(since, p.settled)
	case !p.succeeds:
		return dutyNone, time.Time{}
	}
	if !h.allAbsent(ctx, organisation, others) {
		return dutyNone, time.Time{}
	}
	return dutyStandIn, time.Time{}
}

// standIn returns since when a node that stands in for a dead home has done so without a gap.
func (b *bucket) standIn(now time.Time) time.Time {
	if b.lastStandIn.IsZero() || now.Sub(b.lastStandIn) > standInGap {
		b.standInSince = now
	}
	b.lastStandIn = now
	return b.standInSince
}

// first returns since when the first home has granted tokens alone: from before it was that if it stood in until then.
func (b *bucket) first(now, since time.Time) time.Time {
	if !b.firstSince.Equal(since) {
		b.firstSince, b.aloneSince = since, since
		if now.Sub(b.lastStandIn) <= standInGap {
			b.aloneSince = b.standInSince
		}
	}
	return b.aloneSince
}

func (h *Home) bucketOf(organisation string, l Limits, now time.Time) *bucket {
	b, ok := h.buckets[organisation]
	if !ok {
		if len(h.buckets) >= maxBuckets {
			h.dropIdle(now)
		}
		b = newBucket(h.bounds, l, now)
		h.buckets[organisation] = b
	}
	return b
}

// dropIdle drops the buckets from which nothing was granted for a window.
func (h *Home) dropIdle(now time.Time) {
	for organisation, b := range h.buckets {
		if b.used.sum(now) == 0 {
			delete(h.buckets, organisation)
		}
	}
}

// allAbsent reports whether none of the homes at the addresses grants tokens but for its fallback share.
func (h *Home) allAbsent(ctx context.Context, organisation string, addrs []string) bool {
	for _, addr := range addrs {
		if !h.isAbsent(ctx, probed{organisation: organisation, addr: addr}) {
			return false
		}
	}
	return true
}

// isAbsent reports whether a home was dead, or granted no tokens, within the last probeValid. One probe of each is under way
// at a time.
func (h *Home) isAbsent(ctx context.Context, key probed) bool {
	p, first := h.probe(key)
	if first {
		h.runProbe(ctx, key, p)
	}
	select {
	case <-p.done:
		return p.absent && h.clock.Now().Sub(p.begun) < probeValid
	case <-ctx.Done():
		return false
	}
}

// probe returns the last probe of a home if it still holds, else a new one, which the caller has to run.
func (h *Home) probe(key probed) (p *probe, first bool) {
	h.probesMu.Lock()
	defer h.probesMu.Unlock()
	now := h.clock.Now()
	if p := h.probes[key]; p != nil && p.holds(now) {
		return p, false
	}
	for other, p := range h.probes {
		if !p.holds(now) {
			delete(h.probes, other)
		}
	}
	p = &probe{begun: now, done: make(chan struct{})}
	h.probes[key] = p
	return p, true
}

func (p *probe) holds(now time.Time) bool {
	switch {
	case p.ended.IsZero():
		return true
	case p.absent:
		return now.Sub(p.begun) < probeValid
	}
	return now.Sub(p.ended) < probeValid
}

func (h *Home) runProbe(ctx context.Context, key probed, p *probe) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	g, err := h.seams.Ask(ctx, key.addr, NewAsk(key.organisation, "", 0))
	h.probesMu.Lock()
	defer h.probesMu.Unlock()
	p.absent = errors.Is(err, ErrNotListening) || (err == nil && !g.full)
	p.ended = h.clock.Now()
	close(p.done)
}

// Usage is what one node has granted of an organisation lately.
type Usage struct {
	organisation string
	limits       Limits
	level        float64
	used         float64
	refused      float64
}

// Organisation returns the name of the organisation.
func (u Usage) Organisation() string { return u.organisation }

// Limits returns its limits.
func (u Usage) Limits() Limits { return u.limits }

// Level returns how many tokens are left.
func (u Usage) Level() float64 { return u.level }

// Used returns how many tokens were granted within the last window.
func (u Usage) Used() float64 { return u.used }

// Refused returns how many requests were refused within the last window.
func (u Usage) Refused() float64 { return u.refused }

// Usage returns what was granted within the last window, at most limit rows, those with the most refusals first.
func (h *Home) Usage(limit int) []Usage {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	rows := make([]Usage, 0, len(h.buckets))
	for organisation, b := range h.buckets {
		b.advance(now, b.limits)
		rows = append(rows, Usage{
			organisation: organisation, limits: b.limits, level: b.level, used: b.used.sum(now), refused: b.refused.sum(now),
		})
	}
	slices.SortFunc(rows, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.refused, a.refused), cmp.Compare(b.used, a.used), cmp.Compare(a.organisation, b.organisation))
	})
	return rows[:min(limit, len(rows))]
}
