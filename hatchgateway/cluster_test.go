package hatchgateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"dragonflyhatch/hatchstandin"
	"dragonflyhatch/platform"
)

const (
	eventsPerStream = 40
	layerCount      = 8
	serviceName     = "lm"
	deadlyPart      = "dead" // of a prompt, at which the engines crash
)

// cluster is a store, engines and gateways on loopback.
type cluster struct {
	t         *testing.T
	number    int // part of the addresses, unique in the process
	platform  *hatchstandin.Platform
	server    *httptest.Server
	store     *platform.Store
	engineSet *hatchstandin.LayerEngineSet
	engines   []*hatchstandin.LayerEngine
	gateways  []*testGateway

	limit    string // that the engines name
	arrivals arrivalLog
}

// testGateway is a running gateway with its log and the function that stops it.
type testGateway struct {
	*Gateway
	settings *platform.Settings
	stop     context.CancelFunc
	runError chan error
	log      *hatchstandin.OutputBuffer
}

// newCluster starts six engines in two sites and the given number of gateways.
func newCluster(t *testing.T, gateways int, options ...func(*cluster)) *cluster {
	standIn := hatchstandin.NewPlatform()
	server := httptest.NewServer(standIn.Handler())
	cluster := &cluster{t: t, number: int(clusterCount.Add(1)), platform: standIn, server: server, store: platform.NewStore(server.Listener.Addr().String()), engineSet: hatchstandin.NewLayerEngineSet()}
	for _, option := range options {
		option(cluster)
	}
	t.Cleanup(func() {
		for _, gateway := range cluster.gateways {
			gateway.stop()
		}
		for _, gateway := range cluster.gateways {
			<-gateway.runError
		}
		for _, engine := range cluster.engines {
			engine.Crash()
		}
		server.CloseClientConnections()
		server.Close()
	})
	cluster.configure(1, "/draft/")
	for i, site := range []string{"a", "a", "a", "b", "b", "b"} {
		cluster.startEngine(fmt.Sprintf("i-%d", i), site)
	}
	for i := range gateways {
		cluster.startGateway(i, cluster.peerAddresses()...)
	}
	return cluster
}

// configure writes the operator's configuration with one streaming route.
func (cluster *cluster) configure(version int, prefix string) {
	text := fmt.Sprintf(`{"version":%d,"routes":[{"name":"draft","host":"h.example","path_prefix":%q,"route_type":"streaming",
		"timeout_ms":8000,"target_latency_ms":500,"service":%q,"max_attempts":2,"sticky":true,"resumable":true,"gap_target_ms":200}],
		"services":[{"name":%q,"engine":{"slots":64,"kv_bytes":1000,"layers":%d,"layer_mb":100,"models":[{"load_s":0.8}],
		"kinds":[{"name":"card","footprint":700,"pace":1,"read_factor":1}],"usual":{"prompt":10,"answer":40}}}],
		"tenants":[{"name":"office","api_keys":["secret"]}]}`, version, prefix, serviceName, serviceName, layerCount)
	ctx := context.Background()
	var err error
	if version == 1 {
		_, err = cluster.store.Create(ctx, platform.RoutingName, []byte(text))
	} else {
		_, err = cluster.store.Update(ctx, platform.RoutingName, 0, []byte(text))
	}
	if err != nil {
		cluster.t.Fatal(err)
	}
}

// startEngine starts an engine that registers in the store.
func (cluster *cluster) startEngine(id, site string) {
	var engine *hatchstandin.LayerEngine
	register := func(first bool) {
		entry, err := json.Marshal(engine.Registration())
		if err != nil {
			cluster.t.Error(err)
			return
		}
		name := platform.ReplicaKind + "/" + id
		if first {
			_, err = cluster.store.Create(context.Background(), name, entry)
		} else {
			_, err = cluster.store.Update(context.Background(), name, 0, entry)
		}
		if err != nil && first {
			cluster.t.Error(err) // later updates may fail in an outage of the store
		}
	}
	var err error
	engine, err = cluster.engineSet.Start(hatchstandin.LayerEngineSpec{
		ID: id, Service: serviceName, Zone: site, Accelerator: "card", MemoryLayers: 7,
		Events: eventsPerStream, EventInterval: 10 * time.Millisecond, LoadTime: 50 * time.Millisecond, DeadlyPart: deadlyPart,
		Limit: cluster.limit, OnArrival: func(arrival hatchstandin.Arrival) { cluster.arrivals.add(id, arrival) },
	}, func() { register(false) })
	if err != nil {
		cluster.t.Fatal(err)
	}
	cluster.engines = append(cluster.engines, engine)
	register(true)
}

// gatewayIP returns the loopback address of a gateway. Each has its own, as on
// separate hosts: on a shared one an outgoing connection may occupy a port before
// the gateway listens on it.
func (cluster *cluster) gatewayIP(number int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 1+cluster.number%250, 1+number)
}

// clusterCount is the number of clusters created in the process.
var clusterCount atomic.Int32

