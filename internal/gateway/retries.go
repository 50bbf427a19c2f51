package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/retry"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// retryBudgets holds a retry budget for each set of targets, which is the replicas of a
// model or the instances of a service.
type retryBudgets struct {
	mu     sync.Mutex
	sets   map[string]*retry.Budget
	random *rand.Rand
}

func newRetryBudgets(seed uint64) *retryBudgets {
	return &retryBudgets{sets: map[string]*retry.Budget{}, random: rand.New(rand.NewPCG(seed, seed))}
}

// targetSetOf returns the name of the set of targets that may serve a job.
func targetSetOf(j *Job) string {
	if j.kind == kindService {
		return "service/" + j.call.service
	}
	return "model/" + string(j.model)
}

func (b *retryBudgets) set(name string, now time.Time) *retry.Budget {
	set, ok := b.sets[name]
	if !ok {
		set = retry.NewBudget(now, retry.Params{})
		b.sets[name] = set
	}
	return set
}

func (b *retryBudgets) onFirstAttempt(j *Job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.set(targetSetOf(j), now).OnFirstAttempt(now)
}

// decide returns what follows a failed attempt. A retry is possible even after bytes were
// sent to the caller, since the sink compares the new text with the text already sent.
func (b *retryBudgets) decide(j *Job, answer *request.Error) retry.Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	r := retry.Request{
		Repeatable: j.kind == kindCompletion || j.call.repeatable,
		Deadline:   j.deadline,
		Retries:    j.attempts - 1,
	}
	return b.set(targetSetOf(j), now).Decide(now, b.random, r, retry.Failure{Err: answer})
}
