package lease_test

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"tamarackrudder.org/lib/lease"
)

// tick lets time pass with heartbeats, most of which are delivered, and attempts recent keys at every endpoint.
func (w *world) tick(t *rapid.T) {
	for range rapid.IntRange(1, 8).Draw(t, "rounds") {
		w.now.Advance(time.Duration(rapid.IntRange(50, 400).Draw(t, "ms")) * time.Millisecond)
		w.exchangeHeartbeats(t)
		w.attemptRecentKeys(t)
	}
}

// exchangeHeartbeats lets every running endpoint send heartbeats. In each of two passes about one message in eight is not
// delivered and stays in transit.
func (w *world) exchangeHeartbeats(t *rapid.T) {
	for _, addr := range w.addrs {
		if p := w.procs[addr]; p.runs() {
			w.sendHeartbeats(p)
		}
	}
	deliveryBits := rapid.Uint64().Draw(t, "held")
	for pass := range 2 {
		for i := len(w.inTransit) - 1; i >= 0; i-- {
			bits := deliveryBits >> ((i*3 + pass*7) % 61)
			if bits&7 != 0 {
				w.deliver(i)
			}
		}
	}
	w.inTransit = w.inTransit[max(0, len(w.inTransit)-maxInTransit):]
}

// attemptRecentKeys attempts a new key and the ones created just before it at every endpoint. Some attempts stop between
// the lease check and the claim.
func (w *world) attemptRecentKeys(t *rapid.T) {
	w.newKey(time.Duration(rapid.IntRange(-400, 400).Draw(t, "callerMs")) * time.Millisecond)
	waits := rapid.IntRange(0, 3).Draw(t, "waits")
	for _, key := range w.keys[max(0, len(w.keys)-recentKeys):] {
		for i, addr := range w.addrs {
			p := w.procs[addr]
			if !p.runs() {
				continue
			}
			w.startAttempt(p, key)
			if waits != i%4 {
				w.finishAttempts()
			}
		}
	}
}

func (w *world) finishAttempts() {
	for i := len(w.pending) - 1; i >= 0; i-- {
		w.finishAttempt(i)
	}
}

const (
	maxInTransit = 200
	recentKeys   = 6
	maxHosts     = 7
	maxStale     = 3
)

// actions returns the faults and steps of the state machine, any of which may come at any time.
func (w *world) actions() map[string]func(*rapid.T) {
	running := func(p *proc) bool { return p.runs() }
	actions := map[string]func(*rapid.T){
		"":          w.checkNoSecondRun,
		"finishAll": func(*rapid.T) { w.finishAttempts() },
		"pause": func(*rapid.T) {
			w.withPicked(running, func(p *proc) { p.paused = true })
		},
		"wake": func(*rapid.T) {
			w.withPicked(func(p *proc) bool { return p.up && p.paused }, w.unpause)
		},
		"restart":       w.restart,
		"restartAll":    w.restartAll,
		"replace":       w.replace,
		"replaceMore":   w.replace,
		"adopt":         w.adopt,
		"isolate":       w.isolate,
		"heal":          func(*rapid.T) { w.cutLinks = map[string]bool{} },
		"release":       func(*rapid.T) { w.withPicked(running, w.release) },
		"resume":        func(*rapid.T) { w.withPicked(func(p *proc) bool { return p.runs() && p.leaving }, w.resume) },
		"takeBack":      func(*rapid.T) { w.withPicked(running, w.reclaim) },
		"leaveAndBack":  w.leaveAndRestart,
		"silentAndBack": w.silentAndReturn,
		"resumeAndBack": w.leaveAndResume,
		"handOver":      func(*rapid.T) { w.withPicked(running, w.sendHandover) },
		"plannedLeave":  w.plannedLeave,
		"everyoneReads": func(*rapid.T) { w.adoptNewestEverywhere() },
	}
	for _, name := range []string{"tick1", "tick2", "tick3", "tick4", "tick5", "tick6", "tick7", "tick8"} {
		actions[name] = w.tick
	}
	return actions
}

func (w *world) withPicked(ok func(*proc) bool, do func(*proc)) {
	if p := w.pick("one", ok); p != nil {
		do(p)
	}
}

// restart kills one process and starts it in place, with a list that may be stale.
func (w *world) restart(t *rapid.T) {
	p := w.pick("restarted", func(p *proc) bool { return p.up })
	if p == nil {
		return
	}
	w.boot(p.addr)
	w.adoptMaybeStale(t, p)
}

func (w *world) restartAll(t *rapid.T) {
	draw := rapid.IntRange(0, 5).Draw(t, "rarely")
	if draw != 0 {
		return
	}
	for _, addr := range w.addrs {
		if w.procs[addr].up {
			w.boot(addr)
		}
	}
	w.adoptNewestEverywhere()
}

func (w *world) adoptNewestEverywhere() {
	for _, addr := range w.addrs {
		if p := w.procs[addr]; p.runs() {
			p.group.Adopt(w.lists[len(w.lists)-1])
		}
	}
}

