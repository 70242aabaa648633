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
	testEvents  = 40
	testLayers  = 8
	testService = "lm"
)

// world is a store, engines and gateways on loopback.
type world struct {
	t        *testing.T
	number   int // of this world in the process
	platform *hatchstandin.Platform
	server   *httptest.Server
	store    *platform.Store
	set      *hatchstandin.LayerEngines
	engines  []*hatchstandin.LayerEngine
	gateways []*testGateway
}

// testGateway is a gateway and what stops it.
type testGateway struct {
	*Gateway
	settings *platform.Settings
	stop     context.CancelFunc
	ended    chan error
	log      *hatchstandin.Output
}

func newWorld(t *testing.T, gateways int) *world {
	standIn := hatchstandin.NewPlatform()
	server := httptest.NewServer(standIn.Handler())
	world := &world{t: t, number: int(worlds.Add(1)), platform: standIn, server: server, store: platform.NewStore(server.Listener.Addr().String()), set: hatchstandin.NewLayerEngines()}
	t.Cleanup(func() {
		for _, gateway := range world.gateways {
			gateway.stop()
		}
		for _, gateway := range world.gateways {
			<-gateway.ended
		}
		for _, engine := range world.engines {
			engine.Crash()
		}
		server.CloseClientConnections()
		server.Close()
	})
	world.configure(1, "/draft/")
	for i, site := range []string{"a", "a", "a", "b", "b", "b"} {
		world.startEngine(fmt.Sprintf("i-%d", i), site)
	}
	for i := range gateways {
		world.startGateway(i, world.peers()...)
	}
	return world
}

// configure writes the operator's configuration with one streaming route.
func (world *world) configure(version int, prefix string) {
	text := fmt.Sprintf(`{"version":%d,"routes":[{"name":"draft","host":"h.example","path_prefix":%q,"route_type":"streaming",
		"timeout_ms":8000,"target_latency_ms":500,"service":%q,"max_attempts":2,"sticky":true,"resumable":true,"gap_target_ms":200}],
		"services":[{"name":%q,"engine":{"slots":64,"kv_bytes":1000,"layers":%d,"layer_mb":100,"models":[{"load_s":0.8}],
		"kinds":[{"name":"card","footprint":700,"pace":1,"read_factor":1}],"usual":{"prompt":10,"answer":40}}}],
		"tenants":[{"name":"office","api_keys":["secret"]}]}`, version, prefix, testService, testService, testLayers)
	ctx := context.Background()
	var err error
	if version == 1 {
		_, err = world.store.Create(ctx, platform.RoutingName, []byte(text))
	} else {
		_, err = world.store.Update(ctx, platform.RoutingName, 0, []byte(text))
	}
	if err != nil {
		world.t.Fatal(err)
	}
}

func (world *world) startEngine(id, site string) {
	var engine *hatchstandin.LayerEngine
	register := func(first bool) {
		entry, err := json.Marshal(engine.Registration())
		if err != nil {
			world.t.Error(err)
			return
		}
		name := platform.ReplicaKind + "/" + id
		if first {
			_, err = world.store.Create(context.Background(), name, entry)
		} else {
			_, err = world.store.Update(context.Background(), name, 0, entry)
		}
		if err != nil && first {
			world.t.Error(err) // later ones may meet a store that is out
		}
	}
	var err error
	engine, err = world.set.Start(hatchstandin.LayerEngineSpec{
		ID: id, Service: testService, Zone: site, Accelerator: "card", MemoryLayers: 7,
		Events: testEvents, EventInterval: 10 * time.Millisecond, LoadTime: 50 * time.Millisecond,
	}, func() { register(false) })
	if err != nil {
		world.t.Fatal(err)
	}
	world.engines = append(world.engines, engine)
	register(true)
}

// gatewayIP returns the loopback address of a gateway, its own as on a machine:
// on a shared one any outgoing connection may take a port before it is listened
// on.
func (world *world) gatewayIP(number int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 1+world.number%250, 1+number)
}

// worlds counts the worlds that were made.
var worlds atomic.Int32

// peers returns the addresses of the gateways for each other.
func (world *world) peers() []string {
	var addresses []string
	for _, gateway := range world.gateways {
		addresses = append(addresses, gateway.settings.PeerAddress)
	}
	return addresses
}

