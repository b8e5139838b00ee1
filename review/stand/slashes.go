package main

import (
	"sync"
	"time"
)

// playSlashes: a route takes all paths of a host. A part of the clients' paths begin with an empty segment. Endpoints must get each request
// with the method and the path that its client sent.
func playSlashes(trouble bool) (*world, *outcome, error) {
	const (
		perSecond = 20
		length    = 10 * time.Second
	)
	w, err := newWorld(4, []string{"muscat-seeb", "dhofar-salalah", "batinah-sohar"})
	if err != nil {
		return nil, nil, err
	}
	pay := route{"/", "unsafe", "ledger", 2000, 1000, 2}
	w.writeConfig(3, []string{"ledger", "desk"}, []route{pay})
	if err := w.open([]string{"ledger", "desk", "ledger", "desk"}, []int{51, 51, 51, 51}); err != nil {
		return w, nil, err
	}
	paths := []string{"pay/advance", "pay//advance", "pay/advance/7"}
	if trouble {
		paths = append(paths, "/pay/advance") // after the slash of the prefix: //pay/advance
	}
	var all sync.WaitGroup
	for _, path := range paths {
		all.Go(func() {
			c := &client{host: w.hosts[1]}
			for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(time.Second / perSecond) {
				c.sendTo(pay, path, 20*time.Millisecond, 2*time.Second, []byte("advance"))
			}
		})
	}
	all.Wait()
	result := &outcome{}
	arrivals, changed := w.byID(), 0
	for _, a := range w.answers {
		for _, at := range arrivals[a.id] {
			if at.ran.IsZero() || (at.method == a.method && at.target == a.target) {
				continue
			}
			changed++
			if changed <= 5 {
				result.find("UNASKED: the client sent %s %s for %s as %s, endpoint %s ran %s %s for %s; the client got %d", a.method, a.target,
					hostname, a.id, at.endpoint.id, at.method, at.target, at.host, a.status)
			}
		}
	}
	result.broken = changed > 0
	result.find("endpoints ran %d of %d requests with another path than the client sent", changed, len(w.answers))
	return w, result, nil
}
