package node_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/node"
	"tamarackrudder.org/lib/verd"
)

const flatRules = `version 1
class lookup priority=10 # asked by: test
class deed priority=100 # asked by: test
service shop slots=16 # asked by: test
route GET /items/{id} service=shop kind=idempotent class=lookup timeout=5s retries=3 # asked by: test
route POST /orders service=shop kind=nonIdempotent class=deed timeout=5s retries=1 # asked by: test
`

func chainRules(depth, retries int) (string, []string) {
	var b strings.Builder
	var services []string
	b.WriteString("version 1\nclass lookup priority=10 # asked by: test\n")
	for i := range depth {
		name := fmt.Sprintf("s%d", i)
		services = append(services, name)
		fmt.Fprintf(&b, "service %s slots=64 queue=1000 # asked by: test\n", name)
		fmt.Fprintf(&b, "route GET /%s service=%s kind=idempotent class=lookup timeout=10s retries=%d # asked by: test\n",
			name, name, retries)
	}
	return b.String(), services
}

func TestRetriesAreBoundedOverTheChain(t *testing.T) {
	refused := call.Refusal(verd.NotRun(verd.ReasonBackendShed))
	lost := call.Refusal(verd.MayHaveRun(verd.ReasonAnswerLost))
	tests := []struct {
		name    string
		depth   int
		fanOut  int
		retries int
		failure call.Answer
	}{
		{"15 deep, deepest refuses", 15, 1, 3, refused},
		{"15 deep, deepest loses answers", 15, 1, 3, lost},
		{"15 deep, no retries", 15, 1, 0, refused},
		{"5 deep with a fan-out of 2", 5, 2, 3, refused},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			rules, services := chainRules(test.depth, test.retries)
			run := func(_ string, r call.Request, downstream func(string, string, string, []byte) call.Answer) (call.Answer, bool) {
				var depth int
				_, _ = fmt.Sscanf(r.Service(), "s%d", &depth)
				if depth == test.depth-1 {
					return test.failure, false
				}
				for i := range test.fanOut {
					// The backend server retries by itself; its second call has to come out of the allowance.
					for range 2 {
						body := fmt.Appendf(r.Body().Bytes(), "/%d", i)
						if downstream("GET", "/"+services[depth+1], "", body).Verdict().HasRun() {
							break
						}
					}
				}
				return test.failure, false
			}
			w := newWorld(t, rules, services, 1, run)
			a := w.serve("10.0.0.0:1", "GET", "/s0", "", "body")
			is := is.New(t)
			is.True(!a.Verdict().HasRun())
			firstCalls := int64(1)
			for _, service := range services {
				// A retry of a call that fans out makes its first calls again.
				if got := w.attempts(service); got > firstCalls*int64(1+test.retries) {
					t.Errorf("%s: %d attempts, at most %d are allowed", service, got, firstCalls*int64(1+test.retries))
				}
				firstCalls *= int64(test.fanOut)
			}
		})
	}
}

func TestResendOfAKeyGetsNoFreshAllowance(t *testing.T) {
	run := func(string, call.Request, func(string, string, string, []byte) call.Answer) (call.Answer, bool) {
		return call.Refusal(verd.NotRun(verd.ReasonBackendShed)), false
	}
	w := newWorld(t, flatRules, []string{"shop"}, 3, run)
	k := key()
	for range 5 {
		w.serve("10.0.0.0:1", "GET", "/items/1", k, "")
	}
	is := is.New(t)
	is.True(w.attempts("shop") <= 5+3) // five requests of the caller, and one allowance of three retries
}

func TestCrashingRequestIsStopped(t *testing.T) {
	var mu sync.Mutex
	crashed := map[string]int{}
	run := func(at string, r call.Request, _ func(string, string, string, []byte) call.Answer) (call.Answer, bool) {
		if !strings.Contains(r.Path(), "bad") {
			return ok(r), false
		}
		mu.Lock()
		defer mu.Unlock()
		crashed[at]++
		return call.Refusal(verd.MayHaveRun(verd.ReasonAnswerLost)), true
	}
	w := newWorld(t, flatRules, []string{"shop"}, 5, run)
	for i := range 40 {
		at := fmt.Sprintf("10.0.0.%d:1", i%5)
		w.serve(at, "GET", "/items/bad", "", "")
		if a := w.serve(at, "GET", "/items/good", "", ""); !a.Verdict().HasRun() {
			t.Errorf("neighbour ended as %v", a.Verdict())
		}
		time.Sleep(50 * time.Millisecond) // the caller resends more slowly than crash marks spread
	}
	total := 0
	for _, n := range crashed {
		total += n
	}
	is := is.New(t)
	is.True(total <= 2) // crashes of backend servers from one fingerprint
}

