package fleet

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"tamarackrudder.org/lib/hosts"
	"tamarackrudder.org/lib/opsapi"
	"tamarackrudder.org/lib/plat"
)

// Endpoint is one backend server with its node, each a process of its own.
type Endpoint struct {
	service     Service
	host        string
	zone        string
	httpAddr    string
	rpcAddr     string
	opsAddr     string
	backendAddr string
	node        *Process
	server      *Process
	leaving     bool
}

// Service returns the name of the service that the endpoint belongs to.
func (e *Endpoint) Service() string { return e.service.name }

// Zone returns the name of the availability zone that the endpoint is assigned to.
func (e *Endpoint) Zone() string { return e.zone }

// HTTPAddr returns the IP address and port at which the node serves callers.
func (e *Endpoint) HTTPAddr() string { return e.httpAddr }

// RPCAddr returns the IP address and port at which the node serves its peers.
func (e *Endpoint) RPCAddr() string { return e.rpcAddr }

// OpsAddr returns the IP address and port of the node's operators' interface.
func (e *Endpoint) OpsAddr() string { return e.opsAddr }

// BackendAddr returns the IP address and port of the backend server.
func (e *Endpoint) BackendAddr() string { return e.backendAddr }

// Node returns the process of the node last started, nil before the first start.
func (e *Endpoint) Node() *Process { return e.node }

// Server returns the process of the backend server last started, nil before the first start.
func (e *Endpoint) Server() *Process { return e.server }

// Options are the settings that may differ between two runs of one topology.
type Options struct {
	control   string
	log       io.Writer
	launch    Launcher
	nodeFlags []string
}

// NewOptions returns options with a control mode of the nodes (none, static, local or full); log receives the standard
// output and standard error of all processes.
func NewOptions(control string, log io.Writer, launch Launcher) Options {
	return Options{control: control, log: log, launch: launch}
}

// WithNodeFlags returns the options with flags that are appended to the command line of every node.
func (o Options) WithNodeFlags(flags ...string) Options { o.nodeFlags = flags; return o }

// Fleet is a running deployment.
type Fleet struct {
	topology        Topology
	options         Options
	platformAddr    string
	platformProcess *Process
	endpoints       []*Endpoint
	version         int
}

const (
	readyTimeout      = 20 * time.Second
	readyPollInterval = 50 * time.Millisecond
	addrsPerNode      = 4
)

// Start starts all processes and waits until every node is ready, holds its lease and grants leases to its peers. On an
// error it ends the processes that it started.
func Start(ctx context.Context, t Topology, o Options) (*Fleet, error) {
	f := &Fleet{topology: t, options: o, version: 1}
	if err := f.start(ctx); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	addrs, err := freeAddrs(1)
	if err != nil {
		return err
	}
	f.platformAddr = addrs[0]
	f.platformProcess, err = start(f.options.launch, f.options.log, "platform", "--addr", f.platformAddr)
	if err != nil {
		return err
	}
	for _, s := range f.topology.services {
		for i := range s.endpoints {
			if err := f.addEndpoint(s, i); err != nil {
				return err
			}
		}
	}
	if err := f.publishInitial(ctx); err != nil {
		return err
	}
	for _, e := range f.endpoints {
		if err := f.startEndpoint(e); err != nil {
			return err
		}
	}
	return f.waitReady(ctx)
}

func (f *Fleet) addEndpoint(s Service, i int) error {
	addrs, err := freeAddrs(addrsPerNode)
	if err != nil {
		return err
	}
	f.endpoints = append(f.endpoints, &Endpoint{
		service: s, host: s.name + strconv.Itoa(i), zone: f.topology.zones[i%len(f.topology.zones)],
		httpAddr: addrs[0], rpcAddr: addrs[1], opsAddr: addrs[2], backendAddr: addrs[3],
	})
	return nil
}

// publishInitial publishes the first list of hosts, retrying until the platform accepts calls, and then the first rules.
func (f *Fleet) publishInitial(ctx context.Context) error {
	err := retryUntil(ctx, func() error { return f.PublishHosts(ctx) })
	if err != nil {
		return err
	}
	return f.PublishRules(ctx, f.topology.Rules(f.version))
}

