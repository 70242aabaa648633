package hatchproof

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"dragonflyhatch"
	"dragonflyhatch/hatchconfig"
	"dragonflyhatch/hatchentry"
	"dragonflyhatch/hatchload"
	"dragonflyhatch/hatchstandin"
)

var (
	binary  string // path of the program under test
	measure = flag.String("measure", "", "measurement to run: load, recovery or control")

	measureFor = flag.Duration("measure-for", 12*time.Second, "duration of a measured load")
)

func TestMain(m *testing.M) {
	directory, err := os.MkdirTemp("", "hatchproof")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(directory, "dragonflyhatch")
	flag.Parse()
	args := []string{"build", "-race", "-o", binary, "../cmd/dragonflyhatch"}
	if *measure != "" {
		args = slices.Delete(args, 1, 2)
	}
	build := exec.Command("go", args...)
	if output, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v: %s", err, output))
	}
	code := m.Run()
	os.RemoveAll(directory)
	os.Exit(code)
}

const (
	operatorToken = "operator"
	callerToken   = "caller"
	layers        = 12
	modelVersion  = "v1"
)

// fleetSpec describes a fleet to start.
type fleetSpec struct {
	hosts         int
	pipelines     int
	intervals     []time.Duration // between tokens, assigned to the pipelines in turn
	slots         int             // of each engine
	organisations int
	deadline      string // of all organisations, such as "8s"
	policy        hatchconfig.Policy
	stopBound     time.Duration
}

// smallFleet returns the fleet that most tests use.
func smallFleet(hosts, pipelines int) fleetSpec {
	return fleetSpec{
		hosts: hosts, pipelines: pipelines, intervals: []time.Duration{5 * time.Millisecond}, slots: 64,
		organisations: 1, deadline: "8s", stopBound: 20 * time.Second,
	}
}

// enginesPerProcess is the number of engine stand-ins in one process.
const enginesPerProcess = 10

// fleet is a running fleet: a platform, engines, a service and hosts, as separate
// processes.
type fleet struct {
	t               *testing.T
	spec            fleetSpec
	directory       string
	platform        string   // address
	service         string   // address
	engines         []string // addresses; even ones hold the first half of the layers, odd ones the second
	hosts           []*host
	acceptedVersion uint64 // of the configuration
	targetVersion   string // model version that the engines are to load
}

// host is the daemon process of an entry host.
type host struct {
	settings     hatchconfig.Settings
	settingsFile string
	process      *exec.Cmd
	exited       chan error
	logFile      string
}

// freeAddresses returns unused loopback addresses. They share a random address of
// the loopback range other than 127.0.0.1: the ports of that one may be taken by
// outgoing connections before the caller listens on them.
func freeAddresses(t *testing.T, count int) []string {
	t.Helper()
	host := fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(250), rand.IntN(250), 2+rand.IntN(250))
	addresses := make([]string, count)
	for i := range addresses {
		listener, err := net.Listen("tcp", host)
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		addresses[i] = listener.Addr().String()
	}
	return addresses
}

// startFleet starts a small fleet and applies a configuration.
func startFleet(t *testing.T, hosts, pipelines int) *fleet {
	t.Helper()
	return startFleetFromSpec(t, smallFleet(hosts, pipelines))
}

// startFleetFromSpec starts a fleet, applies a configuration and waits until the
// hosts are ready.
func startFleetFromSpec(t *testing.T, spec fleetSpec) *fleet {
	t.Helper()
	hostCount, pipelines := spec.hosts, spec.pipelines
	addresses := freeAddresses(t, 2+2*pipelines+3*hostCount)
	fleet := &fleet{t: t, spec: spec, directory: t.TempDir(), platform: addresses[0], service: addresses[1], targetVersion: modelVersion}
	fleet.engines, addresses = addresses[2:2+2*pipelines], addresses[2+2*pipelines:]
	fleet.startProcess("platform", "standin", "platform", fleet.platform)
	fleet.startProcess("service", "standin", "service", fleet.service)
	for i, specs := range slices.Collect(slices.Chunk(fleet.engineSpecs(), enginesPerProcess)) {
		name := fmt.Sprintf("engines-%d", i)
		fleet.startProcess(name, "standin", "engine", fleet.writeJSON(name+".json", specs))
	}
	fleet.awaitOK(fleet.platform, "/standin/counts")
	fleet.awaitOK(fleet.service, "/standin/runs")
	for _, engine := range fleet.engines {
		fleet.awaitOK(engine, "/v1/state")
	}
	for i := range hostCount {
		fleet.hosts = append(fleet.hosts, fleet.newHost(i, addresses[3*i:3*i+3]))
		fleet.startHost(fleet.hosts[i])
	}
	for _, host := range fleet.hosts {
		fleet.awaitOK(host.settings.OperatorAddress, "/healthz")
	}
	fleet.applyConfiguration(fleet.hosts[0], spec.deadline)
	for _, host := range fleet.hosts {
		fleet.awaitOK(host.settings.OperatorAddress, "/readyz")
	}
	return fleet
}

