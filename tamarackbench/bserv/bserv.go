package bserv

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"tamarackrudder.org/lib/back"
	"tamarackrudder.org/lib/front"
	"tamarackrudder.org/lib/verd"
)

// CrashMarker is a text that makes the server exit without an answer when it runs a request whose body contains it.
const CrashMarker = "crash-the-server"

const (
	headerDigest = "X-Request-Digest"
	// HeaderFailedCall is the header of a failed answer that carries the path of the downstream call that failed, and why.
	// Each server passes it up the chain unchanged.
	HeaderFailedCall = "X-Failed-Call"
	crashExitStatus  = 3
	workJitter       = 0.2
	coldPeriod       = 2 * time.Second
	coldFactor       = 3
	normalPercent    = 100
)

// Server is the stand-in for one backend server, an http.Handler.
type Server struct {
	plans       []Plan
	nodeAddr    string
	slots       chan struct{}
	cold        bool
	started     time.Time
	client      *http.Client
	workPercent atomic.Int64
	refusing    atomic.Bool
	workMicros  atomic.Int64
	mu          sync.Mutex
	runs        map[string]int
}

// New returns a server that runs as many requests at once as it has slots, and sends its downstream calls to the node at
// nodeAddr (IP:port). A cold server takes three times as long for the work of its first two seconds.
func New(plans []Plan, nodeAddr string, slots int, cold bool) *Server {
	transport := &http.Transport{MaxIdleConnsPerHost: slots * 2}
	s := &Server{
		plans: plans, nodeAddr: nodeAddr, slots: make(chan struct{}, slots), cold: cold, started: time.Now(),
		client: &http.Client{Transport: transport}, runs: map[string]int{},
	}
	s.workPercent.Store(normalPercent)
	return s
}

// Runs returns how often the server ran requests with each idempotency key, as a copy.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for key, n := range s.runs {
		runs[key] = n
	}
	return runs
}

// ServeHTTP serves the pages and switches under /test, and all other requests by the plans. /test/slow sets the work time
// in percent of the planned one, and /test/shed makes the server refuse all requests with the verdict not-run.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/test/slow":
		factor, _ := strconv.ParseInt(r.URL.Query().Get("percent"), 10, 64)
		s.workPercent.Store(max(1, factor))
	case "/test/shed":
		s.refusing.Store(r.URL.Query().Get("on") == "true")
	case "/test/runs":
		for key, n := range s.Runs() {
			_, _ = fmt.Fprintf(w, "%s %d\n", key, n)
		}
	case "/test/used":
		_, _ = fmt.Fprintf(w, "%d\n", s.workMicros.Load())
	default:
		s.serve(w, r)
	}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	i := slices.IndexFunc(s.plans, func(p Plan) bool { return p.Matches(r.Method, r.URL.Path) })
	if i < 0 {
		http.NotFound(w, r)
		return
	}
	if s.refusing.Load() || isPastDeadline(r) {
		writeNotRun(w)
		return
	}
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slots }()
	if isPastDeadline(r) {
		writeNotRun(w)
		return
	}
	s.run(w, r, s.plans[i], body)
}

func writeNotRun(w http.ResponseWriter) {
	w.Header().Set(back.HeaderVerdict, string(verd.KindNotRun))
	w.WriteHeader(http.StatusServiceUnavailable)
}

func isPastDeadline(r *http.Request) bool {
	ms, err := strconv.ParseInt(r.Header.Get(back.HeaderDeadline), 10, 64)
	return err == nil && time.Now().UnixMilli() > ms
}

// run waits for the work time of a plan, then makes its downstream calls and writes the answer. The caller holds a slot.
func (s *Server) run(w http.ResponseWriter, r *http.Request, p Plan, body []byte) {
	if bytes.Contains(body, []byte(CrashMarker)) {
		os.Exit(crashExitStatus)
	}
	if key := r.Header.Get(front.HeaderKey); key != "" {
		s.mu.Lock()
		s.runs[key]++
		s.mu.Unlock()
	}
	start, work := time.Now(), s.workTime(p)
	select {
	case <-time.After(work):
	case <-r.Context().Done():
	}
	s.workMicros.Add(min(work, time.Since(start)).Microseconds()) // the delay of a timer that fires late is not work
	if r.Context().Err() != nil {
		return
	}
	for i, step := range p.steps {
		if failure := s.callDownstream(r, step, i, body); failure != "" {
			w.Header().Set(HeaderFailedCall, failure)
			w.WriteHeader(http.StatusBadGateway)
			return
		}
	}
	digest := Digest(r.Method, r.URL.Path, body)
	w.Header().Set(headerDigest, digest)
	_, _ = io.WriteString(w, digest+"\n")
}

// Digest returns the checksum of a request that the server puts into the answer, by which the caller detects that it got
// the answer of another request.
func Digest(method, path string, body []byte) string {
	sum := sha256.Sum256(slices.Concat([]byte(method), []byte(path), body))
	return hex.EncodeToString(sum[:])
}

// workTime returns the work time of one request: the planned time, changed at random by up to 20% either way, and
// multiplied by the factors of the slow switch and of a cold start.
func (s *Server) workTime(p Plan) time.Duration {
	factor := float64(s.workPercent.Load()) / normalPercent * (1 - workJitter + 2*workJitter*rand.Float64())
	if s.cold && time.Since(s.started) < coldPeriod {
		factor *= coldFactor
	}
	return time.Duration(float64(p.work) * factor)
}

// callDownstream sends one downstream call through the local node. It returns the path of the call that failed and the
// reason, or an empty string if the call succeeded.
func (s *Server) callDownstream(r *http.Request, step Step, index int, body []byte) string {
	request, err := http.NewRequestWithContext(r.Context(), step.method, "http://"+s.nodeAddr+step.path, bytes.NewReader(body))
	if err != nil {
		return step.path + " unsendable"
	}
	request.Header.Set(back.HeaderContext, r.Header.Get(back.HeaderContext))
	if key := r.Header.Get(front.HeaderKey); key != "" {
		request.Header.Set(front.HeaderKey, downstreamKey(key, step, index))
		request.Header.Set(front.HeaderFresh, "true") // the request runs at most once, so the derived key is new
	}
	response, err := s.client.Do(request)
	if err != nil {
		return step.path + " noAnswer"
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		return step.path + " noAnswer"
	case response.Header.Get(HeaderFailedCall) != "":
		return response.Header.Get(HeaderFailedCall)
	case response.StatusCode != http.StatusOK:
		return step.path + " " + response.Header.Get(front.HeaderReason)
	case strings.TrimSpace(string(answer)) != Digest(step.method, step.path, body):
		return step.path + " wrongAnswer"
	}
	return ""
}

// downstreamKey derives the key of the downstream call at position index from the key of the request. The same request
// and step always give the same key, and its creation time is that of the request's key.
func downstreamKey(key string, step Step, index int) string {
	parent, err := uuid.Parse(key)
	if err != nil {
		return key + step.path
	}
	derived := uuid.NewSHA1(parent, []byte(step.method+step.path+strconv.Itoa(index)))
	copy(derived[:6], parent[:6])
	derived[6] = parent[6]&0xf0 | derived[6]&0x0f
	return derived.String()
}

// Serve listens at addr (IP:port) until the context is done, which is no error.
func (s *Server) Serve(ctx context.Context, addr string) error {
	server := &http.Server{Addr: addr, Handler: s, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.ListenAndServe(); ctx.Err() == nil {
		return fmt.Errorf("backend server: %w", err)
	}
	return nil
}
