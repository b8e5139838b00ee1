package loads

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"tamarackrudder.org/lib/front"
	"tamarackrudder.org/lib/verd"
	"tamarackrudder.org/tamarackbench/bserv"
	"tamarackrudder.org/tamarackbench/fleet"
)

const (
	callerTimeout = 2 * time.Second
	resendDelay   = 100 * time.Millisecond
	maxIdleConns  = 4000
	maxInFlight   = 30_000
)

// Phase is a period in which callers send at a constant mean rate.
type Phase struct {
	length time.Duration
	rate   float64
}

// NewPhase returns a phase; the rate is in requests a second, and at zero nothing is sent.
func NewPhase(length time.Duration, rate float64) Phase { return Phase{length: length, rate: rate} }

// Callers sends the requests of a deployment's callers and collects their outcomes in one report.
type Callers struct {
	entries    []string
	kinds      []fleet.RequestKind
	workTimes  []time.Duration
	entryDelay time.Duration
	resends    int
	client     *http.Client
	permits    chan struct{}
	report     *Report
	inFlight   sync.WaitGroup
}

// NewCallers returns callers of a deployment. They send each request to a random one of the entries, which are IP
// addresses and ports of nodes, and send a failed request again up to resends times.
func NewCallers(entries []string, t fleet.Topology, resends int) *Callers {
	var workTimes []time.Duration
	for _, l := range t.RequestKinds() {
		workTimes = append(workTimes, t.TotalWork(l.Method(), l.Path()))
	}
	transport := &http.Transport{MaxIdleConns: maxIdleConns, MaxIdleConnsPerHost: maxIdleConns / max(1, len(entries))}
	return &Callers{
		entries: entries, kinds: t.RequestKinds(), workTimes: workTimes, entryDelay: t.EntryDelay(), resends: resends,
		client: &http.Client{Transport: transport}, permits: make(chan struct{}, maxInFlight), report: newReport(),
	}
}

// Run sends requests through all phases, at the times of a Poisson process, and returns the report once every request
// has ended. A done ctx stops the sending, but not before the phases are over.
func (c *Callers) Run(ctx context.Context, phases []Phase) *Report {
	c.report.start()
	next := time.Now()
	for _, p := range phases {
		end := next.Add(p.length)
		for p.rate > 0 && ctx.Err() == nil {
			next = next.Add(time.Duration(rand.ExpFloat64() / p.rate * float64(time.Second)))
			if next.After(end) {
				break
			}
			time.Sleep(time.Until(next))
			c.launch(ctx)
		}
		next = end
		time.Sleep(time.Until(end))
	}
	c.inFlight.Wait()
	return c.report
}

// launch sends one request in the background. With maxInFlight requests under way it sends none and counts the request
// as unsent.
func (c *Callers) launch(ctx context.Context) {
	select {
	case c.permits <- struct{}{}:
	default:
		c.report.recordUnsent()
		return
	}
	kind, work := c.drawKind()
	c.inFlight.Go(func() {
		defer func() { <-c.permits }()
		c.sendWithRetries(ctx, kind, work)
	})
}

// drawKind chooses a kind of request at random by the fractions of the mix, and returns the kind and its total work.
func (c *Callers) drawKind() (fleet.RequestKind, time.Duration) {
	at := rand.Float64()
	last := len(c.kinds) - 1
	for i, l := range c.kinds {
		if at < l.Fraction() || i == last {
			return l, c.workTimes[i]
		}
		at -= l.Fraction()
	}
	return c.kinds[last], c.workTimes[last]
}

// sendWithRetries sends one request, and sends it again where it failed, until its retries or callerTimeout are used up.
func (c *Callers) sendWithRetries(ctx context.Context, kind fleet.RequestKind, work time.Duration) {
	arrived := time.Now()
	ctx, cancel := context.WithDeadline(ctx, arrived.Add(callerTimeout))
	defer cancel()
	key := uuid.Must(uuid.NewV7()).String()
	path, body := kind.Path(), ""
	if kind.Method() == http.MethodGet {
		path += strconv.Itoa(rand.IntN(1_000_000))
	} else {
		body = "amount for " + key
	}
	outcome := Outcome{class: kind.Class(), key: key, method: kind.Method(), path: path, work: work}
	for attempt := 0; ; attempt++ {
		began := time.Now()
		c.sendOnce(ctx, &outcome, path, body, time.Until(arrived.Add(callerTimeout)))
		outcome.attempts++
		if c.report.keepOutcomes {
			outcome.history = append(outcome.history, Attempt{began: began, ended: time.Now(), verdict: outcome.verdict})
		}
		if outcome.succeeded || outcome.wrongDigest || attempt >= c.resends || !sleepOrDone(ctx, resendDelay) {
			break
		}
	}
	outcome.took = time.Since(arrived)
	c.report.record(outcome)
}

// sleepOrDone waits for d and returns false if ctx is done before.
func sleepOrDone(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// sendOnce sends one attempt and records its answer in o. It waits for the entry delay before the request and after the
// answer, as the network between callers and nodes would.
func (c *Callers) sendOnce(ctx context.Context, o *Outcome, path, body string, left time.Duration) {
	target := "http://" + c.entries[rand.IntN(len(c.entries))] + path
	request, err := http.NewRequestWithContext(ctx, o.method, target, strings.NewReader(body))
	if err != nil {
		return
	}
	if o.method != http.MethodGet {
		request.Header.Set(front.HeaderKey, o.key)
		request.Header.Set(front.HeaderFresh, strconv.FormatBool(!o.mayHaveRun))
	}
	request.Header.Set(front.HeaderTimeout, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	request.Header.Set(front.HeaderOrganisation, o.class+"Callers")
	time.Sleep(c.entryDelay)
	response, err := c.client.Do(request)
	if err != nil {
		o.verdict, o.reason, o.mayHaveRun = "", "noAnswer", true
		return
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		o.verdict, o.reason, o.mayHaveRun = "", "noAnswer", true
		return
	}
	time.Sleep(c.entryDelay)
	o.recordResponse(response, string(text), path, body)
}

// recordResponse sets the outcome from an answer that was read to its end.
func (o *Outcome) recordResponse(response *http.Response, text, path, body string) {
	o.verdict, o.reason = response.Header.Get(front.HeaderVerdict), response.Header.Get(front.HeaderReason)
	if o.verdict != string(verd.KindNotRun) {
		o.mayHaveRun = true
	}
	if o.verdict != string(verd.KindRan) {
		return
	}
	if response.StatusCode != http.StatusOK {
		o.reason = "deeperFailed " + response.Header.Get(bserv.HeaderFailedCall)
		return
	}
	o.succeeded = strings.TrimSpace(text) == bserv.Digest(o.method, path, []byte(body))
	o.wrongDigest = !o.succeeded
}
