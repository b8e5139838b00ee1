package fleet

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"tamarackrudder.org/tamarackbench/bserv"
)

// Service describes one service of a deployment.
type Service struct {
	name      string
	endpoints int
	slots     int
	plans     []string
}

// Name returns the name of the service in the rules.
func (s Service) Name() string { return s.name }

// Endpoints returns the number of endpoints that the service starts with.
func (s Service) Endpoints() int { return s.endpoints }

// Slots returns the number of requests that one backend server of the service runs at once.
func (s Service) Slots() int { return s.slots }

// RequestKind is one kind of request that callers send.
type RequestKind struct {
	class    string
	method   string
	path     string
	fraction float64
}

// Class returns the priority class that the rules give to these requests.
func (l RequestKind) Class() string { return l.class }

// Method returns the HTTP method. All methods but GET send an idempotency key.
func (l RequestKind) Method() string { return l.method }

// Path returns the path. For a GET it ends with a slash, and callers append a random last segment.
func (l RequestKind) Path() string { return l.path }

// Fraction returns the fraction of all requests that are of this kind, 0 to 1.
func (l RequestKind) Fraction() float64 { return l.fraction }

// Topology describes one deployment: its services, its rules and the requests of its callers.
type Topology struct {
	name         string
	zones        []string
	zoneDelay    time.Duration
	entryDelay   time.Duration
	services     []Service
	rules        string
	requestKinds []RequestKind
	capacity     float64
}

// Name returns the name of the deployment in flags and reports.
func (t Topology) Name() string { return t.name }

// Services returns the services in the order in which they are started; not to be changed.
func (t Topology) Services() []Service { return t.services }

// RequestKinds returns the mix of requests that callers send; its fractions add up to 1.
func (t Topology) RequestKinds() []RequestKind { return t.requestKinds }

// Capacity returns how many requests of the mix, in requests a second, the slots of the bottleneck service allow.
func (t Topology) Capacity() float64 { return t.capacity }

// TotalWork returns the work of a request and all its downstream calls, without any waiting. It is zero where no plan
// matches the request.
func (t Topology) TotalWork(method, path string) time.Duration {
	for _, s := range t.services {
		for _, text := range s.plans {
			p, err := bserv.ParsePlan(text)
			if err != nil || !p.Matches(method, path) {
				continue
			}
			work := p.Work()
			for _, step := range p.Steps() {
				work += t.TotalWork(step.Method(), step.Path())
			}
			return work
		}
	}
	return 0
}

// Bottleneck returns the name of the service with the least capacity: the last of the list, which every chain of calls
// reaches.
func (t Topology) Bottleneck() string { return t.services[len(t.services)-1].name }

// EntryDelay returns the one-way network delay between callers and nodes.
func (t Topology) EntryDelay() time.Duration { return t.entryDelay }

// isKeyed reports whether any route needs an idempotency key, so that nodes hold leases.
func (t Topology) isKeyed() bool {
	return slices.ContainsFunc(strings.Fields(t.rules), func(word string) bool { return word == "kind=nonIdempotent" })
}

// Rules returns the text of the rules file with the given version number.
func (t Topology) Rules(version int) string {
	return "version " + strconv.Itoa(version) + "\n" + t.rules
}

const smallRules = `
class lookup priority=10 # asked by: test
class deed priority=100 # asked by: test
service shop slots=20 conns=100 queue=32 # asked by: test
service ledger slots=20 conns=100 queue=32 # asked by: test
route GET /items/{id} service=shop kind=idempotent class=lookup timeout=2s retries=1 # asked by: test
route GET /entries/{id} service=ledger kind=idempotent class=lookup timeout=2s retries=1 # asked by: test
route POST /orders service=shop kind=nonIdempotent class=deed timeout=2s retries=1 # asked by: test
route POST /entries service=ledger kind=nonIdempotent class=deed timeout=2s retries=1 # asked by: test
`

// Small returns a deployment of two services for tests.
func Small() Topology {
	return Topology{
		name: "small", zones: []string{"a", "b", "c"}, rules: smallRules, capacity: 1000,
		services: []Service{
			{name: "shop", endpoints: 3, slots: 20, plans: []string{
				"GET /items 5ms GET:/entries/1", "POST /orders 5ms POST:/entries",
			}},
			{name: "ledger", endpoints: 3, slots: 20, plans: []string{"GET /entries 5ms", "POST /entries 5ms"}},
		},
		requestKinds: []RequestKind{
			{class: "lookup", method: "GET", path: "/items/", fraction: 0.4},
			{class: "deed", method: "POST", path: "/orders", fraction: 0.4},
			{class: "deed", method: "POST", path: "/entries", fraction: 0.2},
		},
	}
}

const ateliersRules = `
class browse priority=10 # asked by: weavers' council
class deed priority=100 # asked by: buyers' desk
service motifBook slots=160 conns=1100 queue=64 # asked by: motif book team
service advances slots=160 conns=1100 queue=64 # asked by: ledger team
service consignments slots=160 conns=1100 queue=64 # asked by: reed yard
service payroll slots=20 conns=230 queue=16 # asked by: payroll team
route GET /motifs/{id} service=motifBook kind=idempotent class=browse timeout=2s retries=1 # asked by: weavers' council
route GET /stock/{id} service=consignments kind=idempotent class=browse timeout=2s retries=1 # asked by: reed yard
route GET /balances/{id} service=advances kind=idempotent class=browse timeout=2s retries=1 # asked by: ledger team
route GET /payslips/{id} service=payroll kind=idempotent class=browse timeout=2s retries=1 # asked by: payroll team
route POST /bookings service=consignments kind=nonIdempotent class=deed timeout=2s retries=1 # asked by: reed yard
route POST /advances service=advances kind=nonIdempotent class=deed timeout=2s retries=1 # asked by: buyers' desk
route POST /wages service=payroll kind=nonIdempotent class=deed timeout=2s retries=1 # asked by: payroll team
route POST /entries service=advances kind=nonIdempotent class=deed timeout=2s retries=1 # asked by: ledger team
organisation weavers # asked by: weavers' council
organisation buyers # asked by: buyers' desk
`

