package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	pageItems    = 50
	answerDelay  = 4 * time.Millisecond
	maxWatchWait = 30 * time.Second
)

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Store is the platform's store. Each node reaches it at an address of its own.
type Store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	changed  chan struct{}
	cutCount int           // watches that were cut
	left     chan struct{} // receives when a node gives up a watch that waits
	cut      chan struct{} // closed to cut the watches that wait
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		revision: 100, items: map[string]item{}, changed: make(chan struct{}), cut: make(chan struct{}),
		left: make(chan struct{}, 1),
	}
}

// Put writes an item and returns its revision.
func (s *Store) Put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := item{Key: key, Value: value, Revision: s.revision, Created: created}
	s.items[key] = i
	s.record(i)
	return s.revision
}

// Delete removes an item.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *Store) record(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// CutWatches closes the connections of all watches that wait.
func (s *Store) CutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cut)
	s.cut = make(chan struct{})
}

// Listen serves at an address.
func (s *Store) Listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc(names.KeyPath, s.key)
	mux.HandleFunc(names.RangePath, s.list)
	mux.HandleFunc(names.WatchPath, s.watch)
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(answerDelay)
			mux.ServeHTTP(w, r)
		}))
	}()
	return nil
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		reply(w, map[string]any{"at_rev": at})
		return
	}
	reply(w, struct {
		item
		AtRev int64 `json:"at_rev"`
	}{i, at})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var found []item
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	more := len(found) > pageItems
	if more {
		found = found[:pageItems]
	}
	if found == nil {
		found = []item{}
	}
	reply(w, map[string]any{"items": found, "has_more": more, "at_rev": at})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	ms, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	ctx, stop := context.WithTimeout(r.Context(), min(maxWatchWait, time.Duration(ms)*time.Millisecond))
	defer stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		at, changed, cut := s.revision, s.changed, s.cut
		s.mu.Unlock()
		if r.Context().Err() != nil {
			select {
			case s.left <- struct{}{}:
			default:
			}
			return
		}
		if len(events) > 0 || ctx.Err() != nil {
			reply(w, map[string]any{"events": events, "at_rev": at})
			return
		}
		select {
		case <-changed:
		case <-cut:
			s.mu.Lock()
			s.cutCount++
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		case <-ctx.Done():
		}
	}
}
