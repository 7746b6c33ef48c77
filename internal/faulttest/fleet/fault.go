package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/eventlog"
)

// Suspend stops the process: its sockets stay open, and it does not notice that time passes. Suspend returns when all of its threads are
// stopped.
func (s *Sender) Suspend() {
	s.signal(syscall.SIGSTOP, eventlog.Event{Kind: eventlog.Paused, State: "on"})
	s.waitStopped()
}

// waitStopped waits until each thread of the process is stopped: the signal takes effect with a delay.
func (s *Sender) waitStopped() {
	pid := s.PID()
	for end := time.Now().Add(2 * time.Second); pid != 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
		running := 0
		for _, path := range threads {
			raw, _ := os.ReadFile(path)
			// pid (name) state ...: proc_pid_stat(5); the name may contain any character.
			if i := strings.LastIndexByte(string(raw), ')'); i < 0 || !strings.HasPrefix(string(raw[i+1:]), " T") {
				running++
			}
		}
		if running == 0 {
			return
		}
	}
}

// Resume continues a suspended process.
func (s *Sender) Resume() {
	s.signal(syscall.SIGCONT, eventlog.Event{Kind: eventlog.Paused, State: "off"})
}

// snapshotPath returns the path of the copy of the state folder.
func (s *Sender) snapshotPath() string { return filepath.Join(s.folder, s.Name, "kept") }

// SaveSnapshot copies the state folder for RestoreSnapshot. The process is stopped meanwhile, so that the copy shows a single point in
// time, as a snapshot of the disk would.
func (s *Sender) SaveSnapshot() error {
	s.log.Add(eventlog.Event{Kind: eventlog.Folder, Sender: s.Name, Detail: "kept"})
	if pid := s.PID(); pid != 0 {
		syscall.Kill(pid, syscall.SIGSTOP)
		s.waitStopped()
		defer syscall.Kill(pid, syscall.SIGCONT)
	}
	return s.copyFolder(s.state(), s.snapshotPath())
}

// RestoreSnapshot replaces the state folder by the copy that SaveSnapshot took; no process may run.
func (s *Sender) RestoreSnapshot() error {
	if s.Running() {
		return &ProcessError{Sender: s.Name, Problem: "runs: its state folder can't be restored"}
	}
	if _, err := os.Stat(s.snapshotPath()); err != nil {
		return fmt.Errorf("sender %s: no copy of its state folder: %w", s.Name, err)
	}
	s.log.Add(eventlog.Event{Kind: eventlog.Folder, Sender: s.Name, Detail: "old"})
	return s.copyFolder(s.snapshotPath(), s.state())
}

// copyFolder replaces to by a copy of from; sockets are left out.
func (s *Sender) copyFolder(from, to string) error {
	err := os.RemoveAll(to)
	if err == nil {
		err = filepath.Walk(from, func(path string, info os.FileInfo, err error) error {
			if err != nil {
				return err
			}
			rel, err := filepath.Rel(from, path)
			if err != nil {
				return err
			}
			switch to := filepath.Join(to, rel); {
			case info.IsDir():
				return os.MkdirAll(to, 0o755)
			case info.Mode().IsRegular():
				raw, err := os.ReadFile(path)
				if err != nil {
					return err
				}
				return os.WriteFile(to, raw, info.Mode().Perm())
			}
			return nil
		})
	}
	if err != nil {
		return fmt.Errorf("sender %s: copy state folder: %w", s.Name, err)
	}
	return nil
}