// retryUntil calls try until it succeeds, and returns its last error after readyTimeout or once ctx is done.
func retryUntil(ctx context.Context, try func() error) error {
	end := time.Now().Add(readyTimeout)
	for {
		err := try()
		if err == nil || time.Now().After(end) || ctx.Err() != nil {
			return err
		}
		time.Sleep(readyPollInterval)
	}
}

// PublishHosts publishes a list of hosts that names all endpoints of the fleet, also those whose processes are stopped.
func (f *Fleet) PublishHosts(ctx context.Context) error {
	endpoints := make([]hosts.Endpoint, 0, len(f.endpoints))
	for _, e := range f.endpoints {
		endpoints = append(endpoints, hosts.NewEndpoint(e.service.name, e.host, e.zone, e.rpcAddr, e.leaving))
	}
	list, err := hosts.NewList(0, endpoints)
	if err != nil {
		return fmt.Errorf("list of hosts: %w", err)
	}
	text, err := plat.EncodeList(list)
	if err != nil {
		return fmt.Errorf("encode list of hosts: %w", err)
	}
	return f.publish(ctx, plat.NameHosts, text)
}

// PublishRules publishes the text of a rules file. The platform does not check it; nodes do.
func (f *Fleet) PublishRules(ctx context.Context, text string) error {
	return f.publish(ctx, plat.NameRules, []byte(text))
}

func (f *Fleet) publish(ctx context.Context, name string, text []byte) error {
	return Send(ctx, http.MethodPut, "http://"+f.platformAddr+"/test/values/"+name, text)
}

// SetPlatformFault turns a fault of the platform on or off: with "outage" it answers reads with status 503, with
// "stale" it serves each value as it was before the last change.
func (f *Fleet) SetPlatformFault(ctx context.Context, name string, on bool) error {
	return Send(ctx, http.MethodPost, fmt.Sprintf("http://%s/test/%s?on=%t", f.platformAddr, name, on), nil)
}

// Send sends one HTTP request to a stand-in, and returns an error for any status of 400 or above.
func Send(ctx context.Context, method, target string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("stand-in: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("stand-in: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("stand-in: status %d for %s %s", response.StatusCode, method, target)
	}
	return nil
}

func (f *Fleet) startEndpoint(e *Endpoint) error {
	if err := f.StartServer(e, false); err != nil {
		return err
	}
	return f.StartNode(e)
}

// StartServer starts the backend server of an endpoint. A cold one works more slowly for its first seconds.
func (f *Fleet) StartServer(e *Endpoint, cold bool) error {
	args := []string{
		"backend", "--addr", e.backendAddr, "--node", e.httpAddr, "--slots", strconv.Itoa(e.service.slots),
		"--cold=" + strconv.FormatBool(cold),
	}
	for _, p := range e.service.plans {
		args = append(args, "--plan", p)
	}
	var err error
	e.server, err = start(f.options.launch, f.options.log, args...)
	return err
}

// StartNode starts the node of an endpoint without waiting until it is ready.
func (f *Fleet) StartNode(e *Endpoint) error {
	args := []string{
		"node", "--http-addr", e.httpAddr, "--rpc-addr", e.rpcAddr, "--ops-addr", e.opsAddr, "--backend-addr", e.backendAddr,
		"--platform-addr", f.platformAddr, "--service", e.service.name, "--host", e.host, "--zone", e.zone,
		"--control", f.options.control, "--zone-delay", f.topology.zoneDelay.String(), "--log-level", "warn",
	}
	var err error
	e.node, err = start(f.options.launch, f.options.log, append(args, f.options.nodeFlags...)...)
	return err
}

func (f *Fleet) waitReady(ctx context.Context) error {
	for _, e := range f.endpoints {
		if err := retryUntil(ctx, func() error { return e.checkReady(ctx, f.topology.isKeyed()) }); err != nil {
			return err
		}
	}
	return nil
}

