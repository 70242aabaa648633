package hatchconfig

import (
	"slices"
	"strings"

	"dragonflyhatch"
)

// Configuration is the configuration of one site's daemons: the base merged with
// the site's overlay.
type Configuration struct {
	Version       uint64                  `json:"-"` // of the accepted configuration
	Site          string                  `json:"-"`
	SealingKeys   []SealingKey            `json:"sealingKeys" config:"required"` // the first encrypts, any decrypts
	Organisations map[string]Organisation `json:"organisations" config:"required"`
	Models        map[string]Model        `json:"models"`
	Engines       map[string]Engine       `json:"engines"`
	Services      map[string]Service      `json:"services"`
}

// Organisation is a customer of the fleet.
type Organisation struct {
	TokenHashes []TokenHash `json:"tokenHashes" config:"required"`
	Deadline    Duration    `json:"deadline" config:"required"` // maximum time from a request to its complete answer
	Share       int         `json:"share"`                      // weight while the fleet is at capacity, 1 by default
}

// Model is a language model whose layers are distributed over engines.
type Model struct {
	Layers    int `json:"layers" config:"required"`
	MaxTokens int `json:"maxTokens" config:"required"` // longest answer, in tokens
}

// Engine is an upstream that holds a range of a model's layers.
type Engine struct {
	Address       string `json:"address" config:"required"`
	Site          string `json:"site" config:"required"`
	Model         string `json:"model" config:"required"`
	Version       string `json:"version" config:"required"`
	FirstLayer    int    `json:"firstLayer"`
	EndLayer      int    `json:"endLayer" config:"required"` // the layer after the last
	Accelerator   string `json:"accelerator"`
	Slots         int    `json:"slots"`         // concurrent streams, 1 by default
	Managed       bool   `json:"managed"`       // the fleet sends layer commands to make it hold this range
	ChecksFencing bool   `json:"checksFencing"` // it refuses layer commands with an old fencing number
}

// Layers returns the range of layers that the engine holds.
func (engine Engine) Layers() dragonflyhatch.LayerRange {
	return dragonflyhatch.LayerRange{First: engine.FirstLayer, End: engine.EndLayer}
}

// Service is a plain service with its replicas.
type Service struct {
	Replicas map[string]Replica `json:"replicas" config:"required"`
	Routes   []Route            `json:"routes"`
}

// Replica is an upstream that serves a plain service.
type Replica struct {
	Address string `json:"address" config:"required"`
	Site    string `json:"site" config:"required"`
}

// Route states whether the service's calls that it matches may be sent more than
// once. A call that matches no route may not.
type Route struct {
	Method     string `json:"method" config:"required"`
	Path       string `json:"path" config:"required"` // a trailing * matches any suffix
	Repeatable bool   `json:"repeatable"`
}

// Resolve merges the base with the overlay of the site, if there is one, and
// checks the result; the error is of type Faults.
func Resolve(accepted dragonflyhatch.AcceptedConfiguration, site string) (*Configuration, error) {
	merged, faults := parse(accepted.Base.Name, accepted.Base.Text)
	for _, overlay := range accepted.Overlays {
		if overlay.Site != site || merged == nil {
			continue
		}
		tree, overlayFaults := parse(overlay.Name, overlay.Text)
		faults = append(faults, overlayFaults...)
		if tree != nil {
			merged = mergeTrees(merged, tree)
		}
	}
	if merged == nil {
		return nil, faults.err()
	}
	configuration, resolveFaults := decodeConfiguration(merged, accepted.Base.Name)
	if faults = append(faults, resolveFaults...); len(faults) > 0 {
		return nil, faults.err()
	}
	configuration.Version = accepted.Version
	configuration.Site = site
	return configuration, nil
}

// Check checks the base without an overlay and with each overlay. It returns the
// faults of all sites in one error of type Faults.
func Check(accepted dragonflyhatch.AcceptedConfiguration) error {
	var faults Faults
	sites := []string{""}
	for _, overlay := range accepted.Overlays {
		if slices.Contains(sites, overlay.Site) {
			faults = append(faults, Fault{Position{overlay.Name, 1}, "", "the overlay has no site, or its site already has an overlay"})
			continue
		}
		sites = append(sites, overlay.Site)
	}
	for _, site := range sites {
		if _, err := Resolve(accepted, site); err != nil {
			faults = append(faults, err.(Faults)...)
		}
	}
	return faults.err()
}

// Repeatable reports whether a call may be sent more than once. The path may have a
// query, which is ignored.
func (service Service) Repeatable(method, path string) bool {
	path, _, _ = strings.Cut(path, "?")
	for _, route := range service.Routes {
		if route.matches(method, path) {
			return route.Repeatable
		}
	}
	return false
}

func (route Route) matches(method, path string) bool {
	if route.Method != method {
		return false
	}
	if prefix, ok := strings.CutSuffix(route.Path, "*"); ok {
		return strings.HasPrefix(path, prefix)
	}
	return route.Path == path
}
