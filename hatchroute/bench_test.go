package hatchroute

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dragonflyhatch"
	"dragonflyhatch/hatchconfig"
)

// sizedConfiguration returns a configuration with the given number of replicas, which
// are spread over 9 models with two stages each.
func sizedConfiguration(replicas int) *hatchconfig.Configuration {
	const models, layers = 9, 32
	configuration := &hatchconfig.Configuration{
		Site:    "s0",
		Models:  make(map[string]hatchconfig.Model),
		Engines: make(map[string]hatchconfig.Engine),
	}
	for i := range models {
		configuration.Models[fmt.Sprintf("m%d", i)] = hatchconfig.Model{Layers: layers, MaxTokens: 512}
	}
	for i := range replicas {
		first := i / models % 2 * layers / 2
		configuration.Engines[fmt.Sprintf("e%d", i)] = hatchconfig.Engine{
			Address: fmt.Sprintf("10.%d.%d.%d:9000", i>>16, i>>8&255, i&255), Site: fmt.Sprintf("s%d", i%11),
			Model: fmt.Sprintf("m%d", i%models), Version: "v1", FirstLayer: first, EndLayer: first + layers/2, Slots: 8,
		}
	}
	return configuration
}

func neverDrained(string) bool { return false }

// BenchmarkChoose measures the choice of a pipeline, which is made for each request.
func BenchmarkChoose(b *testing.B) {
	for _, replicas := range []int{500, 1000, 2000, 4000} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			snapshot := NewSnapshot(sizedConfiguration(replicas), neverDrained, NewHealthSet())
			random := rand.New(rand.NewPCG(1, 1))
			now := time.Now()
			request := Request{Model: "m1", Tokens: 64, TimeLeft: 4 * time.Second}
			b.ReportAllocs()
			for b.Loop() {
				request.Prefix = random.Uint64()
				if _, err := snapshot.Choose(now, request, random); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkSnapshot measures the construction of a Snapshot, which is rebuilt at each
// change of the configuration or of a drain.
func BenchmarkSnapshot(b *testing.B) {
	for _, replicas := range []int{500, 1000, 2000, 4000} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			configuration, healths := sizedConfiguration(replicas), NewHealthSet()
			b.ReportAllocs()
			for b.Loop() {
				NewSnapshot(configuration, neverDrained, healths)
			}
		})
	}
}

// BenchmarkChangesSince measures the comparison of two configurations that differ in
// one route.
func BenchmarkChangesSince(b *testing.B) {
	for _, count := range []int{500, 2000} {
		table := func(timeout time.Duration) *Table {
			routing := new(dragonflyhatch.Routing)
			for i := range count {
				name := fmt.Sprint("route-", i)
				routing.Routes = append(routing.Routes, dragonflyhatch.Route{
					Name: name, Host: "h.example", Prefix: "/" + name + "/", Services: []dragonflyhatch.WeightedService{{Name: "lm", Weight: 1}},
				})
			}
			routing.Routes[0].Timeout = timeout
			return NewTable(routing)
		}
		older, newer := table(time.Second), table(2*time.Second)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				newer.ChangesSince(older)
			}
		})
	}
}
