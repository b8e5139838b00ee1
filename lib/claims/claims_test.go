package claims_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/claims"
	"tamarackrudder.org/lib/clock"
	"tamarackrudder.org/lib/verd"
)

const (
	horizon = time.Minute
	future  = time.Second
	skew    = time.Second
	keys    = 3
)

var bounds = claims.NewBounds(horizon, keys, future, skew)

func newKey(at time.Time) string {
	id := uuid.Must(uuid.NewV7())
	for i := range 6 {
		id[i] = byte(at.UnixMilli() >> (8 * (5 - i)))
	}
	return id.String()
}

func TestClaim(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	cutoff := start.Add(-10 * time.Second)
	tests := []struct {
		name    string
		key     string
		cutoff  time.Time
		verdict verd.Verdict
	}{
		{"young key", newKey(start), cutoff, verd.Verdict{}},
		{"created before the cutoff", newKey(cutoff.Add(-time.Millisecond)), cutoff, verd.MayHaveRun(verd.ReasonBeforeOwnership)},
		{"created slightly in the future", newKey(start.Add(future)), cutoff, verd.Verdict{}},
		{"created too far in the future", newKey(start.Add(future + time.Millisecond)), cutoff, verd.NotRun(verd.ReasonKeyInFuture)},
		{"older than the horizon", newKey(start.Add(-horizon)), start.Add(-time.Hour), verd.MayHaveRun(verd.ReasonKeyExpired)},
		{"no creation time, recent cutoff", "order 7", cutoff, verd.MayHaveRun(verd.ReasonKeyUnreadable)},
		{"no creation time, old cutoff", "order 7", start.Add(-horizon), verd.Verdict{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			table := claims.NewTable(clock.NewManual(start))
			result := table.Claim(test.key, 1, claims.NewPermission(start, test.cutoff), bounds)
			if test.verdict == (verd.Verdict{}) {
				is.Equal(result.Outcome(), claims.Fresh)
				return
			}
			is.Equal(result.Answer().Verdict(), test.verdict)
		})
	}
}

func TestFullTableKeepsClaimsUntilExpiry(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(time.Unix(1_800_000_000, 0))
	table := claims.NewTable(c)
	cutoff := c.Now().Add(-time.Hour)
	claim := func(key string) claims.Result {
		return table.Claim(key, 1, claims.NewPermission(c.Now(), cutoff), bounds)
	}
	var old []string
	for range keys {
		old = append(old, newKey(c.Now()))
		is.Equal(claim(old[len(old)-1]).Outcome(), claims.Fresh)
		table.Settle(old[len(old)-1], call.NewAnswer(200, nil, []byte("done")))
	}
	full := claim(newKey(c.Now()))
	is.Equal(full.Answer().Verdict(), verd.NotRun(verd.ReasonKeyTableFull))
	is.True(full.Answer().ProvenNotRun())
	c.Advance(horizon)
	is.Equal(string(claim(old[0]).Answer().Body()), "done") // still recorded at an age at which an unclaimed key is refused
	c.Advance(future + skew)
	is.Equal(claim(newKey(c.Now())).Outcome(), claims.Fresh)
	is.Equal(claim(old[0]).Answer().Verdict(), verd.MayHaveRun(verd.ReasonKeyExpired))
}

func TestClaimLifecycleAndHandover(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(time.Unix(1_800_000_000, 0))
	table := claims.NewTable(c)
	permission := claims.NewPermission(c.Now(), c.Now().Add(-time.Hour))
	key := newKey(c.Now())
	is.Equal(table.Claim(key, 1, permission, bounds).Outcome(), claims.Fresh)
	is.Equal(table.Claim(key, 1, permission, bounds).Outcome(), claims.Running)
	is.Equal(table.Claim(key, 2, permission, bounds).Answer().Verdict(), verd.NotRun(verd.ReasonKeyReused))
	importer := claims.NewTable(c)
	importer.Import(table.Claims())
	is.Equal(importer.Claim(key, 1, permission, bounds).Answer().Verdict(), verd.MayHaveRun(verd.ReasonAnswerLost))
	table.Settle(key, call.NewAnswer(200, nil, []byte("whole")))
	importer.Import(table.Claims())
	result, ok := importer.Lookup(key, 1)
	is.True(ok)
	is.Equal(string(result.Answer().Body()), "whole")
	dropped := newKey(c.Now())
	table.Claim(dropped, 1, permission, bounds)
	table.Settle(dropped, call.Refusal(verd.NotRun(verd.ReasonQueueFull)))
	is.Equal(table.Claim(dropped, 1, permission, bounds).Outcome(), claims.Fresh) // it never ran
	table.Freeze()
	is.Equal(table.Claim(newKey(c.Now()), 1, permission, bounds).Answer().Verdict(), verd.NotRun(verd.ReasonLeaving))
	table.Thaw()
	is.Equal(table.Claim(newKey(c.Now()), 1, permission, bounds).Answer().Verdict(), verd.NotRun(verd.ReasonLeaving))
	c.Advance(time.Millisecond)
	later := claims.NewPermission(c.Now(), c.Now().Add(-time.Hour))
	is.Equal(table.Claim(newKey(c.Now()), 1, later, bounds).Outcome(), claims.Fresh)
}

func TestCreatedAt(t *testing.T) {
	is := is.New(t)
	at := time.UnixMilli(1_800_000_000_123)
	created, ok := claims.CreatedAt(newKey(at))
	is.True(ok)
	is.True(created.Equal(at))
	for _, key := range []string{"", "order 7", uuid.NewString(), fmt.Sprint(at)} {
		_, ok := claims.CreatedAt(key)
		is.True(!ok)
	}
}
