package budget

import (
	"context"
	"sync"
)

// Scope keeps what an answer has taken from a budget until it is in the hands of who asked for it.
type Scope struct {
	mu    sync.Mutex
	ended bool
	holds []*Hold
}

type scopeKey struct{}

// NewScope returns a scope and a context that carries it.
func NewScope(ctx context.Context) (context.Context, *Scope) {
	s := &Scope{}
	return context.WithValue(ctx, scopeKey{}, s), s
}

// Keep releases a hold when the scope of the context ends, at once if it has none or that has ended.
func Keep(ctx context.Context, h *Hold) {
	s, ok := ctx.Value(scopeKey{}).(*Scope)
	if !ok || !s.add(h) {
		h.Release()
	}
}

func (s *Scope) add(h *Hold) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		s.holds = append(s.holds, h)
	}
	return !s.ended
}

// End releases what is kept, and what is still to come.
func (s *Scope) End() {
	s.mu.Lock()
	holds := s.holds
	s.holds, s.ended = nil, true
	s.mu.Unlock()
	for _, h := range holds {
		h.Release()
	}
}
