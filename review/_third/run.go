package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the settings, as on the sheet of the Tui Levu deployment.
const (
	drainTime      = 2 * time.Second
	stableWindow   = 3 * time.Second
	graceTime      = 8 * time.Second
	heartbeat      = 1200 * time.Millisecond
	missedBeats    = 3
	program        = "target/dragonflyhatch"
	callerHostName = "orders.example"
	tenantName     = "office"
	tenantKey      = "k-office-1"
)

var zones = []string{"walu-bay", "toorak", "laucala"}

// run is one run of a case: the record, the processes and the stand-ins.
type run struct {
	trouble bool
	dir     string
	began   time.Time

	mu      sync.Mutex
	record  *os.File
	daemons []*daemon
	store   *store
	closers []func()
	network string // first three bytes of the daemons' loopback addresses
}

func newRun(recordPath string, trouble bool) (*run, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-third-")
	if err != nil {
		return nil, err
	}
	run := &run{trouble: trouble, dir: dir, record: record, began: time.Now()}
	run.network = fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), 1+rand.IntN(250))
	run.logf("disruption: %t", trouble)
	return run, nil
}

// at returns the time since the run began, in seconds.
func (run *run) at(moment time.Time) string {
	return fmt.Sprintf("%7.3f", moment.Sub(run.began).Seconds())
}

// logf writes a line to the record.
func (run *run) logf(format string, args ...any) {
	run.mu.Lock()
	defer run.mu.Unlock()
	line := strings.TrimRight(fmt.Sprintf(format, args...), "\n")
	fmt.Fprintf(run.record, "%s  %s\n", run.at(time.Now()), line)
}

// onClose registers a function to call at the end of the run.
func (run *run) onClose(function func()) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.closers = append(run.closers, function)
}

// close ends all processes that the run has started, and the stand-ins.
func (run *run) close() {
	for _, daemon := range run.daemons {
		daemon.kill()
	}
	run.mu.Lock()
	closers := run.closers
	run.mu.Unlock()
	for _, function := range closers {
		function()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(run.dir)
	}
}

// daemon is a machine of the system and the gateway process on it.
type daemon struct {
	run       *run
	name      string
	zone      string
	ip        string
	callers   string
	readiness string
	peers     string
	directory string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	exits   int // of processes that ended without a signal of the run
	stopped bool
}

// freePort returns a port that is free on the address.
func freePort(ip string) (string, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// addDaemons prepares machines, one zone after the other.
func (run *run) addDaemons(count int) error {
	for i := range count {
		daemon := &daemon{run: run, name: fmt.Sprintf("edge-%d", i+1), zone: zones[i%len(zones)], ip: fmt.Sprintf("%s.%d", run.network, i+1)}
		for _, address := range []*string{&daemon.callers, &daemon.readiness, &daemon.peers, &daemon.directory} {
			var err error
			if *address, err = freePort(daemon.ip); err != nil {
				return err
			}
		}
		run.daemons = append(run.daemons, daemon)
	}
	return nil
}

// settings returns the settings file of the daemon, with the fields and bounds of the
// users' pages.
func (daemon *daemon) settings(bootstrap bool) string {
	var seeds []string
	for _, other := range daemon.run.daemons[:min(3, len(daemon.run.daemons))] {
		seeds = append(seeds, other.peers)
	}
	lines := []string{
		"node_name=" + daemon.name, "role=gateway", "machine_class=edge", "serves=edge,registry,control_plane",
		"ip=" + daemon.ip, "zone=" + daemon.zone, "region=suva",
		"listen.frontend=" + daemon.callers, "listen.readiness=" + daemon.readiness,
		"listen.control_plane=" + daemon.peers, "listen.registry=" + daemon.directory,
		"seed_nodes=" + strings.Join(seeds, ","), fmt.Sprintf("bootstrap=%t", bootstrap),
		"limits.cpu_share=0.272", "limits.cpu_cores=1", "limits.memory_mb=206", "limits.max_fds=2940",
		"heartbeat_ms=1200",
		"bounds.seed_lag_s=3", "bounds.reuse_after_s=2", "bounds.stable_window_ms=3000", "bounds.ack_ms=4000",
		"bounds.catch_up_s=4", "bounds.drain_ms=2000", "bounds.grace_s=8", "bounds.loss_slack_ms=200",
		"bounds.config_apply_ms=2000", "bounds.rollback_slack_ms=250", "bounds.max_stretch_ms=5000",
		"bounds.fail_closed=false", "bounds.revoke_ms=5000", "bounds.retry_budget_ratio=0.2",
		"bounds.budget_window_s=10", "bounds.retry_budget_extra=392", "bounds.recover_s=12", "bounds.pass_ms=120",
		"bounds.retry_after_s=0", "bounds.stall_ms=3000", "bounds.fencing_required=false", "bounds.ttl_max_s=5",
		"platform.address=" + daemon.run.store.address, "platform.form=objects", "platform.writes_per_s=400",
		"platform.reads_per_s=2000", "platform.history_s=20", "platform.value_bytes=1048576",
	}
	for _, zone := range zones {
		lines = append(lines, "zones."+zone+"=suva")
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts the gateway with the command of the deploy file.
func (daemon *daemon) start(bootstrap bool) error {
	path := filepath.Join(daemon.run.dir, daemon.name+".conf")
	if err := os.WriteFile(path, []byte(daemon.settings(bootstrap)), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(daemon.run.dir, daemon.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	process := exec.Command(program, "gateway")
	process.Env = append(os.Environ(), "DRAGONFLYHATCH_CONFIG="+path)
	process.Stdout, process.Stderr = output, output
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	daemon.mu.Lock()
	daemon.process, daemon.exited, daemon.stopped = process, exited, false
	daemon.mu.Unlock()
	go func() {
		_ = process.Wait()
		daemon.mu.Lock()
		if !daemon.stopped {
			daemon.exits++
			daemon.run.logf("%s ended by itself", daemon.name)
		}
		daemon.mu.Unlock()
		close(exited)
	}()
	daemon.run.logf("%s started in %s", daemon.name, daemon.zone)
	return nil
}

// signal sends a signal to the process.
func (daemon *daemon) signal(signal syscall.Signal) {
	daemon.mu.Lock()
	defer daemon.mu.Unlock()
	if daemon.process == nil {
		return
	}
	if signal == syscall.SIGTERM || signal == syscall.SIGKILL {
		daemon.stopped = true
	}
	_ = daemon.process.Process.Signal(signal)
}

// awaitExit waits until the process has ended, at most for the given time.
func (daemon *daemon) awaitExit(limit time.Duration) bool {
	daemon.mu.Lock()
	exited := daemon.exited
	daemon.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// kill ends the process, if there is one.
func (daemon *daemon) kill() {
	daemon.mu.Lock()
	running := daemon.process != nil
	daemon.mu.Unlock()
	if running {
		daemon.signal(syscall.SIGKILL)
		daemon.awaitExit(2 * time.Second)
	}
}

// startDaemons starts all machines for the first time and waits until they are ready.
func (run *run) startDaemons() error {
	for _, daemon := range run.daemons {
		if err := daemon.start(true); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, daemon := range run.daemons {
		for !daemon.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", daemon.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	run.logf("all machines are ready")
	return nil
}
