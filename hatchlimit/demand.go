package hatchlimit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dragonflyhatch"
)

const (
	// demandWindow is the time constant of the demand. A burst of a few seconds is seen
	// while it lasts; at 180 streams a second the mean over the fleet is accurate to a
	// few parts in 100.
	demandWindow = 1500 * time.Millisecond
	// spreadTime is the time constant with which the own demand becomes part of the mean.
	// It is a few exchanges with peers, so that a single request does not show in the mean
	// of its own daemon before it is shared with others.
	spreadTime = 600 * time.Millisecond
	// demandLeak is the share, per second, by which the fleet's mean moves back to this
	// daemon's own demand. It removes what lost messages and lost daemons have left in
	// the mean.
	demandLeak = 0.1
	// organisationWindow is the time constant of the demand of an organisation. A daemon has
	// few requests of each, so that a shorter one would take a single request for a burst.
	organisationWindow = 8 * time.Second
	// maxOrganisations bounds the organisations whose demand is compared and sent. Others
	// ask for less than these, so that their share is known well enough.
	maxOrganisations = 24
	// maxKnownOrganisations bounds the organisations that are kept because peers have named
	// them. A message of names that do not exist would otherwise take memory for minutes.
	maxKnownOrganisations = 1000
	// usualOrganisations is the number that is sent while there is room for all.
	usualOrganisations = 8
	// negligibleWork is the work, in tokens a second, below which an organisation is
	// forgotten that has had no request for organisationWindow.
	negligibleWork = 1.0
	// maxWork bounds the work, in tokens a second, that a message can add.
	maxWork = 1e9
)

// decayingRate is a rate that follows its events with the time constant window.
type decayingRate struct {
	window time.Duration
	value  float64 // per second
	at     time.Time
}

func (rate *decayingRate) decay(now time.Time) float64 {
	if elapsed := now.Sub(rate.at); elapsed > 0 {
		rate.value *= math.Exp(-elapsed.Seconds() / rate.window.Seconds())
		rate.at = now
	}
	return rate.value
}

func (rate *decayingRate) add(now time.Time, amount float64) {
	rate.decay(now)
	rate.value += amount / rate.window.Seconds()
}

// Demand tracks the work that the callers of one service ask for: at this daemon, and on
// average at the daemons of the fleet. The average follows from exchanges with peers, in
// which both sides take the mean of their averages, while changes of the own demand are
// added to it (dynamic average consensus). It needs no daemon that adds up, and a daemon
// that is lost only takes its deviation from the mean with it. Demand is not safe for
// concurrent use.
type Demand struct {
	ranks         []*meanRate
	organisations map[string]*meanRate
	at            time.Time // of the last update
}

// meanRate is the rate at this daemon and its average over the fleet.
type meanRate struct {
	own   decayingRate
	known float64 // own rate as far as it is part of the mean
	mean  float64
	added time.Time // when this daemon last recorded a request
}

func newMeanRate(window time.Duration) *meanRate {
	return &meanRate{own: decayingRate{window: window}}
}

// update adds a part of the change of the own rate to the mean, and moves the mean towards
// the own rate.
func (rate *meanRate) update(now time.Time, part, leak float64) {
	own := rate.own.decay(now)
	change := part * (own - rate.known)
	rate.mean += change
	rate.known += change
	rate.mean += leak * (own - rate.mean)
}

// NewDemand returns the demand for a service with the given number of ranks.
func NewDemand(ranks int) *Demand {
	demand := &Demand{organisations: make(map[string]*meanRate)}
	for range ranks {
		demand.ranks = append(demand.ranks, newMeanRate(demandWindow))
	}
	return demand
}

// clone returns a copy that shares nothing with the demand.
func (demand *Demand) clone() *Demand {
	clone := *demand
	clone.ranks = make([]*meanRate, len(demand.ranks))
	for rank, rate := range demand.ranks {
		copied := *rate
		clone.ranks[rank] = &copied
	}
	clone.organisations = make(map[string]*meanRate, len(demand.organisations))
	for name, rate := range demand.organisations {
		copied := *rate
		clone.organisations[name] = &copied
	}
	return &clone
}

// Add records a new request.
func (demand *Demand) Add(now time.Time, rank int, organisation string, work float64) {
	demand.ranks[min(max(rank, 0), len(demand.ranks)-1)].own.add(now, work)
	if organisation == "" {
		return
	}
	rate := demand.organisation(organisation)
	rate.own.add(now, work)
	rate.added = now
}

func (demand *Demand) organisation(name string) *meanRate {
	rate, ok := demand.organisations[name]
	if !ok {
		rate = newMeanRate(organisationWindow)
		demand.organisations[name] = rate
	}
	return rate
}

// Update brings the means up to the time.
func (demand *Demand) Update(now time.Time) {
	elapsed := 0.0
	if !demand.at.IsZero() {
		elapsed = max(now.Sub(demand.at).Seconds(), 0)
	}
	demand.at = now
	part, leak := 1-math.Exp(-elapsed/spreadTime.Seconds()), min(demandLeak*elapsed, 1)
	for _, rate := range demand.ranks {
		rate.update(now, part, leak)
	}
	for name, rate := range demand.organisations {
		rate.update(now, part, leak)
		// A request becomes part of the mean over spreadTime: until then its organisation
		// looks negligible at a daemon that is updated often.
		if math.Abs(rate.mean) < negligibleWork && rate.known < negligibleWork && now.Sub(rate.added) > organisationWindow {
			delete(demand.organisations, name)
		}
	}
}

