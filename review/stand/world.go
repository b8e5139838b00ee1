package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of a host, as distances from the first port of the run.
const (
	portApp = iota
	portInbound
	portOutbound
	portReady
	portStore
	portRange
	portCount = portRange + 4
)

// route is one route of the configuration.
type route struct {
	prefix      string
	kind        string // safe or unsafe
	service     string
	timeoutMS   int
	targetMS    int
	maxAttempts int
}

const hostname = "hulo84.example"

// host is one sidecar machine.
type host struct {
	world    *world
	index    int
	ip       string
	zone     string
	name     string
	endpoint *endpoint
	node     *exec.Cmd
	ended    chan struct{}
}

func (h *host) addr(port int) string {
	return net.JoinHostPort(h.ip, strconv.Itoa(h.world.firstPort+port))
}

// arrival is one request as an endpoint has received it.
type arrival struct {
	id       string
	endpoint *endpoint
	at       time.Time
	ran      time.Time // zero if it was rejected
	outcome  string
	method   string
	target   string
	host     string // as the endpoint reads it
	bodySum  uint32
	caller   string
}

// world is one run: hosts with their nodes and endpoints, the store, and all that was seen.
type world struct {
	start     time.Time
	folder    string
	program   string
	root      string
	firstPort int
	store     *store
	hosts     []*host
	memoryMB  int

	mu       sync.Mutex
	lines    []string
	arrivals []*arrival
	answers  []*answer
	sent     int
}

