package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of every host of a world; the hosts differ by their loopback addresses.
const (
	portInbound  = 8300
	portApp      = 8301
	portReady    = 8302
	portOutbound = 8304
	portOps      = 7620
	portStore    = 8309
)

var errNotReady = errors.New("nodes did not get ready")

// World is one small deployment: a store, hosts with an endpoint and a node each, and a record of what happens.
type World struct {
	dir    string
	temp   string
	subnet string
	binary string
	store  *Store
	record *Record
	hosts  []*Host
}

// Host is one machine of a world: a node process and the endpoint beside it.
type Host struct {
	world    *World
	name     string
	ip       string
	zone     string
	service  string
	memoryMB int
	endpoint *Endpoint
	storeIP  string
	settings string
	mu       sync.Mutex
	process  *os.Process
	exited   chan struct{}
	stopped  bool
	log      *os.File
}

// NewWorld returns a world without hosts, on loopback addresses that are free.
func NewWorld(dir, binary string) (*World, error) {
	record, err := NewRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return newWorld(dir, binary, record)
}

// Another returns a world beside this one, with the same record. It is closed before this one.
func (w *World) Another() (*World, error) { return newWorld(w.dir, w.binary, w.record) }

func newWorld(dir, binary string, record *Record) (*World, error) {
	temp, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}
	w := &World{dir: dir, temp: temp, binary: binary, record: record, store: NewStore()}
	for range 50 {
		w.subnet = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		l, err := net.Listen("tcp", fmt.Sprintf("%s.250:%d", w.subnet, portStore))
		if err != nil {
			continue
		}
		_ = l.Close()
		return w, nil
	}
	return nil, errors.New("no free loopback address")
}

// AddHost adds a host; its endpoint is started, its node is not.
func (w *World) AddHost(zone, service string, slots int, handle Handler) (*Host, error) {
	number := len(w.hosts) + 1
	h := &Host{
		world: w, name: fmt.Sprintf("side-%d", number), ip: fmt.Sprintf("%s.%d", w.subnet, number), zone: zone, service: service,
		memoryMB: 284, storeIP: fmt.Sprintf("%s.%d", w.subnet, 100+number),
	}
	if err := w.store.Listen(fmt.Sprintf("%s:%d", h.storeIP, portStore)); err != nil {
		return nil, err
	}
	h.endpoint = &Endpoint{
		world: w, host: h, service: service, slots: slots, handle: handle, addr: fmt.Sprintf("%s:%d", h.ip, portApp),
	}
	w.hosts = append(w.hosts, h)
	return h, h.endpoint.Start("")
}

// StartNode starts the node of a host with the command of the deploy file.
func (h *Host) StartNode() error {
	h.settings = filepath.Join(h.world.temp, h.name+".yaml")
	text := fmt.Sprintf(settingsFormat, h.name, h.ip, h.zone, h.ip, portInbound, h.ip, portOutbound, h.ip, portReady, portOps,
		portOps+15, h.memoryMB, h.ip, portApp, h.service, h.storeIP, portStore)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(h.world.temp, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(h.world.binary, "platform")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=/tmp", "LANG=C", names.SettingsVariable + "=" + h.settings}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.mu.Lock()
	h.process, h.exited, h.stopped, h.log = command.Process, exited, false, log
	h.mu.Unlock()
	go func() {
		err := command.Wait()
		_ = log.Close()
		h.world.record.Add("node %s ended: %v", h.name, err)
		close(exited)
	}()
	h.world.record.Add("node %s started beside %s at %s", h.name, h.service, h.ip)
	return nil
}

// Signal sends a signal to the node of a host.
func (h *Host) Signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.world.record.Add("%s to node %s", s, h.name)
	_ = h.process.Signal(s)
}

// OwnMemory returns the resident memory of the node's process in MB, without pages of files, such as its program.
func (h *Host) OwnMemory() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		var kb int
		if n, _ := fmt.Sscanf(line, "RssAnon: %d kB", &kb); n == 1 {
			return kb / 1024
		}
	}
	return 0
}

// IsReady asks a node as the platform does.
func (h *Host) IsReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/readiness", h.ip, portReady))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// StartNodes starts all nodes and waits until they are ready.
func (w *World) StartNodes() error {
	for _, h := range w.hosts {
		if err := h.StartNode(); err != nil {
			return err
		}
	}
	return w.AwaitReady(15 * time.Second)
}

// AwaitReady waits until all nodes are ready.
func (w *World) AwaitReady(most time.Duration) error {
	end := time.Now().Add(most)
	for _, h := range w.hosts {
		for !h.IsReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%w: %s", errNotReady, h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.record.Add("all nodes are ready")
	return nil
}

// Close ends all processes of the world, and keeps their logs in the folder that KEEP_LOGS names, if any.
func (w *World) Close() {
	for _, h := range w.hosts {
		h.mu.Lock()
		process, exited := h.process, h.exited
		h.mu.Unlock()
		if process != nil {
			_ = process.Signal(syscall.SIGKILL)
			<-exited
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.Rename(w.temp, filepath.Join(keep, w.subnet))
		return
	}
	_ = os.RemoveAll(w.temp)
}
