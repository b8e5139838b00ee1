package main

import (
	"bytes"
	"sync"
	"time"
)

// playUpload: ordinary clients work on kept connections. Now and then two clients of one machine each send one body of max_body_bytes. The
// stand-in of the platform kills a process that exceeds memory_mb, and starts it again. A machine whose processes end by themselves counts
// as in touch: it must not close kept connections without an answer to requests that it has passed on to a sound endpoint.
func playUpload(trouble bool) (*world, *outcome, error) {
	const (
		bodyBytes = 64 << 20 // max_body_bytes
		together  = 2
		rounds    = 3
		pause     = 8 * time.Second
		perSecond = 60
		work      = 300 * time.Millisecond
		limit     = 8 * time.Second
		length    = 30 * time.Second
		maxClosed = 3
	)
	w, err := newWorld(4, []string{"muscat-seeb", "dhofar-salalah", "batinah-sohar"})
	if err != nil {
		return nil, nil, err
	}
	post := route{"/post/", "unsafe", "ledger", 8000, 4000, 2}
	read := route{"/read/", "safe", "desk", 2000, 1000, 2}
	w.writeConfig(3, []string{"ledger", "desk"}, []route{post, read})
	if err := w.open([]string{"ledger", "desk", "ledger", "desk"}, []int{51, 51, 51, 51}); err != nil {
		return w, nil, err
	}
	done := make(chan struct{})
	var watched, all sync.WaitGroup
	ends, most := map[*host]int{}, map[*host]int{}
	for _, h := range w.hosts {
		watched.Go(func() { w.enforceMemory(h, done, ends, most) })
	}
	all.Go(func() {
		body := bytes.Repeat([]byte("advance "), bodyBytes/8)
		for range rounds {
			time.Sleep(pause)
			for i := 0; trouble && i < together; i++ {
				c := &client{host: w.hosts[1]}
				all.Go(func() { c.send(post, work, limit, body) })
			}
		}
	})
	w.steady([]*host{w.hosts[1], w.hosts[3]}, post, perSecond, work, limit, length, []byte("advance"))
	all.Wait()
	close(done)
	watched.Wait()
	result := &outcome{}
	arrivals, closed := w.byID(), 0
	for _, a := range w.answers {
		if a.err != nil && a.kept && len(arrivals[a.id]) > 0 {
			closed++
			result.find("LOST: %s reached endpoint %s, and its kept connection was closed without an answer at %.3f: %v", a.id,
				arrivals[a.id][0].endpoint.id, a.ended.Sub(w.start).Seconds(), a.err)
		}
	}
	for _, h := range w.hosts {
		result.find("%s: killed %d times for more than %d MB, at most %d MB of its own", h.name, ends[h], w.memoryMB, most[h])
	}
	result.broken = closed > maxClosed
	result.find("%d requests were passed on from kept connections that were closed without an answer, of %d sent", closed, len(w.answers))
	return w, result, nil
}
