package chain

import (
	"context"
	"slices"
	"sync"
	"time"

	"tamarackrudder.org/lib/call"
	"tamarackrudder.org/lib/retry"
)

// Open is one request that the local backend server is running.
type Open struct {
	token   string
	ctx     context.Context
	request call.Request
	ledger  *retry.Ledger

	mu           sync.Mutex
	openCalls    int
	waitingSince time.Time
	waited       time.Duration
	shed         bool
	backpressure []call.Backpressure
}

// Context returns the context of the request; it ends when the caller no longer waits for the answer.
func (o *Open) Context() context.Context { return o.ctx }

// Token returns the opaque token that the backend server copies into the downstream calls of the request.
func (o *Open) Token() string { return o.token }

// Request returns the request as it was opened.
func (o *Open) Request() call.Request { return o.request }

// Ledger returns the retry allowance that the downstream calls of the request share.
func (o *Open) Ledger() *retry.Ledger { return o.ledger }

// BeginCall records the start of a downstream call.
func (o *Open) BeginCall(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.openCalls == 0 {
		o.waitingSince = now
	}
	o.openCalls++
}

// EndCall records the end of a downstream call: whether it was refused for load, and the back-pressure signals that its
// answers carried.
func (o *Open) EndCall(now time.Time, shed bool, signals []call.Backpressure) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.openCalls--
	if o.openCalls == 0 {
		o.waited += now.Sub(o.waitingSince)
	}
	o.shed = o.shed || shed
	for _, s := range signals {
		if !slices.Contains(o.backpressure, s) {
			o.backpressure = append(o.backpressure, s)
		}
	}
}

// Shed reports whether a downstream call was refused for load.
func (o *Open) Shed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.shed
}

// Waited returns the time during which at least one downstream call was running, without the calls that still run.
func (o *Open) Waited() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.waited
}

// Backpressure returns the distinct back-pressure signals of the downstream services.
func (o *Open) Backpressure() []call.Backpressure {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.backpressure
}

// Table holds the open requests by token.
type Table struct {
	newToken func() string
	mu       sync.Mutex
	opens    map[string]*Open
}

// NewTable returns an empty table; newToken returns a new unique token.
func NewTable(newToken func() string) *Table {
	return &Table{newToken: newToken, opens: map[string]*Open{}}
}

// Open adds a request, with the retry allowance that it carries.
func (t *Table) Open(ctx context.Context, r call.Request) *Open {
	o := &Open{token: t.newToken(), ctx: ctx, request: r, ledger: retry.NewLedger(r.Allowance())}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.opens[o.token] = o
	return o
}

// Close removes a request that has ended.
func (t *Table) Close(o *Open) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.opens, o.token)
}

// Find returns the open request with the token, and false if none has it.
func (t *Table) Find(token string) (*Open, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o, ok := t.opens[token]
	return o, ok
}

// Len returns the number of open requests.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.opens)
}
