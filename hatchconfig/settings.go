package hatchconfig

import (
	"cmp"
	"reflect"
	"strconv"
	"time"

	"dragonflyhatch"
)

// Settings are the settings of one daemon process, from its own file.
type Settings struct {
	Host            string              `json:"host" config:"required"`
	Site            string              `json:"site" config:"required"`
	CallerAddress   string              `json:"callerAddress" config:"required"`
	OperatorAddress string              `json:"operatorAddress" config:"required"`
	PeerAddress     string              `json:"peerAddress" config:"required"`
	Platform        string              `json:"platform" config:"required"` // address of the object API
	Peers           []string            `json:"peers"`                      // peer addresses to contact while the platform is down
	Operators       map[string]Operator `json:"operators" config:"required"`
	Limits          Limits              `json:"limits"`
	Timing          Timing              `json:"timing"`
	Policy          Policy              `json:"policy"`
}

// Policy replaces the router's decisions by simple baselines, for comparison.
type Policy struct {
	Choice           dragonflyhatch.ChoicePolicy `json:"choice"`
	DisableAdmission bool                        `json:"noAdmission"` // send every request immediately, without queueing
}

// Operator is a person or program that may use the operator listener.
type Operator struct {
	TokenHash TokenHash `json:"tokenHash" config:"required"`
}

// Limits bounds the resources that callers can occupy in the daemon.
type Limits struct {
	MaxBody       int      `json:"maxBody"`       // bytes of a request body
	MaxHeaders    int      `json:"maxHeaders"`    // bytes of all header lines
	HeaderTimeout Duration `json:"headerTimeout"` // to receive the headers
	BodyTimeout   Duration `json:"bodyTimeout"`   // to receive the body
	MaxInFlight   int      `json:"maxInFlight"`   // concurrent requests of all callers
}

// Timing holds the daemon's timeouts and intervals.
type Timing struct {
	EntriesTTL        Duration `json:"entriesKept"`     // how long callers cache a list of entry hosts
	StopTimeout       Duration `json:"stopBound"`       // limit of a graceful stop
	HeartbeatInterval Duration `json:"heartbeat"`       // between heartbeats to peers
	StreamIdleTimeout Duration `json:"streamSilence"`   // time without a frame after which a stream counts as lost
	PlatformTimeout   Duration `json:"platformTimeout"` // of one call to the platform
	CommitInterval    Duration `json:"commitInterval"`  // average time between two commits of a claim shard under load; short bursts are allowed
}

// DefaultLimits returns the limits that apply where the settings set none.
func DefaultLimits() Limits {
	return Limits{
		MaxBody:       1 << 20,
		MaxHeaders:    16 << 10,
		HeaderTimeout: Duration(5 * time.Second),
		BodyTimeout:   Duration(10 * time.Second),
		MaxInFlight:   2048,
	}
}

// DefaultTiming returns the timing that applies where the settings set none.
func DefaultTiming() Timing {
	return Timing{
		EntriesTTL:        Duration(10 * time.Second),
		StopTimeout:       Duration(60 * time.Second),
		HeartbeatInterval: Duration(time.Second),
		StreamIdleTimeout: Duration(time.Second),
		PlatformTimeout:   Duration(2 * time.Second),
		CommitInterval:    Duration(100 * time.Millisecond),
	}
}

// The limits of the values in settings.
const (
	maxBody     = 64 << 20 // bytes
	maxHeaders  = 1 << 20  // bytes
	maxInFlight = 1 << 20  // requests
	minTiming   = time.Millisecond
	maxTiming   = time.Hour
)

// ReadSettings parses and checks the text of a settings file. The error is of type
// Faults.
func ReadSettings(file, text string) (*Settings, error) {
	tree, faults := parse(file, text)
	if tree == nil {
		return nil, faults.err()
	}
	decoder := newDecoder(file)
	decoder.faults = faults
	settings := &Settings{Limits: DefaultLimits(), Timing: DefaultTiming()}
	decoder.decode(tree, "", reflect.ValueOf(settings).Elem())
	settings.check(decoder)
	if len(decoder.faults) > 0 {
		return nil, decoder.faults.err()
	}
	return settings, nil
}

func (settings *Settings) check(decoder *decoder) {
	decoder.checkName("host", cmp.Or(settings.Host, "-"))
	decoder.checkName("site", cmp.Or(settings.Site, "-"))
	decoder.checkAddress("callerAddress", settings.CallerAddress)
	decoder.checkAddress("operatorAddress", settings.OperatorAddress)
	decoder.checkAddress("peerAddress", settings.PeerAddress)
	decoder.checkAddress("platform", settings.Platform)
	for i, peer := range settings.Peers {
		decoder.checkAddress("peers["+strconv.Itoa(i)+"]", peer)
	}
	if decoder.isValid("operators") && len(settings.Operators) == 0 {
		decoder.addFieldFault("operators", "must have at least one operator")
	}
	if decoder.isValid("operatorAddress") && settings.OperatorAddress == settings.CallerAddress {
		decoder.addFieldFault("operatorAddress", "is already the caller address")
	}
	limits := settings.Limits
	decoder.checkRange("limits.maxBody", limits.MaxBody, 1, maxBody)
	decoder.checkRange("limits.maxHeaders", limits.MaxHeaders, 1, maxHeaders)
	decoder.checkRange("limits.maxInFlight", limits.MaxInFlight, 1, maxInFlight)
	timing := settings.Timing
	durations := []struct {
		path  string
		value Duration
	}{
		{"limits.headerTimeout", limits.HeaderTimeout},
		{"limits.bodyTimeout", limits.BodyTimeout},
		{"timing.entriesKept", timing.EntriesTTL},
		{"timing.stopBound", timing.StopTimeout},
		{"timing.heartbeat", timing.HeartbeatInterval},
		{"timing.streamSilence", timing.StreamIdleTimeout},
		{"timing.platformTimeout", timing.PlatformTimeout},
		{"timing.commitInterval", timing.CommitInterval},
	}
	for _, duration := range durations {
		decoder.checkDuration(duration.path, time.Duration(duration.value), minTiming, maxTiming)
	}
}
