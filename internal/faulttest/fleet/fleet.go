// Package fleet starts, kills and restarts sender processes as the platform does.
package fleet

import (
	"encoding/json"
	"fmt"
	"io"
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

	"saffronyard.example/saffronyard/internal/faulttest/eventlog"
)

const (
	// TermTime is the time from SIGTERM to SIGKILL.
	TermTime = 3700 * time.Millisecond
	// DownTime is the time from the end of a process to the start of the next one.
	DownTime = 600 * time.Millisecond

	acceptAfterTerm = 300 * time.Millisecond // clients still open connections for this long after SIGTERM

	readyTimeout      = 30 * time.Second // a sender must be ready within this after its start
	readyPollInterval = 10 * time.Millisecond
)

// Sender is one sender machine: its address, its folder and its processes, one after another.
type Sender struct {
	Name, Listen string
	folder       string
	command      []string
	log          *eventlog.Log
	configure    func(run int, fresh bool) (map[string]any, error)

	mu           sync.Mutex
	cmd          *exec.Cmd
	run          int
	endRequested bool // the kit has terminated or killed the present process
	ready        bool
	termSentAt   time.Time     // when SIGTERM was last sent
	ended        chan struct{} // closed when the present process ends
	closed       bool
	cpu          time.Duration
	memory       int64 // peak, bytes
}

// Config is what New needs. All fields are required.
type Config struct {
	Name    string
	Listen  string   // address on which the sender serves clients
	Folder  string   // the sender's files are created below it
	Command []string // the sender's program and its arguments
	Log     *eventlog.Log
	// Configure returns the configuration of the next process, without the sender's name, address and folder.
	Configure func(run int, fresh bool) (map[string]any, error)
}

// New returns a sender machine with an empty state folder.
func New(c Config) (*Sender, error) {
	s := &Sender{Name: c.Name, Listen: c.Listen, folder: c.Folder, command: c.Command, log: c.Log, configure: c.Configure}
	return s, s.resetState()
}

// resetState replaces the state folder by an empty one.
func (s *Sender) resetState() error {
	if err := os.RemoveAll(s.state()); err != nil {
		return fmt.Errorf("sender %s: %w", s.Name, err)
	}
	if err := os.MkdirAll(s.state(), 0o755); err != nil {
		return fmt.Errorf("sender %s: %w", s.Name, err)
	}
	return nil
}

// State returns the path of the state folder, which persists across processes.
func (s *Sender) State() string { return s.state() }

func (s *Sender) state() string { return filepath.Join(s.folder, s.Name, "state") }

// Log returns the path of the file with the output of the sender's processes.
func (s *Sender) Log() string { return filepath.Join(s.folder, s.Name, "sender.log") }

// Configure replaces the configuration file atomically: a reader sees either the old file or the new one.
func (s *Sender) Configure(config map[string]any) (string, error) {
	config["name"], config["listen"], config["state"] = s.Name, s.Listen, s.state()
	raw, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(s.folder, s.Name, "config.json")
	if err := os.WriteFile(path+".new", raw, 0o644); err != nil {
		return "", err
	}
	return path, os.Rename(path+".new", path)
}

// Start starts the next process and waits until it is ready or has ended.
func (s *Sender) Start(fresh bool) error {
	s.mu.Lock()
	if s.closed || s.cmd != nil {
		s.mu.Unlock()
		return nil
	}
	s.run++
	run := s.run
	s.mu.Unlock()
	config, err := s.configure(run, fresh)
	if err != nil {
		return fmt.Errorf("sender %s: %w", s.Name, err)
	}
	path, err := s.Configure(config)
	if err != nil {
		return fmt.Errorf("sender %s: configuration: %w", s.Name, err)
	}
	out, err := os.OpenFile(s.Log(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("sender %s: %w", s.Name, err)
	}
	defer out.Close()
	cmd, err := s.newCommand(config, path, out)
	if err != nil {
		return fmt.Errorf("sender %s: %w", s.Name, err)
	}
	ended, err := s.launch(cmd, run, fresh)
	if err != nil || ended == nil {
		return err
	}
	if err := s.awaitReady(ended); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd == cmd && !s.endRequested {
		s.ready = true
		s.log.Add(eventlog.Event{Kind: eventlog.Ready, Sender: s.Name, Run: run})
	}
	return nil
}

// newCommand makes the command of a process with an environment and a temporary folder of its own.
func (s *Sender) newCommand(config map[string]any, path string, out *os.File) (*exec.Cmd, error) {
	tmp := filepath.Join(s.folder, s.Name, "tmp")
	os.RemoveAll(tmp)
	if err := os.MkdirAll(tmp, 0o755); err != nil {
		return nil, err
	}
	cmd := exec.Command(s.command[0], s.command[1:]...)
	cmd.Stdout, cmd.Stderr = out, out
	discovery, _ := config["discovery"].(string)
	cmd.Env = []string{"TMPDIR=" + tmp, "HOME=" + tmp, "PATH=" + os.Getenv("PATH"), "EDGE_NAME=" + s.Name, "EDGE_LISTEN=" + s.Listen,
		"EDGE_DISCOVERY=" + discovery, "EDGE_STATE=" + s.state(), "EDGE_CONFIG=" + path}
	// If the kit is killed, its senders are killed with it. ^C reaches the kit alone, which then ends its senders.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	return cmd, nil
}

// launch starts a process and returns a channel that is closed at its end; nil if the sender was closed meanwhile.
func (s *Sender) launch(cmd *exec.Cmd, run int, fresh bool) (chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, nil
	}
	detail := ""
	if fresh {
		detail = "new"
	}
	s.log.Add(eventlog.Event{Kind: eventlog.Start, Sender: s.Name, Run: run, Detail: detail})
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("sender %s: %w", s.Name, err)
	}
	s.cmd, s.endRequested, s.ready, s.ended = cmd, false, false, make(chan struct{})
	go s.wait(cmd, run, s.ended)
	return s.ended, nil
}

