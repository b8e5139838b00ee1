package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Bounds of the platform, as in the nodes' settings.
const (
	drainTime   = 2 * time.Second
	contactTime = 3 * time.Second
)

// playLateCopy: two of the three endpoints of a service are taken away as planned (scale_in). The one that is left rejects
// a tenth of the requests, as a full one does. Its answers are garbled at times: a second copy of some follows late. A non-idempotent
// request must not run twice, and must not have run if it is answered 503.
func playLateCopy(trouble bool) (*world, *outcome, error) {
	const (
		shedShare   = 0.1
		doubleShare = 0.03
		perSecond   = 90
		period      = 10 * time.Second
		doublesFor  = 5 * time.Second // of each period
		length      = 80 * time.Second
	)
	w, err := newWorld(8, []string{"muscat-seeb", "dhofar-salalah", "batinah-sohar"})
	if err != nil {
		return nil, nil, err
	}
	pay := route{"/pay/", "unsafe", "ledger", 2000, 1000, 3}
	read := route{"/read/", "safe", "desk", 2000, 1000, 2}
	w.writeConfig(3, []string{"ledger", "desk"}, []route{pay, read})
	services := []string{"ledger", "ledger", "ledger", "desk", "desk", "desk", "desk", "desk"}
	if err := w.open(services, []int{51, 51, 51, 51, 51, 51, 51, 51}); err != nil {
		return w, nil, err
	}
	w.scaleIn(w.hosts[1:3])
	hosts := append(w.hosts[:1:1], w.hosts[3:]...)
	random, mu := rand.New(rand.NewPCG(7, 1)), sync.Mutex{}
	draw := func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64()
	}
	e := w.hosts[0].endpoint
	e.sheds = func() bool { return draw() < shedShare }
	if trouble {
		e.doubles = func() (time.Duration, bool) {
			if time.Since(w.start)%period >= doublesFor || draw() >= doubleShare {
				return 0, false
			}
			return time.Duration(5+45*draw()) * time.Millisecond, true
		}
	}
	var all sync.WaitGroup
	all.Go(func() { w.steady(hosts, read, 20, 20*time.Millisecond, 2*time.Second, length, nil) })
	w.steady(hosts, pay, perSecond, 100*time.Millisecond, 2*time.Second, length, []byte("advance"))
	all.Wait()
	time.Sleep(time.Second)
	result := &outcome{}
	arrivals, refused := w.byID(), 0
	for _, a := range w.answers {
		if !a.unsafe {
			continue
		}
		runs := 0
		for _, at := range arrivals[a.id] {
			if !at.ran.IsZero() {
				runs++
			}
		}
		if a.status == 503 {
			refused++
		}
		if a.status == 503 && runs > 0 {
			result.broken = true
			result.find("REFUSED: %s was answered 503 at %.3f and has run at an endpoint", a.id, a.ended.Sub(w.start).Seconds())
		}
		if runs > 1 {
			result.broken = true
			result.find("TWICE: %s ran %d times", a.id, runs)
		}
	}
	result.find("%d requests sent, %d non-idempotent ones answered 503", len(w.answers), refused)
	return w, result, nil
}