// TestCrashingRequestOfOneCallerIsStopped guards against a crashing request that a sound one of another service keeps from being stopped.
func TestCrashingRequestOfOneCallerIsStopped(t *testing.T) {
	const crashing, sound = "desk", "shop"
	is := is.New(t)
	crashes := &atomic.Int64{}
	run := func(_ string, r call.Request, _ func(string, string, string, []byte) call.Answer) (call.Answer, bool) {
		if r.EntryService() != crashing {
			return ok(r), false
		}
		crashes.Add(1)
		return call.Refusal(verd.MayHaveRun(verd.ReasonAnswerLost)), true
	}
	w := newWorld(t, flatRules, []string{"shop", crashing}, 3, run)
	send := func(entry, caller string) verd.Verdict {
		r := call.NewRequest(uuid.NewString(), "GET", "/items/1", "").WithEntryService(caller)
		return w.nodes[entry].Serve(context.Background(), r).Verdict()
	}
	for i := range 20 {
		is.True(send(fmt.Sprintf("10.0.0.%d:1", i%3), sound).HasRun())
		send(fmt.Sprintf("10.1.0.%d:1", i%3), crashing)
		time.Sleep(50 * time.Millisecond) // the caller resends more slowly than crash marks spread
	}
	is.True(crashes.Load() <= 2)

	const restarted = "10.0.0.0:1"
	w.nodes[restarted].Close()
	w.startNode(t, "shop", restarted, "z0")
	at := func(caller string) verd.Verdict {
		r := call.NewRequest(uuid.NewString(), "GET", "/items/1", "").WithRoute("shop", false).WithEntryService(caller)
		return w.nodes[restarted].Exec(t.Context(), r.WithDeadline(time.Now().Add(waitTimeout))).Verdict()
	}
	w.waitFor(t, "the marks of its peers", func() bool { return w.nodes[restarted].Ready() && w.nodes[restarted].Marks() > 0 })
	is.Equal(at(crashing), verd.NotRun(verd.ReasonCrashSuspect))
	is.True(at(sound).HasRun())
	is.True(crashes.Load() <= 2)
}

func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	var mu sync.Mutex
	late := 0
	drained := false
	run := func(at string, r call.Request, _ func(string, string, string, []byte) call.Answer) (call.Answer, bool) {
		mu.Lock()
		defer mu.Unlock()
		if drained && at == "10.0.0.1:1" {
			late++
		}
		return ok(r), false
	}
	w := newWorld(t, flatRules, []string{"shop"}, 3, run)
	w.nodes["10.0.0.1:1"].Drain(t.Context())
	mu.Lock()
	drained = true
	mu.Unlock()
	for range 50 {
		for at := range w.nodes { // the list still has the drained endpoint as live
			if a := w.serve(at, "GET", "/items/1", "", ""); !a.Verdict().HasRun() {
				t.Errorf("lookup ended as %v", a.Verdict())
			}
			if a := w.serve(at, "POST", "/orders", key(), "x"); !a.Verdict().HasRun() {
				t.Errorf("order ended as %v", a.Verdict())
			}
		}
	}
	is := is.New(t)
	is.Equal(late, 0)
}

// TestAttemptKeepsItsDeadline guards against attempts with an earlier deadline than their request: in a chain that is
// only slow they would fail although there is time left.
func TestAttemptKeepsItsDeadline(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	shortest := time.Hour
	run := func(_ string, r call.Request, _ func(string, string, string, []byte) call.Answer) (call.Answer, bool) {
		mu.Lock()
		defer mu.Unlock()
		shortest = min(shortest, time.Until(r.Deadline()))
		return ok(r), false
	}
	w := newWorld(t, flatRules, []string{"shop", "desk"}, 3, run)
	for range 20 {
		is.True(w.serve("10.1.0.0:1", "GET", "/items/1", "", "").Verdict().HasRun())
	}
	is.True(shortest > 3*time.Second) // of 5 s
}

