package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/retry"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// budgets keeps one retry budget for each set of targets: a model's replicas or a
// service's instances.
type budgets struct {
	mu     sync.Mutex
	sets   map[string]*retry.Budget
	random *rand.Rand
}

func newBudgets(seed uint64) *budgets {
	return &budgets{sets: map[string]*retry.Budget{}, random: rand.New(rand.NewPCG(seed, seed))}
}

// setOf names the set of targets that may serve a job.
func setOf(j *Job) string {
	if j.kind == kindService {
		return "service/" + j.call.service
	}
	return "model/" + string(j.model)
}

func (b *budgets) set(name string, now time.Time) *retry.Budget {
	set, ok := b.sets[name]
	if !ok {
		set = retry.NewBudget(now, retry.Params{})
		b.sets[name] = set
	}
	return set
}

func (b *budgets) first(j *Job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.set(setOf(j), now).OnFirstAttempt(now)
}

// decide says what follows a failed try. That bytes have gone to the caller does not
// rule out another try, since the sink compares its text with what the caller has.
func (b *budgets) decide(j *Job, answer *request.Error) retry.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	r := retry.Request{
		Repeatable: j.kind == kindCompletion || j.call.repeatable,
		Deadline:   j.deadline,
		Retries:    j.tries - 1,
	}
	return b.set(setOf(j), now).Decide(now, b.random, r, retry.Failure{Err: answer})
}
