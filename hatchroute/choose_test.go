package hatchroute

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dragonflyhatch"
	"dragonflyhatch/hatchconfig"
)

// pool is a configuration of engines, some of which are drained.
type pool struct {
	configuration *hatchconfig.Configuration
	drained       map[string]bool
}

// drawPool draws a random pool.
func drawPool(t *rapid.T) pool {
	layers := rapid.IntRange(1, 12).Draw(t, "layers")
	drawn := pool{
		drained: make(map[string]bool),
		configuration: &hatchconfig.Configuration{
			Site:    "here",
			Models:  map[string]hatchconfig.Model{"m": {Layers: layers, MaxTokens: 8}},
			Engines: make(map[string]hatchconfig.Engine),
		},
	}
	for i := range rapid.IntRange(0, 24).Draw(t, "engines") {
		first := rapid.IntRange(0, layers-1).Draw(t, "first")
		engine := hatchconfig.Engine{
			Address: fmt.Sprintf("10.0.0.%d:1", i), Model: "m", Slots: 1,
			Site:       rapid.SampledFrom([]string{"here", "there"}).Draw(t, "site"),
			Version:    rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version"),
			FirstLayer: first,
			EndLayer:   rapid.IntRange(first+1, layers).Draw(t, "end"),
		}
		drawn.configuration.Engines[fmt.Sprintf("e%d", i)] = engine
		drawn.drained[engine.Address] = rapid.IntRange(0, 3).Draw(t, "drained") == 0
	}
	return drawn
}

// coverable reports whether engines of the version that are not drained cover all
// layers. It is the oracle of the test, and determines layer by layer which layers
// can be the first one after a sequence of such engines.
func (pool pool) coverable(version string) bool {
	layers := pool.configuration.Models["m"].Layers
	reached := make([]bool, layers+1)
	reached[0] = true
	for layer := range layers {
		for _, engine := range pool.configuration.Engines {
			if reached[layer] && engine.Version == version && engine.FirstLayer == layer && !pool.drained[engine.Address] {
				reached[engine.EndLayer] = true
			}
		}
	}
	return reached[layers]
}

// TestPipelinesCoverEachLayerOnce checks that a chosen pipeline runs each layer of one
// version once and in order, that it uses no drained engine, and that one is found if
// and only if it exists.
func TestPipelinesCoverEachLayerOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := drawPool(t)
		snapshot := NewSnapshot(pool.configuration, func(address string) bool { return pool.drained[address] }, NewHealthSet())
		version := rapid.SampledFrom([]string{"", "v1", "v2"}).Draw(t, "wanted")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		choice, err := snapshot.Choose(time.Unix(0, 0), Request{Model: "m", Version: version, Prefix: random.Uint64()}, random)
		coverable := version != "" && pool.coverable(version) || version == "" && (pool.coverable("v1") || pool.coverable("v2"))
		if (err == nil) != coverable {
			t.Fatalf("Choose returned the error %v, but the layers can be covered: %v", err, coverable)
		}
		if err != nil {
			if dragonflyhatch.KindOf(err) != dragonflyhatch.KindUpstreamUnavailable {
				t.Fatalf("wrong kind: %v", err)
			}
			return
		}
		pool.check(t, choice, version)
	})
}

// check fails the test if the pipeline does not run each layer once, mixes versions or
// uses a drained engine.
func (pool pool) check(t *rapid.T, choice Choice, version string) {
	next := 0
	for _, stage := range choice.Pipeline.Stages {
		engine := pool.configuration.Engines[stage.Upstream]
		switch {
		case stage.Layers.First != next || stage.Layers != engine.Layers():
			t.Fatalf("stage %v begins at layer %d, want %d", stage, stage.Layers.First, next)
		case engine.Version != choice.Pipeline.Version || version != "" && engine.Version != version:
			t.Fatalf("%s of version %s is in a pipeline of version %s", stage.Upstream, engine.Version, choice.Pipeline.Version)
		case pool.drained[stage.Address]:
			t.Fatalf("%s is drained", stage.Upstream)
		}
		next = stage.Layers.End
	}
	if next != pool.configuration.Models["m"].Layers {
		t.Fatalf("the pipeline ends at layer %d", next)
	}
}
