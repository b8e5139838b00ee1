package wiring

import (
	"context"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/oklog/run"

	"tamarackrudder.org/lib/clock"
)

// signals receives the signals that a node handles. They stay registered until the process ends: a repeated signal would
// otherwise have its default action, which ends the process at once.
type signals struct {
	stop   chan os.Signal
	reload chan os.Signal
	stalls *clock.Stalls
	// stopDelay is how long before its arrival the stop signal may have been sent, in nanoseconds.
	stopDelay atomic.Int64
}

func catchSignals(ctx context.Context) *signals {
	s := &signals{
		stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1), stalls: clock.NewStalls(ctx, clock.System{}, clock.SinceBoot),
	}
	signal.Notify(s.stop, os.Interrupt, syscall.SIGTERM)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // a write to a log that nobody reads then fails with an error
	return s
}

// stopActor ends the group at the first stop signal, with an error that wraps run.ErrSignal, or with the context. Further
// stop signals are logged.
func (s *signals) stopActor(ctx context.Context, logger log.Logger) actor {
	ended := make(chan struct{})
	execute := func() error {
		select {
		case <-ended:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		case received := <-s.stop:
			s.stopDelay.Store(int64(s.stalls.Delay()))
			go s.logRepeated(logger)
			return run.SignalError{Signal: received}
		}
	}
	return actor{run: execute, interrupt: func(error) { close(ended) }}
}

func (s *signals) logRepeated(logger log.Logger) {
	for repeated := range s.stop {
		_ = level.Info(logger).Log("msg", "signal ignored, the node is already stopping", "signal", repeated)
	}
}

// reloadActor calls reload on each reload signal, until the process ends.
func (s *signals) reloadActor(reload func()) actor {
	ended := make(chan struct{})
	execute := func() error {
		for {
			select {
			case <-ended:
				return nil
			case <-s.reload:
				reload()
			}
		}
	}
	return actor{run: execute, interrupt: func(error) { close(ended) }}
}
