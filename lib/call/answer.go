package call

import (
	"time"

	"tamarackrudder.org/lib/verd"
)

// Backpressure is the back-pressure signal of one service for one class: whether the service admits requests of the class
// or makes them wait behind higher classes. An answer that carries signals of a service implies that the service admits
// every class without a signal to the contrary.
type Backpressure struct {
	service string
	class   string
	admits  bool
	busy    bool
}

// NewBackpressure returns the signal of a service for a class, marked as not busy.
func NewBackpressure(service, class string, admits bool) Backpressure {
	return Backpressure{service: service, class: class, admits: admits}
}

// Service returns the name of the service that sent the signal.
func (p Backpressure) Service() string { return p.service }

// Class returns the name of the class to which the signal applies.
func (p Backpressure) Class() string { return p.class }

// WithBusy returns the signal with whether many requests of the class or of higher classes are queued at the service.
func (p Backpressure) WithBusy(busy bool) Backpressure { p.busy = busy; return p }

// Busy reports whether many requests of the class or of higher classes are queued at the service.
func (p Backpressure) Busy() bool { return p.busy }

// Admits reports whether the service admits the class; false asks the entry nodes to hold its requests back.
func (p Backpressure) Admits() bool { return p.admits }

// Demand is the slot demand of a route at one service: for how long one request of the route occupies slots there and how often
// it calls the service, together with the service's current admit level and how much of what they are sent its backend servers
// accept.
type Demand struct {
	service  string
	cost     time.Duration
	calls    float64
	level    float64
	accepted float64
}

// NewDemand returns the slot demand of one request that runs at a service once, and the fraction of the offered load, 0 to 1,
// for which the service has room; its backend
// servers accept all that they are sent.
func NewDemand(service string, cost time.Duration, level float64) Demand {
	return Demand{service: service, cost: cost, calls: 1, level: level, accepted: 1}
}

// WithAccepted returns the demand with the fraction of the requests sent to the service's backend servers that they accept.
func (d Demand) WithAccepted(accepted float64) Demand { d.accepted = accepted; return d }

// WithCalls returns the demand with the number of times that one request runs at the service.
func (d Demand) WithCalls(calls float64) Demand { d.calls = calls; return d }

// Times returns the demand of so many requests together.
func (d Demand) Times(count float64) Demand {
	d.cost = time.Duration(count * float64(d.cost))
	d.calls *= count
	return d
}

// Service returns the name of the service whose slots are occupied.
func (d Demand) Service() string { return d.service }

// Cost returns the slot time of one request, summed over all its calls to the service.
func (d Demand) Cost() time.Duration { return d.cost }

// Calls returns how often one request runs at the service, on average.
func (d Demand) Calls() float64 { return d.calls }

// Level returns the service's admit level: the fraction of the offered load for which it has room, 0 to 1.
func (d Demand) Level() float64 { return d.level }

// Accepted returns the fraction of the requests sent to the service's backend servers that they accept, 0 to 1.
func (d Demand) Accepted() float64 { return d.accepted }

// Answer is the result of a request: its verdict and, if it ran, the complete response of the backend server.
type Answer struct {
	verdict        verd.Verdict
	status         int
	fields         []Field
	body           []byte
	unspentRetries int
	backpressure   []Backpressure
	inFlight       int
	provenNotRun   bool
	downstreamShed bool
	load           float64
	slowdown       float64
	takes          float64
	pace           time.Duration
	failing        float64
	retryAfter     time.Duration
	demands        []Demand
	entryRoute     bool
}

// NewAnswer returns the complete response of a backend server, with the verdict that the request ran.
func NewAnswer(status int, fields []Field, body []byte) Answer {
	return Answer{verdict: verd.Ran(), status: status, fields: fields, body: body}
}

// Refusal returns an answer without a response, for a request that did not run or whose complete response was not received.
func Refusal(v verd.Verdict) Answer { return Answer{verdict: v} }

// WithUnspentRetries returns the answer with the part of the request's retry allowance that was not used.
func (a Answer) WithUnspentRetries(n int) Answer { a.unspentRetries = n; return a }

// WithBackpressure returns the answer with the back-pressure signals of the services that the request reached.
func (a Answer) WithBackpressure(p []Backpressure) Answer { a.backpressure = p; return a }

// WithInFlight returns the answer with the number of requests that run or wait at its endpoint.
func (a Answer) WithInFlight(n int) Answer { a.inFlight = n; return a }

// WithProvenNotRun returns the answer with whether the claims of the key's owner prove that no attempt with the key has run.
func (a Answer) WithProvenNotRun(proven bool) Answer { a.provenNotRun = proven; return a }

// ProvenNotRun reports whether the claims of the key's owner prove that no attempt with the key has run.
func (a Answer) ProvenNotRun() bool { return a.provenNotRun }

