package main

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	hangTimeout = time.Second             // timeout_ms of the route
	hangLimit   = 2500 * time.Millisecond // the clients' time limit
	hangLate    = 500 * time.Millisecond  // the rule's slack
	hangFreeze  = 3500 * time.Millisecond
	hangBody    = 65_000
	hangPause   = 5 * time.Millisecond
)

const hangConfig = `{"version":"r7","routes":{"columns":["name","hostname","prefix","route_type","timeout_ms","target_latency_ms",` +
	`"priority","traffic_split","max_attempts","service"],"rows":[["r-1","desk.example","/book/","safe",1000,800,1,null,2,"yard"]]},` +
	`"services":{"columns":["name","health_path","max_connections","protocol","tls"],"rows":[["desk","/health",1222,"h1",false],` +
	`["yard","/health",1222,"h1",false],["till","/health",1222,"h1",false]]},` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// hang freezes one machine for a while, and looks at the requests that clients of another machine send meanwhile.
func hang(rec *record, trouble bool) outcome {
	var specs []hostSpec
	for _, service := range []string{"desk", "yard", "till"} {
		for _, zone := range []string{"a", "b", "c"} {
			specs = append(specs, hostSpec{zone: zone, service: service, slots: 361})
		}
	}
	f, err := newFleet(rec, specs, hangConfig, func(e *endpoint) {
		e.work = func(ctx context.Context, _ *endpoint, _ *http.Request, _ []byte) (int, []byte, bool) {
			return sleep(ctx, 20*time.Millisecond), []byte("booked"), true
		}
	})
	if err != nil {
		rec.say("not run: %v", err)
		return notRun
	}
	defer f.end()
	if err := f.awaitReady(); err != nil {
		rec.say("not run: %v", err)
		return notRun
	}
	entry, frozen := f.hosts[0], f.hosts[3] // both in zone a
	client, body := newClient(), make([]byte, hangBody)
	var mu sync.Mutex
	var all []attempt
	var wait sync.WaitGroup
	begin := time.Now()
	time.AfterFunc(6*time.Second, func() {
		if trouble {
			rec.line("machine %s freezes for %s", frozen.ip, hangFreeze)
			_ = frozen.node.Process.Signal(syscall.SIGSTOP)
			time.AfterFunc(hangFreeze, func() {
				_ = frozen.node.Process.Signal(syscall.SIGCONT)
				rec.line("machine %s wakes", frozen.ip)
			})
		}
	})
	for time.Since(begin) < 15*time.Second {
		wait.Go(func() {
			a := f.send(client, entry, http.MethodPost, "desk.example", "/book/1", body, hangLimit)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, a)
		})
		time.Sleep(hangPause)
	}
	wait.Wait()
	longer, late, longest, served, silent := 0, 0, time.Duration(0), 0, 0
	for _, a := range all {
		longest = max(longest, a.took)
		if a.status == http.StatusOK {
			served++
		}
		if a.status == 0 {
			silent++
		}
		if a.took > hangTimeout {
			longer++
		}
		if a.took > hangTimeout+hangLate {
			late++
		}
	}
	rec.say("%d requests at a machine that was never impaired, %d served; %d lasted longer than timeout_ms, %d of these had no answer "+
		"0.5 s after it; the longest took %.2f s; %d got none at all within the clients' time limit", len(all), served, longer, late,
		longest.Seconds(), silent)
	if served < len(all)/2 {
		rec.say("not run: too few requests were served")
		return notRun
	}
	if late >= 8 && 4*late > longer {
		return broken
	}
	return held
}
