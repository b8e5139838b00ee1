package call

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Field is one header field.
type Field struct {
	name  string
	value string
}

// NewField returns a header field.
func NewField(name, value string) Field { return Field{name: name, value: value} }

// Name returns the field's name.
func (f Field) Name() string { return f.name }

// Value returns the field's value.
func (f Field) Value() string { return f.value }

// Request is what a caller asks for; the With methods return a changed copy.
type Request struct {
	id            string
	method        string
	path          string
	query         string
	fields        []Field
	body          []byte
	key           string
	tenant        string
	service       string
	class         string
	priority      int
	nonIdempotent bool
	timeout       time.Duration
	deadline      time.Time
	allowance     int
	parent        string
	suspect       bool
	again         float64
	fresh         bool
	host          string
	caller        string
	deeper        bool
	goal          time.Duration
	instance      string
}

// NewRequest returns a request for a path, with a query or an empty string.
func NewRequest(id, method, path, query string) Request {
	return Request{id: id, method: method, path: path, query: query}
}

// WithFields returns the request with the caller's header fields.
func (r Request) WithFields(fields []Field) Request { r.fields = fields; return r }

// WithBody returns the request with a whole body.
func (r Request) WithBody(body []byte) Request { r.body = body; return r }

// WithKey returns the request with its idempotency key.
func (r Request) WithKey(key string) Request { r.key = key; return r }

// WithTenant returns the request with the tenant that it counts for.
func (r Request) WithTenant(tenant string) Request { r.tenant = tenant; return r }

// WithRoute returns the request bound to a service and its idempotence.
func (r Request) WithRoute(service string, nonIdempotent bool) Request {
	r.service, r.nonIdempotent = service, nonIdempotent
	return r
}

// WithClass returns the request with its class; higher priorities are shed later.
func (r Request) WithClass(class string, priority int) Request {
	r.class, r.priority = class, priority
	return r
}

// WithTimeout returns the request with the timeout the caller asked for, zero for none.
func (r Request) WithTimeout(d time.Duration) Request { r.timeout = d; return r }

// WithDeadline returns the request with the time after which nobody waits for it.
func (r Request) WithDeadline(t time.Time) Request { r.deadline = t; return r }

// WithAllowance returns the request with the retries it may spend, here and deeper.
func (r Request) WithAllowance(n int) Request { r.allowance = n; return r }

// WithParent returns the request with the opaque context that its sender was handed.
func (r Request) WithParent(parent string) Request { r.parent = parent; return r }

// WithSuspect returns the request marked as one whose last attempt may have crashed a backend server.
func (r Request) WithSuspect(suspect bool) Request { r.suspect = suspect; return r }

// WithAgain returns the request with the likelihood, 0 to 1, that it or a request that it was sent for is a retry.
func (r Request) WithAgain(again float64) Request { r.again = again; return r }

// WithFresh returns the request with its caller's word that no earlier attempt with the same key may have run.
func (r Request) WithFresh(fresh bool) Request { r.fresh = fresh; return r }

// WithHost returns the request with the host name that its caller asked for.
func (r Request) WithHost(host string) Request { r.host = host; return r }

// WithCaller returns the request with the service of the host where it began.
func (r Request) WithCaller(service string) Request { r.caller = service; return r }

// WithDeeper returns the request marked as a call of the backend server beside the node that it entered.
func (r Request) WithDeeper(deeper bool) Request { r.deeper = deeper; return r }

// WithInstance returns the request meant for one start of the backend server, empty for any.
func (r Request) WithInstance(instance string) Request { r.instance = instance; return r }

// WithGoal returns the request with the time within which its answer is worth most, zero where none is known.
func (r Request) WithGoal(goal time.Duration) Request { r.goal = goal; return r }

// ID returns the identifier used in logs and cancellation.
func (r Request) ID() string { return r.id }

// Method returns the method.
func (r Request) Method() string { return r.method }

// Path returns the path.
func (r Request) Path() string { return r.path }

// Query returns the raw query.
func (r Request) Query() string { return r.query }

// Fields returns the caller's header fields; not to be changed.
func (r Request) Fields() []Field { return r.fields }

// Body returns the whole body; not to be changed.
func (r Request) Body() []byte { return r.body }

// Key returns the idempotency key.
func (r Request) Key() string { return r.key }

// Tenant returns the tenant.
func (r Request) Tenant() string { return r.tenant }

// Service returns the service that runs the request.
func (r Request) Service() string { return r.service }

// Class returns the class.
func (r Request) Class() string { return r.class }

// Priority returns the class's priority; higher is shed later.
func (r Request) Priority() int { return r.priority }

// NonIdempotent reports whether the request must run at most once.
func (r Request) NonIdempotent() bool { return r.nonIdempotent }

// Timeout returns the timeout the caller asked for, zero for none.
func (r Request) Timeout() time.Duration { return r.timeout }

// Deadline returns the time after which nobody waits for the answer.
func (r Request) Deadline() time.Time { return r.deadline }

// Allowance returns the retries it may spend.
func (r Request) Allowance() int { return r.allowance }

// Parent returns the opaque context of the request it was sent for.
func (r Request) Parent() string { return r.parent }

// Suspect reports whether the last attempt may have crashed a backend server.
func (r Request) Suspect() bool { return r.suspect }

// Again returns the likelihood, 0 to 1, that this request or one that it was sent for is a retry.
func (r Request) Again() float64 { return r.again }

// Fresh reports whether its caller says that no earlier attempt with the same key may have run.
func (r Request) Fresh() bool { return r.fresh }

// Host returns the host name that the caller asked for, empty for any.
func (r Request) Host() string { return r.host }

// Caller returns the service of the host where the request began, empty where it is not known.
func (r Request) Caller() string { return r.caller }

// Deeper reports whether a backend server sent the request while it ran another one.
func (r Request) Deeper() bool { return r.deeper }

// Instance returns the start of the backend server that the request is meant for, empty for any.
func (r Request) Instance() string { return r.instance }

// Goal returns the time within which the answer is worth most.
func (r Request) Goal() time.Duration { return r.goal }

// Deduped reports whether the request must run at most once over all attempts with its key.
func (r Request) Deduped() bool { return r.nonIdempotent && r.key != "" }

// mayHaveRunBefore reports whether an earlier attempt at a non-idempotent request may have run; before a request is
// routed, its key and method tell what it may be.
func (r Request) mayHaveRunBefore() bool {
	idempotent := r.service != "" && !r.nonIdempotent
	return r.key != "" && !r.fresh && !idempotent && r.method != "GET" && r.method != "HEAD"
}

// Fingerprint identifies the request by method, path, query and body.
func (r Request) Fingerprint() uint64 {
	d := xxhash.New()
	for _, part := range [...]string{r.method, r.path, r.query} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.body)
	return d.Sum64()
}
