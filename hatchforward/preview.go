package hatchforward

import (
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"dragonflyhatch"
	"dragonflyhatch/hatchlimit"
	"dragonflyhatch/hatchpath"
)

// waitRule is the name in previews of the rule for streams without ranks, which are
// refused by the wait that is expected at the head.
const waitRule = "wait"

// previewDraw is the result of every random draw of a preview. With a fixed draw a preview
// can be repeated, and it does not advance the random state of requests.
const previewDraw = 0.5

// previewSource is a source from which rand.Rand.Float64 makes previewDraw.
type previewSource struct{}

// Uint64 implements rand.Source.
func (previewSource) Uint64() uint64 { return 1 << 52 }

// Preview returns where the described request would go at the time, and why. It sends
// nothing and records nothing. It does not ask for retry tokens or slots at replicas that
// name a limit, and knows no parts of prompts that may be held back.
func (forwarder *Forwarder) Preview(now time.Time, request dragonflyhatch.PreviewRequest) dragonflyhatch.Preview {
	call := &call{forwarder: forwarder, started: now, logger: forwarder.logger, info: dragonflyhatch.RequestInfo{
		Key: request.Key, TimeLeft: request.TimeLeft,
		PromptTokens: request.PromptTokens, OutputTokens: request.OutputTokens, ExpectedTokens: request.ExpectedTokens,
	}}
	preview := &previewedCall{call: call}
	if err := preview.decide(now, request.Host, request.Path); err != nil {
		failure := dragonflyhatch.FailureOf(err)
		after, _ := retryAfter(failure)
		preview.Admitted = false
		preview.Refusal = dragonflyhatch.PreviewRefusal{Kind: failure.Kind.String(), Detail: failure.Detail, RetryAfter: after}
	}
	return preview.Preview
}

// previewedCall is a call that is not served, and its preview.
type previewedCall struct {
	*call
	dragonflyhatch.Preview
}

// decide makes the decisions on a new request in the order in which they are made when it
// is served. It returns the refusal, if any.
func (preview *previewedCall) decide(now time.Time, host, path string) error {
	path, _, _ = strings.Cut(path, "?")
	random := rand.New(previewSource{})
	err := preview.resolve(host, path, random)
	preview.ConfigurationVersion, preview.Organisation = preview.configurationVersion, preview.organisationName()
	if preview.route != nil {
		preview.Route, preview.Service = preview.route.Name, preview.service.Name
	}
	if err != nil {
		return err
	}
	preview.setDeadline()
	preview.Rank, preview.Ranks = preview.rank()
	if preview.isStream() {
		preview.Priority = (&stream{call: preview.call}).priority()
	}
	if err := preview.checkStop(); err != nil {
		return err
	}
	query := preview.query(preview.attempts)
	query.Random = random
	head, err := preview.compare(now, query)
	if err != nil {
		return err
	}
	preview.Admitted, preview.Probability = true, 1
	switch {
	case preview.call.service.Model == nil:
		return nil
	case preview.Ranks > 0:
		return preview.decideByRank(now, head)
	}
	return preview.decideByWait(now, head)
}

// compare records the pipelines or replicas that are compared and those that are left out.
// It returns the chosen head.
func (preview *previewedCall) compare(now time.Time, query hatchpath.Query) (*hatchpath.Node, error) {
	view := preview.forwarder.fleet.View()
	preview.ReplicasVersion = view.Version()
	compare := view.CompareReplicas
	if preview.service.Model != nil {
		compare = view.ComparePipelines
	}
	comparison, err := compare(now, query)
	preview.UsesFull, preview.LeftOutCount = comparison.UsesFull, len(comparison.LeftOut)
	for _, candidate := range comparison.Candidates {
		head := candidate.Nodes[0]
		preview.Candidates = append(preview.Candidates, dragonflyhatch.PreviewCandidate{
			Site: candidate.Site, Chosen: candidate.Chosen, Cost: finite(candidate.Cost), Head: head.Address,
			Wait: head.ExpectedWait(now), Version: candidate.Version, Stages: candidate.Stages,
		})
	}
	for _, leftOut := range comparison.LeftOut[:min(len(comparison.LeftOut), dragonflyhatch.MaxPreviewEntries)] {
		preview.LeftOut = append(preview.LeftOut, dragonflyhatch.PreviewLeftOut{
			Address: leftOut.Address, Site: leftOut.Site, Reason: leftOut.Reason.String(), For: leftOut.For,
		})
	}
	if err != nil {
		return nil, err
	}
	return comparison.Chosen().Nodes[0], nil
}

