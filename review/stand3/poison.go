package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	poisonPath   = "/book/poison"
	poisonDown   = 3 * time.Second
	poisonLength = 95 * time.Second
	greyFrom     = 2 * time.Second
	greyFor      = 6500 * time.Millisecond
	contact      = 3 * time.Second
	crashesMost  = 3
	retriesMost  = 3
)

const poisonConfig = `{"version":"r7","routes":{"columns":["name","hostname","prefix","route_type","timeout_ms","target_latency_ms",` +
	`"priority","traffic_split","max_attempts","service"],"rows":[["r-1","desk.example","/book/","safe",4000,1500,1,null,2,"yard"]]},` +
	`"services":{"columns":["name","health_path","max_connections","protocol","tls"],"rows":[["desk","/health",1222,"h1",false],` +
	`["yard","/health",1222,"h1",false],["till","/health",1222,"h1",false]]},` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// poisonLog holds when the request that crashes endpoints was run.
type poisonLog struct {
	mu      sync.Mutex
	crashes []time.Time
	retries int // runs later than contact after the last crash that is allowed
}

func (l *poisonLog) ran(crashes bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if len(l.crashes) >= crashesMost && now.Sub(l.crashes[crashesMost-1]) > contact {
		l.retries++
	}
	if crashes {
		l.crashes = append(l.crashes, now)
	}
}

// judge says whether the request has reached endpoints too often, given how many other requests were served.
func (l *poisonLog) judge(rec *record, served, sent int64) outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	rec.say("%d of %d other requests served; the request crashed %d endpoints, and reached endpoints in %d retries later than 3 s after "+
		"the third crash", served, sent, len(l.crashes), l.retries)
	if served < sent/2 {
		rec.say("not run: too few requests were served")
		return notRun
	}
	if l.retries > retriesMost {
		return broken
	}
	return held
}

// poison sends a request that crashes each endpoint that begins to run it, again and again. For some seconds one endpoint fails
// all requests with 500 while its health probe is good, this one too.
func poison(rec *record, trouble bool) outcome {
	var specs []hostSpec
	for _, service := range []string{"desk", "yard", "till"} {
		for _, zone := range []string{"a", "b", "c"} {
			specs = append(specs, hostSpec{zone: zone, service: service, slots: 187})
		}
	}
	var grey atomic.Pointer[endpoint]
	seen := &poisonLog{}
	f, err := newFleet(rec, specs, poisonConfig, func(e *endpoint) {
		e.work = func(ctx context.Context, e *endpoint, r *http.Request, _ []byte) (int, []byte, bool) {
			isPoison := strings.HasPrefix(r.URL.Path, poisonPath)
			if grey.Load() == e {
				if isPoison {
					seen.ran(false)
				}
				return http.StatusInternalServerError, []byte("failed"), true
			}
			if isPoison {
				seen.ran(true)
				e.crash(poisonDown)
				return 0, nil, false
			}
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
	if trouble {
		time.AfterFunc(greyFrom, func() {
			rec.line("endpoint at %s fails all requests for %s", f.hosts[3].ip, greyFor)
			grey.Store(f.hosts[3].endpoint)
		})
		time.AfterFunc(greyFrom+greyFor, func() { grey.Store(nil) })
	}
	var wait sync.WaitGroup
	var served, sent atomic.Int64
	stop := time.Now().Add(poisonLength)
	for i := range f.hosts {
		client := newClient()
		wait.Go(func() {
			for n := 0; time.Now().Before(stop); n++ {
				sent.Add(1)
				if f.send(client, f.hosts[i], http.MethodGet, "desk.example", "/book/"+randomName(), nil, 4*time.Second).status == http.StatusOK {
					served.Add(1)
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	client := newClient()
	time.Sleep(greyFrom + 500*time.Millisecond)
	for n := 0; time.Now().Before(stop); n++ {
		f.send(client, f.hosts[n%3], http.MethodGet, "desk.example", poisonPath, nil, 4*time.Second)
		time.Sleep(500 * time.Millisecond)
	}
	wait.Wait()
	return seen.judge(rec, served.Load(), sent.Load())
}

func randomName() string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var b [10]byte
	for i := range b {
		b[i] = letters[rand.IntN(len(letters))]
	}
	return string(b[:])
}
