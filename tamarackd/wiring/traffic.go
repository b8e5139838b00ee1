package wiring

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"tamarackrudder.org/lib/relay"
)

// trafficLogInterval is the time between two lines about the bytes sent to peers.
const trafficLogInterval = 10 * time.Second

// logTraffic logs at intervals how many bytes this process has sent to peers, by kind of message and location of the peer,
// until the context ends.
func logTraffic(ctx context.Context, logger log.Logger) {
	ticker := time.NewTicker(trafficLogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		sent := relay.BytesSent()
		fields := []any{"msg", "bytes sent to peers"}
		for _, kind := range slices.Sorted(maps.Keys(sent)) {
			fields = append(fields, kind, sent[kind])
		}
		_ = level.Info(logger).Log(fields...)
	}
}