// checkReady returns an error unless the endpoint's node is ready and, where routes are keyed, holds and grants leases.
func (e *Endpoint) checkReady(ctx context.Context, keyed bool) error {
	s, err := opsapi.NewClient(e.opsAddr).Status(ctx)
	if err != nil {
		return fmt.Errorf("node %s: %w", e.host, err)
	}
	if !s.Ready || (keyed && (!s.Lease.Active || !s.Lease.Granting)) {
		return fmt.Errorf("node %s: ready %t, lease active %t, granting %t; want all true",
			e.host, s.Ready, s.Lease.Active, s.Lease.Granting)
	}
	return nil
}

// WaitReady waits until an endpoint's node is ready and, where routes are keyed, holds and grants leases, for at most 20 seconds.
func (f *Fleet) WaitReady(ctx context.Context, e *Endpoint) error {
	return retryUntil(ctx, func() error { return e.checkReady(ctx, f.topology.isKeyed()) })
}

// Topology returns the description of the deployment that the fleet runs.
func (f *Fleet) Topology() Topology { return f.topology }

// Endpoints returns the endpoints of all services, in the order of the topology.
func (f *Fleet) Endpoints() []*Endpoint { return f.endpoints }

// EndpointsOf returns the endpoints of a service, none where the topology has no service of this name.
func (f *Fleet) EndpointsOf(service string) []*Endpoint {
	var endpoints []*Endpoint
	for _, e := range f.endpoints {
		if e.service.name == service {
			endpoints = append(endpoints, e)
		}
	}
	return endpoints
}

// Entries returns the addresses at which all nodes serve callers.
func (f *Fleet) Entries() []string {
	entries := make([]string, 0, len(f.endpoints))
	for _, e := range f.endpoints {
		entries = append(entries, e.httpAddr)
	}
	return entries
}

// EntriesOutside returns the addresses at which the nodes outside of an availability zone serve callers.
func (f *Fleet) EntriesOutside(zone string) []string {
	var entries []string
	for _, e := range f.endpoints {
		if e.zone != zone {
			entries = append(entries, e.httpAddr)
		}
	}
	return entries
}

// Runs returns, for each idempotency key, how often the backend servers of a service ran requests with it.
func (f *Fleet) Runs(ctx context.Context, service string) (map[string]int, error) {
	total := map[string]int{}
	for _, e := range f.EndpointsOf(service) {
		text, err := Get(ctx, "http://"+e.backendAddr+"/test/runs")
		if err != nil {
			return nil, err
		}
		for line := range strings.Lines(text) {
			key, count, _ := strings.Cut(strings.TrimSpace(line), " ")
			n, _ := strconv.Atoi(count)
			total[key] += n
		}
	}
	return total, nil
}

// PlatformCalls returns the number of calls to the platform since its start.
func (f *Fleet) PlatformCalls(ctx context.Context) (int64, error) {
	text, err := Get(ctx, "http://"+f.platformAddr+"/test/calls")
	if err != nil {
		return 0, err
	}
	calls, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("stand-in: %w", err)
	}
	return calls, nil
}

// WorkTime returns the time that all backend servers together have spent on the work of requests, without the time in
// which a request holds its slot and waits for a downstream call.
func (f *Fleet) WorkTime(ctx context.Context) (time.Duration, error) {
	total := time.Duration(0)
	for _, e := range f.endpoints {
		text, err := Get(ctx, "http://"+e.backendAddr+"/test/used")
		if err != nil {
			return 0, err
		}
		micros, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
		if err != nil {
			return 0, fmt.Errorf("stand-in: %w", err)
		}
		total += time.Duration(micros) * time.Microsecond
	}
	return total, nil
}

// Get returns the body of the answer to a GET request, whatever its status.
func Get(ctx context.Context, target string) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return "", fmt.Errorf("stand-in: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", fmt.Errorf("stand-in: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return "", fmt.Errorf("stand-in: %w", err)
	}
	return string(text), nil
}

// Stop kills all processes and waits until they have ended.
func (f *Fleet) Stop() {
	for _, e := range f.endpoints {
		for _, p := range []*Process{e.node, e.server} {
			if p != nil {
				p.Kill()
			}
		}
	}
	if f.platformProcess != nil {
		f.platformProcess.Kill()
	}
}
