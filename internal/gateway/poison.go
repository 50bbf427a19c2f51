package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/policy/poison"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// poisonRecords refuses requests that share what crashed targets with requests that were in flight there. It holds the records of this
// daemon alone: prompts with the same beginning have one home, so that it sees their deaths and their answers. A new home learns anew.
// The quarantine covers requests that are sent again. It is safe for concurrent use.
type poisonRecords struct {
	log     hclog.Logger
	metrics tally.Scope

	mu       sync.Mutex
	registry *poison.Registry
}

func newPoisonRecords(log hclog.Logger, metrics tally.Scope) *poisonRecords {
	return &poisonRecords{log: log, metrics: metrics, registry: poison.New(poison.DefaultParams)}
}

// traits returns what a request has in common with others: the beginnings of its prompt, of one block, two, four and so on, and its
// model; or the path of a call.
func (j *Job) traits() []poison.Trait {
	org := poison.OrgOf(j.org.ID)
	if j.kind != kindCompletion {
		return []poison.Trait{poison.NewTrait(poison.KindPath, org, []byte(j.call.service), []byte(j.call.path))}
	}
	model := poison.NewTrait(poison.KindModel, org, []byte(j.model))
	out := []poison.Trait{model, model.ForAll()}
	for n := 1; n <= len(j.context.Chain); n *= 2 {
		hash := j.context.Chain[n-1]
		out = append(out, poison.NewTrait(poison.KindPart, org, hash[:]))
	}
	return out
}

// refuse returns the error for a request that must not run, nil if it may.
func (f *poisonRecords) refuse(j *Job) *request.Error {
	now, traits := time.Now(), j.traits()
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.registry.Check(now, traits)
	switch {
	case v.Refused:
		f.metrics.Tagged(map[string]string{"trait": v.Cause.Kind.String()}).Counter("poisonous_refused").Inc(1)
		return request.Refuse(request.CodeQuarantined, http.StatusServiceUnavailable, v.RetryAfter,
			"targets died while they ran requests with the same %s", v.Cause.Kind)
	case len(v.Trials) > 0:
		f.registry.OnTrial(now, v.Trials)
		f.log.Warn("A request is sent to find out whether what it shares with others still crashes targets", "request", j.id, "organisation", j.org.ID)
	}
	return nil
}

// onDeath records that the target of the current attempt died.
func (f *poisonRecords) onDeath(j *Job) {
	now, traits := time.Now(), j.traits()
	report := poison.Report{Death: fmt.Sprint(j.choice.Target.ID, "@", j.incarnation), Org: poison.OrgOf(j.org.ID), At: now}
	for _, t := range traits {
		report.Accused = append(report.Accused, poison.Accused{Trait: t, Sent: j.dispatchedAt})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.registry.OnDeath(now, report)
	for _, t := range traits {
		if f.registry.IsPoisonous(t) {
			f.log.Warn("Requests that share something crash targets and are refused", "organisation", j.org.ID, "trait", t.Kind, "deaths", f.registry.Held(t))
		}
	}
}

// onAnswered records that a target answered.
func (f *poisonRecords) onAnswered(j *Job) {
	traits := j.traits()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.registry.OnAnswered(time.Now(), traits, traits)
}
