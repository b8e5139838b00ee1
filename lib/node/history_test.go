package node_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/node"
	"tamarackrudder.org/lib/verd"
)

// step is what becomes of one attempt of a request.
type step struct {
	name string
	runs bool
	end  call.Answer
}

// steps are all that a peer, a backend server and the connections to them may do.
var steps = []step{
	{"served", true, call.NewAnswer(200, nil, nil)},
	{"failed", true, call.NewAnswer(500, nil, nil)},
	{"answer lost", true, call.Refusal(verd.MayHaveRun(verd.ReasonAnswerLost))},
	{"connection lost after the run", true, call.Refusal(verd.MayHaveRun(verd.ReasonConnLost))},
	{"connection lost before the run", false, call.Refusal(verd.MayHaveRun(verd.ReasonConnLost))},
	{"link silent", true, call.Refusal(verd.MayHaveRun(verd.ReasonLinkSilent))},
	{"endpoint silent", false, call.Refusal(verd.MayHaveRun(verd.ReasonSilent))},
	{"backend server full", false, call.Refusal(verd.NotRun(verd.ReasonBackendShed))},
	{"queue full", false, call.Refusal(verd.NotRun(verd.ReasonQueueFull))},
	{"another one at the address", false, call.Refusal(verd.NotRun(verd.ReasonBackendReplaced))},
	{"leaving", false, call.Refusal(verd.NotRun(verd.ReasonLeaving))},
	{"not reachable", false, call.Refusal(verd.NotRun(verd.ReasonPeerUnreachable))},
}

// life is what one request has come to: how often it ran, and whether its caller was told that it did not.
type life struct {
	runs    int
	refused bool
}

// seen is one thing that happened to a request: a run, or an answer of a kind.
type seen struct {
	nonIdempotent bool
	answer        verd.Kind // empty for a run
}

// lives allows at most one run of what is not idempotent, no run after the word that there was none, and that word and
// that of an answer only where they are true.
var lives = porcupine.Model{
	Init: func() any { return life{} },
	Step: func(state, input, _ any) (bool, any) {
		now, event := state.(life), input.(seen)
		switch event.answer {
		case "":
			now.runs++
			return !now.refused && (now.runs == 1 || !event.nonIdempotent), now
		case verd.KindNotRun:
			now.refused = true
			return now.runs == 0, now
		case verd.KindRan:
			return now.runs > 0, now
		}
		return true, now
	},
}

// script holds the steps of each request's attempts, and records what happens.
type script struct {
	mu     sync.Mutex
	steps  map[string][]step
	events map[string][]porcupine.Operation
	clock  int64
}

func (s *script) record(id string, event seen) {
	s.clock++
	s.events[id] = append(s.events[id], porcupine.Operation{Input: event, Call: s.clock, Return: s.clock})
}

// attempt plays the next step of a request; the last one repeats.
func (s *script) attempt(r call.Request) call.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := s.steps[r.ID()]
	if len(left) > 1 {
		s.steps[r.ID()] = left[1:]
	}
	if left[0].runs {
		s.record(r.ID(), seen{nonIdempotent: r.NonIdempotent()})
	}
	return left[0].end
}

func (s *script) answered(id string, kind verd.Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record(id, seen{answer: kind})
}

// TestLivesOfRequestsWithoutKeys lets requests meet every fault in any order, many at once, and checks the history of each.
func TestLivesOfRequestsWithoutKeys(t *testing.T) {
	var played script
	peers := func(_ context.Context, _ string, r call.Request) call.Answer { return played.attempt(r) }
	own := func(_ context.Context, r call.Request) (call.Answer, bool) {
		a := played.attempt(r)
		return a, a.Verdict() == verd.MayHaveRun(verd.ReasonAnswerLost)
	}
	values := map[string]string{
		node.NameRules: untracedRules,
		node.NameHosts: "desk 10.0.0.1:1 z0\ndesk 10.0.0.2:1 z1\ndesk 10.0.0.3:1 z2",
	}
	n := newBeside(t, values, own, peers)
	awaitReady(t, n)
	serial := 0
	rapid.Check(t, func(t *rapid.T) {
		played.mu.Lock()
		played.steps, played.events = map[string][]step{}, map[string][]porcupine.Operation{}
		played.mu.Unlock()
		var requests []call.Request
		for range rapid.IntRange(1, 12).Draw(t, "requests") {
			serial++
			method, path := "GET", "/items/1"
			if rapid.Bool().Draw(t, "deed") {
				method, path = "POST", "/orders"
			}
			r := call.NewRequest(fmt.Sprint(serial), method, path, "").WithTimeout(50 * time.Millisecond)
			for range rapid.IntRange(1, 4).Draw(t, "attempts") {
				one := steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")]
				played.steps[r.ID()] = append(played.steps[r.ID()], one)
			}
			requests = append(requests, r)
		}
		var all sync.WaitGroup
		for _, r := range requests {
			all.Go(func() { played.answered(r.ID(), n.Serve(context.Background(), r).Verdict().Kind()) })
		}
		all.Wait()
		for id, events := range played.events {
			if !porcupine.CheckOperations(lives, events) {
				t.Fatalf("request %s: %v", id, events)
			}
		}
	})
}
