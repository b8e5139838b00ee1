package lease_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"tamarackrudder.org/lib/hosts"
	"tamarackrudder.org/lib/seeds"
)

// newServingWorld returns a world of three endpoints that serve.
func newServingWorld(t *rapid.T) *world {
	w := newWorld(t, 3)
	w.runWithoutFaults(2*(length+drift) + skew + future)
	return w
}

// servesNewKey reports whether exactly one endpoint runs a new key.
func (w *world) servesNewKey() bool {
	key := w.newKey(0)
	w.attemptEverywhere(key)
	return w.runs[key] == 1
}

func TestCases(t *testing.T) {
	const long = 3 * (length + drift)
	tests := []struct {
		name string
		run  func(w *world, is *is.I)
	}{
		{"loss of the zone with half of the endpoints leaves a majority", func(w *world, is *is.I) {
			w.boot(w.newHost())
			for i, zone := range []string{"a", "b", "c", "a"} {
				w.zones[w.addrs[i]] = zone
			}
			w.publish(w.addrs)
			w.adoptNewestEverywhere()
			w.runWithoutFaults(long)
			w.procs[w.addrs[0]].up = false
			w.procs[w.addrs[3]].up = false
			w.runWithoutFaults(long)
			for range 20 {
				is.True(w.servesNewKey())
			}
		}},
		{"peers with equal states send compact ones", func(w *world, is *is.I) {
			for _, from := range w.addrs {
				for _, to := range w.addrs {
					is.True(from == to || w.procs[from].group.StateFor(to).IsCompact())
				}
			}
			w.boot(w.addrs[0])
			is.True(!w.procs[w.addrs[0]].group.StateFor(w.addrs[1]).IsCompact())
		}},
		{"restart of one in place serves again", func(w *world, is *is.I) {
			w.boot(w.addrs[0])
			w.procs[w.addrs[0]].group.Adopt(w.lists[0])
			w.runWithoutFaults(long)
			is.True(w.procs[w.addrs[0]].group.Status().Active())
			is.True(w.servesNewKey())
		}},
		{"restart of all together serves again", func(w *world, is *is.I) {
			for _, addr := range w.addrs {
				w.boot(addr)
			}
			w.adoptNewestEverywhere()
			w.runWithoutFaults(long)
			is.True(w.servesNewKey())
		}},
		{"one of three replaced serves again", func(w *world, is *is.I) {
			w.procs[w.addrs[0]].up = false
			w.add(w.addrs[1:])
			w.adoptNewestEverywhere()
			w.runWithoutFaults(long)
			is.True(w.servesNewKey())
		}},
		{"majority replaced in one step is refused", func(w *world, is *is.I) {
			old := w.addrs
			w.isolateBoth(old[1])
			w.isolateBoth(old[2])
			w.newHost()
			w.newHost()
			w.boot(w.addrs[3])
			w.boot(w.addrs[4])
			w.publish([]string{old[0], w.addrs[3], w.addrs[4]})
			for _, addr := range []string{old[0], w.addrs[3], w.addrs[4]} {
				w.procs[addr].group.Adopt(w.lists[1])
			}
			w.runWithoutFaults(long)
			for _, addr := range []string{old[0], w.addrs[3], w.addrs[4]} {
				is.True(!w.procs[addr].group.Permit(w.newKey(0)).Allowed())
			}
		}},
		{"stale platform after a restart does not bring an old list back", func(w *world, is *is.I) {
			w.add(w.addrs)
			w.adoptNewestEverywhere()
			w.runWithoutFaults(long)
			w.boot(w.addrs[0])
			w.procs[w.addrs[0]].group.Adopt(w.lists[0])
			w.runWithoutFaults(long)
			is.Equal(w.procs[w.addrs[0]].group.Status().List(), w.lists[1].Version())
		}},
		{"lease lost and regained under the same list keeps the key cutoff", func(w *world, is *is.I) {
			key := w.newKey(0)
			w.isolateBoth(w.addrs[0])
			w.runWithoutFaults(long)
			is.True(!w.procs[w.addrs[0]].group.Status().Leased())
			w.cutLinks = map[string]bool{}
			w.runWithoutFaults(time.Second)
			w.attemptEverywhere(key)
			is.Equal(w.runs[key], 1) // an old key that no endpoint has run is still served
		}},
		{"keys of a silent owner are served by others until it owns them again", func(w *world, is *is.I) {
			silent := w.procs[w.addrs[0]]
			silent.paused = true
			w.runWithoutFaults(3 * long)
			for range 20 {
				is.True(w.servesNewKey())
			}
			w.unpause(silent)
			w.runWithoutFaults(2 * long)
			is.True(silent.group.Status().Active())
			for range 20 {
				is.True(w.servesNewKey())
			}
		}},
		{"endpoint that is restarted and leaves at once lets no key run twice", func(w *world, is *is.I) {
			key := w.newKey(0)
			w.attemptEverywhere(key)
			is.Equal(w.runs[key], 1)
			for _, addr := range slices.Clone(w.addrs) {
				p := w.procs[addr]
				if _, owns := p.table.Lookup(key, 1); !owns {
					continue
				}
				w.boot(addr)
				p.group.Adopt(w.lists[0])
				w.runWithoutFaults(100 * time.Millisecond)
				w.release(p)
				w.runWithoutFaults(100 * time.Millisecond)
				w.sendHandover(p)
				w.flush()
				rest := slices.DeleteFunc(slices.Clone(w.addrs), func(other string) bool { return other == addr })
				w.publish(rest)
				w.adoptNewestEverywhere()
			}
			for range 5 {
				w.runWithoutFaults(100 * time.Millisecond)
				w.attemptEverywhere(key)
			}
			is.Equal(w.runs[key], 1)
		}},
		{"planned leave refuses nothing", func(w *world, is *is.I) {
			key := w.newKey(0)
			w.leave(w.procs[w.addrs[0]])
			w.runWithoutFaults(100 * time.Millisecond)
			for range 20 {
				is.True(w.servesNewKey())
			}
			w.attemptEverywhere(key)
			is.Equal(w.runs[key], 1) // created before the leave, not run yet
		}},
		{"leaver that stays away for longer than a lease causes no refusals", func(w *world, is *is.I) {
			leaver := w.procs[w.addrs[0]]
			w.leave(leaver)
			leaver.up = false
			for range 100 {
				w.runWithoutFaults(100 * time.Millisecond)
				is.True(w.servesNewKey())
			}
		}},
		{"silent owner that wakes goes on with its old keys", func(w *world, is *is.I) {
			silent := w.procs[w.addrs[0]]
			old := w.newKeyOwnedBy(silent.addr)
			silent.paused = true
			w.runWithoutFaults(long)
			w.unpause(silent)
			w.runWithoutFaults(200 * time.Millisecond)
			w.reclaim(silent)
			w.now.Advance(time.Millisecond)
			for range 20 {
				is.True(w.servesNewKey())
			}
			w.attemptEverywhere(old)
			is.Equal(w.runs[old], 1) // created before the pause, not run by any endpoint
		}},
		{"two silent owners that wake together go on with their old keys", func(w *world, is *is.I) {
			w.boot(w.newHost())
			w.boot(w.newHost())
			w.publish(w.addrs)
			w.adoptNewestEverywhere()
			w.runWithoutFaults(long)
			old := w.newKeyOwnedBy(w.addrs[1])
			for _, addr := range w.addrs[:2] {
				w.procs[addr].paused = true
			}
			w.runWithoutFaults(long)
			for _, addr := range w.addrs[:2] {
				w.unpause(w.procs[addr])
			}
			w.runWithoutFaults(200 * time.Millisecond)
			for _, addr := range w.addrs[:2] {
				w.reclaim(w.procs[addr])
			}
			w.now.Advance(time.Millisecond)
			w.attemptEverywhere(old)
			is.Equal(w.runs[old], 1)
			for range 20 {
				is.True(w.servesNewKey())
			}
		}},
		{"leaver that is listed as leaving causes no refusals", func(w *world, is *is.I) {
			old := w.newKeyOwnedBy(w.addrs[0])
			w.procs[w.addrs[0]].leaving = true
			w.publish(w.addrs)
			w.adoptNewestEverywhere()
			for range 40 {
				w.runWithoutFaults(100 * time.Millisecond)
				is.True(w.servesNewKey())
			}
			w.leave(w.procs[w.addrs[0]])
			w.runWithoutFaults(100 * time.Millisecond)
			w.attemptEverywhere(old)
			is.Equal(w.runs[old], 1)
			is.True(w.servesNewKey())
		}},
		{"silent owner that was restarted serves at once", func(w *world, is *is.I) {
			silent := w.procs[w.addrs[0]]
			silent.up = false
			w.runWithoutFaults(long)
			w.restartAndReclaim(silent)
			for range 20 {
				is.True(w.servesNewKey())
			}
			is.True(silent.group.Status().Active())
		}},
		{"keys of a silent owner are served after one lease", func(w *world, is *is.I) {
			w.procs[w.addrs[0]].paused = true
			w.runWithoutFaults(length + drift + skew + future + 300*time.Millisecond)
			for range 20 {
				is.True(w.servesNewKey())
			}
		}},
		{"endpoint that resumes after a release keeps its key cutoff", func(w *world, is *is.I) {
			leaver := w.procs[w.addrs[0]]
			w.leave(leaver)
			w.runWithoutFaults(100 * time.Millisecond)
			old := w.newKeyOwnedBy(leaver.addr)
			w.resume(leaver)
			w.reclaim(leaver)
			w.now.Advance(time.Millisecond)
			w.runWithoutFaults(100 * time.Millisecond)
			w.attemptEverywhere(old)
			is.Equal(w.runs[old], 1)
			is.True(w.servesNewKey())
		}},
		{"silent owner does not affect the keys of other owners", func(w *world, is *is.I) {
			silent := w.procs[w.addrs[0]]
			silent.paused = true
			for range 100 {
				w.runWithoutFaults(100 * time.Millisecond)
				key := w.newKey(0)
				if owner(w, key) == silent.addr {
					continue
				}
				w.attemptEverywhere(key)
				is.Equal(w.runs[key], 1)
			}
		}},
		{"leaver that is restarted in place serves again", func(w *world, is *is.I) {
			leaver := w.procs[w.addrs[0]]
			w.leave(leaver)
			w.boot(leaver.addr)
			leaver.group.Adopt(w.lists[0])
			w.runWithoutFaults(long)
			for range 20 {
				is.True(w.servesNewKey())
			}
			is.True(leaver.group.Status().Active())
		}},
		{"leaver that asks for its keys serves at once", func(w *world, is *is.I) {
			leaver := w.procs[w.addrs[0]]
			w.leave(leaver)
			w.runWithoutFaults(time.Second)
			old := w.newKey(0)
			w.runWithoutFaults(100 * time.Millisecond)
			w.restartAndReclaim(leaver)
			for range 20 {
				is.True(w.servesNewKey())
			}
			is.True(leaver.group.Status().Active())
			w.attemptEverywhere(old)
			is.Equal(w.runs[old], 1) // created before the restart
		}},
	}
	seeds.LimitChecks(t, 20)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			rapid.Check(t, func(r *rapid.T) {
				w := newServingWorld(r)
				test.run(w, is)
				w.checkNoSecondRun(r)
			})
		})
	}
}

// restartAndReclaim restarts an endpoint in place and lets it reclaim its keys from its peers.
func (w *world) restartAndReclaim(p *proc) {
	w.boot(p.addr)
	p.group.Adopt(w.lists[0])
	w.runWithoutFaults(200 * time.Millisecond)
	w.reclaim(p)
	w.now.Advance(time.Millisecond)
}

// newKeyOwnedBy creates keys until the endpoint at an address ranks first for one, and returns that key.
func (w *world) newKeyOwnedBy(addr string) string {
	for {
		if key := w.newKey(0); owner(w, key) == addr {
			return key
		}
	}
}

// owner returns the endpoint that ranks first for a key under the newest list.
func owner(w *world, key string) string {
	return hosts.Rank(w.lists[len(w.lists)-1].Members(), key)[0]
}

func (w *world) isolateBoth(addr string) {
	for _, other := range w.addrs {
		w.cutLinks[w.link(addr, other)] = true
		w.cutLinks[w.link(other, addr)] = true
	}
}
