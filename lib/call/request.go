package call

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Request is a request of a caller, or of a backend server that calls another service while it runs a request. The With
// methods return a changed copy.
type Request struct {
	id               string
	method           string
	path             string
	query            string
	emptyQuery       bool
	fields           []Field
	body             Body
	key              string
	organisation     string
	credential       string
	service          string
	class            string
	priority         int
	nonIdempotent    bool
	timeout          time.Duration
	deadline         time.Time
	allowance        int
	parentToken      string
	crashSuspect     bool
	retryFraction    float64
	fresh            bool
	host             string
	entryService     string
	downstream       bool
	latencyObjective time.Duration
	instance         string
}

// NewRequest returns a request for an escaped path; the query is raw, empty for none.
func NewRequest(id, method, path, query string) Request {
	return Request{id: id, method: method, path: path, query: query}
}

// WithEmptyQuery returns the request with whether its target ends with the question mark of an empty query.
func (r Request) WithEmptyQuery(empty bool) Request { r.emptyQuery = empty; return r }

// WithFields returns the request with the header fields that are passed on to the backend server.
func (r Request) WithFields(fields []Field) Request { r.fields = fields; return r }

// WithBody returns the request with its complete body.
func (r Request) WithBody(body Body) Request { r.body = body; return r }

// WithKey returns the request with its idempotency key, empty for none.
func (r Request) WithKey(key string) Request { r.key = key; return r }

// WithOrganisation returns the request with the organisation that it belongs to, whose limits it counts against.
func (r Request) WithOrganisation(organisation string) Request {
	r.organisation = organisation
	return r
}

// WithCredential returns the request with the key that its caller sent; it stays at the node that the request entered.
func (r Request) WithCredential(credential string) Request { r.credential = credential; return r }

// WithRoute returns the request with the service that its route leads to, and with whether it must run at most once.
func (r Request) WithRoute(service string, nonIdempotent bool) Request {
	r.service, r.nonIdempotent = service, nonIdempotent
	return r
}

// WithClass returns the request with its class; under overload the classes of lower priority are shed first.
func (r Request) WithClass(class string, priority int) Request {
	r.class, r.priority = class, priority
	return r
}

// WithTimeout returns the request with the timeout that the caller asked for, zero for that of the route.
func (r Request) WithTimeout(d time.Duration) Request { r.timeout = d; return r }

// WithDeadline returns the request with the time after which its answer is of no use to the caller.
func (r Request) WithDeadline(t time.Time) Request { r.deadline = t; return r }

// WithAllowance returns the request with the number of retries that it and its downstream calls may use together.
func (r Request) WithAllowance(n int) Request { r.allowance = n; return r }

// WithParentToken returns the request with the token of the running request that caused it, as copied by the backend server
// from the Tamarack-Context field; empty for a request of a caller.
func (r Request) WithParentToken(token string) Request { r.parentToken = token; return r }

// WithCrashSuspect returns the request with whether an earlier attempt may have crashed a backend server.
func (r Request) WithCrashSuspect(suspect bool) Request { r.crashSuspect = suspect; return r }

// WithRetryFraction returns the request with the probability, 0 to 1, that it or a request that caused it is a retry.
func (r Request) WithRetryFraction(fraction float64) Request { r.retryFraction = fraction; return r }

// WithFresh returns the request with whether its caller declared that no earlier attempt with the same key can have run.
func (r Request) WithFresh(fresh bool) Request { r.fresh = fresh; return r }

// WithHost returns the request with the host name of its Host field, which routes may match.
func (r Request) WithHost(host string) Request { r.host = host; return r }

// WithEntryService returns the request with the service of the backend server beside the node that the request entered.
func (r Request) WithEntryService(service string) Request { r.entryService = service; return r }

// WithDownstream returns the request with whether it was classified as a downstream call: sent by the backend server beside
// the node that it entered, because its route is not an entry route. Calls with a parent token are not marked.
func (r Request) WithDownstream(downstream bool) Request { r.downstream = downstream; return r }

// WithInstance returns the request restricted to one instance of the backend server, a single start of its process;
// empty for any.
func (r Request) WithInstance(instance string) Request { r.instance = instance; return r }

// WithLatencyObjective returns the request with the latency objective of its route, zero for none.
func (r Request) WithLatencyObjective(objective time.Duration) Request {
	r.latencyObjective = objective
	return r
}

// ID returns the identifier of the request in logs and in cancellations.
func (r Request) ID() string { return r.id }

// Method returns the HTTP method.
func (r Request) Method() string { return r.method }

// Path returns the path as the caller sent it.
func (r Request) Path() string { return r.path }

