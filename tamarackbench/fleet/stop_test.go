package fleet_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"tamarackrudder.org/lib/front"
	"tamarackrudder.org/lib/verd"
	"tamarackrudder.org/tamarackbench/fleet"
)

// answerTimeout is longer than any request of these tests lasts.
const answerTimeout = 10 * time.Second

// callerConn is a connection to a node that a caller keeps open until the node closes it.
type callerConn struct {
	conn net.Conn
	in   *bufio.Reader
}

// result is what a caller got for one request: a complete answer, or the error that ended the connection.
type result struct {
	status  int
	verdict string
	err     error
}

func dialNode(t *testing.T, e *fleet.Endpoint) *callerConn {
	t.Helper()
	conn, err := net.Dial("tcp", e.HTTPAddr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(answerTimeout)); err != nil {
		t.Fatal(err)
	}
	return &callerConn{conn: conn, in: bufio.NewReader(conn)}
}

// get sends a request and returns once the answer is complete or the connection has ended.
func (c *callerConn) get(path string) result {
	if _, err := fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\nHost: node\r\n\r\n", path); err != nil {
		return result{err: err}
	}
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return result{err: err}
	}
	_, err = io.Copy(io.Discard, response.Body)
	return result{status: response.StatusCode, verdict: response.Header.Get(front.HeaderVerdict), err: err}
}

// start sends a request and returns the channel that receives its result.
func (c *callerConn) start(path string) <-chan result {
	results := make(chan result, 1)
	go func() { results <- c.get(path) }()
	return results
}

// stopping is a fleet in which a node gets a stop signal while its backend server runs a request that lasts for about
// 1.5 seconds.
type stopping struct {
	fleet   *fleet.Fleet
	node    *fleet.Endpoint
	kept    *callerConn
	running <-chan result
}

func newStopping(t *testing.T, stopTimeout string) *stopping {
	t.Helper()
	const slowness = 300
	f := startSmall(t, "--stop-timeout", stopTimeout)
	s := &stopping{fleet: f, node: f.EndpointsOf("shop")[0]}
	s.kept = dialNode(t, s.node)
	if r := s.kept.get("/items/1"); r.status != http.StatusOK {
		t.Fatalf("request before the stop: %+v", r)
	}
	for _, e := range f.EndpointsOf("ledger") {
		setSlow(t, e, slowness)
	}
	s.running = dialNode(t, s.node).start("/items/2")
	time.Sleep(100 * time.Millisecond)
	s.node.Node().Signal(syscall.SIGTERM)
	return s
}

// TestLateRequestAtAStopIsAnswered guards against a request that a stopping node takes late and then gives up.
func TestLateRequestAtAStopIsAnswered(t *testing.T) {
	is := is.New(t)
	s := newStopping(t, "2s")
	time.Sleep(time.Second)
	late := s.kept.get("/entries/2")
	is.NoErr(late.err)
	is.Equal(late.verdict, string(verd.KindNotRun))
	is.Equal((<-s.running).status, http.StatusOK)
}

// TestRequestAtWorkWhenTheStopTimeoutEndsIsAnswered guards against a node that ends without its last answers.
func TestRequestAtWorkWhenTheStopTimeoutEndsIsAnswered(t *testing.T) {
	is := is.New(t)
	s := newStopping(t, "1s")
	answer := <-s.running
	is.NoErr(answer.err)
	is.Equal(answer.verdict, string(verd.KindMayHaveRun))
	<-s.node.Node().Ended()
}

// TestRepeatedStopSignalCutsNothing guards against a node that ends at once when it gets a second stop signal.
func TestRepeatedStopSignalCutsNothing(t *testing.T) {
	tests := []struct {
		name   string
		signal syscall.Signal
	}{
		{"terminate", syscall.SIGTERM},
		{"interrupt", syscall.SIGINT},
		{"hang-up", syscall.SIGHUP},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newStopping(t, "5s")
			for range 3 {
				time.Sleep(200 * time.Millisecond)
				s.node.Node().Signal(test.signal)
			}
			answer := <-s.running
			is.NoErr(answer.err)
			is.Equal(answer.status, http.StatusOK)
		})
	}
}

// TestStopSignalDuringAFreezeCountsFromTheFreeze guards against late requests of a node that was frozen at its stop signal.
func TestStopSignalDuringAFreezeCountsFromTheFreeze(t *testing.T) {
	is := is.New(t)
	f := startSmall(t, "--stop-timeout", "3s", "--drain-delay", "1s")
	node := f.EndpointsOf("shop")[0]
	kept := dialNode(t, node)
	is.Equal(kept.get("/items/1").status, http.StatusOK)
	for _, e := range f.EndpointsOf("ledger") {
		setSlow(t, e, 200) // a request that is sent on lasts for about a second
	}
	node.Node().Signal(syscall.SIGSTOP)
	node.Node().Signal(syscall.SIGTERM)
	time.Sleep(1500 * time.Millisecond)
	node.Node().Signal(syscall.SIGCONT)
	time.Sleep(500 * time.Millisecond)
	sent := time.Now()
	late := kept.get("/entries/2")
	is.True(late.err != nil || late.verdict == string(verd.KindNotRun))
	is.True(time.Since(sent) < 500*time.Millisecond)
}

// TestNodeOutlivesTheReaderOfItsLog guards against a node that ends, with its requests, when nobody reads its log any more.
func TestNodeOutlivesTheReaderOfItsLog(t *testing.T) {
	is := is.New(t)
	reader, log, err := os.Pipe()
	is.NoErr(err)
	f, err := fleet.Start(t.Context(), fleet.Small(), fleet.NewOptions("full", log, launch).
		WithNodeFlags(slices.Concat(shortLease, []string{"--log-level", "info"})...))
	is.NoErr(err)
	t.Cleanup(f.Stop)
	is.NoErr(reader.Close())
	node := f.EndpointsOf("shop")[0]
	kept := dialNode(t, node)
	is.Equal(kept.get("/items/1").status, http.StatusOK)
	for range 3 {
		node.Node().Signal(syscall.SIGHUP) // it logs a line
		time.Sleep(50 * time.Millisecond)
	}
	is.Equal(kept.get("/items/2").status, http.StatusOK)
}
