package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Ports of every host, as distances from the first port of the run; each host has a loopback address of its own.
const (
	portInbound = iota
	portApp
	portReady
	portOutbound
	portStore
	portRange // the last one
)

// hostSpec says what stands on a host.
type hostSpec struct {
	zone    string
	service string
	slots   int
}

// host is a machine with a node and an endpoint.
type host struct {
	fleet    *fleet
	ip       string
	storeIP  string // at which the store listens for this host alone
	zone     string
	service  string
	endpoint *endpoint
	node     *exec.Cmd
	ended    chan struct{}
}

// fleet is a small deployment: the store, and hosts with nodes as processes.
type fleet struct {
	store     *store
	hosts     []*host
	firstPort int
	folder    string // of the settings and the logs
	record    *record
	begin     time.Time
}

func (f *fleet) addr(ip string, port int) string {
	return net.JoinHostPort(ip, strconv.Itoa(f.firstPort+port))
}

// newFleet reserves addresses, starts the store and the endpoints, writes the first configuration, and starts the nodes.
func newFleet(rec *record, specs []hostSpec, config string, behaviour func(*endpoint)) (*fleet, error) {
	folder, err := os.MkdirTemp("", "stand3-")
	if err != nil {
		return nil, err
	}
	f := &fleet{store: newStore(), folder: folder, record: rec, begin: time.Now()}
	net2 := 16 + rand.IntN(200)
	for i, s := range specs {
		f.hosts = append(f.hosts, &host{
			fleet: f, ip: fmt.Sprintf("127.%d.1.%d", net2, i+1), storeIP: fmt.Sprintf("127.%d.2.%d", net2, i+1), zone: s.zone, service: s.service,
		})
	}
	if err := f.choosePorts(); err != nil {
		return nil, err
	}
	for _, h := range f.hosts {
		listener, err := net.Listen("tcp", h.storeAddr())
		if err != nil {
			return nil, err
		}
		go f.store.serve(listener)
	}
	f.store.put(names.Config, config)
	for i, h := range f.hosts {
		if h.endpoint, err = startEndpoint(h, specs[i].slots, behaviour); err != nil {
			return nil, err
		}
	}
	for _, h := range f.hosts {
		if err := h.startNode(); err != nil {
			f.end()
			return nil, err
		}
	}
	return f, nil
}

// choosePorts finds a first port with which all ports of all hosts are free.
func (f *fleet) choosePorts() error {
	for range 50 {
		f.firstPort = 20000 + 10*rand.IntN(1000)
		free := true
		for port := range portRange + 1 {
			for _, ip := range f.ips() {
				l, err := net.Listen("tcp", f.addr(ip, port))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

func (f *fleet) ips() []string {
	var ips []string
	for _, h := range f.hosts {
		ips = append(ips, h.ip, h.storeIP)
	}
	return ips
}

// end ends all nodes and waits for them.
func (f *fleet) end() {
	for _, h := range f.hosts {
		if h.node != nil {
			_ = h.node.Process.Signal(syscall.SIGCONT)
			_ = h.node.Process.Kill()
			<-h.ended
		}
	}
	if os.Getenv("STAND3_KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("logs:", f.folder)
	}
}

func (h *host) storeAddr() string { return h.fleet.addr(h.storeIP, portStore) }

func (h *host) settings() string {
	f := h.fleet
	return fmt.Sprintf(settingsFormat, h.ip, h.ip, h.zone, f.addr(h.ip, portInbound), f.addr(h.ip, portOutbound), f.addr(h.ip, portReady),
		f.firstPort+portRange, f.firstPort+portRange, f.addr(h.ip, portApp), h.service, h.storeAddr())
}

// startNode starts the node with the command of the deploy file.
func (h *host) startNode() error {
	path := filepath.Join(h.fleet.folder, h.ip+".yaml")
	if err := os.WriteFile(path, []byte(h.settings()), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(h.fleet.folder, h.ip+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command("target/tamarackd", "platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", names.Boot + "=" + path}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	h.node, h.ended = cmd, make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(h.ended)
	}()
	return nil
}

// awaitReady waits until every node is ready, as the platform asks it.
func (f *fleet) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, h := range f.hosts {
			response, err := client.Get("http://" + f.addr(h.ip, portReady) + "/readiness")
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(f.hosts) {
			time.Sleep(time.Second)
			return nil
		}
	}
	return fmt.Errorf("the nodes are not ready")
}

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func newRecord(folder string) (*record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	return &record{file: file, begin: time.Now()}, err
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.begin).Seconds()}, args...)...)
}

// say writes a line to the record and to the standard output.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}
