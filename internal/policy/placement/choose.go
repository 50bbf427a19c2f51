package placement

import (
	"math"

	"github.com/bluebellscale/bluebellscale/internal/block"
)

const (
	// defaultPrefillRate, in tokens a second, stands in for a target never measured.
	defaultPrefillRate = 8000
	// importSlack is how far any import may exceed its expected time.
	importSlack = 2
)

// Choose returns the best plan for a prompt. Candidates that are down, leaving or hold
// another weight version are passed over.
func Choose(p Params, r Request, candidates []Candidate, copies []Copy) Plan {
	e := newEstimator(p, r, candidates, copies)
	var best ranking
	first := firstCandidate(r, candidates)
	for n := range candidates {
		i := (first + n) % len(candidates)
		if !usable(r, &candidates[i]) {
			continue
		}
		best.offer(e.option(&candidates[i]), i)
	}
	return e.plan(&best, candidates)
}

// firstCandidate returns the candidate that wins ties.
func firstCandidate(r Request, candidates []Candidate) int {
	if len(candidates) == 0 {
		return 0
	}
	return int(r.TieBreak % uint64(len(candidates)))
}

func usable(r Request, c *Candidate) bool {
	if c.Down || c.Leaving {
		return false
	}
	return r.Version == "" || c.Version == r.Version
}

// cost is an option in plain seconds, small enough to compare many quickly.
type cost struct {
	score      float64
	expected   float64
	importTime float64
	reuse      int
	head       int // zero: no import
	copy       int // index, valid if head > 0
}

// estimator holds what is the same for all candidates.
type estimator struct {
	params     Params
	request    Request
	copies     []Copy
	blockBytes float64
	patience   float64 // seconds in which a plan with an import must finish
}

func newEstimator(p Params, r Request, candidates []Candidate, copies []Copy) *estimator {
	e := &estimator{
		params:     p,
		request:    r,
		copies:     copies,
		blockBytes: float64(r.BytesPerToken * block.TokensPerBlock),
	}
	best := math.Inf(1)
	for i := range candidates {
		c := &candidates[i]
		if usable(r, c) {
			best = min(best, e.wait(c)+e.crowd(c)+float64(r.Tokens)/rate(c))
		}
	}
	e.patience = p.MaxImportSlowdown * best
	return e
}

func rate(c *Candidate) float64 {
	if c.PrefillRate > 0 {
		return c.PrefillRate
	}
	return defaultPrefillRate
}

// crowd returns the seconds that the requests at the target add to a new one.
//
// The failure: a prompt whose blocks are imported adds next to nothing to the queue, so
// that the target whose learned rate is best by a hair looks best to each prompt that
// follows. All are brought there, the blocks push each other out before their prompts
// are run, and each is computed after all, one behind the other, while other targets
// idle. Why the guard holds: a prompt counts as running at its target from the grant on,
// which is before its import, and the next one goes elsewhere.
func (e *estimator) crowd(c *Candidate) float64 {
	return e.params.ContentionWait.Seconds() * float64(c.Running+c.Waiting)
}

// wait returns the seconds until the target begins to prefill a new prompt.
func (e *estimator) wait(c *Candidate) float64 {
	queue := float64(c.QueuedPrefillTokens) / rate(c)
	if c.MaxRunning > 0 && c.Running >= c.MaxRunning {
		queue += e.params.SlotWait.Seconds() * float64(c.Waiting+1)
	}
	return queue
}

// resident returns the leading blocks that can be counted on.
func (e *estimator) resident(c *Candidate) int {
	if e.params.Restrictions.NoReuse || c.Unconfirmed {
		return 0
	}
	return min(c.ResidentBlocks, e.request.Tokens/block.TokensPerBlock)
}

// option returns the cheapest way to run the prompt on one target.
func (e *estimator) option(c *Candidate) cost {
	reuse := e.resident(c)
	wait := e.wait(c)
	best := cost{reuse: reuse, expected: wait + e.crowd(c) + e.prefill(c, reuse)}
	best.score = e.score(best.expected, reuse, reuse)
	if e.params.Restrictions.NoImport {
		return best
	}
	for i := range e.copies {
		if way, ok := e.bestImport(c, i, reuse, wait); ok && way.score < best.score {
			best = way
		}
	}
	return best
}

