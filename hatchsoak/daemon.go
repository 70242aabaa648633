package hatchsoak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"dragonflyhatch/platform"
)

const (
	// stopTime is the time from SIGTERM within which a daemon must exit.
	stopTime = 8 * time.Second
	// stopSlack is added to stopTime for a busy machine.
	stopSlack = time.Second
	// listenTimeout is the time within which a new process must listen. That
	// normally takes a few milliseconds.
	listenTimeout      = 3 * time.Second
	listenPollInterval = 3 * time.Millisecond
	// restartDelay is the time from the exit of a process to its restart.
	restartDelay = 500 * time.Millisecond
)

// daemon is a host of the fleet and the process that runs on it.
type daemon struct {
	number    int
	settings  platform.Settings
	program   string
	dir       string
	storeLink *proxy // between the daemon and the store

	faultMu sync.Mutex // held while a fault is active on the host

	mu          sync.Mutex
	process     *exec.Cmd
	started     int           // number of processes so far
	exited      chan error    // receives the exit error of the process
	terminated  bool          // SIGTERM was sent to it
	killed      bool          // SIGKILL was sent to it
	clockOffset time.Duration // shift of its clock
}

// start starts a process on the host.
func (daemon *daemon) start() error {
	daemon.mu.Lock()
	defer daemon.mu.Unlock()
	file := filepath.Join(daemon.dir, daemon.settings.Host+".conf")
	if err := os.WriteFile(file, []byte(daemon.settings.Format()), 0o600); err != nil {
		return errors.Wrap(err, "write settings file")
	}
	log, err := os.OpenFile(filepath.Join(daemon.dir, daemon.settings.Host+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log file")
	}
	defer log.Close()
	process := exec.Command(daemon.program, "gateway", "--clock-step", daemon.clockOffset.String(), file)
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return errors.Wrapf(err, "start daemon %s", daemon.settings.Host)
	}
	exited := make(chan error, 1)
	go func() { exited <- process.Wait() }()
	daemon.process, daemon.exited = process, exited
	daemon.terminated, daemon.killed = false, false
	daemon.started++
	return awaitListening(daemon.settings.ReadyAddress)
}

// awaitListening waits until the process listens, which it does only after installing
// its signal handlers. A signal before that would end the process, which would not be
// a violation, because the process has not received any requests yet.
func awaitListening(address string) error {
	var lastErr error
	for range int(listenTimeout / listenPollInterval) {
		conn, err := net.DialTimeout("tcp", address, listenPollInterval)
		if err == nil {
			return conn.Close()
		}
		lastErr = err
		time.Sleep(listenPollInterval)
	}
	return errors.Wrapf(lastErr, "process does not listen after %v", listenTimeout)
}

// signal sends a signal to the process, which may have exited.
func (daemon *daemon) signal(signal syscall.Signal) {
	daemon.mu.Lock()
	defer daemon.mu.Unlock()
	daemon.terminated = daemon.terminated || signal == syscall.SIGTERM
	daemon.killed = daemon.killed || signal == syscall.SIGKILL
	_ = daemon.process.Process.Signal(signal)
}

// processNumber returns the number of the host's current process, counted from 1.
func (daemon *daemon) processNumber() int {
	daemon.mu.Lock()
	defer daemon.mu.Unlock()
	return daemon.started
}

// awaitExit waits for the process to exit. It returns an error if the process failed
// or had to be killed after the bound.
func (daemon *daemon) awaitExit(bound time.Duration) error {
	daemon.mu.Lock()
	exited := daemon.exited
	daemon.mu.Unlock()
	select {
	case err := <-exited:
		daemon.mu.Lock()
		defer daemon.mu.Unlock()
		if err != nil && !daemon.killed {
			return fmt.Errorf("daemon %s failed: %w", daemon.settings.Host, err)
		}
		return nil
	case <-time.After(bound):
		daemon.signal(syscall.SIGKILL)
		<-exited
		return errors.Newf("daemon %s did not exit within %v", daemon.settings.Host, bound)
	}
}

// checkRunning returns an error if the process has exited without being stopped.
func (daemon *daemon) checkRunning() error {
	daemon.mu.Lock()
	defer daemon.mu.Unlock()
	if daemon.terminated || daemon.killed {
		return nil
	}
	select {
	case err := <-daemon.exited:
		daemon.exited <- err // for awaitExit
		return errors.Newf("daemon %s exited unexpectedly: %v", daemon.settings.Host, err)
	default:
		return nil
	}
}