func (fleet *fleet) writeJSON(name string, value any) string {
	fleet.t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		fleet.t.Fatal(err)
	}
	file := filepath.Join(fleet.directory, name)
	if err := os.WriteFile(file, text, 0o600); err != nil {
		fleet.t.Fatal(err)
	}
	return file
}

type engineSpec struct {
	Address string `json:"address"`
	hatchstandin.EngineSpec
}

func (fleet *fleet) engineSpecs() []engineSpec {
	var specs []engineSpec
	for i, address := range fleet.engines {
		first := i % 2 * layers / 2
		specs = append(specs, engineSpec{address, hatchstandin.EngineSpec{
			Name: fmt.Sprintf("engine-%d", i), Model: "assistant", Version: modelVersion,
			Layers:        dragonflyhatch.LayerRange{First: first, End: first + layers/2},
			TokenInterval: hatchstandin.Duration(fleet.tokenInterval(i / 2)), Slots: fleet.spec.slots, CacheBlocks: 256,
			PrefillTime: hatchstandin.Duration(time.Millisecond), LoadLag: hatchstandin.Duration(200 * time.Millisecond),
			ChecksFencing: checksFencing(i),
		}})
	}
	return specs
}

// tokenInterval returns the time between tokens of a pipeline.
func (fleet *fleet) tokenInterval(pipeline int) time.Duration {
	return fleet.spec.intervals[pipeline%len(fleet.spec.intervals)]
}

// checksFencing reports whether an engine refuses layer commands with an old fencing
// number. All but the first do.
func checksFencing(i int) bool {
	return i > 0
}

func (fleet *fleet) startProcess(name string, args ...string) (*exec.Cmd, chan error) {
	fleet.t.Helper()
	log, err := os.Create(filepath.Join(fleet.directory, name+".log"))
	if err != nil {
		fleet.t.Fatal(err)
	}
	process := exec.Command(binary, args...)
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		fleet.t.Fatal(err)
	}
	exited := make(chan error, 1)
	go func() { exited <- process.Wait() }()
	fleet.t.Cleanup(func() {
		_ = process.Process.Kill()
		log.Close()
		if text, err := os.ReadFile(log.Name()); err == nil && fleet.t.Failed() {
			fleet.t.Logf("log of %s:\n%s", name, lastLines(string(text), 40))
		}
	})
	return process, exited
}

func lastLines(text string, count int) string {
	lines := strings.Split(text, "\n")
	return strings.Join(lines[max(0, len(lines)-count):], "\n")
}

func (fleet *fleet) newHost(i int, addresses []string) *host {
	settings := hatchconfig.Settings{
		Host: fmt.Sprintf("host-%d", i), Site: []string{"walu-bay", "toorak"}[i%2],
		CallerAddress: addresses[0], OperatorAddress: addresses[1], PeerAddress: addresses[2],
		Platform:  fleet.platform,
		Peers:     []string{},
		Operators: map[string]hatchconfig.Operator{"tester": {TokenHash: hatchconfig.HashToken(operatorToken)}},
		Limits:    hatchconfig.DefaultLimits(),
		Timing:    hatchconfig.DefaultTiming(),
		Policy:    fleet.spec.policy,
	}
	for _, other := range fleet.hosts {
		settings.Peers = append(settings.Peers, other.settings.PeerAddress)
	}
	settings.Timing.EntriesTTL = hatchconfig.Duration(500 * time.Millisecond)
	settings.Timing.StopTimeout = hatchconfig.Duration(fleet.spec.stopBound)
	return &host{settings: settings, settingsFile: fleet.writeJSON(settings.Host+".json", settings)}
}

func (fleet *fleet) startHost(host *host) {
	fleet.t.Helper()
	host.process, host.exited = fleet.startProcess(host.settings.Host, "serve", host.settingsFile)
	host.logFile = filepath.Join(fleet.directory, host.settings.Host+".log")
}

func (fleet *fleet) awaitOK(address, path string) {
	fleet.t.Helper()
	for range 400 {
		response, err := http.Get("http://" + address + path)
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(25 * time.Millisecond)
	}
	fleet.t.Fatalf("no successful response from %s%s", address, path)
}

// put sends a command to a stand-in or to an operator listener and returns the
// status and body of the response, or status 0 and an error message.
func (fleet *fleet) put(address, path string, value any) (int, []byte) {
	fleet.t.Helper()
	body, err := json.Marshal(value)
	if err != nil {
		fleet.t.Fatal(err)
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		fleet.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, []byte(err.Error())
	}
	defer response.Body.Close()
	var responseBody bytes.Buffer
	if _, err := responseBody.ReadFrom(response.Body); err != nil {
		return 0, []byte(err.Error())
	}
	return response.StatusCode, responseBody.Bytes()
}

// get queries an operator listener or a stand-in.
func (fleet *fleet) get(address, path string, into any) error {
	request, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(into)
}

