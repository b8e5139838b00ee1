package fleet_test

import (
	"math"
	"net/http"
	"testing"

	"github.com/anishathalye/porcupine"

	"tamarackrudder.org/lib/verd"
	"tamarackrudder.org/tamarackbench/fleet"
	"tamarackrudder.org/tamarackbench/loads"
)

// finalRead is the last operation of each key's history: it reads from the backend servers whether the key ran.
const finalRead = "final read"

// model is the sequential specification of one idempotency key. Its state is whether the key has run. An attempt whose
// verdict is neither ran nor not-run can take effect at any later time, or never.
var model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{false} },
	Step: func(state, input, output any) []any {
		ran := state.(bool)
		switch verdict := output.(string); {
		case input == finalRead && (verdict == string(verd.KindRan)) != ran:
			return nil
		case input == finalRead:
			return []any{ran}
		case verdict == string(verd.KindRan):
			return []any{true}
		case verdict == string(verd.KindNotRun) && ran:
			return nil
		case verdict == string(verd.KindNotRun):
			return []any{false}
		}
		return []any{ran, true}
	},
	Equal: func(a, b any) bool { return a == b },
}

// checkHistory checks that the history of every key is linearizable against the model, and that no service ran a key
// twice.
func checkHistory(t *testing.T, f *fleet.Fleet, outcomes []loads.Outcome) {
	t.Helper()
	runs := map[string]int{}
	for _, service := range fleet.Small().Services() {
		counts, err := f.Runs(t.Context(), service.Name())
		if err != nil {
			t.Fatal(err)
		}
		for key, n := range counts {
			runs[key] += n
			if n > 1 {
				t.Errorf("key %s ran %d times at %s", key, n, service.Name())
			}
		}
	}
	falseMayHaveRun, failed := 0, 0
	for _, o := range outcomes {
		if o.Method() == http.MethodGet {
			continue
		}
		if o.MayHaveRun() && !o.Succeeded() && runs[o.Key()] == 0 {
			falseMayHaveRun++
		}
		if !o.Succeeded() {
			failed++
		}
		if !porcupine.CheckOperations(model.ToModel(), operations(o, runs[o.Key()])) {
			t.Errorf("key %s: history %v with %d runs is not possible", o.Key(), o.History(), runs[o.Key()])
		}
	}
	t.Logf("%d requests, %d non-idempotent ones without a complete answer, %d of them possibly run by their verdicts but never run",
		len(outcomes), failed, falseMayHaveRun)
}

// operations returns the attempts of a request and the final read as operations for the checker. An attempt with an
// uncertain verdict has no end, so that the checker may place its effect at any time after its start.
func operations(o loads.Outcome, runs int) []porcupine.Operation {
	var operations []porcupine.Operation
	end := int64(0)
	for i, a := range o.History() {
		returned := a.Ended().UnixNano()
		end = max(end, returned)
		if a.Verdict() != string(verd.KindRan) && a.Verdict() != string(verd.KindNotRun) {
			returned = math.MaxInt64
		}
		operations = append(operations, porcupine.Operation{
			ClientId: i, Input: "attempt", Call: a.Began().UnixNano(), Output: a.Verdict(), Return: returned,
		})
	}
	output := string(verd.KindNotRun)
	if runs > 0 {
		output = string(verd.KindRan)
	}
	return append(operations, porcupine.Operation{
		ClientId: len(operations), Input: finalRead, Call: end + 1, Output: output, Return: math.MaxInt64,
	})
}
