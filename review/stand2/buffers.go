package main

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const reportPath = "/report/"

// longAnswers lets clients ask for reports of 3 MiB, one at a time, in one zone of a larger deployment. The stand-in of the
// platform kills a node that exceeds its memory, and starts it again. Without the disruption the reports are short.
func longAnswers(w *World, trouble bool) (bool, error) {
	const (
		nodes       = 24
		memoryMB    = 184
		shortReport = 3 << 10
		longReport  = 3 << 20
		reportEvery = 1200 * time.Millisecond // of each node
		workers     = 3                       // clients with a kept connection at each node
		work        = 300 * time.Millisecond
		limit       = 5 * time.Second
		length      = 60 * time.Second
		allowed     = 3
	)
	size := shortReport
	if trouble {
		size = longReport
	}
	var mu sync.Mutex
	arrived := map[string]bool{}
	handle := func(r Run) (int, []byte) {
		if strings.HasPrefix(r.http.URL.Path, reportPath) {
			return http.StatusOK, make([]byte, size)
		}
		mu.Lock()
		arrived[r.id] = true
		mu.Unlock()
		return r.Work(work)
	}
	services := []string{"motif-book", "caisse", "reed-yard", "wages"}
	for i := range nodes {
		h, err := w.AddHost("saiss-north", services[i%len(services)], 100, handle)
		if err != nil {
			return false, err
		}
		h.memoryMB = memoryMB
	}
	routes := []Route{{"b.example", "/post/", "unsafe", 5000, 1200, 0, 2, "caisse"}}
	for _, s := range services {
		routes = append(routes, Route{"a.example", reportPath + s + "/", "safe", 5000, 1200, 2, 2, s})
	}
	w.PutConfig("r1", services, routes...)
	if err := w.StartNodes(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	kills, most := 0, 0
	var watched, all sync.WaitGroup
	for _, h := range w.hosts {
		watched.Go(func() {
			h.enforceMemory(stop, func(mb int, killed bool) {
				mu.Lock()
				defer mu.Unlock()
				most = max(most, mb)
				if killed {
					kills++
				}
			})
		})
	}
	sent, served, reports, reportsServed := 0, 0, 0, 0
	var closed []string
	end := time.Now().Add(length)
	for i, h := range w.hosts {
		for range workers {
			all.Go(func() {
				c := Kept{host: h}
				defer c.Close()
				for n := 0; time.Now().Before(end); n++ {
					wasKept := c.IsKept()
					g := c.Send(Ask{method: http.MethodPost, host: "b.example", path: "/post/" + strconv.Itoa(n), body: []byte("advance"), limit: limit})
					mu.Lock()
					sent++
					if g.status == http.StatusOK {
						served++
					}
					if g.err != nil && wasKept {
						closed = append(closed, g.ask.id)
					}
					mu.Unlock()
					if g.err != nil {
						time.Sleep(work) // until the node is started again
					}
				}
			})
		}
		all.Go(func() {
			for n := i; time.Now().Before(end); n++ {
				path := reportPath + services[n%len(services)] + "/" + strconv.Itoa(n)
				g := h.Send(Ask{method: http.MethodGet, host: "a.example", path: path, limit: limit})
				mu.Lock()
				reports++
				if g.status == http.StatusOK && len(g.body) == size {
					reportsServed++
				}
				mu.Unlock()
				time.Sleep(reportEvery)
			}
		})
	}
	all.Wait()
	close(stop)
	watched.Wait()
	lost := 0
	for _, id := range closed {
		if arrived[id] {
			lost++
			w.record.Add("lost %s: an endpoint ran it, and its kept connection was closed without an answer", id)
		}
	}
	w.record.Say("nodes were killed %d times for more than %d MB, the most was %d MB; %d of %d reports of %d bytes were answered",
		kills, memoryMB, most, reportsServed, reports, size)
	w.record.Say("%d non-idempotent requests from kept connections had been passed on and their connections were closed without an answer, of %d sent, of which %d were served",
		lost, sent, served)
	return lost > allowed, nil
}

// enforceMemory kills the node when it exceeds its memory, and starts it again after a short delay, until stop is closed. It tells
// seen each figure, and whether it killed the node.
func (h *Host) enforceMemory(stop chan struct{}, seen func(mb int, killed bool)) {
	const (
		look  = 20 * time.Millisecond
		delay = 300 * time.Millisecond
	)
	for {
		select {
		case <-stop:
			return
		case <-time.After(look):
		}
		mb := h.OwnMemory()
		isOver := mb > h.memoryMB
		seen(mb, isOver)
		if !isOver {
			continue
		}
		h.world.record.Add("node %s has %d MB of its own, its memory is %d MB", h.name, mb, h.memoryMB)
		h.Signal(syscall.SIGKILL)
		<-h.exited
		time.Sleep(delay)
		if err := h.StartNode(); err != nil {
			h.world.record.Add("node %s is not started: %v", h.name, err)
			return
		}
	}
}