// playResurrected: a machine that watches the store is partitioned from it; meanwhile an endpoint that never reports draining is
// removed. All other machines are in touch and must not send it requests later than drain_ms after that.
func playResurrected(trouble bool) (*world, *outcome, error) {
	const (
		cutTime  = 3 * time.Second
		lastsFor = 8 * time.Second // the endpoint serves on after its removal
	)
	w, err := newWorld(6, []string{"muscat-seeb", "dhofar-salalah", "batinah-sohar"})
	if err != nil {
		return nil, nil, err
	}
	read := route{"/read/", "safe", "desk", 2000, 1000, 2}
	look := route{"/look/", "safe", "yard", 2000, 1000, 2}
	w.writeConfig(3, []string{"desk", "yard"}, []route{read, look})
	if err := w.open([]string{"desk", "yard", "desk", "yard", "desk", "yard"}, []int{40, 40, 40, 40, 40, 40}); err != nil {
		return w, nil, err
	}
	leaver := w.hosts[2].endpoint
	cut := w.hosts[3]
	if !slices.Contains(w.store.watchers(), cut.name) {
		return w, nil, fmt.Errorf("%s does not watch the store", cut.name)
	}
	calm := []*host{w.hosts[0], w.hosts[1], w.hosts[4], w.hosts[5]} // in touch all the while
	var all sync.WaitGroup
	all.Go(func() { w.steady(calm, read, 80, 30*time.Millisecond, 2*time.Second, 14*time.Second, nil) })
	time.Sleep(4 * time.Second)
	if trouble {
		w.store.setCut(cut.name, true)
		w.record("%s is partitioned from the store", cut.name)
	}
	time.Sleep(500 * time.Millisecond)
	removed := w.store.remove(leaver.key())
	w.record("the entry of endpoint %s is removed", leaver.id)
	time.Sleep(cutTime - 500*time.Millisecond)
	if trouble {
		w.store.setCut(cut.name, false)
		w.record("the partition of %s from the store ends", cut.name)
	}
	time.Sleep(time.Until(removed.Add(lastsFor)))
	leaver.exit()
	w.record("endpoint %s exits", leaver.id)
	all.Wait()
	return w, judgeDrain(w, leaver, removed), nil
}

// judgeDrain finds the requests that reached an endpoint later than drain_ms after it was removed.
func judgeDrain(w *world, leaver *endpoint, removed time.Time) *outcome {
	result := &outcome{}
	late, last := 0, time.Duration(0)
	for _, list := range w.byID() {
		for _, a := range list {
			after := a.at.Sub(removed)
			if a.endpoint == leaver && after > drainTime && a.outcome != "421" {
				late++
				last = max(last, after)
				if late <= 5 {
					result.find("DRAIN: %s reached endpoint %s %.3f s after the store had acknowledged its removal", a.id, leaver.id, after.Seconds())
				}
			}
		}
	}
	result.broken = late > 0
	result.find("%d requests reached the endpoint later than drain_ms after its removal, the last one after %.3f s", late, last.Seconds())
	return result
}

// playLeftQueue: one of three endpoints of a service turns slow, so that requests wait at its node for slots. Then it is taken away; it
// never reports draining, its entry is removed, and it serves on for drain_ms and a little longer. It must get no request later than
// drain_ms after the removal. Those that it gets so are lost when it exits, though they could have run elsewhere.
func playLeftQueue(trouble bool) (*world, *outcome, error) {
	const (
		perSecond = 60
		work      = 640 * time.Millisecond
		limit     = 8 * time.Second
		slowness  = 5
		slowFor   = 8 * time.Second
		lastsFor  = 5 * time.Second // the endpoint serves on after its removal
	)
	w, err := newWorld(6, []string{"muscat-seeb", "dhofar-salalah", "batinah-sohar"})
	if err != nil {
		return nil, nil, err
	}
	fee := route{"/fee/", "unsafe", "cashier", 8000, 2000, 2}
	look := route{"/look/", "safe", "desk", 2000, 1000, 2}
	w.writeConfig(3, []string{"cashier", "desk"}, []route{fee, look})
	if err := w.open([]string{"cashier", "cashier", "cashier", "desk", "desk", "desk"}, []int{20, 20, 20, 40, 40, 40}); err != nil {
		return w, nil, err
	}
	leaver := w.hosts[0].endpoint
	var all sync.WaitGroup
	all.Go(func() { w.steady(w.hosts, fee, perSecond, work, limit, 16*time.Second, []byte("fee")) })
	time.Sleep(5 * time.Second)
	leaver.slowness.Store(slowness)
	w.record("endpoint %s turns slow", leaver.id)
	time.AfterFunc(slowFor, func() { leaver.slowness.Store(1) })
	time.Sleep(3 * time.Second)
	removed := time.Now().Add(time.Hour)
	if trouble {
		removed = w.store.remove(leaver.key())
		w.record("the entry of endpoint %s is removed", leaver.id)
		time.AfterFunc(lastsFor, func() {
			leaver.exit()
			w.record("endpoint %s exits", leaver.id)
		})
	}
	all.Wait()
	result := judgeDrain(w, leaver, removed)
	arrivals, lost := w.byID(), 0
	for _, a := range w.answers {
		if a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout && a.stamp == "" || a.err != nil {
			for _, at := range arrivals[a.id] {
				if at.endpoint == leaver && at.at.Sub(removed) > drainTime {
					lost++
				}
			}
		}
	}
	result.find("%d of these requests were answered without the endpoint's answer", lost)
	return w, result, nil
}

