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

// item is one key of the platform's store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's store: it is never impaired unless a case says so.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	events   []item
	revision uint64
	changed  chan struct{}
	watching map[string]int // waiting watches, by the address of the listener that they came to
}

func newStore() *store {
	return &store{items: map[string]item{}, revision: 1, changed: make(chan struct{}), watching: map[string]int{}}
}

// watchers returns the addresses of the listeners at which watches wait.
func (s *store) watchers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var addrs []string
	for addr, n := range s.watching {
		if n > 0 {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

func (s *store) serve(l net.Listener) { _ = http.Serve(l, s) }

func (s *store) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.items[key]
	s.revision++
	i := item{Key: key, Value: []byte(value), Revision: s.revision, Created: s.revision}
	if ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.record(i)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Deleted: true})
}

// record keeps a change for the watches and wakes them; the caller holds the lock.
func (s *store) record(i item) {
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers reads at once, and a watch when something has changed or its time is over.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	if local, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr); ok && r.URL.Path == names.Watch {
		s.countWatch(local.String(), 1)
		defer s.countWatch(local.String(), -1)
	}
	for timedOut := false; ; {
		s.mu.Lock()
		status, body, ready := s.answer(r, timedOut)
		changed := s.changed
		s.mu.Unlock()
		if ready {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(status)
			_ = json.NewEncoder(w).Encode(body)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) countWatch(addr string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watching[addr] += n
}

func (s *store) answer(r *http.Request, timedOut bool) (status int, body map[string]any, ready bool) {
	query := r.URL.Query()
	body = map[string]any{"at_rev": s.revision}
	switch r.URL.Path {
	case names.Key:
		i, ok := s.items[query.Get("key")]
		if !ok {
			return http.StatusNotFound, body, true
		}
		body["key"], body["value"], body["revision"], body["created"], body["lease"] = i.Key, i.Value, i.Revision, i.Created, 0
	case names.Range:
		found := []item{}
		for _, key := range slices.Sorted(maps.Keys(s.items)) {
			if key > query.Get("after") && strings.HasPrefix(key, query.Get("prefix")) {
				found = append(found, s.items[key])
			}
		}
		body["items"], body["has_more"] = found, false
	case names.Watch:
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, query.Get("prefix")) {
				events = append(events, e)
			}
		}
		body["events"] = events
		if len(events) == 0 && !timedOut {
			return 0, nil, false
		}
	}
	return http.StatusOK, body, true
}