// WithDownstreamShed returns the answer with whether a downstream call of the request was refused because of overload.
func (a Answer) WithDownstreamShed(shed bool) Answer { a.downstreamShed = shed; return a }

// DownstreamShed reports whether a downstream call of the request was refused because of overload.
func (a Answer) DownstreamShed() bool { return a.downstreamShed }

// WithLoad returns the answer with the load that the backend server reported: running and waiting requests per slot,
// negative where it reported none.
func (a Answer) WithLoad(load float64) Answer { a.load = load; return a }

// Load returns the running and waiting requests per slot that the backend server reported, negative where it reported
// none.
func (a Answer) Load() float64 { return a.load }

// WithSlowdown returns the answer with the slowdown that the backend server reported: how long work takes there at this
// moment, as a multiple of the usual time; 0 where it reported none.
func (a Answer) WithSlowdown(slowdown float64) Answer { a.slowdown = slowdown; return a }

// Slowdown returns how long work takes at the backend server at this moment, as a multiple of the usual time; 0 where it
// reported none.
func (a Answer) Slowdown() float64 { return a.slowdown }

// WithTakes returns the answer with the number of concurrent requests that its endpoint is thought to take well, zero where
// that is not known.
func (a Answer) WithTakes(n float64) Answer { a.takes = n; return a }

// Takes returns the number of concurrent requests that the endpoint is thought to take well, zero where that is not known.
func (a Answer) Takes() float64 { return a.takes }

// WithPace returns the answer with how long a request is expected to run at its endpoint at this moment, over all routes;
// zero where that is not known.
func (a Answer) WithPace(d time.Duration) Answer { a.pace = d; return a }

// Pace returns how long a request is expected to run at the endpoint at this moment, over all routes; zero where that is
// not known.
func (a Answer) Pace() time.Duration { return a.pace }

// WithFailing returns the answer with the fraction of the last runs at its endpoint that failed without a part of other
// services.
func (a Answer) WithFailing(fraction float64) Answer { a.failing = fraction; return a }

// Failing returns the fraction of the last runs at the endpoint that failed without a part of other services.
func (a Answer) Failing() float64 { return a.failing }

// WithDemands returns the answer with the slot demand of its route at each service that its requests reach.
func (a Answer) WithDemands(demands []Demand) Answer { a.demands = demands; return a }

// Demands returns the slot demand of the route at each service that its requests reach, none where the answer carries no
// estimate.
func (a Answer) Demands() []Demand { return a.demands }

// WithEntryRoute returns the answer with whether the answering node has classified the route as an entry route, one
// that callers use and not only backend servers.
func (a Answer) WithEntryRoute(entry bool) Answer { a.entryRoute = entry; return a }

// IsEntryRoute reports whether the answering node has classified the route as an entry route; false also where that node
// has seen too few requests of the route to classify it.
func (a Answer) IsEntryRoute() bool { return a.entryRoute }

// WithRetryAfter returns the refusal with its retry-after delay, after which the caller may send the request again.
func (a Answer) WithRetryAfter(after time.Duration) Answer { a.retryAfter = after; return a }

// RetryAfter returns the retry-after delay, zero where none was set.
func (a Answer) RetryAfter() time.Duration { return a.retryAfter }

// Verdict returns whether the request ran, did not run or may have run, and the reason.
func (a Answer) Verdict() verd.Verdict { return a.verdict }

// Status returns the backend server's status code, zero for a refusal.
func (a Answer) Status() int { return a.status }

// Fields returns the header fields of the response; the slice must not be modified.
func (a Answer) Fields() []Field { return a.fields }

// Body returns the complete body of the response; it must not be modified.
func (a Answer) Body() []byte { return a.body }

// UnspentRetries returns the retries of the request's allowance that were not used, zero where the answer has no count.
func (a Answer) UnspentRetries() int { return a.unspentRetries }

// Backpressure returns the back-pressure signals of the services that the request reached.
func (a Answer) Backpressure() []Backpressure { return a.backpressure }

// InFlight returns the number of requests that ran or waited at the endpoint when it answered.
func (a Answer) InFlight() int { return a.inFlight }

// AcrossAttempts widens the verdict of one attempt to all attempts with the request's key: "not run" becomes "may have run",
// because an earlier attempt may have run. The verdict stays if the answer proves that none has, if the caller declared
// that none can have, or if the key belongs to another request.
func AcrossAttempts(r Request, a Answer) Answer {
	v := a.verdict
	if !r.mayHaveRunBefore() || !v.IsNotRun() || a.provenNotRun || v.Reason() == verd.ReasonKeyReused {
		return a
	}
	a.verdict = verd.MayHaveRun(v.Reason())
	return a
}