// Ateliers returns the deployment of the weavers' order mesh at its present size.
func Ateliers() Topology {
	return Topology{
		name: "ateliers", zones: []string{"north", "river", "market"},
		zoneDelay: 1500 * time.Microsecond, entryDelay: time.Millisecond,
		rules: ateliersRules, capacity: 300,
		services: []Service{
			{name: "motifBook", endpoints: 3, slots: 160, plans: []string{"GET /motifs 20ms GET:/stock/1"}},
			{name: "advances", endpoints: 3, slots: 160, plans: []string{
				"GET /balances 20ms GET:/payslips/1", "POST /advances 20ms POST:/wages", "POST /entries 10ms",
			}},
			{name: "consignments", endpoints: 3, slots: 160, plans: []string{
				"GET /stock 20ms GET:/balances/1", "POST /bookings 20ms POST:/advances",
			}},
			{name: "payroll", endpoints: 3, slots: 20, plans: []string{
				"GET /payslips 200ms", "POST /wages 190ms POST:/entries",
			}},
		},
		requestKinds: []RequestKind{
			{class: "browse", method: "GET", path: "/motifs/", fraction: 0.6},
			{class: "deed", method: "POST", path: "/bookings", fraction: 0.2},
			{class: "deed", method: "POST", path: "/advances", fraction: 0.1},
			{class: "deed", method: "POST", path: "/wages", fraction: 0.1},
		},
	}
}

const directorateRules = `
class lookup priority=10 # asked by: residents' desk
class deed priority=100 # asked by: depot clerks
service statusDesk slots=35 conns=300 queue=32 # asked by: residents' desk
service booking slots=45 conns=360 queue=32 # asked by: depot clerks
service workshopLedger slots=45 conns=360 queue=32 # asked by: partner workshops
service feeCashier slots=15 conns=200 queue=16 # asked by: cashiers
route GET /status/{id} service=statusDesk kind=idempotent class=lookup timeout=2s retries=1 # asked by: residents' desk
route GET /visits/{id} service=booking kind=idempotent class=lookup timeout=2s retries=1 # asked by: depot clerks
route GET /elements/{id} service=workshopLedger kind=idempotent class=lookup timeout=2s retries=1 # asked by: partner workshops
route GET /fees/{id} service=feeCashier kind=idempotent class=lookup timeout=2s retries=1 # asked by: cashiers
route POST /visits service=booking kind=nonIdempotent class=deed timeout=2s retries=1 # asked by: depot clerks
route POST /swaps service=workshopLedger kind=nonIdempotent class=deed timeout=2s retries=1 # asked by: partner workshops
route POST /fees service=feeCashier kind=nonIdempotent class=deed timeout=2s retries=1 # asked by: cashiers
route POST /requests service=statusDesk kind=nonIdempotent class=deed timeout=2s retries=1 # asked by: residents' desk
organisation residents # asked by: residents' desk
organisation depots # asked by: depot clerks
`

// Directorate returns the deployment of the repair services at its present size.
func Directorate() Topology {
	return Topology{
		name: "directorate", zones: []string{"east", "west", "port"},
		zoneDelay: 500 * time.Microsecond, entryDelay: 3 * time.Millisecond,
		rules: directorateRules, capacity: 300,
		services: []Service{
			{name: "statusDesk", endpoints: 4, slots: 35, plans: []string{
				"GET /status 10ms GET:/visits/1", "POST /requests 10ms POST:/visits",
			}},
			{name: "booking", endpoints: 3, slots: 45, plans: []string{
				"GET /visits 10ms GET:/elements/1", "POST /visits 10ms POST:/swaps",
			}},
			{name: "workshopLedger", endpoints: 3, slots: 45, plans: []string{
				"GET /elements 10ms GET:/fees/1", "POST /swaps 10ms POST:/fees",
			}},
			{name: "feeCashier", endpoints: 3, slots: 15, plans: []string{"GET /fees 150ms", "POST /fees 150ms"}},
		},
		requestKinds: []RequestKind{
			{class: "lookup", method: "GET", path: "/status/", fraction: 0.6},
			{class: "deed", method: "POST", path: "/requests", fraction: 0.1},
			{class: "deed", method: "POST", path: "/visits", fraction: 0.1},
			{class: "deed", method: "POST", path: "/swaps", fraction: 0.1},
			{class: "deed", method: "POST", path: "/fees", fraction: 0.1},
		},
	}
}

// Idle returns a deployment of equal services without a mix of requests, to measure what control costs the nodes.
func Idle(services, endpoints int) Topology {
	t := Topology{name: "idle", zones: []string{"a", "b", "c", "d", "e"}, capacity: 1}
	rules := "class lookup priority=10 # asked by: bench\n"
	for i := range services {
		name := "s" + strconv.Itoa(i)
		path := "/work" + strconv.Itoa(i)
		rules += "service " + name + " slots=100 conns=300 queue=100 # asked by: bench\n"
		rules += "route GET " + path + " service=" + name + " kind=idempotent class=lookup # asked by: bench\n"
		t.services = append(t.services, Service{name: name, endpoints: endpoints, slots: 100, plans: []string{"GET " + path + " 0s"}})
	}
	t.rules = rules
	return t
}