// playManyMarks: a request crashes each endpoint that begins to run it, and comes again. Later another one does the same, and then a
// third. Beside them many ordinary requests are at work. None of the three may go on crashing endpoints.
func playManyMarks(trouble bool) (*world, *outcome, error) {
	const (
		perSecond = 150
		work      = 2500 * time.Millisecond
		limit     = 6 * time.Second
		maxLate   = 3
	)
	w, err := newWorld(4, []string{"muscat-seeb", "dhofar-salalah", "batinah-sohar"})
	if err != nil {
		return nil, nil, err
	}
	report := route{"/report/", "safe", "desk", 6000, 5000, 2}
	look := route{"/look/", "safe", "yard", 2000, 1000, 2}
	w.writeConfig(3, []string{"desk", "yard"}, []route{report, look})
	if err := w.open([]string{"desk", "desk", "desk", "yard"}, []int{187, 187, 187, 187}); err != nil {
		return w, nil, err
	}
	for _, h := range w.hosts {
		h.endpoint.crashes = func(r *http.Request) bool { return trouble && strings.Contains(r.URL.Path, "poison") }
	}
	var all sync.WaitGroup
	all.Go(func() { w.steady(w.hosts[:3], report, perSecond, work, limit, 66*time.Second, nil) })
	comeAgain := func(path string, times int) {
		for i := range times {
			c := &client{host: w.hosts[i%len(w.hosts)]}
			all.Go(func() { c.sendTo(report, path, 50*time.Millisecond, limit, nil) })
			time.Sleep(2 * time.Second)
		}
	}
	time.Sleep(6 * time.Second)
	comeAgain("poison-1", 4)
	time.Sleep(4 * time.Second)
	comeAgain("poison-2", 4)
	time.Sleep(4 * time.Second)
	comeAgain("poison-3", 16)
	all.Wait()
	result := &outcome{}
	for _, path := range []string{"poison-1", "poison-2", "poison-3"} {
		var ran []*arrival
		for _, list := range w.byID() {
			for _, a := range list {
				if strings.HasSuffix(a.target, path) && !a.ran.IsZero() {
					ran = append(ran, a)
				}
			}
		}
		slices.SortFunc(ran, func(a, b *arrival) int { return a.at.Compare(b.at) })
		late := 0
		for i, a := range ran {
			if trouble && i >= 3 && a.at.Sub(ran[2].at) > contactTime {
				late++
				result.find("BUDGET: %s reached endpoint %s at %.3f, %.3f s after it had crashed the third", path, a.endpoint.id,
					a.at.Sub(w.start).Seconds(), a.at.Sub(ran[2].at).Seconds())
			}
		}
		result.broken = result.broken || late > maxLate
		result.find("%s ran at endpoints %d times, %d of them later than contact_ms after the third", path, len(ran), late)
	}
	return w, result, nil
}

// enforceMemory kills a node that exceeds its memory, and starts it again after a short delay.
func (w *world) enforceMemory(h *host, done chan struct{}, ends, most map[*host]int) {
	for {
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
		}
		resident := h.residentMB()
		w.mu.Lock()
		most[h] = max(most[h], resident)
		if resident > w.memoryMB {
			ends[h]++
		}
		w.mu.Unlock()
		if resident <= w.memoryMB {
			continue
		}
		w.record("%s is killed: %d MB resident, memory_mb is %d", h.name, resident, w.memoryMB)
		h.kill()
		time.Sleep(300 * time.Millisecond)
		if err := h.startNode(h.endpoint.service); err != nil {
			w.record("%s: %v", h.name, err)
		}
	}
}
