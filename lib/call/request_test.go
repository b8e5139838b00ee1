package call_test

import (
	"testing"

	"github.com/matryer/is"

	"tamarackrudder.org/lib/call"
)

// TestFingerprints guards against a crashing request that is taken for another caller's, and a resend that is taken for another request.
func TestFingerprints(t *testing.T) {
	request := func(target, body string) call.Request {
		return call.NewRequest("1", "GET", target, "").WithBody(call.NewBody([]byte(body))).WithEntryService("desk")
	}
	base := request("/items/1", "body")
	tests := []struct {
		name       string
		other      call.Request
		content    bool // equal content
		sameCaller bool // equal content of the same caller
	}{
		{"resend", call.NewRequest("2", "GET", "/items/1", "").WithBody(base.Body()).WithEntryService("desk"), true, true},
		{"calling service", base.WithEntryService("shop"), true, false},
		{"caller not known", base.WithEntryService(""), true, false},
		{"path", request("/items/2", "body"), false, false},
		{"body", request("/items/1", "other"), false, false},
		{"empty query", base.WithEmptyQuery(true), false, false},
		{"method", call.NewRequest("1", "PUT", "/items/1", "").WithBody(base.Body()).WithEntryService("desk"), false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(test.other.Fingerprint() == base.Fingerprint(), test.content)
			is.Equal(test.other.CallerFingerprint() == base.CallerFingerprint(), test.sameCaller)
		})
	}
}