// awaitReady polls the process until it is ready, it has ended, or readyTimeout is over.
func (s *Sender) awaitReady(ended <-chan struct{}) error {
	limit := time.Now().Add(readyTimeout)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for {
		resp, err := client.Get("http://" + s.Listen + "/-/ready")
		if err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ended:
			return &ProcessError{Sender: s.Name, Problem: "ended before it was ready; its log is " + s.Log()}
		case <-time.After(readyPollInterval):
		}
		if time.Now().After(limit) {
			return &ProcessError{Sender: s.Name, Problem: fmt.Sprintf("is not ready after %v; its log is %s", readyTimeout, s.Log())}
		}
	}
}

func (s *Sender) wait(cmd *exec.Cmd, run int, ended chan struct{}) {
	cmd.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	e := eventlog.Event{Kind: eventlog.Exit, Sender: s.Name, Run: run, Status: cmd.ProcessState.ExitCode()}
	if !s.endRequested {
		e.Detail = "crash"
	}
	s.log.Add(e)
	s.cpu += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	if u, ok := cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
		s.memory = max(s.memory, u.Maxrss*1024)
	}
	s.cmd, s.ready = nil, false
	close(ended)
}

// signal sends a signal to the present process; ended is nil if there is none.
func (s *Sender) signal(sig syscall.Signal, e eventlog.Event) (ended chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd == nil {
		return nil
	}
	switch sig {
	case syscall.SIGHUP:
	case syscall.SIGSTOP, syscall.SIGCONT:
		e.Sender, e.Run = s.Name, s.run
		s.log.Add(e)
	default:
		s.endRequested, s.ready = true, false
		if sig == syscall.SIGTERM {
			s.termSentAt = time.Now()
		}
		e.Sender, e.Run = s.Name, s.run
		s.log.Add(e)
	}
	s.cmd.Process.Signal(sig)
	return s.ended
}

// Kill ends the process with SIGKILL; lost also empties its state folder.
func (s *Sender) Kill(lost bool) error {
	e := eventlog.Event{Kind: eventlog.Killed}
	if lost {
		e.Detail = "lost"
	}
	ended := s.signal(syscall.SIGKILL, e)
	if ended == nil {
		return nil
	}
	<-ended
	if lost {
		return s.resetState()
	}
	return nil
}

// Term ends the process with SIGTERM, and with SIGKILL if it has not ended after TermTime.
func (s *Sender) Term() {
	ended := s.signal(syscall.SIGTERM, eventlog.Event{Kind: eventlog.Term})
	if ended == nil {
		return
	}
	select {
	case <-ended:
	case <-time.After(TermTime):
		s.signal(syscall.SIGKILL, eventlog.Event{Kind: eventlog.Killed})
		<-ended
	}
}

// Reload replaces the configuration and sends SIGHUP.
func (s *Sender) Reload(config map[string]any) error {
	if _, err := s.Configure(config); err != nil {
		return fmt.Errorf("sender %s: configuration: %w", s.Name, err)
	}
	if s.signal(syscall.SIGHUP, eventlog.Event{}) == nil {
		return &ProcessError{Sender: s.Name, Problem: "does not run"}
	}
	return nil
}

// Ready reports whether clients may use the sender: it has become ready and has not been terminated or killed since.
func (s *Sender) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready
}

// Accepts reports whether clients still open connections to the sender: until acceptAfterTerm after SIGTERM they do.
func (s *Sender) Accepts() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready || (s.cmd != nil && time.Since(s.termSentAt) < acceptAfterTerm)
}

// Addr returns the address on which the sender listens.
func (s *Sender) Addr() string { return s.Listen }

// PID returns the id of the present process; 0 if there is none.
func (s *Sender) PID() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd == nil {
		return 0
	}
	return s.cmd.Process.Pid
}

// Running reports whether there is a process, ready or not.
func (s *Sender) Running() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cmd != nil
}

// Used returns the CPU time of the processes that have ended, and the peak memory in bytes of any one of them.
func (s *Sender) Used() (time.Duration, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cpu, s.memory
}

// Close ends the sender for good.
func (s *Sender) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.Kill(false)
}

// Ports that FreeAddr returns: they lie below the system's ephemeral ports, so that the system assigns none of them between the check and
// the start of the process that the port is meant for.
const (
	firstFreePort   = 10_000
	freePortCount   = 20_000
	maxPortAttempts = 100
)

// assignedPorts are the ports that FreeAddr has tried in this process: none is returned twice.
var assignedPorts sync.Map

// FreeAddr returns an address at a host on which nothing listens, for a process that is started next.
func FreeAddr(host string) (string, error) {
	err := errNoFreePort
	for range maxPortAttempts {
		port := firstFreePort + rand.N(freePortCount)
		if _, assigned := assignedPorts.LoadOrStore(port, true); assigned {
			continue
		}
		var listener net.Listener
		listener, err = net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(port)))
		if err != nil {
			continue
		}
		defer listener.Close()
		return listener.Addr().String(), nil
	}
	return "", fmt.Errorf("no free port at %s in %d tries: %w", host, maxPortAttempts, err)
}