func (world *world) startGateway(number int, seeds ...string) *testGateway {
	ip := world.gatewayIP(number)
	settings := &platform.Settings{
		Host: fmt.Sprintf("h-%d", number), IP: ip, Site: []string{"a", "b"}[number%2],
		CallerAddress: ip + ":8080", ReadyAddress: ip + ":8081", PeerAddress: ip + ":8082",
		DirectoryAddress: ip + ":8083", StoreAddress: world.server.Listener.Addr().String(), Seeds: seeds,
		Bounds: platform.Bounds{
			StopTime: 2 * time.Second, RetryRatio: 0.2, RetryExtra: 400, RetryWindow: 10 * time.Second, MaxDirectoryTTL: 5 * time.Second,
		},
	}
	log := new(hatchstandin.Output)
	gateway := New(settings, WithLogger(slog.New(slog.NewJSONHandler(log, &slog.HandlerOptions{Level: slog.LevelDebug}))))
	ctx, stop := context.WithCancel(context.Background())
	started := &testGateway{Gateway: gateway, settings: settings, stop: stop, ended: make(chan error, 1), log: log}
	go func() {
		err := gateway.Run(ctx)
		if err != nil && ctx.Err() == nil {
			world.t.Errorf("gateway %s did not start: %v", settings.Host, err)
		}
		started.ended <- err
		close(started.ended)
	}()
	world.gateways = append(world.gateways, started)
	return started
}

// eventually wants the condition to hold within the time, and shows the logs of
// all gateways if it does not.
func (world *world) eventually(within time.Duration, what string, condition func() bool) {
	deadline := time.Now().Add(within)
	held := condition()
	for !held && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
		held = condition()
	}
	if !held {
		world.showLogs(what)
	}
	convey.So(held, convey.ShouldBeTrue)
}

// linesShown bounds the lines of one gateway's log that a failed wait shows.
const linesShown = 80

// showLogs prints the end of each gateway's log, without the lines of single
// attempts.
func (world *world) showLogs(what string) {
	for _, gateway := range world.gateways {
		lines := slices.DeleteFunc(strings.Split(gateway.log.String(), "\n"), func(line string) bool {
			return strings.Contains(line, `"level":"DEBUG"`)
		})
		lines = lines[max(len(lines)-linesShown, 0):]
		world.t.Logf("%s: not within its time; log of %s:\n%s", what, gateway.settings.Host, strings.Join(lines, "\n"))
	}
}

// call sends a streaming request to the gateway and returns the status and the
// number of whole events.
func (gateway *testGateway) call(path, id string) (status, events int) {
	request, err := http.NewRequest("POST", "http://"+gateway.settings.CallerAddress+path, strings.NewReader("prompt"))
	if err != nil {
		return 0, 0
	}
	request.Host = "h.example"
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Authorization", "Bearer secret")
	request.Header.Set("Token-Count", "10,40")
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

// served says whether every gateway serves a whole stream.
func (world *world) served() bool {
	for i, gateway := range world.gateways {
		if status, events := gateway.call("/draft/x", fmt.Sprint("probe-", i)); status != 200 || events != testEvents {
			return false
		}
	}
	return true
}

// directory returns the addresses that a gateway gives to callers in site b.
func (gateway *testGateway) directory() []string {
	response, err := http.Get("http://" + gateway.settings.DirectoryAddress + "/-/resolve?name=h.example&zone=b")
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(response.Body).Decode(&answer) != nil {
		return nil
	}
	return answer.Addresses
}

func (world *world) leaders() int {
	leaders := 0
	for _, gateway := range world.gateways {
		if gateway.isLeader() {
			leaders++
		}
	}
	return leaders
}

// holds says whether the engines hold every layer between them.
func (world *world) holds(_ string, engines []*hatchstandin.LayerEngine) bool {
	held := make([]bool, testLayers)
	for _, engine := range engines {
		from, to := engine.Held()
		for layer := from; layer < to; layer++ {
			held[layer] = true
		}
	}
	for _, is := range held {
		if !is {
			return false
		}
	}
	return true
}
