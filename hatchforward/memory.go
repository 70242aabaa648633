package hatchforward

import (
	"bytes"
	"strings"
	"time"

	"dragonflyhatch/hatchpath"
)

const (
	// maxAnswerMeans bounds the routes of which the mean length of an answer is known.
	maxAnswerMeans = 512
	// answerMeanWeight is the weight of the latest stream in the mean length of an answer.
	answerMeanWeight = 0.05
	// avoidedLogInterval is the minimum time between two log lines about streams that were
	// kept away from engines, and maxAvoidedLogged bounds the engines that a line names.
	avoidedLogInterval = 5 * time.Second
	maxAvoidedLogged   = 8
)

// expectedTokens returns the tokens of the prompt and of the expected answer: the caller's
// estimate, or else the mean of the route's streams that have ended, but no more than the
// caller allows.
func (call *call) expectedTokens() int {
	forwarder, answer := call.forwarder, call.info.OutputTokens
	if hint := call.info.ExpectedTokens; hint > 0 && (answer == 0 || hint < answer) {
		return call.info.PromptTokens + hint
	}
	forwarder.mu.Lock()
	mean, ok := forwarder.answerMeans[call.route.Name]
	forwarder.mu.Unlock()
	if ok && (answer == 0 || mean < float64(answer)) {
		answer = int(mean)
	}
	return call.info.PromptTokens + answer
}

// recordAnswerLength records the number of tokens of a complete answer of the route. If
// there are too many routes, the mean of any other one is dropped.
func (forwarder *Forwarder) recordAnswerLength(route string, tokens int) {
	forwarder.mu.Lock()
	defer forwarder.mu.Unlock()
	mean, ok := forwarder.answerMeans[route]
	if !ok {
		for other := range forwarder.answerMeans {
			if len(forwarder.answerMeans) < maxAnswerMeans {
				break
			}
			delete(forwarder.answerMeans, other)
		}
		mean = float64(tokens)
	}
	forwarder.answerMeans[route] = mean + answerMeanWeight*(float64(tokens)-mean)
}

// countDataLines returns the number of data lines in the events. Replicas send one for each
// token.
func countDataLines(events []byte) int {
	count := 0
	for line := range bytes.Lines(events) {
		if bytes.HasPrefix(line, []byte("data:")) {
			count++
		}
	}
	return count
}

// avoidedStreams counts the streams that were kept away from engines with full KV memory
// since the latest log line. The forwarder's mutex guards it.
type avoidedStreams struct {
	logged  time.Time
	streams int
}

// recordMemory counts and logs that the pipeline was chosen to avoid engines whose KV memory
// is full, or in spite of one.
func (stream *stream) recordMemory(now time.Time, pipeline *hatchpath.Pipeline) {
	forwarder := stream.forwarder
	if pipeline.UsesFull {
		forwarder.metricSet.fullEnginesUsed.Inc(1)
	}
	if len(pipeline.Avoided) == 0 {
		return
	}
	forwarder.metricSet.fullEnginesAvoided.Inc(1)
	forwarder.mu.Lock()
	forwarder.avoided.streams++
	streams := forwarder.avoided.streams
	due := now.Sub(forwarder.avoided.logged) >= avoidedLogInterval
	if due {
		forwarder.avoided = avoidedStreams{logged: now}
	}
	forwarder.mu.Unlock()
	if !due {
		return
	}
	var engines []string
	for _, node := range pipeline.Avoided[:min(len(pipeline.Avoided), maxAvoidedLogged)] {
		engines = append(engines, node.Address)
	}
	stream.logger.Info("streams kept away from engines with full KV memory", "streams", streams, "service", stream.service.Name,
		"engines", strings.Join(engines, " "), "count", len(pipeline.Avoided), "at", pipeline.Nodes[0].Address, "usesFull", pipeline.UsesFull)
}