// configurationSource returns the fleet's configuration, with the deadline for all
// organisations.
func (fleet *fleet) configurationSource(deadline string) dragonflyhatch.SourceFile {
	var organisations, engines strings.Builder
	for i := range fleet.spec.organisations {
		hash, _ := hatchconfig.HashToken(organisationToken(i)).MarshalText()
		fmt.Fprintf(&organisations, `"office-%d": {"tokenHashes": [%q], "deadline": %q},`, i, hash, deadline)
	}
	for i, address := range fleet.engines {
		first := i % 2 * layers / 2
		fmt.Fprintf(&engines, `"engine-%d": {"address": %q, "site": "walu-bay", "model": "assistant", "version": %q, "firstLayer": %d, "endLayer": %d, "slots": %d, "managed": true, "checksFencing": %v},`,
			i, address, fleet.targetVersion, first, first+layers/2, fleet.spec.slots, checksFencing(i))
	}
	return dragonflyhatch.SourceFile{Name: "base.hujson", Text: fmt.Sprintf(`{
		"sealingKeys": ["AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="],
		"organisations": {%s},
		"models": {"assistant": {"layers": %d, "maxTokens": 64}},
		"engines": {%s},
		"services": {"orders": {"replicas": {"orders-0": {"address": %q, "site": "walu-bay"}}, "routes": [{"method": "GET", "path": "/menu", "repeatable": true}]}},
	}`, organisations.String(), layers, engines.String(), fleet.service)}
}

// organisationToken returns the bearer token of an organisation.
func organisationToken(organisation int) string {
	return fmt.Sprintf("%s-%d", callerToken, organisation)
}

// proposeConfiguration sends a configuration to a host and returns the status and
// body of the response.
func (fleet *fleet) proposeConfiguration(at *host, ifVersion uint64, deadline string) (int, []byte) {
	return fleet.put(at.settings.OperatorAddress, "/v1/configuration", hatchentry.Proposal{
		IfVersion: ifVersion, Base: fleet.configurationSource(deadline),
	})
}

func (fleet *fleet) applyConfiguration(at *host, deadline string) {
	fleet.t.Helper()
	status, body := fleet.proposeConfiguration(at, fleet.acceptedVersion, deadline)
	if status != http.StatusOK {
		fleet.t.Fatalf("configuration refused: %d %s", status, body)
	}
	fleet.acceptedVersion++
}

// setPlatformFaults sets the faults of the platform stand-in.
func (fleet *fleet) setPlatformFaults(faults hatchstandin.PlatformFaults) {
	fleet.put(fleet.platform, "/standin/faults", faults)
}

func (fleet *fleet) setServiceFaults(faults hatchstandin.ServiceFaults) {
	fleet.put(fleet.service, "/standin/faults", faults)
}

func (fleet *fleet) setEngineFaults(i int, faults hatchstandin.EngineFaults) {
	fleet.put(fleet.engines[i], "/standin/faults", faults)
}

func (host *host) signal(signal syscall.Signal) {
	_ = host.process.Process.Signal(signal)
}

// capacity returns the number of tokens per second that the engines can generate.
func (fleet *fleet) capacity() float64 {
	capacity := 0.0
	for i := range fleet.spec.pipelines {
		capacity += float64(fleet.spec.slots) / fleet.tokenInterval(i).Seconds()
	}
	return capacity
}

// load sends a load generated from a seed while disturb runs, and returns the report.
func (fleet *fleet) load(trace hatchload.TraceSpec, disturb func()) *hatchload.Report {
	fleet.t.Helper()
	timeLimit, err := time.ParseDuration(fleet.spec.deadline)
	if err != nil {
		fleet.t.Fatal(err)
	}
	plan := hatchload.Plan{
		Model: "assistant", ModelVersion: modelVersion, Layers: layers,
		OrderPath: "orders/standing", ReadPath: "orders/menu", ServiceAddress: fleet.service, MaxConcurrent: 4096,
	}
	for _, host := range fleet.hosts {
		plan.EntryHosts = append(plan.EntryHosts, host.settings.CallerAddress)
	}
	for i := range fleet.spec.organisations {
		plan.BearerTokens = append(plan.BearerTokens, organisationToken(i))
		plan.MaxDurations = append(plan.MaxDurations, timeLimit)
		trace.Weights = append(trace.Weights, 1/float64(1+i)) // a few organisations send most of the requests
	}
	plan.Capacity = fleet.capacity()
	trace.Prefixes, trace.MaxPromptWords = 8, 20
	if trace.MaxTokens == 0 {
		trace.MaxTokens = 48
	}
	disturbed := make(chan struct{})
	go func() {
		defer close(disturbed)
		disturb()
	}()
	report, err := hatchload.Run(context.Background(), plan, hatchload.Generate(trace))
	<-disturbed
	if err != nil {
		fleet.t.Fatal(err)
	}
	var text strings.Builder
	report.Print(&text)
	fleet.t.Log(text.String())
	return report
}

// checkReport checks that no guarantee was violated and that requests were served.
func (fleet *fleet) checkReport(report *hatchload.Report) {
	fleet.t.Helper()
	if violations := report.Violations(); violations > 0 {
		fleet.t.Errorf("%d guarantees were violated", violations)
	}
	if report.Outcomes["served"] == 0 {
		fleet.t.Error("no request was served")
	}
}
