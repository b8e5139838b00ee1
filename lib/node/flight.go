package node

import (
	"context"
	"fmt"
	"sync"
)

// inFlightCounter counts requests in flight, so that a stopping node can wait for their end.
type inFlightCounter struct {
	mu    sync.Mutex
	empty *sync.Cond
	count int
}

func newInFlightCounter() *inFlightCounter {
	f := &inFlightCounter{}
	f.empty = sync.NewCond(&f.mu)
	return f
}

func (f *inFlightCounter) enter() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
}

func (f *inFlightCounter) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.count == 0 {
		f.empty.Broadcast()
	}
}

func (f *inFlightCounter) len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count
}

// wait waits until no request is in flight. The error says how many were left when the context ended.
func (f *inFlightCounter) wait(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.empty.Broadcast()
	})
	defer stop()
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.count > 0 {
		if err := ctx.Err(); err != nil {
			return fmt.Errorf("%d requests still in flight: %w", f.count, err)
		}
		f.empty.Wait()
	}
	return nil
}
