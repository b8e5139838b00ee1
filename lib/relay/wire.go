package relay

import "time"

// FieldWire is the wire format of a header field.
type FieldWire struct {
	Name  string
	Value string
}

// RequestWire is the wire format of a request. Remaining is the time left until the deadline, so that the clocks of the two
// hosts need not agree. Suspect marks a request that may have crashed a backend server, Again is the retry fraction, Deeper
// marks a downstream call, Goal is the latency objective, and Caller is the service of the backend server beside the node
// that the request entered.
type RequestWire struct {
	ID            string
	Method        string
	Path          string
	Query         string
	EmptyQuery    bool
	Fields        []FieldWire
	Body          []byte
	Key           string
	Tenant        string // the organisation
	Service       string
	Class         string
	Priority      int
	NonIdempotent bool
	Remaining     time.Duration
	Allowance     int
	Suspect       bool
	Host          string
	Caller        string
	Goal          time.Duration
	Deeper        bool
	Again         float64
}

// LongWire is the wire format of a request with a long body, which follows the message in Length bytes. Length is at most what
// the peer has granted with a Grant before.
type LongWire struct {
	Request  RequestWire
	Length   int64
	segments [][]byte
	sent     bool      // all of it was written
	received time.Time // when it began to arrive
}

// GrantWire is the wire format of the reply to a request for memory for a long body.
type GrantWire struct {
	Granted bool
}

// PressureWire is the wire format of a back-pressure signal.
type PressureWire struct {
	Service string
	Class   string
	Admits  bool
	Busy    bool
}

// NeedWire is the wire format of the slot demand of a route at one service: Cost is the slot time of one request, Level
// the admit level of the service, Calls how often one request runs there, and Rejected the fraction of the requests sent to
// its backend servers that they reject.
type NeedWire struct {
	Service  string
	Cost     time.Duration
	Level    float64
	Calls    float64
	Rejected float64
}

// AnswerWire is the wire format of an answer. Kind and Reason are its verdict; Unspent is the unused part of the retry
// allowance, ComeBack the retry-after delay, and Needs the slot demand. Proven is set if the claims of the key's owner prove
// that no attempt has run, Shed if a downstream call was refused because of overload, Callers if the route is an entry route. Slow is
// the slowdown that the backend server reported, Takes how many concurrent requests the endpoint takes well, Pace how long one
// is expected to run, Fails the fraction of its last runs that failed.
type AnswerWire struct {
	Kind      string
	Reason    string
	Status    int
	Fields    []FieldWire
	Body      []byte
	Unspent   int
	Pressures []PressureWire
	InFlight  int
	Proven    bool
	Shed      bool
	Load      float64
	Slow      float64
	Takes     float64
	Pace      time.Duration
	Fails     float64
	ComeBack  time.Duration
	Needs     []NeedWire
	Callers   bool
}

// StampWire is the wire format of the stamp of a published value, by which nodes find the newer one.
type StampWire struct {
	Version  uint64
	Sequence uint64
}

// MemberWire is the wire format of an endpoint in a membership list; Addr is its rpc address.
type MemberWire struct {
	Addr    string
	Zone    string
	Leaving bool
}

// MembershipWire is the wire format of one version of a service's membership list.
type MembershipWire struct {
	Version uint64
	Members []MemberWire
}

// StandingWire is the wire format of a member status: whether an incarnation of an endpoint has released its keys.
type StandingWire struct {
	Addr        string
	Incarnation int64
	Released    bool
}

// StateWire is the wire format of an endpoint's lease state. If Compact is set, the lists, member statuses and refusals are
// left out, and Digest identifies them. Floor is the minimum list version in use; from version CompleteFrom on, History has
// all lists that were in use.
type StateWire struct {
	Addr         string
	Incarnation  int64
	Informed     bool
	Granting     bool
	Floor        uint64
	CompleteFrom uint64
	Service      string
	History      []MembershipWire
	Standings    []StandingWire
	Refused      []StandingWire
	Compact      bool
	Digest       uint64
}

// CrashWire is the wire format of a crash of the backend server at an endpoint; AtNano is Unix time in nanoseconds.
type CrashWire struct {
	Addr   string
	AtNano int64
}

// MarkWire is the wire format of the crash mark of a request fingerprint.
type MarkWire struct {
	Fingerprint uint64
	Crashes     []CrashWire
}

// BeatWire is the wire format of a heartbeat and of the reply to one. Lost is set if the sender follows the platform and cannot
// read it.
type BeatWire struct {
	From    string
	Leaving bool
	Lost    bool
	Rules   StampWire
	Hosts   StampWire
	State   StateWire
	Marks   []MarkWire
}

// ValueWire is the wire format of a published value, such as the rules; Version and Sequence are its stamp.
type ValueWire struct {
	Version  uint64
	Sequence uint64
	Text     []byte
}

// EndpointWire is the wire format of an endpoint of the list of hosts; times are Unix time in milliseconds, zero where they
// are not known.
type EndpointWire struct {
	Service    string
	Host       string
	Zone       string
	Addr       string
	Leaving    bool
	Instance   string
	Slots      int
	Started    int64
	WarmAt     int64
	Heartbeats int64
}

// DigestWire is the wire format of the digest of a list of hosts, with one hash for each range of addresses.
type DigestWire struct {
	Ranges []uint64
}

// DiffWire is the wire format of the difference between two lists of hosts: all endpoints that the newer one has in the
// ranges that differ. Version and Sequence are the stamp of the newer one.
type DiffWire struct {
	Version   uint64
	Sequence  uint64
	Ranges    []int
	Endpoints []EndpointWire
}

// ClaimWire is the wire format of the claim of an idempotency key; ExpiresNano is Unix time in nanoseconds.
type ClaimWire struct {
	Key         string
	Fingerprint uint64
	ExpiresNano int64
	Done        bool
	Answer      AnswerWire
}

// HandoverWire is the wire format of one part of a handover of claims; FenceNano is the key cutoff in nanoseconds of Unix
// time.
type HandoverWire struct {
	From        string
	Incarnation int64
	FenceNano   int64
	Claims      []ClaimWire
	Last        bool
}

// GiveBackWire is the wire format of an endpoint's request to reclaim the keys of its earlier incarnations. Kept is set
// if the endpoint still has their claims.
type GiveBackWire struct {
	From        string
	Incarnation int64
	Kept        bool
}

// ReturnWire is the wire format of the reply to a reclaim. Holds is set if the claims and the key cutoff stand in for those
// of the incarnation that lost the keys. FenceNano is the key cutoff in nanoseconds of Unix time; List is the version of the
// list in force, 0 if the endpoint has to ask again.
type ReturnWire struct {
	Holds     bool
	FenceNano int64
	List      uint64
	Claims    []ClaimWire
}

// Empty is the wire format of a message or a reply without content.
type Empty struct{}
