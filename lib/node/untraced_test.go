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
	"tamarackrudder.org/lib/node"
	"tamarackrudder.org/lib/verd"
)

// newUntraced returns a node whose backend server copies no context, without peers and with the published values that
// the test offers by name.
func newUntraced(t *testing.T, values map[string]string, run func(ctx context.Context, r call.Request) (call.Answer, bool)) *node.Node {
	t.Helper()
	settings := node.NewSettings("10.0.0.1:1", "desk", "z0").WithUntraced().WithWatching().WithBeat(20 * time.Millisecond)
	n := node.New(node.NewCommon(clock.System{}, log.NewNopLogger(), settings, node.Seams{
		Run: func(ctx context.Context, r call.Request, _ string, _ int) (call.Answer, bool) { return run(ctx, r) },
		Watch: func(ctx context.Context, name string, after uint64, _ time.Duration) (uint64, []byte, error) {
			if text, ok := values[name]; ok && after == 0 {
				return 1, []byte(text), nil
			}
			<-ctx.Done()
			return 0, nil, ctx.Err()
		},
		Probe:      func(context.Context) bool { return true },
		DecodeList: decodeList,
		NewID:      uuid.NewString,
		Random:     func() float64 { return 0.5 },
	}))
	t.Cleanup(n.Close)
	return n
}

// TestPeerAsksBeforeTheRules has a peer send a request to a node that has just started and knows nothing yet.
func TestPeerAsksBeforeTheRules(t *testing.T) {
	is := is.New(t)
	n := newUntraced(t, nil, nil)
	r := call.NewRequest("1", "GET", "/x", "").WithRoute("desk", false).WithDeadline(time.Now().Add(time.Second))
	is.Equal(n.Exec(t.Context(), r).Verdict(), verd.NotRun(verd.ReasonNoRules))
}
