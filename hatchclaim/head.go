package hatchclaim

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"dragonflyhatch"
)

// maxRecordedBody is the largest reply body that is recorded, in bytes.
const maxRecordedBody = 8 << 10

// Outcome is the recorded reply to a request that ran.
type Outcome struct {
	Status      int                     `json:"status"`
	Headers     []dragonflyhatch.Header `json:"headers,omitempty"`
	Body        []byte                  `json:"body,omitempty"`
	BodyOmitted bool                    `json:"bodyOmitted,omitempty"` // the body was too long to record
}

// OutcomeOf returns the outcome of a run that returned the reply.
func OutcomeOf(reply dragonflyhatch.ServiceReply) *Outcome {
	return &Outcome{Status: reply.Status, Headers: reply.Headers, Body: reply.Body}
}

// recorded returns the outcome as it is stored: without a body longer than
// maxRecordedBody.
func (outcome *Outcome) recorded() *Outcome {
	if len(outcome.Body) <= maxRecordedBody {
		return outcome
	}
	return &Outcome{Status: outcome.Status, Headers: outcome.Headers, BodyOmitted: true}
}

// Claim is the right of one process to run a request, and later its outcome.
type Claim struct {
	ID
	Digest  string    `json:"digest"`
	KeyTime time.Time `json:"keyTime"`           // time in the idempotency key
	Owner   string    `json:"owner"`             // the process that may dispatch it
	Outcome *Outcome  `json:"outcome,omitempty"` // nil while unknown
}

// SegmentRef refers to an object with claims whose outcomes are known. They
// are moved there to keep the head small.
type SegmentRef struct {
	Name   string    `json:"name"`
	Newest time.Time `json:"newest"` // latest key time in the segment
}

// Head is the value of a shard's object.
type Head struct {
	Epoch    uint64       `json:"epoch"`   // incremented by every takeover
	Owner    string       `json:"owner"`   // process that last took over the shard
	Horizon  time.Time    `json:"horizon"` // earlier keys get no claim; never moves back
	Claims   []Claim      `json:"claims,omitempty"`
	Segments []SegmentRef `json:"segments,omitempty"`
}

// HeadName is the name of the object that holds a shard's head.
func HeadName(shard int) string {
	return fmt.Sprintf("claims/%02d/head", shard)
}

// Encode returns the head as it is stored.
func (head Head) Encode() ([]byte, error) {
	return json.Marshal(head)
}

// DecodeHead reads a stored head.
func DecodeHead(value []byte) (Head, error) {
	var head Head
	err := json.Unmarshal(value, &head)
	return head, err
}

// EncodeSegment returns the claims of a segment as they are stored.
func EncodeSegment(claims []Claim) ([]byte, error) {
	return json.Marshal(claims)
}

// DecodeSegment reads a stored segment.
func DecodeSegment(value []byte) ([]Claim, error) {
	var claims []Claim
	err := json.Unmarshal(value, &claims)
	return claims, err
}

// clone returns a copy whose lists can be modified independently.
func (head Head) clone() Head {
	head.Claims = slices.Clone(head.Claims)
	head.Segments = slices.Clone(head.Segments)
	return head
}

func (head Head) find(id ID) (Claim, bool) {
	for _, claim := range head.Claims {
		if claim.ID == id {
			return claim, true
		}
	}
	return Claim{}, false
}

// claimOverhead is the approximate encoded size of a claim's field names and
// numbers, in bytes.
const claimOverhead = 160

// sealableSize estimates the encoded size of the claims that have an outcome,
// in bytes.
func (head Head) sealableSize() int {
	size := 0
	for _, claim := range head.Claims {
		if claim.Outcome != nil {
			size += claimOverhead + len(claim.Organisation) + len(claim.Key) + len(claim.Digest) + len(claim.Owner)
			size += len(claim.Outcome.Body) * 4 / 3
			for _, header := range claim.Outcome.Headers {
				size += len(header.Name) + len(header.Value)
			}
		}
	}
	return size
}
