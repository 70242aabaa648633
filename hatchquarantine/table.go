package hatchquarantine

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"dragonflyhatch"
)

const (
	// firstHold is how long requests with a part are delayed after its first
	// termination. Evidence reaches the other daemons within about this time.
	firstHold = 150 * time.Millisecond
	// secondHold is how long requests with a part are held back after its second
	// termination. It is longer than a replica takes to start again.
	secondHold = 20 * time.Second
	// holdFactor multiplies the hold with each further termination, up to maxHold.
	holdFactor = 3
	maxHold    = 10 * time.Minute
	// foreignHold is how long a request is delayed after a first termination under the
	// same request at another daemon, which then tries it again itself.
	foreignHold = 750 * time.Millisecond
	// heldTerminations is the number of terminations from which on requests with the
	// part are refused instead of delayed.
	heldTerminations = 2
	// minSpacing is the minimum time between two terminations that count separately.
	// Replicas that terminate at the same time more likely have another cause in
	// common.
	minSpacing = 100 * time.Millisecond
	// soundValidity is how long an answer before the first termination counts in
	// favour of a part: it then takes one more termination to hold it back.
	soundValidity = 30 * time.Second
	// trialTime is how long a trial at another daemon is waited for.
	trialTime = time.Second
	// rankSteps is the number of times that the daemons that may send a trial double
	// within the time of a hold.
	rankSteps = 3

	// suspicionRetention is how long terminations are remembered after the hold.
	suspicionRetention = 30 * time.Second
	// newsTime is how long peers are told of a first termination, and of an answer that
	// ended a suspicion.
	newsTime = 3 * time.Second

	maxSuspects                = 256
	maxSuspectsPerOrganisation = 32
	maxTerminations            = 12 // of one part
	maxReportedRequests        = 64 // with one termination, of which only peers know
	maxSimultaneous            = 3  // terminations of one part less than minSpacing apart
)

// Action is what is done with a request.
type Action int

