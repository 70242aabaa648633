package dragonflyhatch

import (
	"time"

	"github.com/cockroachdb/errors"
)

// PreviewRequest describes a caller's request whose treatment is to be explained without
// sending it.
type PreviewRequest struct {
	Host           string        `json:"host"`
	Path           string        `json:"path"`
	Key            string        `json:"key,omitempty"` // API key of the caller's organisation
	PromptTokens   int           `json:"promptTokens,omitempty"`
	OutputTokens   int           `json:"outputTokens,omitempty"`   // maximum
	ExpectedTokens int           `json:"expectedTokens,omitempty"` // estimate of the tokens of the answer; 0 if not given
	TimeLeft       time.Duration `json:"timeLeft,omitempty"`       // that the caller waits, in nanoseconds; 0 if not given
}

// maxPreviewTokens bounds the numbers of tokens of a PreviewRequest. It is far above the
// context of any model, and sums of such numbers do not overflow.
const maxPreviewTokens = 1 << 30

// Check returns an error if the request cannot be previewed. The error does not contain
// the key.
func (request *PreviewRequest) Check() error {
	if request.Host == "" {
		return errors.New("the host is missing")
	}
	if len(request.Path) == 0 || request.Path[0] != '/' {
		return errors.New("the path must begin with a slash")
	}
	for _, tokens := range []int{request.PromptTokens, request.OutputTokens, request.ExpectedTokens} {
		if tokens < 0 || tokens > maxPreviewTokens {
			return errors.Newf("a number of tokens must be from 0 to %d", maxPreviewTokens)
		}
	}
	if request.TimeLeft < 0 {
		return errors.New("the time left must not be negative")
	}
	return nil
}

// Preview is where a request would go now, and why. Every random draw is taken as 0.5, so
// that equal requests in an equal state have equal previews. Durations are in nanoseconds.
type Preview struct {
	ConfigurationVersion uint64         `json:"configurationVersion"`
	ReplicasVersion      uint64         `json:"replicasVersion"`
	Route                string         `json:"route,omitempty"`
	Service              string         `json:"service,omitempty"`
	Organisation         string         `json:"organisation,omitempty"`
	Rank                 int            `json:"rank"`     // from 0, the most urgent
	Ranks                int            `json:"ranks"`    // 0 if the requests of the service have no ranks
	Priority             int            `json:"priority"` // of a stream at the engines; 0 is served first
	Admitted             bool           `json:"admitted"`
	Rule                 string         `json:"rule,omitempty"` // that decided on the admission; empty if none applies
	Probability          float64        `json:"probability"`    // with which such a request is admitted
	Refusal              PreviewRefusal `json:"refusal,omitzero"`
	Inputs               *PreviewInputs `json:"inputs,omitempty"` // of the admission; nil if no rule applies

	Candidates   []PreviewCandidate `json:"candidates,omitempty"`
	UsesFull     bool               `json:"usesFull"`          // engines that are full or pausing were considered, for lack of others
	LeftOut      []PreviewLeftOut   `json:"leftOut,omitempty"` // at most MaxPreviewEntries
	LeftOutCount int                `json:"leftOutCount"`
}

// MaxPreviewEntries bounds the heads and the replicas left out that a preview lists, so
// that it fits into a message between daemons.
const MaxPreviewEntries = 200

// PreviewRefusal is why a request is refused.
type PreviewRefusal struct {
	Kind       string        `json:"kind"` // name of a Kind
	Detail     string        `json:"detail"`
	RetryAfter time.Duration `json:"retryAfter"` // that the response names; 0 if it names none
}

// PreviewInputs is what an admission is based on.
type PreviewInputs struct {
	Work         float64       `json:"work"`     // that the request needs, in tokens of a prompt
	Target       time.Duration `json:"target"`   // of the first event
	Wait         time.Duration `json:"wait"`     // expected at the chosen head
	Returned     bool          `json:"returned"` // the request counts as refused before
	Fits         float64       `json:"fits"`     // share of all offered work that fits; 0 without ranks
	RankFits     float64       `json:"rankFits"`
	Demand       float64       `json:"demand"` // work a second at a daemon
	Share        float64       `json:"share"`  // of the organisation in the demand
	FairShare    float64       `json:"fairShare"`
	Running      float64       `json:"running"`  // streams at all heads together, as are the next two
	Waiting      float64       `json:"waiting"`  // streams
	Capacity     float64       `json:"capacity"` // streams; 0 if unknown
	RunTime      time.Duration `json:"runTime"`  // mean of a stream
	Daemons      int           `json:"daemons"`
	OldestReport time.Duration `json:"oldestReport"` // age
	Heads        []PreviewHead `json:"heads,omitempty"`
}

// PreviewHead is what a head has reported.
type PreviewHead struct {
	Address  string        `json:"address"`
	Reported bool          `json:"reported"` // otherwise it has no streams, or nobody has told
	Running  int           `json:"running"`  // streams
	Waiting  int           `json:"waiting"`  // streams
	Slots    int           `json:"slots"`
	Age      time.Duration `json:"age"` // of the report
}

// PreviewCandidate is a pipeline, or a replica of a plain service, that was compared.
type PreviewCandidate struct {
	Site    string        `json:"site"` // empty if the pipeline spans several sites
	Chosen  bool          `json:"chosen"`
	Cost    float64       `json:"cost"`
	Head    string        `json:"head"`             // address
	Wait    time.Duration `json:"wait"`             // expected at the head
	Version int           `json:"version"`          // of the model's weights
	Stages  []Stage       `json:"stages,omitempty"` // none for a plain service
}

// PreviewLeftOut is a replica that could not be chosen, and why.
type PreviewLeftOut struct {
	Address string        `json:"address"`
	Site    string        `json:"site"`
	Reason  string        `json:"reason"` // down, leaving, refusing, full, pausing or limit
	For     time.Duration `json:"for"`    // until it may be chosen again; 0 if that is not known
}