// TestNothingRunsBeforeTheNodeIsReady starts a node that has rules but no list of hosts. It must not run any request,
// since it would refuse the downstream calls of that request.
func TestNothingRunsBeforeTheNodeIsReady(t *testing.T) {
	is := is.New(t)
	run := func(_ string, r call.Request, _ func(string, string, string, []byte) call.Answer) (call.Answer, bool) {
		return ok(r), false
	}
	w := newWorld(t, flatRules, []string{"shop"}, 1, run)
	w.mu.Lock()
	delete(w.values, node.NameHosts)
	w.mu.Unlock()
	const late = "10.0.0.9:1"
	w.startNode(t, "shop", late, "z0")
	w.waitFor(t, "the rules", func() bool { return w.nodes[late].Fetch(node.NameRules).Version() == 1 })
	r := call.NewRequest("1", "GET", "/items/1", "").WithRoute("shop", false).WithDeadline(time.Now().Add(time.Second))
	is.Equal(w.nodes[late].Exec(t.Context(), r).Verdict(), verd.NotRun(verd.ReasonNoRules))
}

// TestEndpointFollowsListedState lists an endpoint as leaving and then as live again: it must drain and then serve its keys
// again, without a refused order.
func TestEndpointFollowsListedState(t *testing.T) {
	is := is.New(t)
	run := func(_ string, r call.Request, _ func(string, string, string, []byte) call.Answer) (call.Answer, bool) {
		return ok(r), false
	}
	w := newWorld(t, flatRules, []string{"shop"}, 3, run)
	const rest = "shop 10.0.0.1:1 z1\nshop 10.0.0.2:1 z2"
	leaver := w.nodes["10.0.0.0:1"]
	w.publish(node.NameHosts, "shop 10.0.0.0:1 z0 leaving\n"+rest)
	w.waitFor(t, "the endpoint to leave", leaver.Leaving)
	for range 20 {
		is.Equal(w.serve("10.0.0.0:1", "POST", "/orders", key(), "").Verdict().Reason(), verd.ReasonNone)
	}
	w.publish(node.NameHosts, "shop 10.0.0.0:1 z0\n"+rest)
	w.waitFor(t, "the endpoint to serve its keys again", func() bool { return !leaver.Leaving() && leaver.Lease().Active() })
	for range 20 {
		is.Equal(w.serve("10.0.0.1:1", "POST", "/orders", key(), "").Verdict().Reason(), verd.ReasonNone)
	}
}

// TestStuckRequestIsNoRunTimeSample lets one request get stuck in a frozen backend server. Its duration must not
// count as a run time sample, or the next requests are refused as unable to finish in time.
func TestStuckRequestIsNoRunTimeSample(t *testing.T) {
	is := is.New(t)
	var stuck sync.Once
	run := func(_ string, r call.Request, _ func(string, string, string, []byte) call.Answer) (call.Answer, bool) {
		stuck.Do(func() { time.Sleep(2 * time.Second) })
		return ok(r), false
	}
	w := newWorld(t, flatRules, []string{"shop"}, 1, run)
	order := func() call.Answer {
		request := call.NewRequest(key(), "POST", "/orders", "").WithKey(key()).WithTimeout(200 * time.Millisecond)
		return w.nodes["10.0.0.0:1"].Serve(t.Context(), request)
	}
	is.Equal(order().Verdict(), verd.MayHaveRun(verd.ReasonDeadline))
	w.waitFor(t, "the stuck request to end", func() bool { return w.nodes["10.0.0.0:1"].InFlight() == 0 })
	for range 5 {
		is.True(order().Verdict().HasRun())
	}
}

func TestStoredAnswerAndReusedKey(t *testing.T) {
	run := func(_ string, r call.Request, _ func(string, string, string, []byte) call.Answer) (call.Answer, bool) {
		return ok(r), false
	}
	w := newWorld(t, flatRules, []string{"shop"}, 3, run)
	is := is.New(t)
	k := key()
	for at := range w.nodes {
		a := w.serve(at, "POST", "/orders", k, "one chair")
		is.True(a.Verdict().HasRun())
		is.Equal(string(a.Body()), "one chair")
	}
	is.Equal(w.attempts("shop"), int64(1))
	is.Equal(w.serve("10.0.0.0:1", "POST", "/orders", k, "two chairs").Verdict(), verd.NotRun(verd.ReasonKeyReused))
	is.Equal(w.serve("10.0.0.0:1", "POST", "/orders", "", "x").Verdict(), verd.NotRun(verd.ReasonKeyMissing))
	is.Equal(w.serve("10.0.0.0:1", "GET", "/nowhere", "", "").Verdict(), verd.NotRun(verd.ReasonUnknownRoute))
}

