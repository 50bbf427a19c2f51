package placer

import (
	"math/rand/v2"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/residency"
	"github.com/bluebellscale/bluebellscale/internal/relay"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
)

// record notes that a replica will have the parts of a prompt.
func (e *Engine) record(r *replicas.Replica, j *relay.Job, salt string) {
	parts := make([]PlacedPart, len(j.Parts))
	other := j.PromptTokens + e.output(j)
	for i, p := range j.Parts {
		parts[i] = PlacedPart{Key: partKey(salt, p.ID), Tokens: p.Tokens}
		other -= p.Tokens
	}
	e.setMemory(j.Service.Engine.MemoryTokens)
	e.RecordPlacement(r, parts, max(0, other))
	if e.OnPlaced != nil {
		e.OnPlaced(r, parts, max(0, other))
	}
}

func (e *Engine) setMemory(tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.memory = tokens
}

// RecordPlacement notes what a replica's memory takes: parts, and other tokens that nobody asks
// for again but that take room until they are dropped.
func (e *Engine) RecordPlacement(r *replicas.Replica, parts []PlacedPart, other int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.memory == 0 {
		return // no prompt has come here yet
	}
	m := e.models[r]
	if m == nil {
		if e.models == nil {
			e.models = map[*replicas.Replica]*residency.Model{}
		}
		m = residency.New(e.memory)
		e.models[r] = m
	}
	for _, p := range parts {
		m.Touch(p.Key, p.Tokens)
	}
	if other > 0 {
		m.Touch(residency.Key(rand.Uint64()), other)
	}
}

// Prune drops the models of replicas that are gone or have started again.
func (e *Engine) Prune() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for r := range e.models {
		if e.Set.Get(r.Info().ID) != r {
			delete(e.models, r)
		}
	}
}

// holder returns a replica on the same weights that is thought to hold a part, one in
// the same failure domain if there is any.
func (e *Engine) holder(key residency.Key, j *relay.Job, to *replicas.Replica, version uint64) *replicas.Replica {
	var found *replicas.Replica
	now := time.Now()
	for _, r := range e.Assigned(j.Service.ID) {
		m := e.models[r]
		if r == to || m == nil || !m.Has(key) || r.Weights(j.Model) != version || r.Health.BackingOff(now) {
			continue
		}
		if r.Info().FailureDomain == to.Info().FailureDomain {
			return r
		}
		found = r
	}
	return found
}

// fillFromPeers names another replica for parts that no store gives.
func (e *Engine) fillFromPeers(send *relay.Send, j *relay.Job, to *replicas.Replica) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, p := range j.Parts {
		if send.FetchFrom[i] != "" {
			continue
		}
		key := partKey(send.CacheSalt, p.ID)
		if m := e.models[to]; m != nil && m.Has(key) {
			continue
		}
		if from := e.holder(key, j, to, send.Weights); from != nil {
			send.FetchFrom[i] = from.Info().Address
		}
	}
}

// residentSomewhere says of each part whether some replica that can be used has it.
func (e *Engine) residentSomewhere(j *relay.Job, salt string, usable []*replicas.Replica) []bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]bool, len(j.Parts))
	for i, p := range j.Parts {
		key := partKey(salt, p.ID)
		for _, r := range usable {
			if m := e.models[r]; m != nil && m.Has(key) {
				out[i] = true
				break
			}
		}
	}
	return out
}
