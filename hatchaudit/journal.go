package hatchaudit

import (
	"sync"
	"time"
)

// Event is an event in the life of a request.
type Event struct {
	At          time.Time `json:"at"`
	Description string    `json:"what"`
	Reason      string    `json:"why,omitempty"`
}

// Record is the history of a request, which explains its outcome.
type Record struct {
	Request      string    `json:"request"`
	Host         string    `json:"host"`
	Organisation string    `json:"organisation"`
	Target       string    `json:"target"` // model or service
	Started      time.Time `json:"begun"`
	Deadline     time.Time `json:"deadline"`
	Outcome      string    `json:"outcome,omitempty"` // empty while the request runs
	Omitted      int       `json:"omitted,omitempty"` // events beyond maxEvents
	Events       []Event   `json:"events"`
}

// The limits of a journal.
const (
	maxRecords = 4096
	maxEvents  = 32 // for each request
)

// Journal keeps the records of the most recent requests.
type Journal struct {
	host string

	mu             sync.Mutex
	records        map[string]*Record
	recentRequests [maxRecords]string // ring buffer of request ids
	next           int                // index in recentRequests to write to next
}

// NewJournal returns an empty journal for the daemon on the host.
func NewJournal(host string) *Journal {
	return &Journal{host: host, records: make(map[string]*Record)}
}

// Begin starts the record of a request. It replaces the oldest record of a full
// journal.
func (journal *Journal) Begin(request, organisation, target string, deadline time.Time) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	delete(journal.records, journal.recentRequests[journal.next])
	journal.recentRequests[journal.next] = request
	journal.next = (journal.next + 1) % maxRecords
	journal.records[request] = &Record{
		Request: request, Host: journal.host, Organisation: organisation, Target: target,
		Started: time.Now().UTC(), Deadline: deadline.UTC(),
	}
}

// AddEvent adds an event to the record of the request, if the journal still has it.
func (journal *Journal) AddEvent(request, description, reason string) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	record, ok := journal.records[request]
	if !ok {
		return
	}
	if len(record.Events) == maxEvents {
		record.Omitted++
		return
	}
	record.Events = append(record.Events, Event{At: time.Now().UTC(), Description: description, Reason: reason})
}

// End sets the outcome of the request.
func (journal *Journal) End(request, outcome string) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	if record, ok := journal.records[request]; ok {
		record.Outcome = outcome
	}
}

// Find returns a copy of the record of the request, or false.
func (journal *Journal) Find(request string) (Record, bool) {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	record, ok := journal.records[request]
	if !ok {
		return Record{}, false
	}
	result := *record
	result.Events = append([]Event(nil), record.Events...)
	return result, true
}

// Unfinished returns the records of the requests that have no outcome yet.
func (journal *Journal) Unfinished() []Record {
	journal.mu.Lock()
	defer journal.mu.Unlock()
	var open []Record
	for _, record := range journal.records {
		if record.Outcome == "" {
			open = append(open, *record)
		}
	}
	return open
}
