package hatchload

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Item is one request of a trace.
type Item struct {
	At           time.Duration `json:"at"` // since the trace began, in nanoseconds
	Organisation int           `json:"organisation"`
	Kind         ItemKind      `json:"kind"`
	Prompt       string        `json:"prompt,omitempty"`
	Seed         uint64        `json:"seed,omitempty"`
	MaxTokens    int           `json:"maxTokens,omitempty"`
}

// ItemKind is the type of a request in a trace.
type ItemKind string

// The values of ItemKind.
const (
	ItemCompletion ItemKind = "completion" // streamed completion of a model
	ItemOrder      ItemKind = "order"      // non-idempotent request to a plain service
	ItemRead       ItemKind = "read"       // repeatable request to a plain service
)

// TraceSpec holds the parameters of a generated trace.
type TraceSpec struct {
	Seed           uint64
	Duration       time.Duration
	Rate           float64   // mean requests per second, with exponential gaps
	Weights        []float64 // relative request rates of the organisations
	OrderFraction  float64   // fraction of the requests that are orders
	ReadFraction   float64   // fraction of the requests that are repeatable calls
	Prefixes       int       // number of distinct prompt prefixes
	MaxPromptWords int       // longest prompt, in words after the prefix
	MaxTokens      int       // largest token limit of a completion
}

// Generate returns a random trace; equal specs give equal traces.
func Generate(spec TraceSpec) []Item {
	random := rand.New(rand.NewPCG(spec.Seed, 1))
	var items []Item
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / spec.Rate * float64(time.Second))
		if at >= spec.Duration {
			return items
		}
		items = append(items, spec.item(random, at))
	}
}

func (spec TraceSpec) item(random *rand.Rand, at time.Duration) Item {
	item := Item{At: at, Organisation: pickWeighted(random, spec.Weights), Kind: ItemCompletion}
	switch draw := random.Float64(); {
	case draw < spec.OrderFraction:
		item.Kind = ItemOrder
		return item
	case draw < spec.OrderFraction+spec.ReadFraction:
		item.Kind = ItemRead
		return item
	}
	item.Prompt = randomPrompt(random, spec)
	item.Seed = random.Uint64()
	item.MaxTokens = 1 + random.IntN(spec.MaxTokens)
	return item
}

// pickWeighted returns a random index with probability proportional to its weight.
func pickWeighted(random *rand.Rand, weights []float64) int {
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	draw := random.Float64() * total
	for i, weight := range weights {
		if draw -= weight; draw < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// randomPrompt returns one of the spec's prefixes followed by random words.
func randomPrompt(random *rand.Rand, spec TraceSpec) string {
	var text strings.Builder
	prefix := random.IntN(spec.Prefixes)
	for i := range 40 {
		fmt.Fprintf(&text, "p%d-%d ", prefix, i)
	}
	for range 1 + random.IntN(spec.MaxPromptWords) {
		fmt.Fprintf(&text, "w%d ", random.IntN(1000))
	}
	return text.String()
}

// WriteTrace writes each item as one line of JSON.
func WriteTrace(writer io.Writer, items []Item) error {
	encoder := json.NewEncoder(writer)
	for _, item := range items {
		if err := encoder.Encode(item); err != nil {
			return err
		}
	}
	return nil
}

// maxItems limits the number of items that ReadTrace accepts.
const maxItems = 1 << 22

// ReadTrace reads a trace in the format of WriteTrace.
func ReadTrace(reader io.Reader) ([]Item, error) {
	decoder := json.NewDecoder(bufio.NewReader(reader))
	var items []Item
	for len(items) < maxItems {
		var item Item
		err := decoder.Decode(&item)
		if errors.Is(err, io.EOF) {
			return items, nil
		}
		if err != nil {
			return nil, errors.Wrapf(err, "decode trace item %d", len(items)+1)
		}
		items = append(items, item)
	}
	return nil, errors.Newf("trace has more than the allowed %d items", maxItems)
}
