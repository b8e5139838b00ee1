package main

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// configMove is one configuration that moves a route to a service.
type configMove struct {
	acked   time.Time
	service string
}

// foreignEntries plays four small deployments side by side, in each of which a route is moved from service to service while the
// store holds entries of another writer, whose service no configuration names. Without the disruption there are no such entries.
func foreignEntries(w *World, trouble bool) (bool, error) {
	const deployments = 4
	worlds := []*World{w}
	for range deployments - 1 {
		another, err := w.Another()
		if err != nil {
			return false, err
		}
		defer another.Close()
		worlds = append(worlds, another)
	}
	late, failures := make([]int, deployments), make([]error, deployments)
	var all sync.WaitGroup
	for i, one := range worlds {
		all.Go(func() { late[i], failures[i] = one.moveRoute(trouble) })
	}
	all.Wait()
	sum := 0
	for _, n := range late {
		sum += n
	}
	return sum > 0, errors.Join(failures...)
}

// moveRoute returns how many requests were handled as only an older configuration allows, later than the bound.
func (w *World) moveRoute(trouble bool) (int, error) {
	const (
		foreign   = 60
		apply     = 2 * time.Second
		moves     = 8
		moveEvery = 4 * time.Second
		sendEvery = 30 * time.Millisecond
	)
	var mu sync.Mutex
	ranBy := map[string]string{}
	ranAt := map[string]time.Time{}
	work := func(r Run) (int, []byte) {
		mu.Lock()
		ranBy[r.id], ranAt[r.id] = r.endpoint.service, r.begun
		mu.Unlock()
		return r.Work(60 * time.Millisecond)
	}
	services := []string{"caisse", "ledger"}
	for i := range 6 {
		if _, err := w.AddHost("z"+strconv.Itoa(i%3), services[i/3], 100, work); err != nil {
			return 0, err
		}
	}
	routeTo := func(service string) Route {
		return Route{"b.example", "/post/", "unsafe", 5000, 1200, 0, 2, service}
	}
	w.PutConfig("r1", services, routeTo(services[0]))
	history := []configMove{{time.Now(), services[0]}}
	if trouble {
		w.putForeignEntries(foreign)
	}
	if err := w.StartNodes(); err != nil {
		return 0, err
	}
	time.Sleep(4 * time.Second)
	var got []Got
	var all sync.WaitGroup
	stop := make(chan struct{})
	for _, h := range w.hosts {
		all.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(sendEvery):
				}
				all.Go(func() {
					g := h.Send(Ask{method: http.MethodPost, host: "b.example", path: "/post/1", body: []byte("advance"), limit: 5 * time.Second})
					mu.Lock()
					defer mu.Unlock()
					got = append(got, g)
				})
			}
		})
	}
	for n := range moves {
		time.Sleep(moveEvery)
		service := services[(n+1)%2]
		w.PutConfig("r"+strconv.Itoa(2*n+3), services, routeTo(service))
		history = append(history, configMove{time.Now(), service})
	}
	time.Sleep(moveEvery)
	close(stop)
	all.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	var latest time.Duration
	for _, g := range got {
		service, ok := ranBy[g.ask.id]
		if !ok || isAllowed(history, service, g.sent.Add(-apply), ranAt[g.ask.id]) {
			continue
		}
		late++
		after := g.sent.Sub(lastMove(history, g.sent))
		latest = max(latest, after)
		w.record.Add("late %s: sent %d ms after the ack, run by %s", g.ask.id, after.Milliseconds(), service)
	}
	w.record.Say("of %d requests %d were sent later than %d ms after the ack of a configuration and run by the service of an older one, the latest %d ms after the ack",
		len(got), late, apply.Milliseconds(), latest.Milliseconds())
	return late, nil
}

// isAllowed reports whether a configuration that may be in force allows a service: the last one that was acknowledged before a
// time, or one of those that came until another time.
func isAllowed(history []configMove, service string, from, to time.Time) bool {
	for i, m := range history {
		isOver := i+1 < len(history) && !history[i+1].acked.After(from)
		if !isOver && !m.acked.After(to) && m.service == service {
			return true
		}
	}
	return false
}

// lastMove returns when the last configuration before a time was acknowledged.
func lastMove(history []configMove, at time.Time) time.Time {
	var last time.Time
	for _, m := range history {
		if m.acked.Before(at) {
			last = m.acked
		}
	}
	return last
}

// putForeignEntries writes entries of another writer to the store. Nobody listens at their addresses.
func (w *World) putForeignEntries(count int) {
	for i := range count {
		text := fmt.Sprintf(entryFormat, "nobody", fmt.Sprintf("%s.%d:%d", w.subnet, 150+i, portApp), "z"+strconv.Itoa(i%3), 10, "ready", 0, 4,
			time.Now().UnixMilli())
		w.store.Put(names.EntryPrefix+"x-"+strconv.Itoa(i), []byte(text))
	}
	w.record.Add("%d entries of another writer, of a service that no configuration names", count)
}
