package node_test

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"tamarackrudder.org/lib/gossip"
	"tamarackrudder.org/lib/node"
	"tamarackrudder.org/lib/spread"
)

// TestStandby checks that a node leaves the platform to its zone's watchers only while there are enough besides it, and only
// as long as peers answer.
func TestStandby(t *testing.T) {
	const self = "10.0.0.1:1"
	others := []string{"10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1", "10.0.0.5:1", "10.0.0.6:1"}
	if slices.Contains(listed(t, 1, others...).Watchers("z0", 2), self) {
		t.Fatal("the node under test is a watcher itself")
	}
	tests := []struct {
		name   string
		others []string
		cut    bool
		want   bool
	}{
		{"two watchers besides it", others, false, true},
		{"one other node", others[:1], false, false},
		{"no peer answers", others, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var cut atomic.Bool
			seams := listSeams(t, listed(t, 1, test.others...))
			seams.Heartbeat = func(_ context.Context, addr string, _ gossip.Heartbeat) (gossip.Heartbeat, error) {
				if cut.Load() {
					return gossip.Heartbeat{}, errCut
				}
				return gossip.NewHeartbeat(addr, false, spread.Stamp{}, spread.Stamp{}), nil
			}
			n := newListNode(seams)
			t.Cleanup(n.Close)
			checks := node.NewChecks()
			is.True(!checks.Standby()) // without a node nobody follows the platform
			checks.Follow(n)
			awaitReady(t, n)
			cut.Store(test.cut)
			for end := time.Now().Add(5 * time.Second); checks.Standby() != test.want; time.Sleep(time.Millisecond) {
				is.True(time.Now().Before(end))
			}
		})
	}
}

// TestLostWatcherMakesChecksUrgent has a peer report for a while that it follows the platform and cannot read it.
func TestLostWatcherMakesChecksUrgent(t *testing.T) {
	const (
		normal = 15 * time.Second // 60 endpoints, four checks a second
		urgent = 3 * time.Second  // twenty a second
	)
	is := is.New(t)
	var others []string
	for i := range 59 {
		others = append(others, fmt.Sprintf("10.0.1.%d:1", i))
	}
	var lost atomic.Bool
	seams := listSeams(t, listed(t, 1, others...))
	seams.Heartbeat = func(_ context.Context, addr string, _ gossip.Heartbeat) (gossip.Heartbeat, error) {
		return gossip.NewHeartbeat(addr, false, spread.Stamp{}, spread.Stamp{}).WithPlatformLost(lost.Load() && addr != others[0]), nil
	}
	n := newListNode(seams)
	t.Cleanup(n.Close)
	checks := node.NewChecks()
	is.True(checks.Urgent() == nil)
	checks.Follow(n)
	awaitReady(t, n)
	is.Equal(checks.Pause(), normal)
	lost.Store(true)
	select {
	case <-checks.Urgent():
	case <-time.After(waitTimeout):
		t.Fatal("nothing is urgent")
	}
	is.Equal(checks.Pause(), urgent)
	lost.Store(false)
	for end := time.Now().Add(waitTimeout); checks.Pause() != normal; time.Sleep(5 * time.Millisecond) {
		is.True(time.Now().Before(end))
	}
	is.Equal(len(checks.Urgent()), 0) // it is reported once
}

// TestShortListMakesFewCalls guards against calls for each endpoint of a fleet that starts, while the list is still short.
func TestShortListMakesFewCalls(t *testing.T) {
	is := is.New(t)
	seams := listSeams(t, listed(t, 1))
	n := newListNode(seams)
	t.Cleanup(n.Close)
	checks := node.NewChecks()
	is.Equal(checks.Coalesce(), time.Duration(0))
	checks.Follow(n)
	awaitReady(t, n)
	is.True(checks.Coalesce() >= 100*time.Millisecond)
	is.True(checks.Pause() >= time.Second)
}
