package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store, or a deleted key.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's metadata store. Each host reaches it at an address of its own, so that a single host can
// be partitioned from it.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	events   []item
	revision uint64
	changed  chan struct{}
	hosts    map[string]*storeLink
}

// storeLink is the path of one host to the store.
type storeLink struct {
	cut      bool
	cuts     chan struct{} // closed when the link is cut
	watching int           // watches that wait
}

func newStore() *store {
	return &store{items: map[string]item{}, revision: 1, changed: make(chan struct{}), hosts: map[string]*storeLink{}}
}

// listen serves one host at an address.
func (s *store) listen(host, addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.hosts[host] = &storeLink{cuts: make(chan struct{})}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(host, w, r) })}
	go func() { _ = server.Serve(listener) }()
	return nil
}

// setCut cuts a host from the store, with a reset of its connections, or heals the cut.
func (s *store) setCut(host string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.hosts[host]
	if cut && !l.cut {
		close(l.cuts)
	}
	if !cut {
		l.cuts = make(chan struct{})
	}
	l.cut = cut
}

// watchers returns the hosts that have a waiting watch.
func (s *store) watchers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name, l := range s.hosts {
		if l.watching > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// put writes a key and returns the time at which the store has acknowledged it.
func (s *store) put(key string, value []byte) time.Time {
	return s.change(item{Key: key, Value: value})
}

// remove deletes a key.
func (s *store) remove(key string) time.Time { return s.change(item{Key: key, Deleted: true}) }

func (s *store) change(i item) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Revision, i.Created = s.revision, s.revision
	if old, ok := s.items[i.Key]; ok {
		i.Created = old.Created
	}
	s.events = append(s.events, i)
	s.items[i.Key] = i
	if i.Deleted {
		delete(s.items, i.Key)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

func (s *store) serve(host string, w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	l := s.hosts[host]
	cut, cuts := l.cut, l.cuts
	s.mu.Unlock()
	if cut {
		reset(w)
		return
	}
	if r.URL.Path == names.WatchPath {
		s.watch(l, cuts, w, r)
		return
	}
	s.mu.Lock()
	status, body := http.StatusOK, map[string]any{"at_rev": s.revision}
	query := r.URL.Query()
	switch r.URL.Path {
	case names.KeyPath:
		i, ok := s.items[query.Get("key")]
		if !ok {
			status = http.StatusNotFound
		}
		body["key"], body["value"], body["revision"], body["created"], body["lease"] = i.Key, i.Value, i.Revision, i.Created, 0
	case names.RangePath:
		found := []item{}
		for _, key := range slices.Sorted(maps.Keys(s.items)) {
			if key > query.Get("after") && strings.HasPrefix(key, query.Get("prefix")) {
				found = append(found, s.items[key])
			}
		}
		body["items"], body["has_more"] = found, false
	default:
		status = http.StatusNotFound
	}
	s.mu.Unlock()
	reply(w, status, body)
}

// watch waits for events after a revision.
func (s *store) watch(l *storeLink, cuts chan struct{}, w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	l.watching++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		l.watching--
		s.mu.Unlock()
	}()
	for timedOut := false; ; {
		s.mu.Lock()
		changed, at := s.changed, s.revision
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, r.URL.Query().Get("prefix")) {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || timedOut {
			reply(w, http.StatusOK, map[string]any{"events": events, "at_rev": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			timedOut = true
		case <-cuts:
			reset(w)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// reset resets the connection of a request.
func reset(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}
