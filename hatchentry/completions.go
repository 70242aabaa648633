package hatchentry

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"dragonflyhatch"
	"dragonflyhatch/hatchanswer"
)

// chatRequest is the part of a chat completion request that the router reads.
type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
	Seed      *uint64       `json:"seed"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatAnswer is a whole answer, or one part of a streamed one.
type chatAnswer struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"` // unix seconds
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
}

type chatChoice struct {
	Index        int          `json:"index"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatDelta   `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatDelta struct {
	Content string `json:"content,omitempty"`
}

const (
	maxMessages = 1024
	resumeField = "Last-Event-ID"
)

// complete serves a chat completion, streamed or whole.
func (callers *callers) complete(writer http.ResponseWriter, request *http.Request, session session) error {
	chat, err := callers.readChat(session)
	if err != nil {
		refuse(writer, err)
		return err
	}
	sealer, err := callers.fleet.Sealer()
	if err != nil {
		refuse(writer, err)
		return err
	}
	place, err := placeOf(sealer, request.Header.Get(resumeField), session, chat)
	if err != nil {
		refuse(writer, err)
		return err
	}
	answer := chatAnswer{ID: "chatcmpl-" + place.Request, Created: time.Now().Unix(), Model: chat.Model}
	completion := Completion{
		Request:      place.Request,
		Organisation: session.organisation.Name,
		Share:        session.organisation.Share,
		Model:        chat.Model,
		Prompt:       prompt(chat.Messages),
		MaxTokens:    chat.MaxTokens,
		Deadline:     session.deadline,
		Place:        place,
	}
	if chat.Stream {
		stream := newEventStream(writer, sealer, answer, session.id)
		defer stream.stop()
		return stream.end(callers.fleet.Complete(request.Context(), completion, stream.piece))
	}
	return callers.completeWhole(writer, request, completion, answer)
}

func (callers *callers) completeWhole(writer http.ResponseWriter, request *http.Request, completion Completion, answer chatAnswer) error {
	var text strings.Builder
	var finish string
	err := callers.fleet.Complete(request.Context(), completion, func(piece Piece) error {
		text.WriteString(piece.Text)
		finish = piece.Finish
		return nil
	})
	if err != nil {
		refuse(writer, err)
		return err
	}
	answer.Object = "chat.completion"
	answer.Choices = []chatChoice{{Message: &chatMessage{"assistant", text.String()}, FinishReason: &finish}}
	writeJSON(writer, answer)
	return nil
}

// readChat reads and checks the body of a chat completion.
func (callers *callers) readChat(session session) (chatRequest, error) {
	var chat chatRequest
	if err := json.Unmarshal(session.body, &chat); err != nil {
		return chat, dragonflyhatch.Fail(dragonflyhatch.KindBadRequest, "the body is not a chat completion: %v", err)
	}
	if len(chat.Messages) == 0 || len(chat.Messages) > maxMessages {
		return chat, dragonflyhatch.Fail(dragonflyhatch.KindBadRequest, "messages wants 1 to %d messages, not %d", maxMessages, len(chat.Messages))
	}
	longest, err := callers.fleet.Model(chat.Model)
	if err != nil {
		return chat, err
	}
	if chat.MaxTokens < 0 || chat.MaxTokens > longest {
		return chat, dragonflyhatch.Fail(dragonflyhatch.KindBadRequest, "max_tokens %d is not between 1 and %d", chat.MaxTokens, longest)
	}
	if chat.MaxTokens == 0 {
		chat.MaxTokens = longest
	}
	return chat, nil
}

// prompt renders the messages as the engines take them.
func prompt(messages []chatMessage) string {
	var text strings.Builder
	for _, message := range messages {
		text.WriteString(message.Role)
		text.WriteString(": ")
		text.WriteString(message.Content)
		text.WriteByte('\n')
	}
	return text.String()
}

// placeOf returns where the answer begins, or where the caller's last event
// says that it goes on.
func placeOf(sealer Sealer, lastEvent string, session session, chat chatRequest) (hatchanswer.Place, error) {
	digest := bodyDigest(session.body)
	if lastEvent == "" {
		place := hatchanswer.Place{Request: session.id, Organisation: session.organisation.Name, Digest: digest}
		place.Seed = rand.Uint64()
		if chat.Seed != nil {
			place.Seed = *chat.Seed
		}
		return place, nil
	}
	place, err := sealer.Open(lastEvent)
	if err != nil {
		return place, dragonflyhatch.Fail(dragonflyhatch.KindBadRequest, "%s: %v", resumeField, err)
	}
	if place.Organisation != session.organisation.Name || place.Digest != digest {
		return place, dragonflyhatch.Fail(dragonflyhatch.KindBadRequest, "%s belongs to another request", resumeField)
	}
	return place, nil
}

func bodyDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:16])
}
