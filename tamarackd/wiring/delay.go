package wiring

import (
	"context"
	"time"

	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/node"
)

type execFunc = func(ctx context.Context, addr string, r call.Request) call.Answer

// zoneDelay simulates the network delay between availability zones, for measurements on one machine: it waits before and
// after each request to a peer in another zone.
type zoneDelay struct {
	delay time.Duration
	exec  execFunc
	node  *node.Node
}

func (z *zoneDelay) run(ctx context.Context, addr string, r call.Request) call.Answer {
	if !z.crossesZones(addr) {
		return z.exec(ctx, addr, r)
	}
	time.Sleep(z.delay)
	a := z.exec(ctx, addr, r)
	time.Sleep(z.delay)
	return a
}

func (z *zoneDelay) crossesZones(addr string) bool {
	list := z.node.Hosts()
	if list == nil {
		return false
	}
	e, listed := list.Find(addr)
	return listed && e.Zone() != z.node.Zone()
}
