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
	"syscall"
	"time"
)

// program is what the deploy file builds and runs, relative to the repository's root.
const program = "target/dragonflyhatch"

// settingsFormat is the settings file of a machine, with the bounds of the small sites.
const settingsFormat = `node_name=%[1]s
role=gateway
machine_class=edge
serves=edge,registry,control_plane
ip=%[2]s
zone=a
region=r
zones.a=r
listen.frontend=%[2]s:8227
listen.readiness=%[2]s:8220
listen.control_plane=%[2]s:8229
listen.registry=%[2]s:8224
internal_port_range=7340,7355
seed_nodes=%[3]s
bootstrap=%[4]t
fault_counted=false
limits.cpu_share=0.272
limits.cpu_cores=1
limits.memory_mb=206
limits.max_fds=2940
limits.link_mbps=700.0
limits.disk_mb=0
discovery=platform
entry=registry
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,layers
fault_tolerance.machines=2
fault_tolerance.zones=0
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.stable_window_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.max_stretch_ms=5000
bounds.fail_closed=false
bounds.revoke_ms=5000
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.retry_budget_extra=%[6]d
bounds.recover_s=12
bounds.pass_ms=120
bounds.retry_after_s=0
bounds.stall_ms=3000
bounds.fencing_required=false
bounds.ttl_max_s=5
platform.address=%[5]s
platform.form=objects
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
`

// graceTime is bounds.grace_s.
const graceTime = 8 * time.Second

// machine is a machine of the system and its gateway process.
type machine struct {
	name, ip string
	process  *os.Process   // nil if there is none
	exited   chan struct{} // closed when the process has ended
}

// frontend returns the address for requesters.
func (machine *machine) frontend() string { return machine.ip + ":8227" }

// fleet is the machines of the system.
type fleet struct {
	run      *run
	store    string // address
	machines []*machine
}

// newFleet returns a fleet of the given size at loopback addresses that nobody uses.
func newFleet(run *run, store string, size int) (*fleet, error) {
	fleet := &fleet{run: run, store: store}
	for range 20 {
		network := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		// The gateway serves its metrics at port 9464.
		if !isFree(network+"11:8227") || !isFree(network+"11:9464") {
			continue
		}
		for number := range size {
			fleet.machines = append(fleet.machines, &machine{name: fmt.Sprintf("edge-%d", number+1), ip: fmt.Sprintf("%s%d", network, 11+number)})
		}
		return fleet, nil
	}
	return nil, errors.New("no free loopback addresses")
}

func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	listener.Close()
	return true
}

// start starts the gateways of all machines.
func (fleet *fleet) start(bootstrap bool) error {
	for _, machine := range fleet.machines {
		if err := fleet.startMachine(machine, bootstrap); err != nil {
			return err
		}
	}
	return nil
}

func (fleet *fleet) startMachine(machine *machine, bootstrap bool) error {
	var seeds []string
	for _, seed := range fleet.machines[:min(len(fleet.machines), 3)] {
		seeds = append(seeds, seed.ip+":8229")
	}
	path := filepath.Join(fleet.run.temp, machine.name+".conf")
	// The small site has 392 for 12 machines.
	retryExtra := 392 * len(fleet.machines) / 12
	settings := fmt.Sprintf(settingsFormat, machine.name, machine.ip, strings.Join(seeds, ","), bootstrap, fleet.store, retryExtra)
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(fleet.logPath(machine), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(program, "gateway")
	command.Env = append(os.Environ(), "DRAGONFLYHATCH_CONFIG="+path)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	fleet.run.addProcess(command.Process)
	machine.process, machine.exited = command.Process, make(chan struct{})
	go func(exited chan struct{}) {
		_ = command.Wait() // killed processes return an error
		close(exited)
	}(machine.exited)
	fleet.run.record.printf("gateway of %s started at %s", machine.name, machine.ip)
	return nil
}

func (fleet *fleet) logPath(machine *machine) string {
	return filepath.Join(fleet.run.temp, machine.name+".log")
}

// kill kills all gateways at the same moment and waits for their ends.
func (fleet *fleet) kill() {
	for _, machine := range fleet.machines {
		if machine.process != nil {
			_ = machine.process.Signal(syscall.SIGKILL) // it may have ended
		}
	}
	for _, machine := range fleet.machines {
		if machine.process != nil {
			<-machine.exited
			machine.process = nil
		}
	}
}

// awaitReady waits until all machines say that they are ready.
func (fleet *fleet) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	client := &http.Client{Timeout: time.Second}
	for _, machine := range fleet.machines {
		for !isReady(client, machine) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %s", machine.name, limit)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func isReady(client *http.Client, machine *machine) bool {
	response, err := client.Get("http://" + machine.ip + ":8220/-/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// recordLogs copies the lines of the gateways' logs that contain one of the texts.
func (fleet *fleet) recordLogs(texts ...string) {
	for _, machine := range fleet.machines {
		log, err := os.ReadFile(fleet.logPath(machine))
		if err != nil {
			fleet.run.record.printf("log of %s: %v", machine.name, err)
			continue
		}
		for line := range strings.Lines(string(log)) {
			for _, text := range texts {
				if strings.Contains(line, text) {
					fleet.run.record.printf("log of %s: %s", machine.name, strings.TrimSpace(line))
					break
				}
			}
		}
	}
}
