package placement

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/block"
)

// ranking holds the best maxOptions options, best first.
type ranking struct {
	costs   [maxOptions]cost
	indexes [maxOptions]int
	count   int
}

// insert adds an option; among equal scores the earlier candidate ranks higher.
func (r *ranking) insert(c cost, index int) {
	at := r.count
	for at > 0 && c.score < r.costs[at-1].score {
		at--
	}
	if at == maxOptions {
		return
	}
	if r.count < maxOptions {
		r.count++
	}
	copy(r.costs[at+1:r.count], r.costs[at:r.count-1])
	copy(r.indexes[at+1:r.count], r.indexes[at:r.count-1])
	r.costs[at] = c
	r.indexes[at] = index
}

func (e *estimator) plan(best *ranking, candidates []Candidate) Plan {
	plan := Plan{PrefillChunkTokens: e.params.PrefillChunkTokens}
	if best.count == 0 {
		return plan
	}
	plan.Found = true
	plan.Option = e.describe(best.costs[0], &candidates[best.indexes[0]])
	plan.ImportDeadline = e.importDeadline(best.costs[0], &candidates[best.indexes[0]])
	plan.MissesDeadline = e.request.Deadline > 0 && plan.Expected > e.request.Deadline
	if best.count > 1 {
		plan.Alternatives = make([]Option, 0, maxOptions-1)
	}
	for i := 1; i < best.count; i++ {
		plan.Alternatives = append(plan.Alternatives, e.describe(best.costs[i], &candidates[best.indexes[i]]))
	}
	return plan
}

// importDeadline bounds the wait for an import whose store fails or whose link slows down
// after the choice. Without it, the caller waits for an import long after prefilling
// would have finished. The deadline is the time to prefill the imported head, so that
// waiting costs the caller at most as much as cancelling too early. It is at least twice
// the expected import time, for imports that take about as long as prefilling or longer.
func (e *estimator) importDeadline(c cost, target *Candidate) time.Duration {
	if c.head == 0 {
		return 0
	}
	head := float64((c.head-c.reuse)*block.TokensPerBlock) / rate(target)
	return duration(max(head, importSlack*c.importTime))
}

func (e *estimator) describe(c cost, target *Candidate) Option {
	covered := max(c.reuse, c.head)
	o := Option{
		Target:       target.ID,
		Kind:         e.kind(c),
		ReuseBlocks:  c.reuse,
		PromptBlocks: e.request.Tokens / block.TokensPerBlock,
		Overlapped:   e.params.Overlap,
		Recomputed:   e.tail(covered),
		Expected:     duration(c.expected),
		ImportTime:   duration(c.importTime),
		Score:        c.score,
	}
	if c.head > 0 {
		o.ImportBlocks = c.head
		o.Store = e.copies[c.copy].Store
		o.LinkBytes = int64(c.head-c.reuse) * e.request.BytesPerToken * block.TokensPerBlock
	}
	return o
}

func (e *estimator) kind(c cost) Kind {
	switch {
	case c.head == 0 && c.reuse == 0:
		return Prefill
	case c.head == 0:
		return Reuse
	case c.head == min(e.copies[c.copy].Blocks, e.request.Tokens/block.TokensPerBlock):
		return ImportWhole
	default:
		return ImportHead
	}
}

func duration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
