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

// ItemKind tells the requests of a trace apart.
type ItemKind string

// The values of ItemKind.
const (
	ItemCompletion ItemKind = "completion"
	ItemOrder      ItemKind = "order"
	ItemRead       ItemKind = "read"
)

// Shape describes a generated trace.
type Shape struct {
	Seed      uint64
	Duration  time.Duration
	Rate      float64   // requests a second
	Weights   []float64 // of the organisations
	Orders    float64   // share of the requests that are orders
	Reads     float64   // share that are repeatable calls
	Prefixes  int       // distinct beginnings of prompts
	PromptMax int       // longest prompt, in words
	MaxTokens int       // longest answer, in tokens
}

// Generate returns the trace of the shape; equal shapes give equal traces.
func Generate(shape Shape) []Item {
	random := rand.New(rand.NewPCG(shape.Seed, 1))
	var items []Item
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / shape.Rate * float64(time.Second))
		if at >= shape.Duration {
			return items
		}
		items = append(items, shape.item(random, at))
	}
}

func (shape Shape) item(random *rand.Rand, at time.Duration) Item {
	item := Item{At: at, Organisation: pick(random, shape.Weights), Kind: ItemCompletion}
	switch draw := random.Float64(); {
	case draw < shape.Orders:
		item.Kind = ItemOrder
		return item
	case draw < shape.Orders+shape.Reads:
		item.Kind = ItemRead
		return item
	}
	item.Prompt = prompt(random, shape)
	item.Seed = random.Uint64()
	item.MaxTokens = 1 + random.IntN(shape.MaxTokens)
	return item
}

// pick draws an index by weight.
func pick(random *rand.Rand, weights []float64) int {
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

// prompt draws a text that begins like other prompts do.
func prompt(random *rand.Rand, shape Shape) string {
	var text strings.Builder
	prefix := random.IntN(shape.Prefixes)
	for i := range 40 {
		fmt.Fprintf(&text, "p%d-%d ", prefix, i)
	}
	for range 1 + random.IntN(shape.PromptMax) {
		fmt.Fprintf(&text, "w%d ", random.IntN(1000))
	}
	return text.String()
}

// WriteTrace writes one item a line.
func WriteTrace(writer io.Writer, items []Item) error {
	encoder := json.NewEncoder(writer)
	for _, item := range items {
		if err := encoder.Encode(item); err != nil {
			return err
		}
	}
	return nil
}

// maxItems bounds a trace that is read.
const maxItems = 1 << 22

// ReadTrace reads what WriteTrace wrote.
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
			return nil, errors.Wrapf(err, "item %d of the trace", len(items)+1)
		}
		items = append(items, item)
	}
	return nil, errors.Newf("the trace has more than %d items", maxItems)
}
