package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	program     = "target/dragonflyhatch"
	stopTime    = 8 * time.Second // grace_s
	metricsPort = 9464            // of deploy/system.toml
)

// host is a machine of the system with its process.
type host struct {
	name, zone, ip                      string
	front, readiness, control, registry string
	settings                            string // path of the settings file
	log                                 string
	process                             *exec.Cmd
	exited                              chan struct{}
	exitErr                             error
}

// fleet is the machines of a small deployment.
type fleet struct {
	dir    string // for settings and logs
	hosts  []*host
	record *record
}

// newFleet prepares machines in the zones. The function storeAddress returns the
// address under which a machine reaches the store.
func newFleet(record *record, zones []string, perZone int, storeAddress func(host string) (string, error)) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	fleet := &fleet{dir: dir, record: record}
	network := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
	for i := range len(zones) * perZone {
		zone := zones[i%len(zones)]
		host := &host{name: fmt.Sprintf("edge-%s-%d", zone, i/len(zones)+1), zone: zone, ip: network + fmt.Sprint(10+i)}
		host.front, host.readiness, host.control, host.registry = host.ip+":8227", host.ip+":8220", host.ip+":8229", host.ip+":8224"
		for _, address := range []string{host.front, host.readiness, host.control, host.registry, fmt.Sprintf("%s:%d", host.ip, metricsPort)} {
			listener, err := net.Listen("tcp", address)
			if err != nil {
				return nil, err
			}
			listener.Close()
		}
		fleet.hosts = append(fleet.hosts, host)
	}
	for _, host := range fleet.hosts {
		address, err := storeAddress(host.name)
		if err != nil {
			return nil, err
		}
		host.settings, host.log = filepath.Join(dir, host.name+".conf"), filepath.Join(dir, host.name+".log")
		if err := os.WriteFile(host.settings, []byte(fleet.settingsText(host, zones, address)), 0o600); err != nil {
			return nil, err
		}
	}
	return fleet, nil
}

// settingsText returns a settings file like the example of DEPLOY.md.
func (fleet *fleet) settingsText(host *host, zones []string, storeAddress string) string {
	var seeds []string
	for _, seed := range fleet.hosts[:min(3, len(fleet.hosts))] {
		seeds = append(seeds, seed.control)
	}
	lines := []string{
		"node_name=" + host.name, "role=gateway", "machine_class=edge", "serves=edge,registry,control_plane",
		"ip=" + host.ip, "zone=" + host.zone, "region=suva",
		"listen.frontend=" + host.front, "listen.readiness=" + host.readiness,
		"listen.control_plane=" + host.control, "listen.registry=" + host.registry,
		"internal_port_range=7340,7355", "seed_nodes=" + strings.Join(seeds, ","), "bootstrap=true", "fault_counted=false",
		"limits.cpu_share=0.272", "limits.cpu_cores=1", "limits.memory_mb=206", "limits.max_fds=2940", "limits.link_mbps=700.0", "limits.disk_mb=0",
		"discovery=platform", "entry=registry", "heartbeat_ms=1200",
		"contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,layers",
		"fault_tolerance.machines=2", "fault_tolerance.zones=0", "fault_tolerance.regions=0",
		"bounds.seed_lag_s=3", "bounds.reuse_after_s=2", "bounds.stable_window_ms=3000", "bounds.ack_ms=4000", "bounds.catch_up_s=4",
		"bounds.drain_ms=2000", "bounds.grace_s=8", "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000", "bounds.rollback_slack_ms=250",
		"bounds.max_stretch_ms=5000", "bounds.fail_closed=false", "bounds.revoke_ms=5000", "bounds.retry_budget_ratio=0.2",
		"bounds.budget_window_s=10", "bounds.retry_budget_extra=392", "bounds.recover_s=12", "bounds.pass_ms=120",
		"bounds.retry_after_s=0", "bounds.stall_ms=3000", "bounds.fencing_required=false", "bounds.ttl_max_s=5",
		"platform.address=" + storeAddress, "platform.form=objects", "platform.writes_per_s=400", "platform.reads_per_s=2000",
		"platform.history_s=20", "platform.value_bytes=1048576", "platform.ttl_min_ms=1000",
	}
	for _, zone := range zones {
		lines = append(lines, "zones."+zone+"=suva")
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts all machines and waits until they are ready.
func (fleet *fleet) start() error {
	for _, host := range fleet.hosts {
		if err := host.start(); err != nil {
			return err
		}
	}
	for _, host := range fleet.hosts {
		if err := host.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	fleet.record.printf("%d machines are ready", len(fleet.hosts))
	return nil
}

func (host *host) start() error {
	log, err := os.OpenFile(host.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	process := exec.Command(program, "gateway") // the run line of deploy/system.toml
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DRAGONFLYHATCH_CONFIG=" + host.settings}
	process.Stdout, process.Stderr = log, log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it does not outlive the harness
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	host.process, host.exited = process, exited
	go func() { host.exitErr = process.Wait(); close(exited) }()
	return nil
}

func (host *host) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + host.readiness + "/-/readyz")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode != http.StatusOK {
			continue
		}
		conn, err := net.DialTimeout("tcp", host.front, time.Second)
		if err == nil {
			conn.Close()
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", host.name)
}

// stop ends all processes that this fleet started: with SIGTERM, and those that run on
// for longer than the grace period with SIGKILL. It records how each ended.
func (fleet *fleet) stop() {
	for _, host := range fleet.hosts {
		if host.process != nil {
			_ = host.process.Process.Signal(syscall.SIGTERM) // it may have ended
		}
	}
	deadline := time.After(stopTime)
	for _, host := range fleet.hosts {
		if host.process == nil {
			continue
		}
		select {
		case <-host.exited:
		case <-deadline:
			_ = host.process.Process.Kill()
			<-host.exited
		}
		if host.exitErr != nil {
			fleet.record.printf("%s ended with %v", host.name, host.exitErr)
		}
	}
}

// remove deletes the settings and logs.
func (fleet *fleet) remove() { _ = os.RemoveAll(fleet.dir) }

// logged returns the lines of a machine's log that contain the text.
func (host *host) logged(text string) []string {
	content, err := os.ReadFile(host.log)
	if err != nil {
		return nil
	}
	var lines []string
	for line := range strings.SplitSeq(string(content), "\n") {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}