// prefill returns the seconds to compute all but the leading blocks.
func (e *estimator) prefill(c *Candidate, blocks int) float64 {
	return float64(e.tail(blocks)) / rate(c)
}

// tail returns the tokens after the leading blocks; the last one is always computed.
func (e *estimator) tail(blocks int) int {
	return max(e.request.Tokens-blocks*block.TokensPerBlock, 1)
}

func (e *estimator) score(expected float64, reuse, head int) float64 {
	have := max(reuse, head)
	carried := float64(have-reuse) * e.blockBytes
	return expected + e.params.RecomputeWeight*float64(e.tail(have)) + e.params.LinkWeight*carried
}

// bestImport returns the best head to import from one copy.
//
// The end of the import grows linearly with the head, and the end of the prefill
// shrinks linearly with it, so the score is convex and piecewise linear. Its minimum
// lies at an end, at the crossing or at a limit of patience; only these are tried.
func (e *estimator) bestImport(c *Candidate, index, reuse int, wait float64) (cost, bool) {
	copied := &e.copies[index]
	whole := min(copied.Blocks, e.request.Tokens/block.TokensPerBlock)
	linkRate := importRate(copied)
	if copied.Link.Down || linkRate <= 0 || whole <= reuse {
		return cost{}, false
	}
	perBlock := e.blockBytes / linkRate
	start := e.params.ImportLatency.Seconds()
	if !e.params.Restrictions.NoQueue {
		start += float64(copied.Link.QueuedBytes) / linkRate
	}
	limit := whole
	if !e.params.Restrictions.NoQueue {
		limit = min(whole, reuse+int(max(0, (e.patience-start)/perBlock)))
	}
	best := cost{score: math.Inf(1)}
	found := func() (cost, bool) { return best, best.head > 0 }
	try := func(head int) {
		importEnd := start + float64(head-reuse)*perBlock
		way := cost{reuse: reuse, head: head, copy: index, importTime: importEnd}
		way.expected = e.finish(wait, importEnd, e.prefill(c, head)) + e.crowd(c)
		if way.expected > e.patience && !e.params.Restrictions.NoQueue {
			return
		}
		way.score = e.score(way.expected, reuse, head)
		if way.score < best.score {
			best = way
		}
	}
	if e.params.Restrictions.NoSplit {
		if limit < whole {
			return cost{}, false
		}
		try(whole)
		return found()
	}
	if limit <= reuse {
		return cost{}, false
	}
	try(limit)
	crossing := reuse + e.crossing(c, reuse, wait, start, perBlock)
	worth := reuse + e.serialWorth(c, reuse, start, perBlock)
	for _, head := range [...]int{crossing, crossing + 1, worth} {
		if head > reuse && head < limit {
			try(head)
		}
	}
	return found()
}

// serialWorth returns the most blocks that a target that can't overlap may import
// without finishing past the limit of patience.
func (e *estimator) serialWorth(c *Candidate, reuse int, start, perBlock float64) int {
	slower := perBlock - block.TokensPerBlock/rate(c)
	if e.params.Overlap || slower <= 0 {
		return 0
	}
	return int(max(0, (e.patience-start-e.prefill(c, reuse))/slower))
}

// crossing returns how many blocks to import so that the import ends when the target
// is ready for them.
func (e *estimator) crossing(c *Candidate, reuse int, wait, start, perBlock float64) int {
	if !e.params.Overlap {
		return int((wait - start) / perBlock)
	}
	perBlockPrefill := block.TokensPerBlock / rate(c)
	return int((wait + e.prefill(c, reuse) - start) / (perBlock + perBlockPrefill))
}

// finish returns the seconds to the first token of an import with the rest prefilled.
func (e *estimator) finish(wait, importEnd, prefill float64) float64 {
	if e.params.Overlap {
		return max(wait+prefill, importEnd)
	}
	return max(wait, importEnd) + prefill
}

func importRate(c *Copy) float64 {
	if c.TierBytesPerSec > 0 {
		return min(c.Link.BytesPerSec, c.TierBytesPerSec)
	}
	return c.Link.BytesPerSec
}
