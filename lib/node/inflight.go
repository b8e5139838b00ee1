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
	c := &inFlightCounter{}
	c.empty = sync.NewCond(&c.mu)
	return c
}

func (c *inFlightCounter) enter() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
}

func (c *inFlightCounter) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count--
	if c.count == 0 {
		c.empty.Broadcast()
	}
}

func (c *inFlightCounter) len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// wait waits until no request is in flight. The error says how many were left when the context ended.
func (c *inFlightCounter) wait(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.empty.Broadcast()
	})
	defer stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.count > 0 {
		if err := ctx.Err(); err != nil {
			return fmt.Errorf("%d requests still in flight: %w", c.count, err)
		}
		c.empty.Wait()
	}
	return nil
}
