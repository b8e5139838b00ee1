package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	leaveDrain  = 2 * time.Second // drain_ms
	leaveServes = 3 * time.Second // an endpoint serves for drain_ms after its report, at times many seconds longer
	leaveDown   = 2 * time.Second
	leaveRounds = 15
	leaveTries  = 6
	leaveEvery  = 6200 * time.Millisecond
	leaveWork   = 600 * time.Millisecond
	leaveSlots  = 20
	leaveKilled = 8 // share 0.55 of 13 machines, rounded up
)

var leaveServices = []string{"cash", "desk", "book", "shop"}

// leaveConfig returns a configuration in which all requests go to one service.
func leaveConfig(version int, to string) string {
	var services []string
	for _, s := range leaveServices {
		services = append(services, fmt.Sprintf(`[%q,"/health",220,"h1",false]`, s))
	}
	return fmt.Sprintf(`{"version":"r%d",`, version) + `"routes":{"columns":["name","hostname","prefix","route_type","timeout_ms","target_latency_ms",` +
		`"priority","traffic_split","max_attempts","service"],"rows":[["r-1","desk.example","/fee/","safe",4000,2000,1,null,2,` + strconv.Quote(to) + `]]},` +
		`"services":{"columns":["name","health_path","max_connections","protocol","tls"],"rows":[` + strings.Join(services, ",") + `]},` +
		`"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`
}

// leaveFleet starts fleets, with other addresses each, until there is a service beside whose three endpoints one node doesn't watch the
// store and the others do. The requests go to that service.
func leaveFleet(rec *record, specs []hostSpec, behaviour func(*endpoint)) (*fleet, *host, error) {
	for range leaveTries {
		f, err := newFleet(rec, specs, leaveConfig(7, leaveServices[0]), behaviour)
		if err != nil {
			return nil, nil, err
		}
		if err := f.awaitReady(); err != nil {
			f.end()
			return nil, nil, err
		}
		f.store.put(names.Config, leaveConfig(8, leaveServices[0])) // the watches that wait return, and only the watchers come again
		time.Sleep(1500 * time.Millisecond)
		watchers := f.store.watchers()
		isWatcher := func(h *host) bool { return slices.Contains(watchers, h.storeAddr()) }
		for i, service := range leaveServices[:3] { // the last service has four endpoints
			others := slices.DeleteFunc(slices.Clone(f.hosts[3*i:3*i+3]), isWatcher)
			if len(others) == 1 {
				f.store.put(names.Config, leaveConfig(9, service))
				time.Sleep(2500 * time.Millisecond)
				return f, others[0], nil
			}
		}
		f.end()
	}
	return nil, nil, fmt.Errorf("no fleet with the watchers wanted")
}

// leaveChoose returns the machines to be killed: those whose nodes watch the store, and others up to the share, but not the one beside
// the endpoint that leaves.
func leaveChoose(f *fleet, leaver *host, watchers []string) []int {
	var chosen, others []int
	for i, h := range f.hosts {
		switch {
		case h == leaver:
		case slices.Contains(watchers, h.storeAddr()):
			chosen = append(chosen, i)
		default:
			others = append(others, i)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return append(chosen, others[:max(0, leaveKilled-len(chosen))]...)
}

// leave kills the nodes that watch the store, at the moment at which an endpoint begins to leave.
func leave(rec *record, trouble bool) outcome {
	var specs []hostSpec
	for _, service := range leaveServices {
		for _, zone := range []string{"a", "b", "c"} {
			specs = append(specs, hostSpec{zone: zone, service: service, slots: leaveSlots})
		}
	}
	specs = append(specs, hostSpec{zone: "a", service: "shop", slots: leaveSlots})
	var late, longest atomic.Int64
	behaviour := func(e *endpoint) {
		e.work = func(ctx context.Context, _ *endpoint, _ *http.Request, _ []byte) (int, []byte, bool) {
			work := leaveWork/2 + rand.N(leaveWork) // 0.6 s in the mean
			return sleep(ctx, work), []byte("settled"), true
		}
		e.arrived = func(e *endpoint, attempt string) {
			e.mu.Lock()
			left := e.leftAt
			e.mu.Unlock()
			if left.IsZero() {
				return
			}
			longest.Store(max(longest.Load(), time.Since(left).Milliseconds()))
			if time.Since(left) > leaveDrain {
				late.Add(1)
				rec.line("late: %s reaches %s %.3f s after the store has accepted that it leaves", attempt, e.host.ip, time.Since(left).Seconds())
			}
		}
	}
	f, leaver, err := leaveFleet(rec, specs, behaviour)
	if err != nil {
		rec.say("not run: %v", err)
		return notRun
	}
	defer f.end()
	var served, sent atomic.Int64
	var wait sync.WaitGroup
	stop := time.Now().Add(leaveRounds * leaveEvery)
	herd := leaveChoose(f, leaver, f.store.watchers())
	for i, h := range f.hosts {
		if slices.Contains(herd, i) {
			continue // the clients stand on the other machines
		}
		client := newClient()
		wait.Go(func() {
			var open sync.WaitGroup
			for time.Now().Before(stop) {
				time.Sleep(50*time.Millisecond + rand.N(12*time.Millisecond))
				open.Go(func() {
					sent.Add(1)
					if f.send(client, h, http.MethodGet, "desk.example", "/fee/"+randomName(), nil, 4*time.Second).status == http.StatusOK {
						served.Add(1)
					}
				})
			}
			open.Wait()
		})
	}
	for round := range leaveRounds {
		time.Sleep(leaveEvery - leaveServes)
		rec.line("round %d: %d nodes watch the store", round, len(f.store.watchers()))
		if trouble {
			for _, i := range herd {
				h := f.hosts[i]
				rec.line("kill %s", h.ip)
				_ = h.node.Process.Kill()
				<-h.ended
				time.AfterFunc(leaveDown, func() { _ = h.startNode() })
			}
		}
		leaver.endpoint.drain(leaveServes, 500*time.Millisecond)
		time.Sleep(leaveServes)
	}
	wait.Wait()
	rec.say("%d of %d requests served; %d reached an endpoint later than drain_ms after the store had accepted that it leaves; the last one reached one %d ms after",
		served.Load(), sent.Load(), late.Load(), longest.Load())
	if late.Load() > 0 {
		return broken
	}
	return held
}