func newWorld(hostCount int, zones []string) (*world, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	root, err := filepath.Abs("../..")
	if err != nil {
		return nil, err
	}
	if dir := os.Getenv("ROOT"); dir != "" {
		root = dir
	}
	w := &world{
		start: time.Now(), folder: folder, root: root, program: filepath.Join(root, "target", "tamarackd"), store: newStore(), memoryMB: 284,
	}
	network, subnet := 16+rand.IntN(200), 1+rand.IntN(250)
	for i := range hostCount {
		zone := zones[i%len(zones)]
		w.hosts = append(w.hosts, &host{
			world: w, index: i, ip: fmt.Sprintf("127.%d.%d.%d", network, subnet, i+1), zone: zone, name: fmt.Sprintf("sidecar-%s-%d", zone, i+1),
		})
	}
	if err := w.findPorts(); err != nil {
		return nil, err
	}
	for _, h := range w.hosts {
		if err := w.store.listen(h.name, h.addr(portStore)); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// findPorts finds a range of ports that is free on all hosts.
func (w *world) findPorts() error {
	for range 50 {
		w.firstPort = 12_000 + rand.IntN(1500)*portCount
		if w.areFree() {
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

func (w *world) areFree() bool {
	for _, h := range w.hosts {
		for port := range portCount {
			listener, err := net.Listen("tcp", h.addr(port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// record adds a line to record.txt.
func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines = append(w.lines, fmt.Sprintf("%8.3f  ", time.Since(w.start).Seconds())+fmt.Sprintf(format, args...))
}

func (w *world) arrived(a *arrival) {
	w.mu.Lock()
	w.arrivals = append(w.arrivals, a)
	w.mu.Unlock()
	w.record("endpoint %s (%s on %s): %s arrived at %.3f, %s", a.endpoint.id, a.endpoint.service, a.endpoint.host.name, a.id,
		a.at.Sub(w.start).Seconds(), a.outcome)
}

// save writes record.txt.
func (w *world) save(path string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(w.lines, "\n")+"\n"), 0o644)
}

// writeConfig writes a version of the configuration and returns when the store has acknowledged it.
func (w *world) writeConfig(version int, services []string, routes []route) time.Time {
	var rows, serviceRows [][]any
	for i, r := range routes {
		rows = append(rows, []any{"r-" + strconv.Itoa(i), hostname, r.prefix, r.kind, r.timeoutMS, r.targetMS, i, nil, r.maxAttempts, r.service})
	}
	for _, s := range services {
		serviceRows = append(serviceRows, []any{s, "/health", 328, "h1", false})
	}
	text, _ := json.Marshal(map[string]any{
		"version": "r" + strconv.Itoa(version),
		"routes": map[string]any{"columns": []string{
			"name", "hostname", "prefix", "route_type", "timeout_ms", "target_latency_ms", "priority", "traffic_split", "max_attempts", "service",
		}, "rows": rows},
		"services": map[string]any{"columns": []string{"name", "health_path", "max_connections", "protocol", "tls"}, "rows": serviceRows},
		"limits": map[string]int{
			"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	})
	return w.store.put(names.ConfigKey, text)
}

func (h *host) settings(service string) string {
	port := func(p int) string { return h.addr(p) }
	return fmt.Sprintf(settingsFormat, h.name, h.ip, h.zone, port(portInbound), port(portOutbound), port(portReady), h.world.firstPort+portRange,
		h.world.firstPort+portCount-1, h.world.memoryMB, port(portApp), service, port(portStore))
}

// startNode starts the node of the deploy file.
func (h *host) startNode(service string) error {
	file := filepath.Join(h.world.folder, h.name+".yaml")
	if err := os.WriteFile(file, []byte(h.settings(service)), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(h.world.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(h.world.program, "platform")
	cmd.Dir = h.world.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), names.SettingsVariable + "=" + file}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.node, h.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	h.world.record("node %s started, pid %d", h.name, cmd.Process.Pid)
	return nil
}

func (h *host) kill() {
	if h.node == nil {
		return
	}
	_ = h.node.Process.Kill()
	<-h.ended
}

// scaleIn takes endpoints away as planned, with their machines: they report draining, serve for drain_ms and a little longer, remove
// their entries and exit; then their nodes are told to stop.
func (w *world) scaleIn(hosts []*host) {
	for _, h := range hosts {
		w.store.put(h.endpoint.key(), h.endpoint.entry("draining"))
		w.record("endpoint %s on %s reports draining", h.endpoint.id, h.name)
	}
	time.Sleep(drainTime + 500*time.Millisecond)
	for _, h := range hosts {
		w.store.remove(h.endpoint.key())
		h.endpoint.exit()
		_ = h.node.Process.Signal(syscall.SIGTERM)
	}
	for _, h := range hosts {
		select {
		case <-h.ended:
		case <-time.After(6 * time.Second): // grace_s
			h.kill()
		}
		w.record("%s is gone", h.name)
	}
}

// residentMB returns the resident memory of the node without pages of files, such as its program.
func (h *host) residentMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.node.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.addr(portReady) + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// open starts an endpoint of a service with so many slots and a node on each host, and waits until all nodes are ready and have been
// so for a while.
func (w *world) open(services []string, slots []int) error {
	for i, h := range w.hosts {
		e, err := w.startEndpoint(h, services[i], slots[i])
		if err != nil {
			return err
		}
		w.store.put(e.key(), e.entry("ready"))
		if err := h.startNode(services[i]); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, h := range w.hosts {
		for !h.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(4 * time.Second) // contact_ms, and the watchers settle
	w.record("all nodes are ready")
	return nil
}

// close ends all processes and removes the folder.
func (w *world) close() {
	for _, h := range w.hosts {
		h.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	}
}

// answer is what became of a request of a client.
type answer struct {
	id     string
	host   *host
	method string
	target string
	kept   bool // it was sent on a connection that had brought an answer before
	unsafe bool
	sent   time.Time
	ended  time.Time
	status int // 0 if no complete answer came
	stamp  string
	text   string
	err    error
}

func sum(b []byte) uint32 { return crc32.ChecksumIEEE(b) }

// client holds connections of a host's clients to their node.
type client struct {
	host *host
	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	net.Conn
	in   *bufio.Reader
	kept bool
}

func (c *client) take() (*clientConn, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return conn, nil
	}
	c.mu.Unlock()
	raw, err := net.DialTimeout("tcp", c.host.addr(portOutbound), time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: raw, in: bufio.NewReader(raw)}, nil
}

// send sends one request with a path of its own and returns what became of it.
func (c *client) send(r route, work, limit time.Duration, body []byte) *answer {
	return c.sendTo(r, "", work, limit, body)
}

// sendTo sends one request for a path below the route's prefix, one of its own if that is empty.
func (c *client) sendTo(r route, path string, work, limit time.Duration, body []byte) *answer {
	w := c.host.world
	w.mu.Lock()
	w.sent++
	a := &answer{id: fmt.Sprintf("%08x%04x", time.Now().UnixMicro()&0xffffffff, w.sent&0xffff), host: c.host, unsafe: r.kind == "unsafe"}
	w.mu.Unlock()
	if path == "" {
		path = "x/" + a.id
	}
	conn, err := c.take()
	if err != nil {
		a.sent, a.ended, a.err = time.Now(), time.Now(), err
		return w.answered(a)
	}
	method := "GET"
	if a.unsafe || len(body) > 0 {
		method = "POST"
	}
	head := fmt.Sprintf("%s %s%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nX-Work-Ms: %d\r\n", method, r.prefix, path, hostname,
		names.Attempt, a.id, names.Deadline, limit.Milliseconds(), work.Milliseconds())
	if method == "POST" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	a.method, a.target, a.kept, a.sent = method, r.prefix+path, conn.kept, time.Now()
	_ = conn.SetDeadline(a.sent.Add(limit))
	if len(body) == 0 {
		w.record("client at %s sends %s %s%s as %s", c.host.name, method, r.prefix, path, a.id)
	} else {
		w.record("client at %s sends %s %s%s as %s with %d bytes", c.host.name, method, r.prefix, path, a.id, len(body))
	}
	_, err = io.WriteString(conn, head+"\r\n")
	if err == nil && len(body) > 0 {
		_, err = conn.Write(body)
	}
	var response *http.Response
	if err == nil {
		response, err = http.ReadResponse(conn.in, nil)
	}
	var text []byte
	if err == nil {
		text, err = io.ReadAll(response.Body)
	}
	a.ended, a.err = time.Now(), err
	if err != nil {
		_ = conn.Close()
		return w.answered(a)
	}
	a.status, a.stamp, a.text = response.StatusCode, response.Header.Get(names.Stamp), string(text)
	if response.Close {
		_ = conn.Close()
		return w.answered(a)
	}
	conn.kept = true
	c.mu.Lock()
	c.idle = append(c.idle, conn)
	c.mu.Unlock()
	return w.answered(a)
}

func (w *world) answered(a *answer) *answer {
	w.mu.Lock()
	w.answers = append(w.answers, a)
	w.mu.Unlock()
	switch {
	case a.err != nil:
		w.record("client at %s gets no answer to %s: %v", a.host.name, a.id, a.err)
	case a.stamp != "":
		w.record("client at %s gets %d of an endpoint to %s", a.host.name, a.status, a.id)
	default:
		w.record("client at %s gets %d of the node to %s: %s", a.host.name, a.status, a.id, strings.TrimSpace(a.text))
	}
	return a
}

// steady sends requests of a route from all given hosts at a rate for a time, and waits for their answers.
func (w *world) steady(hosts []*host, r route, perSecond int, work, limit, length time.Duration, body []byte) {
	var all sync.WaitGroup
	clients := map[*host]*client{}
	for _, h := range hosts {
		clients[h] = &client{host: h}
	}
	end := time.Now().Add(length)
	for i := 0; time.Now().Before(end); i++ {
		c := clients[hosts[i%len(hosts)]]
		all.Go(func() { c.send(r, work, limit, body) })
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	all.Wait()
}

// byID returns the arrivals of each request, in order.
func (w *world) byID() map[string][]*arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	found := map[string][]*arrival{}
	for _, a := range w.arrivals {
		found[a.id] = append(found[a.id], a)
	}
	for _, list := range found {
		slices.SortFunc(list, func(a, b *arrival) int { return a.at.Compare(b.at) })
	}
	return found
}
