package roster

import (
	"time"

	"tamarackrudder.org/lib/hosts"
)

const (
	// missingGrace is how long a missing entry still counts after the platform has become reachable again or was restored.
	missingGrace = 2200 * time.Millisecond
	// expiryWindow is how long after an outage or a restoration a removed entry may have expired because its heartbeats did not arrive.
	expiryWindow = time.Second
	// minOutage is the shortest outage of the platform in which an entry can expire: it does after three missed heartbeats
	// of 1.5 s, of which one may be due just before the outage and one just after it.
	minOutage = 1500 * time.Millisecond
	// minMassRemoval is how many entries must be removed at once, and be more than half of all, to show an outage.
	minMassRemoval = 3
	// certainAfter is how long a table must have followed the platform without a break until its lists are certain: entries
	// from a backup are then known for what they are, and missing ones have expired.
	certainAfter = outdatedTimeout
)

// RecordUnanswered records that a connection to the platform broke or timed out before it answered a call, and reports whether
// the platform is unreachable: it is not by one such call, only if the next one fails as well.
func (t *Table) RecordUnanswered() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failingSince.IsZero() {
		t.failingSince = t.clock.Now()
		return false
	}
	t.unreachable = true
	return true
}

// MarkUnreachable records that the platform cannot be read.
func (t *Table) MarkUnreachable() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unreachable = true
	if t.failingSince.IsZero() {
		t.failingSince = t.clock.Now()
	}
}

// MarkReachable records that the platform was read, and returns for how long it could not be since the first failed call, zero
// if it could.
func (t *Table) MarkReachable() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	wasUnreachable, since := t.unreachable, t.failingSince
	t.unreachable, t.failingSince = false, time.Time{}
	if !wasUnreachable {
		return 0
	}
	now := t.clock.Now()
	outage := now.Sub(since)
	if outage >= minOutage {
		t.startGrace(now)
	}
	return outage
}

// startGrace lets missing entries count for missingGrace from now. Held entries stay so at least as long, since their
// removal may have been missed.
func (t *Table) startGrace(now time.Time) {
	t.graceSince, t.followedSince = now, now
	end := now.Add(missingGrace)
	for _, e := range t.entries {
		if e.state == expiring || e.until.Before(end) {
			e.until = end
		}
	}
}

// IsFailing reports whether the last call to the platform failed.
func (t *Table) IsFailing() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.failingSince.IsZero()
}

// IsUnreachable reports whether the platform could not be read when it was last tried, and not only one connection to it broke.
func (t *Table) IsUnreachable() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.unreachable
}

// mayHaveExpired reports whether entries may be missing only because their writers could not reach the platform, or have
// not written them again since it was restored.
func (t *Table) mayHaveExpired() bool {
	return t.unreachable || (!t.graceSince.IsZero() && t.clock.Now().Sub(t.graceSince) < expiryWindow)
}

// DetectOutage is called with the entries that the platform reports as removed at once, before each Remove. If they are most of
// all entries, they have expired in an outage that no watch showed, since endpoints leave a few at a time.
func (t *Table) DetectOutage(names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	removed := map[string]bool{}
	for _, name := range names {
		removed[name] = true
	}
	t.detectOutage(func(name string) bool { return removed[name] })
}

// detectOutage begins a grace period if the removed entries are so many that they must have expired in an outage.
func (t *Table) detectOutage(isRemoved func(name string) bool) {
	live, removed := 0, 0
	for name, e := range t.entries {
		if e.state != published || e.endpoint.Leaving() {
			continue
		}
		live++
		if isRemoved(name) {
			removed++
		}
	}
	if removed >= minMassRemoval && 2*removed > live {
		t.startGrace(t.clock.Now())
	}
}

// Confirm stops counting removed entries that a certain list of a peer does not have, and returns their names: that peer has
// followed the platform all the while, so that the entries have not expired in an outage.
func (t *Table) Confirm(list *hosts.List) []string {
	if list == nil || list.Version()&certainBit == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var confirmed []string
	for name, e := range t.entries {
		if e.state != expiring || SequenceOf(list.Version()) < e.position.Sequence() {
			continue
		}
		if listed, ok := list.Find(e.endpoint.RPCAddr()); ok && listed.Instance() == e.endpoint.Instance() {
			continue
		}
		t.bury(name, e)
		confirmed = append(confirmed, name)
	}
	if len(confirmed) > 0 {
		t.localChanges++
	}
	return confirmed
}

// isCertain reports whether the platform has been followed for so long that no entry can be missing only for a while.
func (t *Table) isCertain() bool {
	return !t.unreachable && !t.followedSince.IsZero() && t.clock.Now().Sub(t.followedSince) >= certainAfter
}

// version returns the version of the list in force. At the same position of the platform a certain list wins.
func (t *Table) version() uint64 {
	low := min(t.localChanges, maxLocalChanges)
	if t.certain {
		low |= certainBit
	}
	return t.position.Sequence()<<localChangeBits | low
}
