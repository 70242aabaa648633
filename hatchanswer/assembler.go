package hatchanswer

import (
	"github.com/cockroachdb/errors"

	"dragonflyhatch"
)

// maxAhead bounds the frames that wait for an earlier position.
const maxAhead = 64

// The reasons for which an attempt ends without a whole answer. The answer so
// far stands, and a new attempt goes on from Next.
var (
	ErrGap         = errors.New("a token is missing")
	ErrStageFailed = errors.New("a stage failed")
)

// Token is one delivered token.
type Token struct {
	Position int
	Text     string
}

// Delivery is what one frame makes available.
type Delivery struct {
	Tokens []Token
	Finish string // finish reason; empty while the answer goes on
}

// Assembler puts one answer together.
type Assembler struct {
	request string
	attempt int
	next    int
	ahead   map[int]string
	finish  string
	end     int // number of tokens of the whole answer, once finish is set
	done    bool
}

// NewAssembler returns the assembler of a request's answer from the position on.
func NewAssembler(request string, from int) *Assembler {
	return &Assembler{request: request, next: from, ahead: make(map[int]string)}
}

// Begin starts an attempt; frames of any other attempt are dropped from then
// on, and so is what the last attempt left out of order.
func (assembler *Assembler) Begin(attempt int) {
	assembler.attempt = attempt
	assembler.finish = ""
	clear(assembler.ahead)
}

// Next returns the position of the next token to deliver.
func (assembler *Assembler) Next() int {
	return assembler.next
}

// Done says whether the whole answer has been delivered.
func (assembler *Assembler) Done() bool {
	return assembler.done
}

// Accept takes one frame. It returns ErrGap or ErrStageFailed if the attempt
// cannot complete the answer.
func (assembler *Assembler) Accept(frame dragonflyhatch.Frame) (Delivery, error) {
	if assembler.done || frame.Request != assembler.request || frame.Attempt != assembler.attempt {
		return Delivery{}, nil
	}
	switch frame.Kind {
	case dragonflyhatch.FrameToken:
		return assembler.token(frame)
	case dragonflyhatch.FrameFinish:
		assembler.finish, assembler.end = frame.Finish, frame.Position
		return assembler.deliver()
	case dragonflyhatch.FrameFailure:
		return Delivery{}, errors.Wrapf(ErrStageFailed, "%s: %s", frame.Stage, frame.Detail)
	}
	return Delivery{}, nil
}

func (assembler *Assembler) token(frame dragonflyhatch.Frame) (Delivery, error) {
	if frame.Position < assembler.next {
		return Delivery{}, nil
	}
	if frame.Position >= assembler.next+maxAhead {
		return Delivery{}, errors.Wrapf(ErrGap, "position %d, wanted %d", frame.Position, assembler.next)
	}
	assembler.ahead[frame.Position] = frame.Text
	return assembler.deliver()
}

// deliver hands on what is in order, and the finish once all of it is.
func (assembler *Assembler) deliver() (Delivery, error) {
	var delivery Delivery
	for {
		text, ok := assembler.ahead[assembler.next]
		if !ok {
			break
		}
		delete(assembler.ahead, assembler.next)
		delivery.Tokens = append(delivery.Tokens, Token{assembler.next, text})
		assembler.next++
	}
	if assembler.finish != "" && assembler.next == assembler.end {
		assembler.done = true
		delivery.Finish = assembler.finish
	}
	return delivery, nil
}

// End tells the assembler that no more frames of the attempt will come. It
// returns ErrGap unless the answer is whole.
func (assembler *Assembler) End() error {
	if assembler.done {
		return nil
	}
	return errors.Wrapf(ErrGap, "the stream ended at position %d", assembler.next)
}
