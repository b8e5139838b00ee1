package main

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// leftPoison lets a client send a request that crashes each endpoint that runs it, and leave before the crash. Without the
// disruption the client waits for the answer.
func leftPoison(w *World, trouble bool) (bool, error) {
	return poison(w, poisonCase{crashes: true, leaves: trouble})
}

// callersPoison lets one calling service send a request that crashes each endpoint that runs it, while another one sends requests
// with the same path and body that are sound. Without the disruption no request crashes an endpoint.
func callersPoison(w *World, trouble bool) (bool, error) {
	return poison(w, poisonCase{crashes: trouble, sound: true})
}

// poisonCase is how the crashing request is sent.
type poisonCase struct {
	crashes bool // it crashes endpoints
	leaves  bool // its client leaves before the crash
	sound   bool // another calling service sends the same, which is sound
}

const poisonPath = "/check/ledger"

func poison(w *World, c poisonCase) (bool, error) {
	const (
		caller     = "web"
		crashAfter = 800 * time.Millisecond
		leaveAfter = 600 * time.Millisecond // half of the objective of 1200 ms
		downFor    = 3 * time.Second
		again      = 1500 * time.Millisecond
		contact    = 3 * time.Second
		length     = 40 * time.Second
		allowed    = 3
	)
	var mu sync.Mutex
	var arrivals, crashes []time.Time
	lost := 0
	work := func(r Run) (int, []byte) {
		if r.http.URL.Path != poisonPath || r.http.Header.Get(names.Caller) != caller {
			return r.Work(60 * time.Millisecond)
		}
		mu.Lock()
		arrivals = append(arrivals, time.Now())
		mu.Unlock()
		if !c.crashes {
			return r.Work(crashAfter)
		}
		time.Sleep(crashAfter)
		mu.Lock()
		crashes = append(crashes, time.Now())
		mu.Unlock()
		r.endpoint.CrashFor(downFor)
		return 0, nil
	}
	services := []string{"web", "caisse"}
	for i := range 6 {
		if _, err := w.AddHost("z"+strconv.Itoa(i%3), services[i/3], 100, work); err != nil {
			return false, err
		}
	}
	w.PutConfig("r1", services,
		Route{"a.example", "/browse/", "safe", 5000, 1200, 2, 2, "web"},
		Route{"b.example", "/post/", "unsafe", 5000, 1200, 0, 2, "caisse"},
		Route{"b.example", "/check/", "safe", 5000, 1200, 1, 2, "caisse"})
	if err := w.StartNodes(); err != nil {
		return false, err
	}
	end := time.Now().Add(length)
	var all sync.WaitGroup
	for _, h := range w.hosts {
		all.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				all.Go(func() {
					g := h.Send(Ask{
						method: http.MethodPost, host: "b.example", path: "/post/" + h.name + "-" + strconv.Itoa(n), body: []byte("advance"),
						limit: 5 * time.Second,
					})
					if g.status == http.StatusBadGateway || g.status == http.StatusGatewayTimeout || g.status == 0 {
						mu.Lock()
						lost++
						mu.Unlock()
					}
				})
				if c.sound && h.service != caller && n%20 == 0 {
					all.Go(func() {
						h.Send(Ask{method: http.MethodGet, host: "b.example", path: poisonPath, limit: 5 * time.Second})
					})
				}
				all.Go(func() {
					h.Send(Ask{method: http.MethodGet, host: "a.example", path: "/browse/1", limit: 5 * time.Second})
				})
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(4 * time.Second)
	for n := 0; time.Now().Before(end); n++ {
		a := Ask{method: http.MethodGet, host: "b.example", path: poisonPath, limit: 5 * time.Second}
		if c.leaves {
			a.patient = leaveAfter
		}
		all.Go(func() { w.hosts[n%3].Send(a) }) // the hosts of the calling service
		time.Sleep(again)
	}
	all.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	if len(crashes) >= 3 {
		for _, at := range arrivals {
			if at.After(crashes[2].Add(contact)) {
				late++
			}
		}
	}
	w.record.Say("the request reached endpoints %d times and crashed them %d times; %d times later than %d ms after its third crash; %d other requests had no answer of their endpoint",
		len(arrivals), len(crashes), late, contact.Milliseconds(), lost)
	return late > allowed, nil
}
