package quota

import (
	"time"
)

const (
	// returnTime is how long after it was asked for a token may be given back.
	returnTime = time.Second
	// maxHold bounds how long a node must not ask again, so that a home without load is asked soon.
	maxHold = 250 * time.Millisecond
	// asksPerToken is how many asks a home without tokens wants for each new token, so that no token lies unused.
	asksPerToken = 2
	// askersTime is the time over which a home counts the nodes that it refuses.
	askersTime = time.Second
	// fallbackRetry is the time between the appointments of requests that are refused without a home.
	fallbackRetry = 300 * time.Millisecond
)

// bucket is the token bucket of one organisation, at its home or at a node that stands in for it.
type bucket struct {
	bounds Bounds
	limits Limits
	level  float64
	full   bool      // whether the last grant was of the whole quota
	at     time.Time // the moment of level
	// since is the moment from which on no other node has granted tokens.
	since time.Time
	// standInSince and lastStandIn are the times from and until which the node stood in for a dead home.
	standInSince time.Time
	lastStandIn  time.Time
	// next is the time of the next token that no refused request waits for.
	next     time.Time
	returned tally
	fallback tally
	askers   map[string]bool // refused since askersAt
	before   int             // nodes refused in the askersTime before
	askersAt time.Time
	used     tally // also what the fallback share granted
	refused  tally
}

func newBucket(b Bounds, l Limits, now time.Time) *bucket {
	return &bucket{
		bounds: b, limits: l, at: now, askers: map[string]bool{}, askersAt: now,
		returned: tally{span: returnTime}, fallback: tally{span: b.window},
		used: tally{span: b.window}, refused: tally{span: b.window},
	}
}

// advance adds the tokens of the time that has passed, under the limits in force until now.
func (b *bucket) advance(now time.Time, l Limits) {
	if passed := now.Sub(b.at); passed > 0 {
		known := b.since.Add(b.bounds.window) // from here on, this home has seen a whole window
		first := min(passed, max(0, known.Sub(b.at)))
		b.level += b.limits.rate * firstRateFraction * first.Seconds()
		b.level += b.bounds.sustained(b.limits) * (passed - first).Seconds()
		b.at = now
	}
	b.setLimits(l)
	b.level = min(b.level, b.bounds.capacity(l))
}

// setLimits puts limits in force. Under lower ones, what was granted before counts for the same part of the quota, so that
// requests inside the new one are not refused for it.
func (b *bucket) setLimits(l Limits) {
	if part := b.bounds.perWindow(l) / b.bounds.perWindow(b.limits); part < 1 {
		b.used.scale(part)
	}
	b.limits = l
}

// begin makes this node the only one that grants tokens since a moment. If that is news, the bucket holds no more than a new
// home's would.
func (b *bucket) begin(now, since time.Time) {
	if since.Equal(b.since) {
		return
	}
	served := b.limits.rate * firstRateFraction * max(0, now.Sub(since).Seconds())
	fresh := min(b.bounds.capacity(b.limits), b.bounds.start(b.limits)+served)
	if b.since.IsZero() {
		b.level = fresh
	}
	b.level = min(b.level, fresh)
	b.since = since
}

// available returns how many tokens can be granted now.
func (b *bucket) available(now time.Time) float64 {
	return max(0, min(b.level, b.bounds.perWindow(b.limits)-b.used.sum(now)))
}

// nextAt returns when the next token will be there.
func (b *bucket) nextAt(now time.Time) time.Time {
	at := now.Add(b.perToken(max(0, 1-b.level)))
	if over := b.used.sum(now) + 1 - b.bounds.perWindow(b.limits); over > 0 {
		at = later(at, b.used.freeAt(now, over))
	}
	return at
}

// takeBack adds tokens whose requests did not run.
func (b *bucket) takeBack(now time.Time, count float64) {
	count = min(count, b.bounds.returns(b.limits)-b.returned.sum(now))
	if count <= 0 {
		return
	}
	b.returned.add(now, count)
	b.used.remove(count)
	b.level = min(b.level+count, b.bounds.capacity(b.limits))
}

// take grants up to a number of tokens of the bucket.
func (b *bucket) take(a Ask, now time.Time) Grant {
	granted := min(a.want, int(b.available(now)))
	b.level -= float64(granted)
	missing := a.want - granted + a.refused
	b.count(now, granted, missing)
	g := NewGrant(granted, true)
	if missing == 0 {
		return g
	}
	b.next = later(b.next, b.nextAt(now))
	wait := min(b.next.Sub(now), b.bounds.window)
	b.next = b.next.Add(b.perToken(float64(missing)))
	if latest := now.Add(b.bounds.window); b.next.After(latest) {
		b.next = latest
	}
	if granted < a.want {
		g = g.WithHold(b.hold(now, a.from))
	}
	return g.WithAppointments(wait, b.perToken(float64(b.refusedNodes())))
}

// takeFallback grants up to a number of tokens of the share that the node has without a home.
func (b *bucket) takeFallback(a Ask, now time.Time, rank, nodes int) Grant {
	left := b.bounds.fallback(b.limits, rank, nodes) - b.fallback.sum(now)
	granted := max(0, min(a.want, int(left)))
	if granted > 0 {
		b.fallback.add(now, float64(granted))
	}
	b.count(now, granted, a.want-granted)
	return NewGrant(granted, false).WithAppointments(fallbackRetry, fallbackRetry)
}

func (b *bucket) count(now time.Time, used, refused int) {
	b.used.add(now, float64(used))
	b.refused.add(now, float64(refused))
	b.used.sum(now)
	b.refused.sum(now)
}

// perToken returns the time in which so many tokens come.
func (b *bucket) perToken(count float64) time.Duration {
	return time.Duration(count / b.limits.rate * float64(time.Second))
}

// hold returns how long a refused node must not ask again, by the number of nodes that are refused.
func (b *bucket) hold(now time.Time, from string) time.Duration {
	if passed := now.Sub(b.askersAt); passed >= askersTime {
		b.before = len(b.askers)
		if passed >= 2*askersTime {
			b.before = 0
		}
		clear(b.askers)
		b.askersAt = now
	}
	b.askers[from] = true
	return min(maxHold, b.perToken(float64(b.refusedNodes())/asksPerToken))
}

// refusedNodes returns how many nodes were refused lately, at least 1.
func (b *bucket) refusedNodes() int { return max(1, b.before, len(b.askers)) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
