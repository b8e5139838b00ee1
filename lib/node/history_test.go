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

// attemptOutcome is what happens to one attempt of a request: whether it runs, and the answer that the node gets.
type attemptOutcome struct {
	name   string
	runs   bool
	answer call.Answer
}

// attemptOutcomes are all outcomes that a peer, a backend server and the connections to them can cause.
var attemptOutcomes = []attemptOutcome{
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

// requestState counts the runs of one request and records whether its caller got a not-run verdict.
type requestState struct {
	runs    int
	refused bool
}

// historyEvent is one event in the history of a request: a run, or an answer with a kind of verdict.
type historyEvent struct {
	nonIdempotent bool
	answer        verd.Kind // empty for a run
}

// atMostOnceModel accepts a history in which a non-idempotent request runs at most once, no run follows a not-run
// verdict, and each verdict of not-run or ran is true when it is given.
var atMostOnceModel = porcupine.Model{
	Init: func() any { return requestState{} },
	Step: func(state, input, _ any) (bool, any) {
		current, event := state.(requestState), input.(historyEvent)
		switch event.answer {
		case "":
			current.runs++
			return !current.refused && (current.runs == 1 || !event.nonIdempotent), current
		case verd.KindNotRun:
			current.refused = true
			return current.runs == 0, current
		case verd.KindRan:
			return current.runs > 0, current
		}
		return true, current
	},
}

// script holds the outcomes of each request's attempts and records the events.
type script struct {
	mu       sync.Mutex
	outcomes map[string][]attemptOutcome
	events   map[string][]porcupine.Operation
	clock    int64
}

func (s *script) record(id string, event historyEvent) {
	s.clock++
	s.events[id] = append(s.events[id], porcupine.Operation{Input: event, Call: s.clock, Return: s.clock})
}

// attempt returns the answer of the next outcome of a request; the last outcome repeats.
func (s *script) attempt(r call.Request) call.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := s.outcomes[r.ID()]
	if len(left) > 1 {
		s.outcomes[r.ID()] = left[1:]
	}
	if left[0].runs {
		s.record(r.ID(), historyEvent{nonIdempotent: r.NonIdempotent()})
	}
	return left[0].answer
}

func (s *script) answered(id string, kind verd.Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record(id, historyEvent{answer: kind})
}

// TestHistoriesOfUnkeyedRequests sends many requests at once whose attempts meet faults in random order, and checks the
// history of each against the model.
func TestHistoriesOfUnkeyedRequests(t *testing.T) {
	var played script
	peers := func(_ context.Context, _ string, r call.Request) call.Answer { return played.attempt(r) }
	backendServer := func(_ context.Context, r call.Request) (call.Answer, bool) {
		a := played.attempt(r)
		return a, a.Verdict() == verd.MayHaveRun(verd.ReasonAnswerLost)
	}
	values := map[string]string{
		node.NameRules: untracedRules,
		node.NameHosts: "desk 10.0.0.1:1 z0\ndesk 10.0.0.2:1 z1\ndesk 10.0.0.3:1 z2",
	}
	n := newUntracedWithPeers(t, values, backendServer, peers)
	awaitReady(t, n)
	serial := 0
	rapid.Check(t, func(t *rapid.T) {
		played.mu.Lock()
		played.outcomes, played.events = map[string][]attemptOutcome{}, map[string][]porcupine.Operation{}
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
				outcome := attemptOutcomes[rapid.IntRange(0, len(attemptOutcomes)-1).Draw(t, "step")]
				played.outcomes[r.ID()] = append(played.outcomes[r.ID()], outcome)
			}
			requests = append(requests, r)
		}
		var all sync.WaitGroup
		for _, r := range requests {
			all.Go(func() { played.answered(r.ID(), n.Serve(context.Background(), r).Verdict().Kind()) })
		}
		all.Wait()
		for id, events := range played.events {
			if !porcupine.CheckOperations(atMostOnceModel, events) {
				t.Fatalf("request %s: %v", id, events)
			}
		}
	})
}
