package hatchstandin

import (
	"math/big"
	"regexp"
	"unicode/utf8"
)

// The grammar of events (WHATWG HTML, section 9.2.6) without its errors. The first line may be a
// numeric field, whose name stands in place of %.
const (
	eventText    = `[\t -~\x{80}-\x{10ffff}]*\r?\n`
	eventComment = `:` + eventText
	eventNumber  = `: ?[0-9]+\r?\n`
	eventField   = `data(?::` + eventText + `|\r?\n)|event(?::` + eventText + `|\r?\n)|(?:id|retry)` + eventNumber
)

var (
	eventIDs     = regexp.MustCompile(`(?m)^id: ?([0-9]+)\r?$`)
	eventNumbers = regexp.MustCompile(`(?m)^[-a-z]+: ?([0-9]+)\r?$`)
	eventData    = regexp.MustCompile(`(?m)^data(:|\r?$)`)
	eventValues  = regexp.MustCompile(`(?m)^(?:data|event|):.*$`)
	numberLimit  = new(big.Int).Lsh(big.NewInt(1), 64)
)

// SoundEvents returns the events at the start of a stream up to the first bytes that are not a
// whole, valid event with an id above the one before. The numeric field with the name may come first in
// an event. It is an oracle for tests of the router's own check and shares no code with that.
func SoundEvents(stream []byte, leading string) []byte {
	grammar := regexp.MustCompile(`^(?:` + eventComment + `)*(?:` + regexp.QuoteMeta(leading) + eventNumber + `)?(?:` + eventField + `|` + eventComment + `)*\r?\n`)
	last, end := big.NewInt(-1), 0
	for {
		event := stream[end:]
		event = event[:len(grammar.Find(event))]
		ids := eventIDs.FindAllSubmatch(event, -1)
		if len(event) == 0 || !utf8.Valid(event) || len(ids) > 1 || len(ids) == 0 && eventData.Match(event) {
			return stream[:end]
		}
		for _, match := range eventNumbers.FindAllSubmatch(eventValues.ReplaceAll(event, nil), -1) {
			if number, ok := new(big.Int).SetString(string(match[1]), 10); !ok || number.Cmp(numberLimit) >= 0 {
				return stream[:end]
			}
		}
		if len(ids) == 1 {
			id, ok := new(big.Int).SetString(string(ids[0][1]), 10)
			if !ok || id.Cmp(last) <= 0 {
				return stream[:end]
			}
			last = id
		}
		end += len(event)
	}
}