// The values of Action.
const (
	Send   Action = iota // send
	Trial                // trial
	Delay                // delay
	Refuse               // refuse
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Action -linecomment -output=enums_string.go

// Verdict is the decision on a request, with the part that it is based on.
type Verdict struct {
	Action       Action
	Part         dragonflyhatch.PromptPart
	Terminations int           // that count against the part
	Wait         time.Duration // until the next decision may differ
	own          bool          // the part is a whole request that this daemon saw at a termination
}

// Request is what the decision on a request depends on.
type Request struct {
	Service      string
	Organisation string
	Parts        []string // ids of the shared parts of the prompt
	Own          string   // id of its last part; empty without parts
}

// identityPrefix begins the ids of entries on whole requests.
const identityPrefix = "request/"

// ids returns the ids of the entries that the request has: one for each shared part, and
// one for the request as a whole, which its repeats under other ids have too.
func (request Request) ids() []string {
	if request.Own == "" {
		return request.Parts
	}
	digest := xxhash.New()
	for _, id := range request.Parts {
		_, _ = digest.WriteString(id + "\x00") // never fails
	}
	_, _ = digest.WriteString(request.Own)
	return append(slices.Clip(request.Parts), fmt.Sprintf("%s%016x", identityPrefix, digest.Sum64()))
}

func isIdentity(part dragonflyhatch.PromptPart) bool {
	return strings.HasPrefix(part.ID, identityPrefix)
}

// Change is a change of what is known of a part, for the log.
type Change struct {
	Part         dragonflyhatch.PromptPart
	Terminations int  // that count against the part, from all organisations
	Held         bool // requests with the part are refused
	Cleared      bool // the part was answered, or an operator lifted its suspicion
}

// termination is one termination of a replica.
type termination struct {
	process      uint64
	organisation string
	at           time.Time
}

// suspect is the evidence on one part.
type suspect struct {
	terminations []termination // oldest first, at most maxTerminations
	cleared      []uint64      // processes whose terminations were followed by an answer
	identity     bool          // the entry is on a whole request, not on a part
	sound        time.Time     // latest answer; zero if none is known
	trial        time.Time     // start of the latest trial; zero if there was none
	wanted       time.Time     // when a trial was first wanted here
	local        bool          // a termination was seen by this daemon
	localTrial   bool          // this daemon's trial is in progress

	// Set by update, for the decisions on requests.
	processes int // distinct ones among the terminations
	against   int // terminations that count against the part, from all organisations
}

// Table is a daemon's evidence on all parts. Its methods may be called concurrently.
type Table struct {
	mu         sync.Mutex
	suspects   map[dragonflyhatch.PromptPart]*suspect
	answered   recentParts
	explains   map[uint64]int // largest number of terminations of an entry that was at the process, by process
	identities map[uint64]int // the same of entries on whole requests
}

// New returns an empty table.
func New() *Table {
	return &Table{suspects: make(map[dragonflyhatch.PromptPart]*suspect), explains: make(map[uint64]int), identities: make(map[uint64]int)}
}

// ProcessDigest returns the digest by which daemons identify a replica's process.
func ProcessDigest(process dragonflyhatch.ReplicaProcess) uint64 {
	digest := xxhash.New()
	for _, text := range []string{process.ID, process.Address, time.UnixMilli(process.Started).UTC().String()} {
		_, _ = digest.WriteString(text + "\x00") // never fails
	}
	return digest.Sum64()
}

// RecordTermination records that the replica's process terminated while the request
// had no answer from it. It returns what has changed.
func (table *Table) RecordTermination(now time.Time, process uint64, request Request) []Change {
	table.mu.Lock()
	defer table.mu.Unlock()
	var changed []dragonflyhatch.PromptPart
	for _, id := range request.ids() {
		part := dragonflyhatch.PromptPart{Service: request.Service, ID: id}
		entry := table.entry(part, request.Organisation)
		entry.local = true
		if entry.add(termination{process, request.Organisation, now}) {
			entry.localTrial = false
			changed = append(changed, part)
		}
	}
	return table.update(now, changed)
}

// RecordAnswer records that a replica answers the request. It returns what has changed.
func (table *Table) RecordAnswer(now time.Time, request Request) []Change {
	table.mu.Lock()
	defer table.mu.Unlock()
	for _, id := range request.Parts {
		table.answered.add(now, dragonflyhatch.PromptPart{Service: request.Service, ID: id}, request.Organisation)
	}
	if len(table.suspects) == 0 {
		return nil
	}
	var cleared []dragonflyhatch.PromptPart
	for _, id := range request.ids() {
		part := dragonflyhatch.PromptPart{Service: request.Service, ID: id}
		if entry := table.suspects[part]; entry != nil && entry.clear(now) {
			cleared = append(cleared, part)
		}
	}
	return table.update(now, cleared)
}

// Lift ends the suspicion of the part as if a replica had answered a prompt with it. It
// returns what has changed.
func (table *Table) Lift(now time.Time, part dragonflyhatch.PromptPart) []Change {
	table.mu.Lock()
	defer table.mu.Unlock()
	entry := table.suspects[part]
	if entry == nil || !entry.clear(now) {
		return nil
	}
	return table.update(now, []dragonflyhatch.PromptPart{part})
}

// Check returns the decision on the request. The function rank returns the position of
// this daemon among those that may try the part, or a negative number if it may not; it
// is called without a lock. A Trial must be claimed with BeginTrial.
func (table *Table) Check(now time.Time, request Request, rank func(part dragonflyhatch.PromptPart) int) Verdict {
	verdict, free := table.worst(now, request)
	if verdict.Action == Send || verdict.Wait > 0 {
		return verdict
	}
	// The daemons that may send a trial double with each step, so that one of them soon
	// has a request with the part, and rarely two of them at the same time.
	step := holdTime(verdict.Terminations) / rankSteps
	elapsed := now.Sub(free)
	if verdict.own && verdict.Terminations < heldTerminations {
		verdict.Action = Trial // of the same request, not of one of many at all daemons
		return verdict
	}
	position, allowed := rank(verdict.Part), 1<<min(elapsed/step, 30)
	if position >= 0 && position < allowed {
		verdict.Action = Trial
		return verdict
	}
	verdict.Wait = step - elapsed%step
	return verdict
}

// worst returns the decision by the part with the most terminations and the time from
// which on there may be a trial. If that has passed, the verdict has no wait, and depends
// on the daemon's rank too.
func (table *Table) worst(now time.Time, request Request) (verdict Verdict, free time.Time) {
	table.mu.Lock()
	defer table.mu.Unlock()
	if len(table.suspects) == 0 || len(request.Parts) == 0 && request.Own == "" {
		return Verdict{}, time.Time{}
	}
	ids := request.ids()
	identity := ids[len(ids)-1]
	for _, id := range ids {
		part := dragonflyhatch.PromptPart{Service: request.Service, ID: id}
		entry := table.suspects[part]
		if entry == nil || entry.expired(now) {
			continue
		}
		count, last := table.count(entry, request.Organisation)
		if count == 0 {
			continue
		}
		var listened time.Time
		if count >= heldTerminations && !isIdentity(part) {
			switch ambiguous, byIdentity := table.isAmbiguous(part, entry, request.Parts, identity); {
			case byIdentity:
				// Another daemon may begin a trial now: wait for news of it.
				if now.Sub(entry.wanted) > trialTime {
					entry.wanted = now
				}
				count, listened = heldTerminations-1, entry.wanted.Add(firstHold)
			case ambiguous:
				count = heldTerminations - 1
			}
		}
		free = later(free, later(listened, last.Add(entry.hold(count))))
		if entry.isTried(now) {
			free = later(free, later(entry.trial.Add(trialTime), now.Add(firstHold)))
		}
		if count > verdict.Terminations {
			verdict.Part, verdict.Terminations = part, count
			verdict.own = entry.identity && entry.local
		}
	}
	switch {
	case verdict.Terminations >= heldTerminations:
		verdict.Action = Refuse
	case verdict.Terminations > 0:
		verdict.Action = Delay
	}
	verdict.Wait = max(free.Sub(now), 0)
	return verdict, free
}

// isTried reports whether a trial of the part is in progress.
func (entry *suspect) isTried(now time.Time) bool {
	return entry.localTrial || now.Sub(entry.trial) < trialTime && entry.trial.After(entry.last())
}

// BeginTrial claims the trial of the request's suspected parts, and reports whether it
// could. EndTrial must follow.
func (table *Table) BeginTrial(now time.Time, request Request) bool {
	table.mu.Lock()
	defer table.mu.Unlock()
	suspects := table.suspected(request)
	if slices.ContainsFunc(suspects, func(entry *suspect) bool { return entry.isTried(now) }) {
		return false
	}
	for _, entry := range suspects {
		entry.trial, entry.localTrial = now, true
	}
	return true
}

// EndTrial records that the trial is over, whatever its outcome.
func (table *Table) EndTrial(request Request) {
	table.mu.Lock()
	defer table.mu.Unlock()
	for _, entry := range table.suspected(request) {
		entry.localTrial = false
	}
}

// suspected returns the entries of the request's parts that terminations count against.
// The mutex must be held.
func (table *Table) suspected(request Request) []*suspect {
	var suspects []*suspect
	for _, id := range request.ids() {
		entry := table.suspects[dragonflyhatch.PromptPart{Service: request.Service, ID: id}]
		if entry == nil {
			continue
		}
		if count, _ := table.count(entry, request.Organisation); count > 0 {
			suspects = append(suspects, entry)
		}
	}
	return suspects
}

// IsHeld reports whether requests like the given one are held back now, because of more
// terminations than were known when it was sent.
func (table *Table) IsHeld(now time.Time, request Request, known int) bool {
	verdict, _ := table.worst(now, request)
	return verdict.Action == Refuse && verdict.Terminations > known
}

// Status is what the table knows of a suspected part, for operators.
type Status struct {
	dragonflyhatch.PromptPart
	Terminations  int           `json:"terminations"` // that count against the part
	Organisations []string      `json:"organisations"`
	Held          bool          `json:"held"`
	SinceLast     time.Duration `json:"sinceLastNanos"` // time since the latest termination
	Hold          time.Duration `json:"holdNanos"`      // time from the latest termination until a trial
}

// List returns the parts that terminations count against, those with the most first.
func (table *Table) List(now time.Time) []Status {
	table.mu.Lock()
	defer table.mu.Unlock()
	var list []Status
	for part, entry := range table.suspects {
		count, last := table.countAll(entry)
		if count == 0 || entry.expired(now) {
			continue
		}
		status := Status{PromptPart: part, Terminations: count, Held: count >= heldTerminations, SinceLast: now.Sub(last), Hold: entry.hold(count)}
		for _, each := range entry.terminations {
			if !slices.Contains(status.Organisations, each.organisation) {
				status.Organisations = append(status.Organisations, each.organisation)
			}
		}
		list = append(list, status)
	}
	slices.SortFunc(list, func(a, b Status) int { return compareParts(b.Terminations, a.Terminations, a.PromptPart, b.PromptPart) })
	return list
}

// hold returns the time from the latest of a number of terminations until a trial. That of
// a whole request would end one more replica with each trial, and concerns few others.
func (entry *suspect) hold(terminations int) time.Duration {
	switch {
	case !entry.identity:
		return holdTime(terminations)
	case terminations >= heldTerminations:
		return maxHold
	case !entry.local:
		return foreignHold
	}
	return firstHold
}

// holdTime returns the time from the latest of a number of terminations until a trial.
func holdTime(terminations int) time.Duration {
	if terminations < heldTerminations {
		return firstHold
	}
	held := secondHold
	for range terminations - heldTerminations {
		held = min(holdFactor*held, maxHold)
	}
	return held
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
