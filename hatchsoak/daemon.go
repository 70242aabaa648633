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
	// stopTime is what a daemon has from SIGTERM until it must have ended.
	stopTime = 8 * time.Second
	// stopSlack is what the machine may add to it.
	stopSlack = time.Second
	// listenBound is when a process must listen; it takes some milliseconds.
	listenBound = 3 * time.Second
	listenPause = 3 * time.Millisecond
	// restartPause is the time until a process that ended is started again.
	restartPause = 500 * time.Millisecond
)

// daemon is a machine of the fleet and the process that runs on it.
type daemon struct {
	number   int
	settings platform.Settings
	program  string
	folder   string
	store    *proxy // its link to the store

	busy sync.Mutex // held by the fault that strikes the machine

	mu      sync.Mutex
	process *exec.Cmd
	started int           // processes so far
	ended   chan error    // of the process
	term    bool          // SIGTERM was sent to it
	killed  bool          // the soak has killed it
	clock   time.Duration // by which its time of day is off
}

// start runs a process on the machine.
func (daemon *daemon) start() error {
	daemon.mu.Lock()
	defer daemon.mu.Unlock()
	file := filepath.Join(daemon.folder, daemon.settings.Host+".conf")
	if err := os.WriteFile(file, []byte(daemon.settings.Format()), 0o600); err != nil {
		return errors.Wrap(err, "settings")
	}
	log, err := os.OpenFile(filepath.Join(daemon.folder, daemon.settings.Host+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	defer log.Close()
	process := exec.Command(daemon.program, "gateway", "--clock-step", daemon.clock.String(), file)
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return errors.Wrapf(err, "daemon %s", daemon.settings.Host)
	}
	ended := make(chan error, 1)
	go func() { ended <- process.Wait() }()
	daemon.process, daemon.ended = process, ended
	daemon.term, daemon.killed = false, false
	daemon.started++
	return awaitListening(daemon.settings.ReadyAddress)
}

// awaitListening waits until the process listens, which it does after it has begun
// to catch signals. Before, any signal ends a process that holds nothing yet.
func awaitListening(address string) error {
	var failed error
	for range int(listenBound / listenPause) {
		conn, err := net.DialTimeout("tcp", address, listenPause)
		if err == nil {
			return conn.Close()
		}
		failed = err
		time.Sleep(listenPause)
	}
	return errors.Wrapf(failed, "process does not listen after %v", listenBound)
}

// signal sends a signal to the process, which may have ended.
func (daemon *daemon) signal(signal syscall.Signal) {
	daemon.mu.Lock()
	defer daemon.mu.Unlock()
	daemon.term = daemon.term || signal == syscall.SIGTERM
	daemon.killed = daemon.killed || signal == syscall.SIGKILL
	_ = daemon.process.Process.Signal(signal)
}

// lifetime numbers the processes of the machine.
func (daemon *daemon) lifetime() int {
	daemon.mu.Lock()
	defer daemon.mu.Unlock()
	return daemon.started
}

// await waits for the process to end, and says what is wrong with how it did.
func (daemon *daemon) await(bound time.Duration) error {
	daemon.mu.Lock()
	ended := daemon.ended
	daemon.mu.Unlock()
	select {
	case err := <-ended:
		daemon.mu.Lock()
		defer daemon.mu.Unlock()
		if err != nil && !daemon.killed {
			return fmt.Errorf("daemon %s ended with %w", daemon.settings.Host, err)
		}
		return nil
	case <-time.After(bound):
		daemon.signal(syscall.SIGKILL)
		<-ended
		return errors.Newf("daemon %s had not ended after %v", daemon.settings.Host, bound)
	}
}

// hasEnded says whether the process has ended by itself, and how.
func (daemon *daemon) hasEnded() error {
	daemon.mu.Lock()
	defer daemon.mu.Unlock()
	if daemon.term || daemon.killed {
		return nil
	}
	select {
	case err := <-daemon.ended:
		daemon.ended <- err
		return errors.Newf("daemon %s ended by itself: %v", daemon.settings.Host, err)
	default:
		return nil
	}
}
