package node_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/uuid"
	"github.com/matryer/is"

	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/clock"
	"tamarackrudder.org/lib/crash"
	"tamarackrudder.org/lib/gossip"
	"tamarackrudder.org/lib/hosts"
	"tamarackrudder.org/lib/lease"
	"tamarackrudder.org/lib/node"
	"tamarackrudder.org/lib/plat"
	"tamarackrudder.org/lib/spread"
)

// listed returns a list with the endpoint of the node under test and those at the other addresses.
func listed(t *testing.T, version uint64, others ...string) *hosts.List {
	t.Helper()
	endpoints := []hosts.Endpoint{hosts.NewEndpoint("desk", "h", "z0", "10.0.0.1:1", false)}
	for _, addr := range others {
		endpoints = append(endpoints, hosts.NewEndpoint("desk", "h", "z0", addr, false))
	}
	list, err := hosts.NewList(version, endpoints)
	if err != nil {
		t.Fatal(err)
	}
	return list
}

// listSeams returns the seams of a node for which the platform publishes rules and a list of hosts once.
func listSeams(t *testing.T, list *hosts.List) node.Seams {
	t.Helper()
	text, err := plat.EncodeList(list)
	if err != nil {
		t.Fatal(err)
	}
	return node.Seams{
		Watch: func(ctx context.Context, name string, after uint64, _ time.Duration) (uint64, []byte, error) {
			switch {
			case after == 0 && name == node.NameRules:
				return 1, []byte(untracedRules), nil
			case after == 0:
				return 1, text, nil
			}
			<-ctx.Done()
			return 0, nil, ctx.Err()
		},
		Run:        func(context.Context, call.Request, string, int) (call.Answer, bool) { return call.Answer{}, false },
		Probe:      func(context.Context) bool { return true },
		DecodeList: plat.DecodeList,
		EncodeList: plat.EncodeList,
		NewID:      uuid.NewString,
		Random:     func() float64 { return 0.5 },
	}
}

func newListNode(seams node.Seams) *node.Node {
	settings := node.NewSettings("10.0.0.1:1", "desk", "z0").WithUntraced().WithAlwaysWatch().WithHeartbeat(10 * time.Millisecond)
	return node.New(node.NewCommon(clock.System{}, log.NewNopLogger(), settings, seams))
}

// TestNewerListIsFetchedAsDifference lets a peer announce a newer list, which the node fetches as a difference, or whole
// from a peer that knows no differences.
func TestNewerListIsFetchedAsDifference(t *testing.T) {
	const peer = "10.0.0.2:1"
	older, newer := listed(t, 1, peer, "10.0.0.3:1"), listed(t, 2, peer, "10.0.0.4:1")
	errLost := errors.New("difference is lost")
	tests := []struct {
		name   string
		failed []error // the errors of the first fetches of differences
		whole  int64
	}{
		{"difference", nil, 0},
		{"lost difference", []error{errLost, errLost}, 0},
		{"peer of an older version", []error{gossip.ErrUnsupported}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var diffs, whole atomic.Int64
			seams := listSeams(t, older)
			seams.Heartbeat = func(_ context.Context, addr string, _ gossip.Heartbeat) (gossip.Heartbeat, error) {
				return gossip.NewHeartbeat(addr, false, spread.Stamp{}, spread.NewStamp(2, 2)), nil
			}
			seams.FetchHosts = func(_ context.Context, _ string, known hosts.Digest) (hosts.Diff, error) {
				i := int(diffs.Add(1)) - 1
				if i < len(test.failed) {
					return hosts.Diff{}, test.failed[i]
				}
				return newer.DiffFrom(known, 2), nil
			}
			seams.Fetch = func(context.Context, string, string) (spread.Value, error) {
				whole.Add(1)
				text, err := plat.EncodeList(newer)
				return spread.NewValue(2, 2, text), err
			}
			n := newListNode(seams)
			t.Cleanup(n.Close)
			for end := time.Now().Add(waitTimeout); n.Fetch(node.NameHosts).Version() != 2; time.Sleep(time.Millisecond) {
				is.True(time.Now().Before(end))
			}
			is.Equal(n.Hosts().Endpoints(), newer.Endpoints())
			is.Equal(whole.Load(), test.whole)
			is.Equal(len(n.FetchHosts(newer.Digest()).Ranges()), 0)
		})
	}
}

// TestRestartedNodeKeepsOutWhatHasLeft lets peers with an older list tell a node that has just started of an endpoint that has
// left, by their heartbeats and by a difference that comes late.
func TestRestartedNodeKeepsOutWhatHasLeft(t *testing.T) {
	const peer, left = "10.0.0.2:1", "10.0.0.3:1"
	older, newer := listed(t, 1, peer, left), listed(t, 2, peer)
	for _, announced := range []uint64{1, 3} {
		is := is.New(t)
		var rounds atomic.Int64
		seams := listSeams(t, newer)
		seams.Heartbeat = func(_ context.Context, addr string, _ gossip.Heartbeat) (gossip.Heartbeat, error) {
			rounds.Add(1)
			return gossip.NewHeartbeat(addr, false, spread.Stamp{}, spread.NewStamp(announced, announced)), nil
		}
		seams.FetchHosts = func(_ context.Context, _ string, known hosts.Digest) (hosts.Diff, error) {
			return older.DiffFrom(known, 1), nil
		}
		n := newListNode(seams)
		t.Cleanup(n.Close)
		awaitReady(t, n)
		for end := time.Now().Add(waitTimeout); rounds.Load() < 10; time.Sleep(time.Millisecond) {
			is.True(time.Now().Before(end))
		}
		_, listedAgain := n.Hosts().Find(left)
		is.True(!listedAgain)
		is.Equal(n.Hosts().Version(), uint64(2))
	}
}

// TestQuickChangesShareRounds triggers far more news than there may be rounds of heartbeats.
func TestQuickChangesShareRounds(t *testing.T) {
	is := is.New(t)
	var sent atomic.Int64
	seams := listSeams(t, listed(t, 1, "10.0.0.2:1"))
	seams.Heartbeat = func(_ context.Context, addr string, _ gossip.Heartbeat) (gossip.Heartbeat, error) {
		sent.Add(1)
		return gossip.NewHeartbeat(addr, false, spread.Stamp{}, spread.Stamp{}), nil
	}
	settings := node.NewSettings("10.0.0.1:1", "desk", "z0").WithUntraced().WithAlwaysWatch().WithHeartbeat(time.Hour)
	n := node.New(node.NewCommon(clock.System{}, log.NewNopLogger(), settings, seams))
	t.Cleanup(n.Close)
	awaitReady(t, n)
	before, start := sent.Load(), time.Now()
	for i := range uint64(500) {
		at := time.Unix(1_800_000_000, 0).Add(time.Duration(i) * time.Minute) // each mark has a crash that is news
		mark := crash.NewMark(i%100, []crash.Crash{crash.NewCrash("10.0.0.9:1", at)})
		n.HandleHeartbeat(gossip.NewHeartbeat("10.0.0.2:1", false, spread.Stamp{}, spread.Stamp{}).WithService(lease.State{}, []crash.Mark{mark}))
		time.Sleep(time.Millisecond)
	}
	is.True(sent.Load() > before) // news does start rounds
	is.True(sent.Load()-before <= 2+int64(time.Since(start)/(50*time.Millisecond)))
}
