package hatchconfig

import (
	"cmp"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// The bounds of what a configuration may ask for.
const (
	minDeadline = 10 * time.Millisecond
	maxDeadline = time.Hour
	maxLayers   = 1024
	maxTokens   = 1 << 20
	maxSlots    = 4096
	maxShare    = 1000
)

var routeMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

// resolveTree decodes and checks a merged tree.
func resolveTree(tree *node, file string) (*Configuration, Faults) {
	decoder := newDecoder(file)
	configuration := new(Configuration)
	decoder.decode(tree, "", reflect.ValueOf(configuration).Elem())
	configuration.checkValues(decoder)
	configuration.checkReferences(decoder)
	if len(decoder.faults) > 0 {
		return nil, decoder.faults
	}
	configuration.setDefaults()
	return configuration, nil
}

// checkValues checks each value by itself. It skips what was not given: a
// required field that is missing has its fault already.
func (configuration *Configuration) checkValues(decoder *decoder) {
	if decoder.given("sealingKeys") && len(configuration.SealingKeys) == 0 {
		decoder.faultAt("sealingKeys", "wants at least one key")
	}
	for name, organisation := range sorted(configuration.Organisations) {
		path := join("organisations", name)
		decoder.checkName(path, name)
		decoder.checkDuration(path+".deadline", time.Duration(organisation.Deadline), minDeadline, maxDeadline)
		decoder.checkRange(path+".share", organisation.Share, 1, maxShare)
		if decoder.given(path+".tokenHashes") && len(organisation.TokenHashes) == 0 {
			decoder.faultAt(path+".tokenHashes", "wants at least one hash")
		}
	}
	for name, model := range sorted(configuration.Models) {
		path := join("models", name)
		decoder.checkName(path, name)
		decoder.checkRange(path+".layers", model.Layers, 1, maxLayers)
		decoder.checkRange(path+".maxTokens", model.MaxTokens, 1, maxTokens)
	}
	for name, engine := range sorted(configuration.Engines) {
		path := join("engines", name)
		decoder.checkName(path, name)
		decoder.checkAddress(path+".address", engine.Address)
		decoder.checkRange(path+".slots", engine.Slots, 1, maxSlots)
	}
	for name, service := range sorted(configuration.Services) {
		service.checkValues(decoder, join("services", name), name)
	}
}

func (service Service) checkValues(decoder *decoder, path, name string) {
	decoder.checkName(path, name)
	if decoder.given(path+".replicas") && len(service.Replicas) == 0 {
		decoder.faultAt(path+".replicas", "wants at least one replica")
	}
	for name, replica := range sorted(service.Replicas) {
		decoder.checkAddress(path+".replicas."+name+".address", replica.Address)
	}
	for i, route := range service.Routes {
		path := path + ".routes[" + strconv.Itoa(i) + "]"
		if decoder.given(path+".method") && !slices.Contains(routeMethods, route.Method) {
			decoder.faultAt(path+".method", "is not one of %s", strings.Join(routeMethods, ", "))
		}
		if decoder.given(path+".path") && !strings.HasPrefix(route.Path, "/") {
			decoder.faultAt(path+".path", "does not start with /")
		}
	}
}

// checkReferences checks what several values say together, leaving out those
// that have a fault already.
func (configuration *Configuration) checkReferences(decoder *decoder) {
	hashes := make(map[TokenHash]string)
	for name, organisation := range sorted(configuration.Organisations) {
		for i, hash := range organisation.TokenHashes {
			if other, ok := hashes[hash]; ok {
				path := fmt.Sprintf("organisations.%s.tokenHashes[%d]", name, i)
				decoder.faultAt(path, "is also a token of %s", other)
			}
			hashes[hash] = name
		}
	}
	addresses := make(map[string]string)
	for name, engine := range sorted(configuration.Engines) {
		path := join("engines", name)
		decoder.checkUnique(addresses, path+".address", engine.Address, name)
		configuration.checkEngineLayers(decoder, path, engine)
	}
	for service := range sorted(configuration.Services) {
		for name, replica := range sorted(configuration.Services[service].Replicas) {
			path := join("services", service) + ".replicas." + name
			decoder.checkUnique(addresses, path+".address", replica.Address, service+"/"+name)
		}
	}
}

func (configuration *Configuration) checkEngineLayers(decoder *decoder, path string, engine Engine) {
	if !decoder.sound(path) || !decoder.sound(join("models", engine.Model)) {
		return
	}
	model, ok := configuration.Models[engine.Model]
	switch {
	case !ok:
		decoder.faultAt(path+".model", "names no model of this configuration: %q", engine.Model)
	case engine.FirstLayer < 0 || engine.EndLayer <= engine.FirstLayer || engine.EndLayer > model.Layers:
		decoder.faultAt(path+".endLayer", "[%d, %d) is not a range of the model's %d layers",
			engine.FirstLayer, engine.EndLayer, model.Layers)
	}
}

func (configuration *Configuration) setDefaults() {
	for name, organisation := range configuration.Organisations {
		organisation.Share = cmp.Or(organisation.Share, 1)
		configuration.Organisations[name] = organisation
	}
	for name, engine := range configuration.Engines {
		engine.Slots = cmp.Or(engine.Slots, 1)
		configuration.Engines[name] = engine
	}
}

func (decoder *decoder) given(path string) bool {
	_, ok := decoder.positions[path]
	return ok && !decoder.faulty(path)
}

func (decoder *decoder) faulty(path string) bool {
	return slices.ContainsFunc(decoder.faults, func(fault Fault) bool { return fault.Field == path })
}

// sound says whether no fault has been found at the field or below it.
func (decoder *decoder) sound(path string) bool {
	return !slices.ContainsFunc(decoder.faults, func(fault Fault) bool {
		return fault.Field == path || strings.HasPrefix(fault.Field, path+".")
	})
}

// checkName allows what can stand in a URL, a metric and a log line as it is.
func (decoder *decoder) checkName(path, name string) {
	valid := func(r rune) bool {
		return r == '-' || r == '_' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	}
	if name == "" || strings.ContainsFunc(name, func(r rune) bool { return !valid(r) }) {
		decoder.faultAt(path, "is not a name of letters, digits, - and _")
	}
}

func (decoder *decoder) checkRange(path string, value, low, high int) {
	if decoder.given(path) && (value < low || value > high) {
		decoder.faultAt(path, "%d is not between %d and %d", value, low, high)
	}
}

func (decoder *decoder) checkDuration(path string, value, low, high time.Duration) {
	if decoder.given(path) && (value < low || value > high) {
		decoder.faultAt(path, "%v is not between %v and %v", value, low, high)
	}
}

// checkAddress wants an IP number and a port, since hosts resolve no names.
func (decoder *decoder) checkAddress(path, address string) {
	if !decoder.given(path) {
		return
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		decoder.faultAt(path, "%q is not an IP number and a port", address)
		return
	}
	_, hostErr := netip.ParseAddr(host)
	number, portErr := strconv.Atoi(port)
	if hostErr != nil || portErr != nil || number < 1 || number > 65535 {
		decoder.faultAt(path, "%q is not an IP number and a port", address)
	}
}

func (decoder *decoder) checkUnique(seen map[string]string, path, address, name string) {
	if !decoder.given(path) {
		return
	}
	if other, ok := seen[address]; ok {
		decoder.faultAt(path, "is also the address of %s", other)
	}
	seen[address] = name
}

// sorted iterates over a map in the order of its keys.
func sorted[V any](values map[string]V) func(yield func(string, V) bool) {
	return func(yield func(string, V) bool) {
		for _, name := range slices.Sorted(maps.Keys(values)) {
			if !yield(name, values[name]) {
				return
			}
		}
	}
}
