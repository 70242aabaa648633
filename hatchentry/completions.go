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

// chatResponse is the body of an unstreamed response, or one chunk of a
// streamed one.
type chatResponse struct {
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
	maxMessages       = 1024 // per request
	lastEventIDHeader = "Last-Event-ID"
)

// complete serves a chat completion, streamed or not.
func (callerHandler *callerHandler) complete(writer http.ResponseWriter, request *http.Request, session session) error {
	chat, err := callerHandler.parseChat(session)
	if err != nil {
		refuse(writer, err)
		return err
	}
	sealer, err := callerHandler.fleet.Sealer()
	if err != nil {
		refuse(writer, err)
		return err
	}
	position, err := resumePositionOf(sealer, request.Header.Get(lastEventIDHeader), session, chat)
	if err != nil {
		refuse(writer, err)
		return err
	}
	response := chatResponse{ID: "chatcmpl-" + position.Request, Created: time.Now().Unix(), Model: chat.Model}
	completion := Completion{
		Request:        position.Request,
		Organisation:   session.organisation.Name,
		Share:          session.organisation.Share,
		Model:          chat.Model,
		Prompt:         renderPrompt(chat.Messages),
		MaxTokens:      chat.MaxTokens,
		Deadline:       session.deadline,
		ResumePosition: position,
	}
	if chat.Stream {
		stream := newEventStream(writer, sealer, response, session.id)
		defer stream.stop()
		return stream.finish(callerHandler.fleet.Complete(request.Context(), completion, stream.writeChunk))
	}
	return callerHandler.completeUnstreamed(writer, request, completion, response)
}

func (callerHandler *callerHandler) completeUnstreamed(writer http.ResponseWriter, request *http.Request, completion Completion, response chatResponse) error {
	var text strings.Builder
	var finish string
	err := callerHandler.fleet.Complete(request.Context(), completion, func(chunk Chunk) error {
		text.WriteString(chunk.Text)
		finish = chunk.Finish
		return nil
	})
	if err != nil {
		refuse(writer, err)
		return err
	}
	response.Object = "chat.completion"
	response.Choices = []chatChoice{{Message: &chatMessage{"assistant", text.String()}, FinishReason: &finish}}
	writeJSON(writer, response)
	return nil
}

// parseChat parses and validates the body of a chat completion.
func (callerHandler *callerHandler) parseChat(session session) (chatRequest, error) {
	var chat chatRequest
	if err := json.Unmarshal(session.body, &chat); err != nil {
		return chat, dragonflyhatch.Failf(dragonflyhatch.KindBadRequest, "the body is not a chat completion request: %v", err)
	}
	if len(chat.Messages) == 0 || len(chat.Messages) > maxMessages {
		return chat, dragonflyhatch.Failf(dragonflyhatch.KindBadRequest, "messages must have 1 to %d elements, not %d", maxMessages, len(chat.Messages))
	}
	maxTokens, err := callerHandler.fleet.ModelMaxTokens(chat.Model)
	if err != nil {
		return chat, err
	}
	if chat.MaxTokens < 0 || chat.MaxTokens > maxTokens {
		return chat, dragonflyhatch.Failf(dragonflyhatch.KindBadRequest, "max_tokens %d is not between 1 and %d", chat.MaxTokens, maxTokens)
	}
	if chat.MaxTokens == 0 {
		chat.MaxTokens = maxTokens
	}
	return chat, nil
}

// renderPrompt renders the messages as the prompt for the engines.
func renderPrompt(messages []chatMessage) string {
	var text strings.Builder
	for _, message := range messages {
		text.WriteString(message.Role)
		text.WriteString(": ")
		text.WriteString(message.Content)
		text.WriteByte('\n')
	}
	return text.String()
}

// resumePositionOf returns the start of a new answer, or the position that the
// caller's last event id contains.
func resumePositionOf(sealer Sealer, lastEvent string, session session, chat chatRequest) (hatchanswer.ResumePosition, error) {
	digest := bodyDigest(session.body)
	if lastEvent == "" {
		position := hatchanswer.ResumePosition{Request: session.id, Organisation: session.organisation.Name, Digest: digest}
		position.Seed = rand.Uint64()
		if chat.Seed != nil {
			position.Seed = *chat.Seed
		}
		return position, nil
	}
	position, err := sealer.Open(lastEvent)
	if err != nil {
		return position, dragonflyhatch.Failf(dragonflyhatch.KindBadRequest, "%s: %v", lastEventIDHeader, err)
	}
	if position.Organisation != session.organisation.Name || position.Digest != digest {
		return position, dragonflyhatch.Failf(dragonflyhatch.KindBadRequest, "%s belongs to another request", lastEventIDHeader)
	}
	return position, nil
}

func bodyDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:16])
}
