package dragonflyhatch

import "net/http"

//go:generate go tool -modfile=tools/go.mod stringer -type=Kind,Ran,FrameKind,DrainSource,ChoicePolicy,RouteClass,CommandOutcome,LimitState -linecomment -output=enums_string.go

// Ran states whether a refused request ran, as far as is known.
type Ran int

// The values of Ran.
const (
	RanNo      Ran = iota // no
	RanUnknown            // unknown
)

// MarshalText returns the name of the value and never fails.
func (ran Ran) MarshalText() ([]byte, error) {
	return []byte(ran.String()), nil
}

// Kind classifies every failure that is reported to a caller or an operator.
type Kind int

// The complete list of kinds; docs/CALLERS.md describes each.
const (
	KindInternal             Kind = iota // internal
	KindBadRequest                       // badRequest
	KindUnauthorized                     // unauthorized
	KindNotFound                         // notFound
	KindMethodNotAllowed                 // methodNotAllowed
	KindRequestTooLarge                  // requestTooLarge
	KindHeadersTooLarge                  // headersTooLarge
	KindRequestTimeout                   // requestTimeout
	KindKeyMissing                       // keyMissing
	KindKeyInvalid                       // keyInvalid
	KindKeyReused                        // keyReused
	KindKeyForgotten                     // keyForgotten
	KindOverloaded                       // overloaded
	KindDeadlineTooShort                 // deadlineTooShort
	KindDeadlineNotRun                   // deadlineNotRun
	KindDeadlineUnknown                  // deadlineUnknown
	KindUpstreamUnavailable              // upstreamUnavailable
	KindUpstreamRefused                  // upstreamRefused
	KindUpstreamLost                     // upstreamLost
	KindPlatformUnavailable              // platformUnavailable
	KindOutcomeUnknown                   // outcomeUnknown
	KindNotReady                         // notReady
	KindLeaving                          // leaving
	KindConflict                         // conflict
	KindConfigurationInvalid             // configurationInvalid
	KindPromptHeldBack                   // promptHeldBack
	kindCount                            // kindCount
)

// ErrorResponse is the HTTP response for a kind of failure.
type ErrorResponse struct {
	Status int    // HTTP status code
	Ran    Ran    // whether the request ran, as implied by the kind
	Retry  bool   // whether the same request may succeed later
	Title  string // one line for human readers
}

// errorResponses is indexed by Kind. A kind with RanNo may only be used if no byte
// of the request was sent to an upstream, or if the upstream itself reported that
// it did not run the request.
var errorResponses = [kindCount]ErrorResponse{
	KindInternal:             {http.StatusInternalServerError, RanUnknown, false, "the router failed"},
	KindBadRequest:           {http.StatusBadRequest, RanNo, false, "the request cannot be read"},
	KindUnauthorized:         {http.StatusUnauthorized, RanNo, false, "the bearer token is missing or not known"},
	KindNotFound:             {http.StatusNotFound, RanNo, false, "no such model, service or resource"},
	KindMethodNotAllowed:     {http.StatusMethodNotAllowed, RanNo, false, "the resource does not take this method"},
	KindRequestTooLarge:      {http.StatusRequestEntityTooLarge, RanNo, false, "the body is larger than the limit"},
	KindHeadersTooLarge:      {http.StatusRequestHeaderFieldsTooLarge, RanNo, false, "the headers are larger than the limit"},
	KindRequestTimeout:       {http.StatusRequestTimeout, RanNo, true, "the body did not arrive in time"},
	KindKeyMissing:           {http.StatusBadRequest, RanNo, false, "the route needs an Idempotency-Key"},
	KindKeyInvalid:           {http.StatusBadRequest, RanNo, false, "the Idempotency-Key is not a current UUIDv7 or ULID"},
	KindKeyReused:            {http.StatusUnprocessableEntity, RanNo, false, "the Idempotency-Key names another request"},
	KindKeyForgotten:         {http.StatusGone, RanUnknown, false, "the Idempotency-Key is older than the records kept"},
	KindOverloaded:           {http.StatusServiceUnavailable, RanNo, true, "the fleet has no room for the request"},
	KindDeadlineTooShort:     {http.StatusServiceUnavailable, RanNo, true, "the request cannot finish by its deadline"},
	KindDeadlineNotRun:       {http.StatusGatewayTimeout, RanNo, true, "the deadline passed before the request was run"},
	KindDeadlineUnknown:      {http.StatusGatewayTimeout, RanUnknown, false, "the deadline passed while the request was run"},
	KindUpstreamUnavailable:  {http.StatusServiceUnavailable, RanNo, true, "no upstream can take the request"},
	KindUpstreamRefused:      {http.StatusBadGateway, RanNo, true, "the upstream did not run the request"},
	KindUpstreamLost:         {http.StatusBadGateway, RanUnknown, false, "the upstream was lost while it ran the request"},
	KindPlatformUnavailable:  {http.StatusServiceUnavailable, RanNo, true, "the platform is needed and does not answer"},
	KindOutcomeUnknown:       {http.StatusConflict, RanUnknown, false, "an earlier attempt under this key has no recorded outcome"},
	KindNotReady:             {http.StatusServiceUnavailable, RanNo, true, "the host has no configuration yet"},
	KindLeaving:              {http.StatusServiceUnavailable, RanNo, true, "the host is leaving"},
	KindConflict:             {http.StatusConflict, RanNo, false, "another change came first"},
	KindConfigurationInvalid: {http.StatusUnprocessableEntity, RanNo, false, "the configuration has faults"},
	KindPromptHeldBack:       {http.StatusServiceUnavailable, RanNo, true, "replicas terminated under prompts with a part of this one"},
}

// ErrorResponse returns the HTTP response for the kind, or that for KindInternal if
// the value is not a kind.
func (kind Kind) ErrorResponse() ErrorResponse {
	if kind < 0 || kind >= kindCount {
		return errorResponses[KindInternal]
	}
	return errorResponses[kind]
}

// Kinds returns all kinds in the order of their values.
func Kinds() []Kind {
	kinds := make([]Kind, kindCount)
	for i := range kinds {
		kinds[i] = Kind(i)
	}
	return kinds
}

// KindByName returns the kind with the given name, or KindInternal and false if
// there is none.
func KindByName(name string) (Kind, bool) {
	for _, kind := range Kinds() {
		if kind.String() == name {
			return kind, true
		}
	}
	return KindInternal, false
}
