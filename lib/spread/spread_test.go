package spread_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"tamarackrudder.org/lib/spread"
)

var errBad = errors.New("text has no valid version")

func parse(_ uint64, text []byte) (uint64, error) {
	var version uint64
	if _, err := fmt.Sscanf(string(text), "version %d", &version); err != nil || strings.Contains(string(text), "bad") {
		return 0, errBad
	}
	return version, nil
}

// offer is one publication of a text; its sequence is the platform's revision.
type offer struct {
	sequence uint64
	text     string
}

// TestStoresAgreeAndNeverRevert offers the same publications, each twice and in a different order, to several stores:
// all must end with the same value, never go back to a lower version, and never apply an invalid text.
func TestStoresAgreeAndNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 12).Draw(t, "publishings")
		var offers []offer
		for i := range count {
			text := fmt.Sprintf("version %d content %d", rapid.IntRange(1, 4).Draw(t, "version"), i)
			if rapid.IntRange(0, 4).Draw(t, "faulty") == 0 {
				text += " bad"
			}
			offers = append(offers, offer{sequence: uint64(i + 1), text: text})
		}
		want := ""
		var best spread.Stamp
		for _, o := range offers {
			version, err := parse(o.sequence, []byte(o.text))
			if stamp := spread.NewStamp(version, o.sequence); err == nil && stamp.Supersedes(best) {
				best, want = stamp, o.text
			}
		}
		for range 3 {
			checkOrder(t, rapid.Permutation(append(offers, offers...)).Draw(t, "order"), want)
		}
	})
}

// checkOrder offers the publications in the given order to one store and compares the value in force at the end.
func checkOrder(t *rapid.T, order []offer, want string) {
	inForce := spread.Value{}
	s := spread.NewStore(spread.Seams{Parse: parse, Apply: func(v spread.Value) {
		if v.Version() < inForce.Version() {
			t.Fatalf("version %d was replaced by %d", inForce.Version(), v.Version())
		}
		if strings.Contains(string(v.Text()), "bad") {
			t.Fatal("a faulty text came into force")
		}
		inForce = v
	}})
	for _, o := range order {
		_, _ = s.Offer(o.sequence, []byte(o.text))
	}
	if got := string(s.Current().Text()); got != want {
		t.Fatalf("in force is %q, want %q", got, want)
	}
}