// replace publishes a list without one host, and with a new one in some cases. The process of the old host may keep
// running.
func (w *world) replace(t *rapid.T) {
	members := w.members()
	gone := rapid.IntRange(0, len(members)-1).Draw(t, "gone")
	old := members[gone]
	if !w.keepsMajorities(old) {
		return
	}
	next := append([]string{}, members[:gone]...)
	next = append(next, members[gone+1:]...)
	if rapid.Bool().Draw(t, "dies") {
		w.procs[old].up = false
		w.addrs = slices.DeleteFunc(w.addrs, func(addr string) bool { return addr == old })
	}
	if len(next) < 2 || rapid.Bool().Draw(t, "added") {
		w.add(next)
		return
	}
	w.publish(next)
}

// keepsMajorities reports whether, without an endpoint, the newest list still holds a majority of every list that is in
// use or that a stale platform may still serve.
func (w *world) keepsMajorities(gone string) bool {
	for i, m := range w.lists {
		kept := 0
		for _, e := range m.Members() {
			if e.RPCAddr() != gone && slices.Contains(w.members(), e.RPCAddr()) {
				kept++
			}
		}
		stale := i >= len(w.lists)-1-maxStale
		if kept < len(m.Members())/2+1 && (stale || w.isInUse(m)) {
			return false
		}
	}
	return true
}

func (w *world) isInUse(m lease.Membership) bool {
	for _, p := range w.procs {
		if !p.up {
			continue
		}
		s := p.group.Status()
		if m.Version() >= s.MinVersion() && m.Version() <= s.List() {
			return true
		}
	}
	return false
}

func (w *world) add(members []string) {
	if len(w.addrs) >= maxHosts {
		return
	}
	addr := w.newHost()
	w.boot(addr)
	w.publish(append(members, addr))
}

func (w *world) adopt(t *rapid.T) {
	if p := w.pick("reader", func(p *proc) bool { return p.runs() }); p != nil {
		w.adoptMaybeStale(t, p)
	}
}

func (w *world) adoptMaybeStale(t *rapid.T, p *proc) {
	back := min(rapid.IntRange(0, maxStale).Draw(t, "stale"), len(w.lists)-1)
	p.group.Adopt(w.lists[len(w.lists)-1-back])
}

// unpause lets a paused endpoint attempt keys on its old state before any message reaches it.
func (w *world) unpause(p *proc) {
	p.paused = false
	for _, key := range w.keys[max(0, len(w.keys)-recentKeys):] {
		w.startAttempt(p, key)
	}
	w.finishAttempts()
}

// isolate cuts the links from an endpoint, to it, or both.
func (w *world) isolate(t *rapid.T) {
	p := w.pick("isolated", func(p *proc) bool { return p.up })
	if p == nil {
		return
	}
	ways := rapid.IntRange(1, 3).Draw(t, "ways")
	for _, other := range w.addrs {
		if ways&1 != 0 {
			w.cutLinks[w.link(p.addr, other)] = true
		}
		if ways&2 != 0 {
			w.cutLinks[w.link(other, p.addr)] = true
		}
	}
}

func (w *world) release(p *proc) {
	p.leaving = true
	p.group.Release()
	w.logf("release %s", p.addr)
}

// leave is a planned stop up to the handover, in which every message that can arrive does so.
func (w *world) leave(p *proc) {
	w.release(p)
	w.sendHeartbeats(p)
	w.flush()
	w.sendHandover(p)
	w.flush()
}

// resume is what an operator's undrain causes, or a backend server that accepts connections again.
func (w *world) resume(p *proc) {
	p.leaving = false
	p.group.Resume()
	p.table.Thaw()
	w.logf("resume %s", p.addr)
}

// leaveAndRestart is a planned stop and a restart in place, without further faults at the reclaim of the keys.
func (w *world) leaveAndRestart(t *rapid.T) {
	p := w.pick("restarter", func(p *proc) bool { return p.runs() })
	if p == nil {
		return
	}
	w.leave(p)
	w.tick(t)
	w.boot(p.addr)
	w.adoptMaybeStale(t, p)
	w.tick(t)
	w.reclaim(p)
}

// silentAndReturn pauses an endpoint for about as long as its peers need to refuse it, and then lets it go on or restarts
// it, without further faults at the reclaim of its keys.
func (w *world) silentAndReturn(t *rapid.T) {
	p := w.pick("silent", func(p *proc) bool { return p.runs() })
	if p == nil {
		return
	}
	p.paused = true
	for range rapid.IntRange(1, 4).Draw(t, "ticks") {
		w.tick(t)
	}
	if rapid.Bool().Draw(t, "dies") {
		w.boot(p.addr)
		w.adoptMaybeStale(t, p)
	} else {
		w.unpause(p)
	}
	w.sendHeartbeats(p)
	w.flush()
	w.reclaim(p)
}

// leaveAndResume lets an endpoint leave and resume in the same process.
func (w *world) leaveAndResume(t *rapid.T) {
	p := w.pick("resumer", func(p *proc) bool { return p.runs() })
	if p == nil {
		return
	}
	w.leave(p)
	w.tick(t)
	w.resume(p)
	w.reclaim(p)
}

// plannedLeave lets an endpoint release its keys and hand over its claims, and in some cases restarts it in place.
func (w *world) plannedLeave(t *rapid.T) {
	p := w.pick("leaver", func(p *proc) bool { return p.runs() })
	if p == nil {
		return
	}
	w.leave(p)
	if rapid.Bool().Draw(t, "comesBack") {
		w.boot(p.addr)
		w.adoptMaybeStale(t, p)
	}
}