// peerAddresses returns the gossip addresses of the gateways started so far.
func (cluster *cluster) peerAddresses() []string {
	var addresses []string
	for _, gateway := range cluster.gateways {
		addresses = append(addresses, gateway.settings.PeerAddress)
	}
	return addresses
}

// startGateway starts a gateway with the seeds.
func (cluster *cluster) startGateway(number int, seeds ...string) *testGateway {
	ip := cluster.gatewayIP(number)
	settings := &platform.Settings{
		Host: fmt.Sprintf("h-%d", number), IP: ip, Site: []string{"a", "b"}[number%2],
		CallerAddress: ip + ":8080", ReadyAddress: ip + ":8081", PeerAddress: ip + ":8082",
		DirectoryAddress: ip + ":8083", StoreAddress: cluster.server.Listener.Addr().String(), Seeds: seeds,
		Bounds: platform.Bounds{
			StopTime: 2 * time.Second, RetryRatio: 0.2, RetryExtra: 400, RetryWindow: 10 * time.Second, MaxDirectoryTTL: 5 * time.Second,
		},
	}
	log := new(hatchstandin.OutputBuffer)
	gateway := New(settings, WithLogger(slog.New(slog.NewJSONHandler(log, &slog.HandlerOptions{Level: slog.LevelDebug}))))
	ctx, stop := context.WithCancel(context.Background())
	started := &testGateway{Gateway: gateway, settings: settings, stop: stop, runError: make(chan error, 1), log: log}
	go func() {
		err := gateway.Run(ctx)
		if err != nil && ctx.Err() == nil {
			cluster.t.Errorf("gateway %s did not start: %v", settings.Host, err)
		}
		started.runError <- err
		close(started.runError)
	}()
	cluster.gateways = append(cluster.gateways, started)
	return started
}

// eventually asserts that the condition becomes true within the time, and prints
// the logs of all gateways if it does not.
func (cluster *cluster) eventually(within time.Duration, what string, condition func() bool) {
	deadline := time.Now().Add(within)
	met := condition()
	for !met && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
		met = condition()
	}
	if !met {
		cluster.showLogs(what)
	}
	convey.So(met, convey.ShouldBeTrue)
}

// maxLogLines bounds the lines of each gateway's log printed after a failed wait.
const maxLogLines = 80

// showLogs prints the end of each gateway's log without debug lines.
func (cluster *cluster) showLogs(what string) {
	for _, gateway := range cluster.gateways {
		lines := slices.DeleteFunc(strings.Split(gateway.log.String(), "\n"), func(line string) bool {
			return strings.Contains(line, `"level":"DEBUG"`)
		})
		lines = lines[max(len(lines)-maxLogLines, 0):]
		cluster.t.Logf("timed out waiting until %s; log of %s:\n%s", what, gateway.settings.Host, strings.Join(lines, "\n"))
	}
}

// call sends a streaming request to the gateway and returns the status and the
// number of complete events.
func (gateway *testGateway) call(path, id string, parts ...string) (status, events int) {
	request, err := http.NewRequest("POST", "http://"+gateway.settings.CallerAddress+path, strings.NewReader("prompt"))
	if err != nil {
		return 0, 0
	}
	request.Host = "h.example"
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Authorization", "Bearer secret")
	request.Header.Set("Token-Count", "10,40")
	if len(parts) > 0 {
		request.Header.Set("Prompt-Prefix", strings.Join(parts, ":1,")+":1")
	}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return 0, 0
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, 0
	}
	return response.StatusCode, strings.Count(string(body), "data: token")
}

// allServing reports whether every gateway serves a complete stream.
func (cluster *cluster) allServing() bool {
	for i, gateway := range cluster.gateways {
		if status, events := gateway.call("/draft/x", fmt.Sprint("probe-", i)); status != 200 || events != eventsPerStream {
			return false
		}
	}
	return true
}

// directoryAddresses returns the addresses that the gateway's directory lists for
// callers in site b.
func (gateway *testGateway) directoryAddresses() []string {
	response, err := http.Get("http://" + gateway.settings.DirectoryAddress + "/-/resolve?name=h.example&zone=b")
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var reply struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(response.Body).Decode(&reply) != nil {
		return nil
	}
	return reply.Addresses
}

// leaders returns how many gateways consider themselves the leader.
func (cluster *cluster) leaders() int {
	leaders := 0
	for _, gateway := range cluster.gateways {
		if gateway.isLeader() {
			leaders++
		}
	}
	return leaders
}

// holdAllLayers reports whether the engines together hold every layer.
func (cluster *cluster) holdAllLayers(_ string, engines []*hatchstandin.LayerEngine) bool {
	held := make([]bool, layerCount)
	for _, engine := range engines {
		from, to := engine.HeldRange()
		for layer := from; layer < to; layer++ {
			held[layer] = true
		}
	}
	for _, isHeld := range held {
		if !isHeld {
			return false
		}
	}
	return true
}
