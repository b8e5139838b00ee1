package main

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// cutWatches cuts the waiting watches of the store once. Later, when the store has been sound for long, an endpoint's entry is
// removed. Without the disruption no watch is cut.
func cutWatches(w *World, trouble bool) (bool, error) {
	const (
		drain     = 2 * time.Second
		longer    = 300 * time.Millisecond // how much longer than drain the endpoint serves
		untilCut  = 5 * time.Second
		untilGone = 27 * time.Second
		most      = 30 * time.Second
		untilAll  = 20 * time.Millisecond // the watches of all nodes have begun at the same change
		after     = 6 * time.Second
	)
	var mu sync.Mutex
	runs := map[string][]time.Time{}
	work := func(r Run) (int, []byte) {
		mu.Lock()
		runs[r.endpoint.host.name] = append(runs[r.endpoint.host.name], r.begun)
		mu.Unlock()
		return r.Work(60 * time.Millisecond)
	}
	services := []string{"web", "caisse"}
	for i := range 6 {
		if _, err := w.AddHost("z"+strconv.Itoa(i%3), services[i/3], 100, work); err != nil {
			return false, err
		}
	}
	w.PutConfig("r1", services,
		Route{"a.example", "/browse/", "safe", 5000, 1200, 2, 2, "web"},
		Route{"b.example", "/post/", "unsafe", 5000, 1200, 0, 2, "caisse"})
	if err := w.StartNodes(); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	w.PutConfig("r2", services,
		Route{"a.example", "/browse/", "safe", 5000, 1200, 2, 2, "web"},
		Route{"b.example", "/post/", "unsafe", 4000, 1200, 0, 2, "caisse"})
	begun := time.Now()
	stop := make(chan struct{})
	var lost []time.Time
	var all sync.WaitGroup
	for _, h := range w.hosts {
		all.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(30 * time.Millisecond):
				}
				all.Go(func() {
					h.Send(Ask{method: http.MethodGet, host: "a.example", path: "/browse/1", limit: 5 * time.Second})
				})
				all.Go(func() {
					path := "/post/" + h.name + "-" + strconv.Itoa(n)
					g := h.Send(Ask{method: http.MethodPost, host: "b.example", path: path, body: []byte("advance"), limit: 5 * time.Second})
					if g.status != http.StatusOK && g.status != http.StatusServiceUnavailable {
						mu.Lock()
						lost = append(lost, g.sent)
						mu.Unlock()
					}
				})
			}
		})
	}
	time.Sleep(time.Until(begun.Add(untilCut)))
	if trouble {
		w.record.Add("the store cuts all waiting watches")
		w.store.CutWatches()
		time.Sleep(time.Second)
		select {
		case <-w.store.left: // watches that were left earlier, when the nodes started
		default:
		}
		select {
		case <-w.store.left:
			w.record.Add("a node has given up a waiting watch")
			time.Sleep(untilAll)
		case <-time.After(time.Until(begun.Add(most))):
			w.record.Add("no node has given up a waiting watch")
		}
	} else {
		time.Sleep(time.Until(begun.Add(untilGone)))
	}
	gone := w.hosts[3]
	gone.endpoint.Remove()
	removed := time.Now()
	time.Sleep(drain + longer)
	gone.endpoint.Crash() // it exits
	time.Sleep(after)
	close(stop)
	all.Wait()
	mu.Lock()
	defer mu.Unlock()
	late, last := 0, time.Duration(0)
	for _, at := range runs[gone.name] {
		last = max(last, at.Sub(removed))
		if at.Sub(removed) > drain {
			late++
		}
	}
	lostLate := 0
	for _, at := range lost {
		if at.Sub(removed) > drain {
			lostLate++
		}
	}
	w.record.Say("%d requests reached the endpoint later than %d ms after the store had acknowledged that its entry is removed, the last one after %d ms; %d non-idempotent ones sent after that had no answer",
		late, drain.Milliseconds(), last.Milliseconds(), lostLate)
	return late > 0, nil
}
