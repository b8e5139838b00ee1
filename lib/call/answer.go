package call

import (
	"time"

	"tamarackrudder.org/lib/verd"
)

// Pressure tells whether a service admits a class, or lets it wait behind higher ones. A service that is mentioned
// admits every class that it is not said to hold back.
type Pressure struct {
	service string
	class   string
	admits  bool
	busy    bool
}

// NewPressure returns whether a service admits a class.
func NewPressure(service, class string, admits bool) Pressure {
	return Pressure{service: service, class: class, admits: admits}
}

// Service returns the service.
func (p Pressure) Service() string { return p.service }

// Class returns the class.
func (p Pressure) Class() string { return p.class }

// WithBusy returns the pressure with whether requests of the class, or of higher ones, wait for others to end.
func (p Pressure) WithBusy(busy bool) Pressure { p.busy = busy; return p }

// Busy reports whether requests of the class, or of higher ones, wait for others to end.
func (p Pressure) Busy() bool { return p.busy }

// Admits reports whether the class is admitted.
func (p Pressure) Admits() bool { return p.admits }

// Need is what a request of a route takes of one service on its way, with that service's level.
type Need struct {
	service string
	cost    time.Duration
	level   float64
}

// NewNeed returns the time of slots that a request takes at a service, and the share for which that has room, 0 to 1.
func NewNeed(service string, cost time.Duration, level float64) Need {
	return Need{service: service, cost: cost, level: level}
}

// Service returns the service.
func (n Need) Service() string { return n.service }

// Cost returns the time for which slots are taken.
func (n Need) Cost() time.Duration { return n.cost }

// Level returns the share for which the service has room, 0 to 1.
func (n Need) Level() float64 { return n.level }

// Answer is the end of a request: a verdict, and the whole answer where it ran.
type Answer struct {
	verdict   verd.Verdict
	status    int
	fields    []Field
	body      []byte
	unspent   int
	pressures []Pressure
	inFlight  int
	proven    bool
	shed      bool
	load      float64
	comeBack  time.Duration
	needs     []Need
	callers   bool
}

// NewAnswer returns a whole answer of a backend server.
func NewAnswer(status int, fields []Field, body []byte) Answer {
	return Answer{verdict: verd.Ran(), status: status, fields: fields, body: body}
}

// Refusal returns an answer that carries only a verdict.
func Refusal(v verd.Verdict) Answer { return Answer{verdict: v} }

// WithUnspent returns the answer with the retries handed out and not spent.
func (a Answer) WithUnspent(n int) Answer { a.unspent = n; return a }

// WithPressures returns the answer with what its services admit.
func (a Answer) WithPressures(p []Pressure) Answer { a.pressures = p; return a }

// WithInFlight returns the answer with the number of requests its endpoint has open.
func (a Answer) WithInFlight(n int) Answer { a.inFlight = n; return a }

// WithProven returns the answer with the owner's proof that no attempt with the same key has run.
func (a Answer) WithProven(proven bool) Answer { a.proven = proven; return a }

// Proven reports whether the key's owner has proved that no attempt with the same key has run.
func (a Answer) Proven() bool { return a.proven }

// WithShed returns the answer with the word that a deeper call of the request was refused for load.
func (a Answer) WithShed(shed bool) Answer { a.shed = shed; return a }

// Shed reports whether a deeper call of the request was refused for load.
func (a Answer) Shed() bool { return a.shed }

// WithLoad returns the answer with the share of its slots that the backend server says are taken, negative for unknown.
func (a Answer) WithLoad(load float64) Answer { a.load = load; return a }

// Load returns the share of its slots that the backend server says are taken, negative for unknown.
func (a Answer) Load() float64 { return a.load }

// WithNeeds returns the answer with what requests of its route take of the services on their way.
func (a Answer) WithNeeds(needs []Need) Answer { a.needs = needs; return a }

// Needs returns what requests of its route take of the services on their way, none where nothing is told.
func (a Answer) Needs() []Need { return a.needs }

// WithFromCallers returns the answer with whether callers are known to send requests of its route.
func (a Answer) WithFromCallers(known bool) Answer { a.callers = known; return a }

// FromCallers reports whether callers are known to send requests of the answer's route.
func (a Answer) FromCallers() bool { return a.callers }

// WithComeBack returns the refusal with how long its caller should wait before it comes back.
func (a Answer) WithComeBack(after time.Duration) Answer { a.comeBack = after; return a }

// ComeBack returns how long the caller should wait before it comes back, zero where nothing is known.
func (a Answer) ComeBack() time.Duration { return a.comeBack }

// Verdict returns whether the request ran.
func (a Answer) Verdict() verd.Verdict { return a.verdict }

// Status returns the backend server's status code, zero for a refusal.
func (a Answer) Status() int { return a.status }

// Fields returns the header fields; not to be changed.
func (a Answer) Fields() []Field { return a.fields }

// Body returns the whole body; not to be changed.
func (a Answer) Body() []byte { return a.body }

// Unspent returns the retries handed out and not spent.
func (a Answer) Unspent() int { return a.unspent }

// Pressures returns what the services reached admit.
func (a Answer) Pressures() []Pressure { return a.pressures }

// InFlight returns the number of requests that the endpoint has open.
func (a Answer) InFlight() int { return a.inFlight }

// Truthful weakens a refusal that speaks only of this attempt: an earlier one with the same key may have run, unless
// the key's owner or the caller knows better.
func Truthful(r Request, a Answer) Answer {
	v := a.verdict
	if !r.mayHaveRunBefore() || !v.IsNotRun() || a.proven || v.Reason() == verd.ReasonKeyReused {
		return a
	}
	a.verdict = verd.MayHaveRun(v.Reason())
	return a
}
