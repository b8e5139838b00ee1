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
	resendPause   = 100 * time.Millisecond
	maxIdle       = 4000
	maxOpen       = 30_000
)

// Phase is a stretch of time at one rate.
type Phase struct {
	length time.Duration
	rate   float64
}

// NewPhase returns a phase; the rate is in requests a second.
func NewPhase(length time.Duration, rate float64) Phase { return Phase{length: length, rate: rate} }

// Callers sends requests.
type Callers struct {
	entries []string
	loads   []fleet.RequestKind
	works   []time.Duration
	delay   time.Duration
	resends int
	client  *http.Client
	open    chan struct{}
	report  *Report
	sent    sync.WaitGroup
}

// NewCallers returns callers of a deployment that send to the entries, and resend a failed request so often.
func NewCallers(entries []string, t fleet.Topology, resends int) *Callers {
	var works []time.Duration
	for _, l := range t.RequestKinds() {
		works = append(works, t.TotalWork(l.Method(), l.Path()))
	}
	transport := &http.Transport{MaxIdleConns: maxIdle, MaxIdleConnsPerHost: maxIdle / max(1, len(entries))}
	return &Callers{
		entries: entries, loads: t.RequestKinds(), works: works, delay: t.EntryDelay(), resends: resends,
		client: &http.Client{Transport: transport}, open: make(chan struct{}, maxOpen), report: newReport(),
	}
}

// Run sends the phases one after another at random times and waits for all answers.
func (c *Callers) Run(ctx context.Context, phases []Phase) *Report {
	c.report.begin()
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
	c.sent.Wait()
	return c.report
}

// launch starts one caller unless the machine holds too many already, which the report tells.
func (c *Callers) launch(ctx context.Context) {
	select {
	case c.open <- struct{}{}:
	default:
		c.report.unsent()
		return
	}
	kind, work := c.draw()
	c.sent.Go(func() {
		defer func() { <-c.open }()
		c.call(ctx, kind, work)
	})
}

func (c *Callers) draw() (fleet.RequestKind, time.Duration) {
	at := rand.Float64()
	last := len(c.loads) - 1
	for i, l := range c.loads {
		if at < l.Fraction() || i == last {
			return l, c.works[i]
		}
		at -= l.Fraction()
	}
	return c.loads[last], c.works[last]
}

// call sends one request, and sends it again where it failed, until the caller's patience ends.
func (c *Callers) call(ctx context.Context, kind fleet.RequestKind, work time.Duration) {
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
		c.send(ctx, &outcome, path, body, time.Until(arrived.Add(callerTimeout)))
		outcome.attempts++
		if c.report.keep {
			outcome.history = append(outcome.history, Attempt{began: began, ended: time.Now(), verdict: outcome.verdict})
		}
		if outcome.whole || outcome.wrong || attempt >= c.resends || !sleep(ctx, resendPause) {
			break
		}
	}
	outcome.took = time.Since(arrived)
	c.report.add(outcome)
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (c *Callers) send(ctx context.Context, o *Outcome, path, body string, left time.Duration) {
	target := "http://" + c.entries[rand.IntN(len(c.entries))] + path
	request, err := http.NewRequestWithContext(ctx, o.method, target, strings.NewReader(body))
	if err != nil {
		return
	}
	if o.method != http.MethodGet {
		request.Header.Set(front.HeaderKey, o.key)
		request.Header.Set(front.HeaderFresh, strconv.FormatBool(!o.maybe))
	}
	request.Header.Set(front.HeaderTimeout, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	request.Header.Set(front.HeaderTenant, o.class+"Callers")
	time.Sleep(c.delay)
	response, err := c.client.Do(request)
	if err != nil {
		o.verdict, o.reason, o.maybe = "", "noAnswer", true
		return
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		o.verdict, o.reason, o.maybe = "", "noAnswer", true
		return
	}
	time.Sleep(c.delay)
	o.take(response, string(text), path, body)
}

func (o *Outcome) take(response *http.Response, text, path, body string) {
	o.verdict, o.reason = response.Header.Get(front.HeaderVerdict), response.Header.Get(front.HeaderReason)
	if o.verdict != string(verd.KindNotRun) {
		o.maybe = true
	}
	if o.verdict != string(verd.KindRan) {
		return
	}
	if response.StatusCode != http.StatusOK {
		o.reason = "deeperFailed " + response.Header.Get(bserv.HeaderFailed)
		return
	}
	o.whole = strings.TrimSpace(text) == bserv.Digest(o.method, path, []byte(body))
	o.wrong = !o.whole
}