// Query returns the raw query, empty for none.
func (r Request) Query() string { return r.query }

// EmptyQuery reports whether the target ends with the question mark of an empty query.
func (r Request) EmptyQuery() bool { return r.emptyQuery }

// Target returns the request target in origin form, path and query, as the caller sent it.
func (r Request) Target() string {
	if r.query == "" && !r.emptyQuery {
		return r.path
	}
	return r.path + "?" + r.query
}

// Fields returns the header fields that are passed on to the backend server; the slice must not be modified.
func (r Request) Fields() []Field { return r.fields }

// Body returns the complete body.
func (r Request) Body() Body { return r.body }

// Key returns the idempotency key, empty for none.
func (r Request) Key() string { return r.key }

// Credential returns the key that the caller sent, empty for none and at other nodes than the entry node. It must not be logged.
func (r Request) Credential() string { return r.credential }

// Organisation returns the organisation that the request belongs to, empty where it is not known.
func (r Request) Organisation() string { return r.organisation }

// Service returns the service that runs the request, empty before the request is routed.
func (r Request) Service() string { return r.service }

// Class returns the name of the request's class, empty before the request is routed.
func (r Request) Class() string { return r.class }

// Priority returns the priority of the class; under overload lower priorities are shed first.
func (r Request) Priority() int { return r.priority }

// NonIdempotent reports whether the request must run at most once; false before the request is routed.
func (r Request) NonIdempotent() bool { return r.nonIdempotent }

// Timeout returns the timeout that the caller asked for, zero for that of the route.
func (r Request) Timeout() time.Duration { return r.timeout }

// Deadline returns the time after which the answer is of no use to the caller.
func (r Request) Deadline() time.Time { return r.deadline }

// Allowance returns the number of retries that the request and its downstream calls may use together.
func (r Request) Allowance() int { return r.allowance }

// ParentToken returns the token of the running request that caused this one, empty for a request of a caller.
func (r Request) ParentToken() string { return r.parentToken }

// CrashSuspect reports whether an earlier attempt may have crashed a backend server.
func (r Request) CrashSuspect() bool { return r.crashSuspect }

// RetryFraction returns the probability, 0 to 1, that this request or one that caused it is a retry.
func (r Request) RetryFraction() float64 { return r.retryFraction }

// Fresh reports whether the caller declared that no earlier attempt with the same key can have run.
func (r Request) Fresh() bool { return r.fresh }

// Host returns the host name of the request's Host field, empty where it is not known.
func (r Request) Host() string { return r.host }

// EntryService returns the service of the backend server beside the node that the request entered, empty where it is not known.
func (r Request) EntryService() string { return r.entryService }

// Downstream reports whether the request was classified as a downstream call of a backend server by its route.
func (r Request) Downstream() bool { return r.downstream }

// Instance returns the instance of the backend server to which the request is restricted, empty for any.
func (r Request) Instance() string { return r.instance }

// LatencyObjective returns the latency objective of the request's route, zero for none.
func (r Request) LatencyObjective() time.Duration { return r.latencyObjective }

// Deduped reports whether the request is deduplicated: it runs at most once over all attempts with its key.
func (r Request) Deduped() bool { return r.nonIdempotent && r.key != "" }

// mayHaveRunBefore reports whether an earlier attempt with the same key may have run. GET and HEAD count as idempotent;
// any other request counts as non-idempotent until it is routed.
func (r Request) mayHaveRunBefore() bool {
	idempotent := r.service != "" && !r.nonIdempotent
	return r.key != "" && !r.fresh && !idempotent && r.method != "GET" && r.method != "HEAD"
}

// Fingerprint returns a hash of method, path, query and body, by which requests with equal content are recognised, whoever
// sends them.
func (r Request) Fingerprint() uint64 {
	d := xxhash.New()
	r.writeContent(d)
	return d.Sum64()
}

// CallerFingerprint returns a hash of the content and of the entry service, by which requests of the same calling service with
// equal content are recognised.
func (r Request) CallerFingerprint() uint64 {
	d := xxhash.New()
	writePart(d, r.entryService)
	r.writeContent(d)
	return d.Sum64()
}

func (r Request) writeContent(d *xxhash.Digest) {
	writePart(d, r.method)
	writePart(d, r.path)
	writePart(d, r.query)
	if r.emptyQuery {
		_, _ = d.WriteString("?")
	}
	for _, segment := range r.body.Segments() {
		_, _ = d.Write(segment)
	}
}

// writePart adds a part that ends where the next one begins.
func writePart(d *xxhash.Digest, part string) {
	_, _ = d.WriteString(part)
	_, _ = d.Write([]byte{0})
}