// TestRefusalOfAResendIsWeakened cuts a node off from the owner of a key. It must not refuse a resend as not run, since
// an earlier attempt may have run elsewhere.
func TestRefusalOfAResendIsWeakened(t *testing.T) {
	run := func(_ string, r call.Request, _ func(string, string, string, []byte) call.Answer) (call.Answer, bool) {
		return ok(r), false
	}
	w := newWorld(t, flatRules, []string{"shop"}, 3, run)
	w.mu.Lock()
	w.isolated["10.0.0.0:1"] = true
	w.mu.Unlock()
	time.Sleep(500 * time.Millisecond)
	for _, path := range []string{"/orders", "/no/such/route"} {
		for _, fresh := range []bool{true, false} {
			r := call.NewRequest("id", "POST", path, "").WithKey(key()).WithFresh(fresh).WithTimeout(200 * time.Millisecond)
			v := w.nodes["10.0.0.0:1"].Serve(context.Background(), r).Verdict()
			if v.HasRun() || v.IsNotRun() != fresh {
				t.Errorf("%s fresh=%t ended as %v", path, fresh, v)
			}
		}
	}
}

func TestConfigurationSpreadsAndNeverReverts(t *testing.T) {
	run := func(_ string, r call.Request, _ func(string, string, string, []byte) call.Answer) (call.Answer, bool) {
		return ok(r), false
	}
	services := []string{"shop", "desk", "cellar", "yard"}
	w := newWorld(t, flatRules, services, 3, run)
	inForce := func(version uint64, but string) func() bool {
		return func() bool {
			for addr, n := range w.nodes {
				if addr != but && n.Rules().Version() != version {
					return false
				}
			}
			return true
		}
	}
	next := func(version int) string {
		return strings.Replace(flatRules, "version 1", fmt.Sprintf("version %d", version), 1)
	}
	w.mu.Lock()
	w.isolated["10.3.0.2:1"] = true
	w.mu.Unlock()
	w.publish("rules", next(2))
	w.waitFor(t, "version 2 in force", inForce(2, "10.3.0.2:1"))
	w.publish("rules", next(1)) // as from a stale or restored platform
	w.publish("rules", strings.Replace(next(2), "timeout=5s", "timeout=4s", 1))
	w.publish("rules", "version 9\nnonsense\n")
	w.mu.Lock()
	delete(w.isolated, "10.3.0.2:1")
	w.outage = true
	w.mu.Unlock()
	w.waitFor(t, "version 2 in force after the cut", inForce(2, ""))
	w.startNode(t, "shop", "10.0.0.0:1", "z0")
	w.waitFor(t, "the restarted node to get version 2 from its peers, the platform being down", func() bool {
		n := w.nodes["10.0.0.0:1"]
		return n.Ready() && n.Rules() != nil && n.Rules().Version() == 2
	})
	for addr, n := range w.nodes {
		if text := string(n.RulesText()); strings.Contains(text, "timeout=4s") {
			t.Errorf("%s replaced the rules in force by others with the same version", addr)
		}
	}
}

// TestPlatformCallsDoNotGrowWithTheFleet counts the calls to the platform in the second after one change, for settled
// fleets of two sizes.
func TestPlatformCallsDoNotGrowWithTheFleet(t *testing.T) {
	run := func(_ string, r call.Request, _ func(string, string, string, []byte) call.Answer) (call.Answer, bool) {
		return ok(r), false
	}
	services := []string{"shop", "desk", "cellar", "yard", "mill", "kiln", "barn", "dock", "loft", "shed"}
	for _, count := range []int{3, 10} {
		endpoints := 3 * count
		w := newWorld(t, flatRules, services[:count], 3, run)
		time.Sleep(3 * time.Second) // longer than the pause between the checks of a node that does not watch
		before := w.watches.Load()
		w.publish("rules", strings.Replace(flatRules, "version 1", "version 2", 1))
		time.Sleep(time.Second)
		calls := w.watches.Load() - before
		t.Logf("%d endpoints: %d calls for one change", endpoints, calls)
		if calls > 30 { // two watchers in three zones, two values, and the watches that the change ends
			t.Errorf("%d endpoints: %d calls", endpoints, calls)
		}
	}
}