// decideByRank records the decision of the admission of a service with ranks.
func (preview *previewedCall) decideByRank(now time.Time, head *hatchpath.Node) error {
	forwarder, service := preview.forwarder, preview.service.Name
	forwarder.ranked.mu.Lock()
	admission := forwarder.ranked.preview(service, preview.Ranks)
	room := forwarder.room(now, service, admission)
	longest := forwarder.previewLongestTimeLeft(preview.route.Name, preview.info.TimeLeft)
	request := preview.admissionRequest(preview.Rank, head.ExpectedWait(now), longest)
	verdict := admission.Preview(now, request, room, rand.New(previewSource{}).Float64)
	forwarder.ranked.mu.Unlock()

	preview.Admitted, preview.Rule, preview.Probability = verdict.Admitted, verdict.Rule.String(), finite(verdict.Probability)
	inputs := preview.inputs(now, request)
	inputs.Fits, inputs.RankFits, inputs.Demand = finite(verdict.Fits), finite(verdict.RankFits), finite(verdict.Demand)
	inputs.Share, inputs.FairShare = finite(verdict.Share), finite(verdict.FairShare)
	inputs.Running, inputs.Waiting, inputs.Capacity = room.Running, room.Waiting, room.Capacity
	inputs.OldestReport = room.Oldest
	if verdict.Admitted {
		return nil
	}
	return refusalByRank(preview.Rank, preview.Ranks, verdict, room)
}

// decideByWait records the decision by the wait that is expected at the head.
func (preview *previewedCall) decideByWait(now time.Time, head *hatchpath.Node) error {
	wait := head.ExpectedWait(now)
	longest := preview.forwarder.previewLongestTimeLeft(preview.route.Name, preview.info.TimeLeft)
	inputs := preview.inputs(now, preview.admissionRequest(preview.Rank, wait, longest))
	refused := hatchlimit.RefusalProbability(wait, preview.route.Target, inputs.Returned)
	preview.Rule, preview.Probability = waitRule, 1-refused
	if previewDraw >= refused {
		return nil
	}
	return refusalByWait(wait, head.Address, hatchlimit.ReturnDelay(preview.deadline.Sub(now), previewDraw))
}

// inputs sets the preview's inputs as far as they do not depend on ranks, and returns them.
func (preview *previewedCall) inputs(now time.Time, request hatchlimit.Request) *dragonflyhatch.PreviewInputs {
	forwarder := preview.forwarder
	inputs := &dragonflyhatch.PreviewInputs{
		Work: request.Work, Target: request.Target, Wait: request.Wait,
		Returned: hatchlimit.HasReturned(request.Left, request.Longest),
		RunTime:  forwarder.meanRunTime(preview.service.Name), Daemons: forwarder.fleet.Daemons(),
	}
	for _, load := range forwarder.fleet.View().HeadLoads(now, preview.service.Name) {
		inputs.Running += float64(load.Running)
		inputs.Waiting += float64(load.Waiting)
		inputs.OldestReport = max(inputs.OldestReport, load.Age)
		if len(inputs.Heads) == dragonflyhatch.MaxPreviewEntries {
			continue
		}
		inputs.Heads = append(inputs.Heads, dragonflyhatch.PreviewHead{
			Address: load.Address, Reported: load.Reported, Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, Age: load.Age,
		})
	}
	preview.Inputs = inputs
	return inputs
}

// finite returns the value, or 0 if it has no representation in JSON.
func finite(value float64) float64 {
	if math.IsNaN(value) || math.IsInf(value, 0) {
		return 0
	}
	return value
}
