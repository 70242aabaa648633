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

// admission drives the limiters of all models.
type admission struct {
	daemon  *Daemon
	refused metrics.Counter

	mu     sync.Mutex
	models map[string]*modelAdmission
}

// modelAdmission is the limiter of one model with those who wait for it.
type modelAdmission struct {
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
		models:  make(map[string]*modelAdmission),
	}
}

// admitted is a completion that may be sent.
type admitted struct {
	model  *modelAdmission // nil if it was not made to wait
	ticket *hatchlimit.Ticket
}

// begin notes its first token.
func (admitted admitted) begin() {
	if admitted.model != nil {
		admitted.model.event(func(limiter *hatchlimit.Limiter, now time.Time) []hatchlimit.Decision {
			return limiter.FirstToken(now, admitted.ticket)
		})
	}
}

// finish notes its end.
func (admitted admitted) finish(result hatchlimit.Result) {
	if admitted.model != nil {
		admitted.model.event(func(limiter *hatchlimit.Limiter, now time.Time) []hatchlimit.Decision {
			return limiter.Done(now, admitted.ticket, result)
		})
	}
}

// admit waits until the completion may be sent, or returns a Failure if it
// cannot finish in time. A completion that another daemon has begun is not made
// to wait again.
func (admission *admission) admit(ctx context.Context, request hatchentry.Completion) (admitted, error) {
	if admission.daemon.settings.Policy.NoAdmission || request.Place.Next > 0 {
		return admitted{}, nil
	}
	model := admission.model(request.Model)
	ticket := &hatchlimit.Ticket{
		Organisation: request.Organisation,
		Share:        request.Share,
		Tokens:       request.MaxTokens,
		Deadline:     request.Deadline,
	}
	if failure := model.await(ctx, ticket); failure != nil {
		admission.refused.Inc(1)
		return admitted{}, failure
	}
	return admitted{model, ticket}, nil
}

func (admission *admission) model(name string) *modelAdmission {
	admission.mu.Lock()
	defer admission.mu.Unlock()
	model, ok := admission.models[name]
	if !ok {
		registry := admission.daemon.registry
		model = &modelAdmission{
			window:  metrics.NewRegisteredGauge("admission.window."+name, registry),
			waiting: metrics.NewRegisteredGauge("admission.waiting."+name, registry),
			limiter: hatchlimit.NewLimiter(hatchlimit.DefaultOptions()),
			waiters: make(map[*hatchlimit.Ticket]chan *dragonflyhatch.Failure),
		}
		admission.models[name] = model
	}
	return model
}

// await hands the ticket in and waits for the decision; nil means go.
func (model *modelAdmission) await(ctx context.Context, ticket *hatchlimit.Ticket) *dragonflyhatch.Failure {
	decided := make(chan *dragonflyhatch.Failure, 1)
	model.mu.Lock()
	model.waiters[ticket] = decided
	model.carryOut(model.limiter.Arrive(time.Now(), ticket))
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
		return &dragonflyhatch.Failure{Kind: dragonflyhatch.KindDeadlineNotRun, Detail: "the request still waited for its turn"}
	}
	return <-decided
}

// event feeds one event to the limiter and carries out what follows.
func (model *modelAdmission) event(feed func(limiter *hatchlimit.Limiter, now time.Time) []hatchlimit.Decision) {
	model.mu.Lock()
	defer model.mu.Unlock()
	model.carryOut(feed(model.limiter, time.Now()))
}

// carryOut tells those who wait; the model is locked.
func (model *modelAdmission) carryOut(decisions []hatchlimit.Decision) {
	for _, decision := range decisions {
		model.waiters[decision.Ticket] <- decision.Failure
		delete(model.waiters, decision.Ticket)
	}
	model.window.Update(int64(model.limiter.Window()))
	model.waiting.Update(int64(model.limiter.Waiting()))
}

// admissionTick is the time between two looks for requests that can no longer
// finish.
const admissionTick = 50 * time.Millisecond

// run lets time pass for the limiters until ctx is done.
func (admission *admission) run(ctx context.Context) {
	for admission.daemon.pause(ctx, admissionTick) {
		for _, model := range admission.all() {
			model.event((*hatchlimit.Limiter).Tick)
		}
	}
}

func (admission *admission) all() []*modelAdmission {
	admission.mu.Lock()
	defer admission.mu.Unlock()
	models := make([]*modelAdmission, 0, len(admission.models))
	for _, model := range admission.models {
		models = append(models, model)
	}
	return models
}
