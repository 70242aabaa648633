package hatchanswer

import (
	"github.com/cockroachdb/errors"

	"dragonflyhatch"
)

// maxOutOfOrder limits the token frames that are buffered until an earlier
// position arrives.
const maxOutOfOrder = 64

// The reasons why an attempt ends without a complete answer. The tokens delivered
// so far remain valid, and a new attempt resumes at the next position.
var (
	ErrGap         = errors.New("a token is missing")
	ErrStageFailed = errors.New("a stage failed")
)

// Token is one delivered token.
type Token struct {
	Position int
	Text     string
}

// Delivery holds what can be delivered after one frame.
type Delivery struct {
	Tokens []Token
	Finish string // finish reason; empty while the answer is incomplete
}

// Assembler assembles one answer from frames.
type Assembler struct {
	request      string
	attempt      int
	next         int // position of the next token to deliver
	outOfOrder   map[int]string
	finishReason string
	length       int // number of tokens of the complete answer, once finishReason is set
	done         bool
}

// NewAssembler returns an assembler of a request's answer that starts at the
// position from.
func NewAssembler(request string, from int) *Assembler {
	return &Assembler{request: request, next: from, outOfOrder: make(map[int]string)}
}

// Begin starts an attempt. It drops the out-of-order tokens of the previous
// attempt; from then on frames of any other attempt are ignored.
func (assembler *Assembler) Begin(attempt int) {
	assembler.attempt = attempt
	assembler.finishReason = ""
	clear(assembler.outOfOrder)
}

// Next returns the position of the next token to deliver.
func (assembler *Assembler) Next() int {
	return assembler.next
}

// IsComplete reports whether the complete answer has been delivered.
func (assembler *Assembler) IsComplete() bool {
	return assembler.done
}

// Accept handles one frame. It returns ErrGap or ErrStageFailed if the attempt
// cannot complete the answer.
func (assembler *Assembler) Accept(frame dragonflyhatch.Frame) (Delivery, error) {
	if assembler.done || frame.Request != assembler.request || frame.Attempt != assembler.attempt {
		return Delivery{}, nil
	}
	switch frame.Kind {
	case dragonflyhatch.FrameToken:
		return assembler.acceptToken(frame)
	case dragonflyhatch.FrameFinish:
		assembler.finishReason, assembler.length = frame.Finish, frame.Position
		return assembler.deliver()
	case dragonflyhatch.FrameFailure:
		return Delivery{}, errors.Wrapf(ErrStageFailed, "%s: %s", frame.Stage, frame.Detail)
	}
	return Delivery{}, nil
}

func (assembler *Assembler) acceptToken(frame dragonflyhatch.Frame) (Delivery, error) {
	if frame.Position < assembler.next {
		return Delivery{}, nil
	}
	if frame.Position >= assembler.next+maxOutOfOrder {
		return Delivery{}, errors.Wrapf(ErrGap, "received position %d while waiting for %d", frame.Position, assembler.next)
	}
	assembler.outOfOrder[frame.Position] = frame.Text
	return assembler.deliver()
}

// deliver returns the tokens that are next in order, and the finish reason once
// all tokens are delivered.
func (assembler *Assembler) deliver() (Delivery, error) {
	var delivery Delivery
	for {
		text, ok := assembler.outOfOrder[assembler.next]
		if !ok {
			break
		}
		delete(assembler.outOfOrder, assembler.next)
		delivery.Tokens = append(delivery.Tokens, Token{assembler.next, text})
		assembler.next++
	}
	if assembler.finishReason != "" && assembler.next == assembler.length {
		assembler.done = true
		delivery.Finish = assembler.finishReason
	}
	return delivery, nil
}

// End handles the end of the attempt's stream. It returns ErrGap unless the
// answer is complete.
func (assembler *Assembler) End() error {
	if assembler.done {
		return nil
	}
	return errors.Wrapf(ErrGap, "the stream ended at position %d", assembler.next)
}
