package node_test

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/google/uuid"
	"github.com/matryer/is"

	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/clock"
	"tamarackrudder.org/lib/gossip"
	"tamarackrudder.org/lib/hosts"
	"tamarackrudder.org/lib/node"
	"tamarackrudder.org/lib/plat"
	"tamarackrudder.org/lib/spread"
)

// TestPeersListFromBackupBringsNoEndpointBack guards against a leaving endpoint that is live again in a peer's list from a backup.
func TestPeersListFromBackupBringsNoEndpointBack(t *testing.T) {
	is := is.New(t)
	const self, peer, other = "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"
	registered := time.UnixMilli(1_800_000_000_000)
	text := func(version uint64, heartbeats int64, leaving bool) []byte {
		e := hosts.NewEndpoint("store", "h3", "z0", other, leaving).WithInstance("i-3", registered).WithHeartbeats(heartbeats)
		list, err := hosts.NewList(version, []hosts.Endpoint{
			hosts.NewEndpoint("desk", "h1", "z0", self, false), hosts.NewEndpoint("desk", "h2", "z0", peer, false), e,
		})
		is.NoErr(err)
		published, err := plat.EncodeList(list)
		is.NoErr(err)
		return published
	}
	known, backup, again := text(1, 9, true), text(2, 1, false), text(3, 12, false)
	fromPeer := make(chan spread.Value, 1)
	n := node.New(node.NewCommon(clock.System{}, log.NewNopLogger(),
		node.NewSettings(self, "desk", "z0").WithUntraced().WithAlwaysWatch().WithHeartbeat(10*time.Millisecond), node.Seams{
			Watch: func(ctx context.Context, name string, after uint64, _ time.Duration) (uint64, []byte, error) {
				switch {
				case name == node.NameRules && after == 0:
					return 1, []byte(untracedRules), nil
				case name == node.NameHosts && after == 0:
					return 1, known, nil
				}
				<-ctx.Done()
				return 0, nil, ctx.Err()
			},
			Run: func(context.Context, call.Request, string, int) (call.Answer, bool) { return call.Answer{}, false },
			Heartbeat: func(_ context.Context, addr string, _ gossip.Heartbeat) (gossip.Heartbeat, error) {
				if addr != peer {
					return gossip.Heartbeat{}, errCut
				}
				return gossip.NewHeartbeat(peer, false, spread.Stamp{}, spread.Stamp{}), nil
			},
			Fetch:      func(context.Context, string, string) (spread.Value, error) { return <-fromPeer, nil },
			Probe:      func(context.Context) bool { return true },
			DecodeList: plat.DecodeList,
			NewID:      uuid.NewString,
			Random:     func() float64 { return 0.5 },
		}))
	t.Cleanup(n.Close)
	awaitReady(t, n)
	passOn := func(version uint64, published []byte) bool {
		fromPeer <- spread.NewValue(version, version, published)
		n.HandleHeartbeat(gossip.NewHeartbeat(peer, false, spread.Stamp{}, spread.NewStamp(version, version)))
		for end := time.Now().Add(waitTimeout); n.Fetch(node.NameHosts).Version() != version; time.Sleep(time.Millisecond) {
			is.True(time.Now().Before(end))
		}
		e, ok := n.Hosts().Find(other)
		is.True(ok)
		return e.Leaving()
	}
	is.True(passOn(2, backup))
	is.True(!passOn(3, again))
}
