package front

import (
	"net/http"
	"strings"

	"tamarackrudder.org/lib/call"
)

// NewRequest returns a request with the method and the target of an HTTP request, as the caller sent it. An absolute target is
// converted to origin form (RFC 9112, section 3.2). The second result is false for a target that no backend server can be
// asked for.
func NewRequest(id string, h *http.Request) (call.Request, bool) {
	target, ok := originForm(h)
	path, query, hasQuery := strings.Cut(target, "?")
	r := call.NewRequest(id, h.Method, path, query).WithEmptyQuery(hasQuery && query == "")
	return r, ok
}

func originForm(h *http.Request) (string, bool) {
	target := h.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = withoutAuthority(h)
	}
	// A fragment is no part of a target, and the target of CONNECT is no path.
	return target, strings.HasPrefix(target, "/") && !strings.Contains(target, "#") && h.Method != http.MethodConnect
}

// withoutAuthority returns the path and the query of an absolute target, and an empty string for one of another form. One that
// names a user is not allowed (RFC 9110, section 4.2.4).
func withoutAuthority(h *http.Request) string {
	if h.URL.Host == "" || h.URL.User != nil || (h.URL.Scheme != "http" && h.URL.Scheme != "https") {
		return ""
	}
	_, rest, _ := strings.Cut(h.RequestURI, "://")
	begin := strings.IndexAny(rest, "/?")
	switch {
	case begin < 0:
		return "/"
	case rest[begin] == '?':
		return "/" + rest[begin:]
	}
	return rest[begin:]
}
