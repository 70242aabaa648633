package hatchserve

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"dragonflyhatch"
	"dragonflyhatch/hatchentry"
	"dragonflyhatch/hatchlimit"
)

// admission is the admission control of all models. It drives one limiter per
// model.
type admission struct {
	daemon  *Daemon
	refused metrics.Counter

	mu     sync.Mutex
	models map[string]*modelLimiter
}

// modelLimiter is the limiter of one model with the requests that wait for its
// decision.
type modelLimiter struct {
	window  metrics.Gauge
	waiting metrics.Gauge

	mu      sync.Mutex
	limiter *hatchlimit.Limiter
	waiters map[*hatchlimit.Ticket]chan *dragonflyhatch.Failure
}

func newAdmission(daemon *Daemon) *admission {
	return &admission{
		daemon:  daemon,
		refused: metrics.NewRegisteredCounter("admission.refused", daemon.registry),
		models:  make(map[string]*modelLimiter),
	}
}

// admittedCompletion is a completion that passed admission control.
type admittedCompletion struct {
	model  *modelLimiter // nil if admission control was skipped
	ticket *hatchlimit.Ticket
}

// recordFirstToken reports the first token of the completion to the limiter.
func (admitted admittedCompletion) recordFirstToken() {
	if admitted.model != nil {
		admitted.model.handleEvent(func(limiter *hatchlimit.Limiter, now time.Time) []hatchlimit.Decision {
			return limiter.FirstToken(now, admitted.ticket)
		})
	}
}

// recordEnd reports the result of the completion to the limiter.
func (admitted admittedCompletion) recordEnd(result hatchlimit.Result) {
	if admitted.model != nil {
		admitted.model.handleEvent(func(limiter *hatchlimit.Limiter, now time.Time) []hatchlimit.Decision {
			return limiter.Done(now, admitted.ticket, result)
		})
	}
}

// admit waits until the completion may be sent. It returns a Failure if the
// completion cannot finish in time. A completion that is resumed after another
// daemon began it is admitted without waiting.
func (admission *admission) admit(ctx context.Context, request hatchentry.Completion) (admittedCompletion, error) {
	if admission.daemon.settings.Policy.DisableAdmission || request.ResumePosition.Next > 0 {
		return admittedCompletion{}, nil
	}
	model := admission.model(request.Model)
	ticket := &hatchlimit.Ticket{
		Organisation: request.Organisation,
		Share:        request.Share,
		Tokens:       request.MaxTokens,
		Deadline:     request.Deadline,
	}
	if failure := model.waitForDecision(ctx, ticket); failure != nil {
		admission.refused.Inc(1)
		return admittedCompletion{}, failure
	}
	return admittedCompletion{model, ticket}, nil
}

// model returns the limiter of the named model, which it creates on first use.
func (admission *admission) model(name string) *modelLimiter {
	admission.mu.Lock()
	defer admission.mu.Unlock()
	model, ok := admission.models[name]
	if !ok {
		registry := admission.daemon.registry
		model = &modelLimiter{
			window:  metrics.NewRegisteredGauge("admission.window."+name, registry),
			waiting: metrics.NewRegisteredGauge("admission.waiting."+name, registry),
			limiter: hatchlimit.NewLimiter(hatchlimit.DefaultOptions()),
			waiters: make(map[*hatchlimit.Ticket]chan *dragonflyhatch.Failure),
		}
		admission.models[name] = model
	}
	return model
}

// waitForDecision submits the ticket to the limiter and waits for the decision.
// It returns nil if the request is admitted.
func (model *modelLimiter) waitForDecision(ctx context.Context, ticket *hatchlimit.Ticket) *dragonflyhatch.Failure {
	decided := make(chan *dragonflyhatch.Failure, 1)
	model.mu.Lock()
	model.waiters[ticket] = decided
	model.deliverDecisions(model.limiter.Arrive(time.Now(), ticket))
	model.mu.Unlock()
	select {
	case failure := <-decided:
		return failure
	case <-ctx.Done():
	}
	model.mu.Lock()
	defer model.mu.Unlock()
	if model.limiter.Abandon(ticket) {
		delete(model.waiters, ticket)
		return &dragonflyhatch.Failure{Kind: dragonflyhatch.KindDeadlineNotRun, Detail: "the deadline passed while the request was queued"}
	}
	return <-decided
}

// handleEvent passes one event to the limiter and delivers the decisions that
// follow from it.
func (model *modelLimiter) handleEvent(feed func(limiter *hatchlimit.Limiter, now time.Time) []hatchlimit.Decision) {
	model.mu.Lock()
	defer model.mu.Unlock()
	model.deliverDecisions(feed(model.limiter, time.Now()))
}

// deliverDecisions sends the decisions to the waiting requests. The caller
// holds model.mu.
func (model *modelLimiter) deliverDecisions(decisions []hatchlimit.Decision) {
	for _, decision := range decisions {
		model.waiters[decision.Ticket] <- decision.Failure
		delete(model.waiters, decision.Ticket)
	}
	model.window.Update(int64(model.limiter.Window()))
	model.waiting.Update(int64(model.limiter.Waiting()))
}

// admissionTickInterval is the interval between two checks for queued requests
// that can no longer finish in time.
const admissionTickInterval = 50 * time.Millisecond

// run calls Tick on all limiters periodically until ctx is done.
func (admission *admission) run(ctx context.Context) {
	for admission.daemon.sleep(ctx, admissionTickInterval) {
		for _, model := range admission.limiters() {
			model.handleEvent((*hatchlimit.Limiter).Tick)
		}
	}
}

func (admission *admission) limiters() []*modelLimiter {
	admission.mu.Lock()
	defer admission.mu.Unlock()
	models := make([]*modelLimiter, 0, len(admission.models))
	for _, model := range admission.models {
		models = append(models, model)
	}
	return models
}
