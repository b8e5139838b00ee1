package fleet

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"syscall"
)

// Process is an operating system process that the fleet started. The kernel kills it when its parent dies.
type Process struct {
	args  []string
	log   io.Writer
	cmd   *exec.Cmd
	ended chan struct{}
}

// Launcher returns a command, not started yet, that runs tamarackbench with the given arguments. Tests substitute one
// that runs the test binary.
type Launcher func(args ...string) (*exec.Cmd, error)

// LaunchSelf is the Launcher that runs the executable of the current process.
func LaunchSelf(args ...string) (*exec.Cmd, error) {
	path, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("path of the running program: %w", err)
	}
	return exec.Command(path, args...), nil
}

func start(launch Launcher, log io.Writer, args ...string) (*Process, error) {
	cmd, err := launch(args...)
	if err != nil {
		return nil, err
	}
	cmd.Stderr, cmd.Stdout = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %v: %w", args, err)
	}
	p := &Process{args: args, log: log, cmd: cmd, ended: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.ended)
	}()
	return p, nil
}

// Signal sends a signal to the process and ignores the error if the process has ended.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill sends SIGKILL to the process and waits until it has ended.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// Ended returns a channel that is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// PID returns the process ID, which stays the same after the process has ended.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// The bounds of the ports to choose from. They are below the ephemeral port range, from which the system takes the local
// ports of outgoing connections.
const (
	lowestPort  = 20_000
	highestPort = 32_000
)

// ports holds the port that was tried last. It begins at a random one, so that fleets of several processes seldom try
// the same ports.
var ports = struct {
	mu   sync.Mutex
	next int
}{next: lowestPort + rand.IntN(highestPort-lowestPort)}

// freeAddrs returns loopback addresses whose ports were free when it tried to listen at them.
func freeAddrs(count int) ([]string, error) {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	addrs := make([]string, 0, count)
	for tries := 0; len(addrs) < count; tries++ {
		ports.next = lowestPort + (ports.next+1-lowestPort)%(highestPort-lowestPort)
		addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(ports.next))
		l, err := net.Listen("tcp", addr)
		if err != nil && tries < highestPort-lowestPort {
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("free port: %w", err)
		}
		_ = l.Close()
		addrs = append(addrs, addr)
	}
	return addrs, nil
}
