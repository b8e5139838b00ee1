package press_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/clock"
	"tamarackrudder.org/lib/press"
)

// service accepts requests up to its capacity per second, a tenth of it in each tick, and refuses the rest.
type service struct {
	clock    *clock.Manual
	table    *press.Table
	flow     press.Flow
	capacity int
}

// runSecond offers requests for one second and returns how many were accepted and refused; each answer carries the
// signals.
func (s *service) runSecond(offered int, signals []call.Backpressure) (accepted, refused int) {
	for range 10 {
		s.clock.Advance(100 * time.Millisecond)
		acceptedInTick := 0
		for range offered / 10 {
			if !s.table.Admit(s.flow) {
				continue
			}
			shed := acceptedInTick >= s.capacity/10
			s.table.Ended(s.flow, shed, signals)
			if shed {
				refused++
				continue
			}
			acceptedInTick++
			accepted++
		}
	}
	return accepted, refused
}

func newService(capacity int) *service {
	c := clock.NewManual(time.Unix(1_800_000_000, 0))
	random := rand.New(rand.NewPCG(1, 2))
	return &service{
		clock: c, table: press.NewTable(c, random.Float64), flow: press.NewFlow("GET /x", "lookup"), capacity: capacity,
	}
}

func TestAdmissionFollowsAcceptedRate(t *testing.T) {
	is := is.New(t)
	s := newService(200)
	accepted, refused := s.runSecond(150, nil)
	is.Equal(accepted, 150)
	is.Equal(refused, 0)
	for range 3 {
		s.runSecond(1000, nil)
	}
	accepted, refused = s.runSecond(1000, nil)
	is.True(accepted >= 190) // the capacity is 200
	is.True(refused <= 60)   // of 800 above the capacity
	s.capacity = 1000
	s.runSecond(1000, nil)
	accepted, _ = s.runSecond(1000, nil)
	is.Equal(accepted, 1000) // recovered within one second
}

// TestHeldBackClassWaitsWithoutProbes checks that a class that a service holds back sends almost no requests, and that
// the signals in the answers to another class let it recover.
func TestHeldBackClassWaitsWithoutProbes(t *testing.T) {
	is := is.New(t)
	s := newService(1000)
	heldBack := []call.Backpressure{call.NewBackpressure("cashier", "deed", true), call.NewBackpressure("cashier", "lookup", false)}
	free := []call.Backpressure{call.NewBackpressure("cashier", "deed", true)}
	nonIdempotent := press.NewFlow("POST /x", "deed")
	report := func(p []call.Backpressure) {
		for range 20 {
			s.table.Ended(nonIdempotent, false, p)
		}
	}
	s.runSecond(100, free)
	passed := 0
	for range 10 {
		s.clock.Advance(100 * time.Millisecond)
		report(heldBack)
		for range 100 {
			if s.table.Admit(s.flow) {
				passed++
			}
		}
	}
	is.True(passed <= 120) // the first tick in full, then hardly any
	for range 10 {
		s.clock.Advance(100 * time.Millisecond)
		report(free)
		s.table.Admit(s.flow)
	}
	is.Equal(s.table.AdmissionProbability(s.flow), 1.0)
}

// TestBusySignalLimitsSmallFlows offers twenty flows of three requests per tick to a busy service that has room
// for a quarter of them. Each flow alone sees too few refusals to throttle itself, so the busy signal has to limit
// its growth.
func TestBusySignalLimitsSmallFlows(t *testing.T) {
	is := is.New(t)
	s := newService(0)
	busy := []call.Backpressure{call.NewBackpressure("cashier", "deed", true).WithBusy(true)}
	free := []call.Backpressure{call.NewBackpressure("cashier", "deed", true)}
	const flows, offered, fits = 20, 3, 15
	tick := func(signals []call.Backpressure) (accepted, refused int) {
		s.clock.Advance(100 * time.Millisecond)
		for i := range flows * offered {
			flow := press.NewFlow(fmt.Sprintf("POST /%d", i%flows), "deed")
			if !s.table.Admit(flow) {
				continue
			}
			shed := accepted >= fits
			s.table.Ended(flow, shed, signals)
			if shed {
				refused++
				continue
			}
			accepted++
		}
		return accepted, refused
	}
	accepted, refused := 0, 0
	for i := range 100 {
		a, r := tick(busy)
		if i >= 50 {
			accepted += a
			refused += r
		}
	}
	is.True(accepted > 50*fits*8/10)
	is.True(refused*5 < accepted)
	for range 10 {
		tick(free)
	}
	is.Equal(s.table.AdmissionProbability(press.NewFlow("POST /0", "deed")) > 0.2, true) // grows again when the service is no longer busy
}
