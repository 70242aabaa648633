package hatchgateway

import (
	"encoding/json"
	"time"

	"dragonflyhatch"
)

// TrialRank returns the position of this daemon among those that may send a request with
// the suspected part as a trial, or a negative number if it is leaving.
func (gateway *Gateway) TrialRank(part dragonflyhatch.PromptPart) int {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	return gateway.roster.Rank("trial/" + part.Service + "/" + part.ID)
}

// ReportSuspects sends the evidence on suspected parts of prompts to peers.
func (gateway *Gateway) ReportSuspects() {
	gateway.requestPush()
}

// Quarantine returns the suspected parts of prompts as JSON. It first lifts the suspicion
// of the given part, unless its ID is empty, and reports whether it did.
func (gateway *Gateway) Quarantine(lift dragonflyhatch.PromptPart) (parts []byte, lifted bool) {
	if lift.ID != "" {
		lifted = gateway.forwarder.LiftSuspicion(lift)
		gateway.logger.Warn("suspicion lifted by an operator", "service", lift.Service, "part", lift.ID, "known", lifted)
	}
	parts, err := json.Marshal(gateway.quarantine.List(time.Now()))
	if err != nil {
		gateway.logger.Error("encoding the suspected parts failed", "error", err)
	}
	return parts, lifted
}

// countSuspects returns the number of suspected parts of prompts, and of those whose
// requests are held back.
func (gateway *Gateway) countSuspects() (suspected, held int64) {
	for _, status := range gateway.quarantine.List(time.Now()) {
		suspected++
		if status.Held {
			held++
		}
	}
	return suspected, held
}