// means returns the averages by rank. At a daemon that has had no request for a while they
// may be negative for a moment, as the work that it has stopped to see is taken off.
func (demand *Demand) means() []float64 {
	means := make([]float64, len(demand.ranks))
	for rank, rate := range demand.ranks {
		means[rank] = rate.mean
	}
	return means
}

// Means returns the average work a second by rank, at least 0.
func (demand *Demand) Means() []float64 {
	means := demand.means()
	for rank := range means {
		means[rank] = max(means[rank], 0)
	}
	return means
}

// Organisations returns the organisations with the highest average work, the highest
// first.
func (demand *Demand) Organisations() []dragonflyhatch.OrganisationDemand {
	organisations := make([]dragonflyhatch.OrganisationDemand, 0, maxOrganisations+1)
	for name, rate := range demand.organisations {
		organisation := dragonflyhatch.OrganisationDemand{Name: name, Work: rate.mean}
		if len(organisations) == maxOrganisations && compareWork(organisation, organisations[maxOrganisations-1]) > 0 {
			continue
		}
		// A sort of 300 organisations at each decision takes more than 100 microseconds.
		at, _ := slices.BinarySearchFunc(organisations, organisation, compareWork)
		organisations = slices.Insert(organisations, at, organisation)
		organisations = organisations[:min(len(organisations), maxOrganisations)]
	}
	return organisations
}

// compareWork orders organisations by work, the most first, and then by name.
func compareWork(a, b dragonflyhatch.OrganisationDemand) int {
	if order := cmp.Compare(b.Work, a.Work); order != 0 {
		return order
	}
	return cmp.Compare(a.Name, b.Name)
}

// Digest returns the averages for a peer, with more organisations while room is short.
func (demand *Demand) Digest(now time.Time, short bool) dragonflyhatch.ServiceDemand {
	demand.Update(now)
	digest := dragonflyhatch.ServiceDemand{Ranks: demand.means(), Organisations: demand.Organisations()}
	if !short {
		digest.Organisations = digest.Organisations[:min(len(digest.Organisations), usualOrganisations)]
	}
	return digest
}

// Merge takes the mean of the averages here and those that a peer has sent. The peer
// adopts the result, which is sent to it as the answer.
func (demand *Demand) Merge(now time.Time, peer dragonflyhatch.ServiceDemand) {
	demand.shift(now, peer, func(mean, work float64) float64 { return (work - mean) / 2 })
	demand.mergeUnlisted(peer.Organisations)
}

// mergeUnlisted takes the mean for the organisations that a peer has not listed: their work
// there is at most that of the last one listed. Otherwise a single request at this daemon
// would look like a large share of the fleet's work.
func (demand *Demand) mergeUnlisted(listed []dragonflyhatch.OrganisationDemand) {
	if len(listed) == 0 {
		return
	}
	limit := max(listed[len(listed)-1].Work, 0)
	for name, rate := range demand.organisations {
		if rate.mean > limit && !slices.ContainsFunc(listed, func(each dragonflyhatch.OrganisationDemand) bool { return each.Name == name }) {
			rate.mean = (rate.mean + limit) / 2
		}
	}
}

// Adopt applies the answer of a peer that has merged the digest sent to it: both then have
// the same averages, and the sum over the fleet is unchanged, also if this daemon's
// averages have changed meanwhile.
func (demand *Demand) Adopt(now time.Time, sent, answer dragonflyhatch.ServiceDemand) {
	if len(sent.Ranks) != len(answer.Ranks) {
		return
	}
	change := dragonflyhatch.ServiceDemand{}
	for rank := range sent.Ranks {
		change.Ranks = append(change.Ranks, answer.Ranks[rank]-sent.Ranks[rank])
	}
	before := make(map[string]float64, len(sent.Organisations))
	for _, organisation := range sent.Organisations {
		before[organisation.Name] = organisation.Work
	}
	for _, organisation := range answer.Organisations {
		if work, ok := before[organisation.Name]; ok {
			change.Organisations = append(change.Organisations, dragonflyhatch.OrganisationDemand{Name: organisation.Name, Work: organisation.Work - work})
		}
	}
	demand.shift(now, change, func(_, difference float64) float64 { return difference })
	demand.mergeUnlisted(answer.Organisations)
}

// shift adds to each average what the function returns for it and the value of the other.
func (demand *Demand) shift(now time.Time, other dragonflyhatch.ServiceDemand, change func(mean, value float64) float64) {
	if len(other.Ranks) != len(demand.ranks) {
		return // another version of the configuration
	}
	demand.Update(now)
	for rank, value := range other.Ranks {
		demand.ranks[rank].shift(change(demand.ranks[rank].mean, value))
	}
	listed := other.Organisations[:min(len(other.Organisations), maxOrganisations)]
	for _, organisation := range listed {
		if _, ok := demand.organisations[organisation.Name]; !ok && len(demand.organisations) >= maxKnownOrganisations {
			continue
		}
		rate := demand.organisation(organisation.Name)
		rate.shift(change(rate.mean, organisation.Work))
	}
}

// shift adds the change to the mean, unless it is no number that a peer can have meant.
func (rate *meanRate) shift(change float64) {
	if math.Abs(change) < maxWork {
		rate.mean += change
	}
}
