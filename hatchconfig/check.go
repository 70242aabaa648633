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

// The limits of the values in a configuration.
const (
	minDeadline = 10 * time.Millisecond
	maxDeadline = time.Hour
	maxLayers   = 1024    // of a model
	maxTokens   = 1 << 20 // of an answer
	maxSlots    = 4096    // of an engine
	maxShare    = 1000    // weight of an organisation
)

var routeMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

// decodeConfiguration decodes and checks a merged tree. Faults without a position
// of their own are reported in file.
func decodeConfiguration(tree *node, file string) (*Configuration, Faults) {
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

// checkValues checks each value on its own. It skips missing fields: decoding has
// already reported those that are required.
func (configuration *Configuration) checkValues(decoder *decoder) {
	if decoder.isValid("sealingKeys") && len(configuration.SealingKeys) == 0 {
		decoder.addFieldFault("sealingKeys", "must have at least one key")
	}
	for name, organisation := range sortedByKey(configuration.Organisations) {
		path := joinPath("organisations", name)
		decoder.checkName(path, name)
		decoder.checkDuration(path+".deadline", time.Duration(organisation.Deadline), minDeadline, maxDeadline)
		decoder.checkRange(path+".share", organisation.Share, 1, maxShare)
		if decoder.isValid(path+".tokenHashes") && len(organisation.TokenHashes) == 0 {
			decoder.addFieldFault(path+".tokenHashes", "must have at least one hash")
		}
	}
	for name, model := range sortedByKey(configuration.Models) {
		path := joinPath("models", name)
		decoder.checkName(path, name)
		decoder.checkRange(path+".layers", model.Layers, 1, maxLayers)
		decoder.checkRange(path+".maxTokens", model.MaxTokens, 1, maxTokens)
	}
	for name, engine := range sortedByKey(configuration.Engines) {
		path := joinPath("engines", name)
		decoder.checkName(path, name)
		decoder.checkAddress(path+".address", engine.Address)
		decoder.checkRange(path+".slots", engine.Slots, 1, maxSlots)
	}
	for name, service := range sortedByKey(configuration.Services) {
		service.checkValues(decoder, joinPath("services", name), name)
	}
}

func (service Service) checkValues(decoder *decoder, path, name string) {
	decoder.checkName(path, name)
	if decoder.isValid(path+".replicas") && len(service.Replicas) == 0 {
		decoder.addFieldFault(path+".replicas", "must have at least one replica")
	}
	for name, replica := range sortedByKey(service.Replicas) {
		decoder.checkAddress(path+".replicas."+name+".address", replica.Address)
	}
	for i, route := range service.Routes {
		path := path + ".routes[" + strconv.Itoa(i) + "]"
		if decoder.isValid(path+".method") && !slices.Contains(routeMethods, route.Method) {
			decoder.addFieldFault(path+".method", "must be one of %s", strings.Join(routeMethods, ", "))
		}
		if decoder.isValid(path+".path") && !strings.HasPrefix(route.Path, "/") {
			decoder.addFieldFault(path+".path", "must start with /")
		}
	}
}

// checkReferences checks values against each other, except those that already have
// a fault.
func (configuration *Configuration) checkReferences(decoder *decoder) {
	owners := make(map[TokenHash]string)
	for name, organisation := range sortedByKey(configuration.Organisations) {
		for i, hash := range organisation.TokenHashes {
			if other, ok := owners[hash]; ok {
				path := fmt.Sprintf("organisations.%s.tokenHashes[%d]", name, i)
				decoder.addFieldFault(path, "is already a token of %s", other)
			}
			owners[hash] = name
		}
	}
	addresses := make(map[string]string)
	for name, engine := range sortedByKey(configuration.Engines) {
		path := joinPath("engines", name)
		decoder.checkUnique(addresses, path+".address", engine.Address, name)
		configuration.checkEngineLayers(decoder, path, engine)
	}
	for service := range sortedByKey(configuration.Services) {
		for name, replica := range sortedByKey(configuration.Services[service].Replicas) {
			path := joinPath("services", service) + ".replicas." + name
			decoder.checkUnique(addresses, path+".address", replica.Address, service+"/"+name)
		}
	}
}

func (configuration *Configuration) checkEngineLayers(decoder *decoder, path string, engine Engine) {
	if !decoder.isSubtreeValid(path) || !decoder.isSubtreeValid(joinPath("models", engine.Model)) {
		return
	}
	model, ok := configuration.Models[engine.Model]
	switch {
	case !ok:
		decoder.addFieldFault(path+".model", "is not a model of this configuration: %q", engine.Model)
	case engine.FirstLayer < 0 || engine.EndLayer <= engine.FirstLayer || engine.EndLayer > model.Layers:
		decoder.addFieldFault(path+".endLayer", "[%d, %d) is not a valid range of the model's %d layers",
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

// isValid reports whether the field is present and has no fault.
func (decoder *decoder) isValid(path string) bool {
	_, ok := decoder.positions[path]
	return ok && !decoder.hasFault(path)
}

func (decoder *decoder) hasFault(path string) bool {
	return slices.ContainsFunc(decoder.faults, func(fault Fault) bool { return fault.Field == path })
}

// isSubtreeValid reports whether neither the field nor anything below it has a
// fault.
func (decoder *decoder) isSubtreeValid(path string) bool {
	return !slices.ContainsFunc(decoder.faults, func(fault Fault) bool {
		return fault.Field == path || strings.HasPrefix(fault.Field, path+".")
	})
}

// checkName accepts names that need no escaping in URLs, metrics and log lines.
func (decoder *decoder) checkName(path, name string) {
	valid := func(r rune) bool {
		return r == '-' || r == '_' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	}
	if name == "" || strings.ContainsFunc(name, func(r rune) bool { return !valid(r) }) {
		decoder.addFieldFault(path, "must be a name of letters, digits, - and _")
	}
}

func (decoder *decoder) checkRange(path string, value, low, high int) {
	if decoder.isValid(path) && (value < low || value > high) {
		decoder.addFieldFault(path, "%d is not between %d and %d", value, low, high)
	}
}

func (decoder *decoder) checkDuration(path string, value, low, high time.Duration) {
	if decoder.isValid(path) && (value < low || value > high) {
		decoder.addFieldFault(path, "%v is not between %v and %v", value, low, high)
	}
}

// checkAddress requires an IP address and a port, because hosts don't resolve
// names.
func (decoder *decoder) checkAddress(path, address string) {
	if !decoder.isValid(path) {
		return
	}
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		decoder.addFieldFault(path, "%q is not an IP address and a port", address)
		return
	}
	_, hostErr := netip.ParseAddr(host)
	number, portErr := strconv.Atoi(port)
	if hostErr != nil || portErr != nil || number < 1 || number > 65535 {
		decoder.addFieldFault(path, "%q is not an IP address and a port", address)
	}
}

// checkUnique adds a fault if the address is already in seen, which maps addresses
// to the names that have them, and then adds the address to it.
func (decoder *decoder) checkUnique(seen map[string]string, path, address, name string) {
	if !decoder.isValid(path) {
		return
	}
	if other, ok := seen[address]; ok {
		decoder.addFieldFault(path, "is already the address of %s", other)
	}
	seen[address] = name
}

// sortedByKey returns an iterator over the map in the order of its keys.
func sortedByKey[V any](values map[string]V) func(yield func(string, V) bool) {
	return func(yield func(string, V) bool) {
		for _, name := range slices.Sorted(maps.Keys(values)) {
			if !yield(name, values[name]) {
				return
			}
		}
	}
}
