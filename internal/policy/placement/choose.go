package placement

import (
	"math"

	"github.com/bluebellscale/bluebellscale/internal/block"
)

const (
	// defaultPrefillRate, in tokens per second, applies to a target without measurements.
	defaultPrefillRate = 8000
	// importSlack is the factor by which any import may exceed its expected time.
	importSlack = 2
)

// Choose returns the best plan for a prompt. It skips candidates that are down, leaving
// or loaded with another weight version.
func Choose(p Params, r Request, candidates []Candidate, copies []Copy) Plan {
	e := newEstimator(p, r, candidates, copies)
	var best ranking
	first := firstCandidate(r, candidates)
	for n := range candidates {
		i := (first + n) % len(candidates)
		if !usable(r, &candidates[i]) {
			continue
		}
		best.insert(e.option(&candidates[i]), i)
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

// cost is the estimate of an option in seconds, kept small so that Choose compares many
// quickly.
type cost struct {
	score      float64
	expected   float64
	importTime float64
	reuse      int
	head       int // zero: no import
	copy       int // index into estimator.copies, valid if head > 0
}

// estimator holds the inputs that all candidates share.
type estimator struct {
	params      Params
	request     Request
	copies      []Copy
	blockBytes  float64
	importLimit float64 // longest time to first token, in seconds, of a plan with an import
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
			best = min(best, e.wait(c)+e.contention(c)+float64(r.Tokens)/rate(c))
		}
	}
	e.importLimit = p.MaxImportSlowdown * best
	return e
}

func rate(c *Candidate) float64 {
	if c.PrefillRate > 0 {
		return c.PrefillRate
	}
	return defaultPrefillRate
}

// contention returns the seconds that the requests at the target add to a new one.
//
// A prompt whose blocks are imported adds almost nothing to the prefill queue. Without
// this term, the target with the slightly highest learned rate stays the best choice for
// every following prompt. The imported blocks then evict each other before their prompts
// run, and the target prefills all prompts in sequence while other targets idle. A prompt
// counts as running from its grant, which precedes its import, so the term steers the
// next prompt to another target.
func (e *estimator) contention(c *Candidate) float64 {
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

// resident returns the number of leading blocks of the prompt that the target can reuse.
func (e *estimator) resident(c *Candidate) int {
	if e.params.Restrictions.NoReuse || c.Unconfirmed {
		return 0
	}
	return min(c.ResidentBlocks, e.request.Tokens/block.TokensPerBlock)
}

// option returns the option with the lowest score on one target.
func (e *estimator) option(c *Candidate) cost {
	reuse := e.resident(c)
	wait := e.wait(c)
	best := cost{reuse: reuse, expected: wait + e.contention(c) + e.prefill(c, reuse)}
	best.score = e.score(best.expected, reuse, reuse)
	if e.params.Restrictions.NoImport {
		return best
	}
	for i := range e.copies {
		if imported, ok := e.bestImport(c, i, reuse, wait); ok && imported.score < best.score {
			best = imported
		}
	}
	return best
}

// prefill returns the seconds to compute the tokens after the given leading blocks.
func (e *estimator) prefill(c *Candidate, blocks int) float64 {
	return float64(e.tail(blocks)) / rate(c)
}

// tail returns the number of tokens after the leading blocks. It is at least 1, because
// the target always computes the last token.
func (e *estimator) tail(blocks int) int {
	return max(e.request.Tokens-blocks*block.TokensPerBlock, 1)
}

func (e *estimator) score(expected float64, reuse, head int) float64 {
	covered := max(reuse, head)
	linkBytes := float64(covered-reuse) * e.blockBytes
	return expected + e.params.RecomputeWeight*float64(e.tail(covered)) + e.params.LinkWeight*linkBytes
}

// bestImport returns the best head to import from one copy.
//
// The end of the import grows linearly with the head, and the end of the prefill
// shrinks linearly with it, so the score is convex and piecewise linear. Its minimum
// lies at an end of the range, at the head whose import ends when the target is ready for
// it or at the import limit, so bestImport evaluates only these heads.
func (e *estimator) bestImport(c *Candidate, index, reuse int, wait float64) (cost, bool) {
	copied := &e.copies[index]
	available := min(copied.Blocks, e.request.Tokens/block.TokensPerBlock)
	linkRate := importRate(copied)
	if copied.Link.Down || linkRate <= 0 || available <= reuse {
		return cost{}, false
	}
	perBlock := e.blockBytes / linkRate
	start := e.params.ImportLatency.Seconds()
	if !e.params.Restrictions.NoQueue {
		start += float64(copied.Link.QueuedBytes) / linkRate
	}
	limit := available
	if !e.params.Restrictions.NoQueue {
		limit = min(available, reuse+int(max(0, (e.importLimit-start)/perBlock)))
	}
	best := cost{score: math.Inf(1)}
	result := func() (cost, bool) { return best, best.head > 0 }
	consider := func(head int) {
		importEnd := start + float64(head-reuse)*perBlock
		trial := cost{reuse: reuse, head: head, copy: index, importTime: importEnd}
		trial.expected = e.finish(wait, importEnd, e.prefill(c, head)) + e.contention(c)
		if trial.expected > e.importLimit && !e.params.Restrictions.NoQueue {
			return
		}
		trial.score = e.score(trial.expected, reuse, head)
		if trial.score < best.score {
			best = trial
		}
	}
	if e.params.Restrictions.NoSplit {
		if limit < available {
			return cost{}, false
		}
		consider(available)
		return result()
	}
	if limit <= reuse {
		return cost{}, false
	}
	consider(limit)
	readyHead := reuse + e.blocksUntilReady(c, reuse, wait, start, perBlock)
	serial := reuse + e.serialLimit(c, reuse, start, perBlock)
	for _, head := range [...]int{readyHead, readyHead + 1, serial} {
		if head > reuse && head < limit {
			consider(head)
		}
	}
	return result()
}

// serialLimit returns the largest number of blocks that a target without overlap can
// import and still finish within the import limit.
func (e *estimator) serialLimit(c *Candidate, reuse int, start, perBlock float64) int {
	netPerBlock := perBlock - block.TokensPerBlock/rate(c)
	if e.params.Overlap || netPerBlock <= 0 {
		return 0
	}
	return int(max(0, (e.importLimit-start-e.prefill(c, reuse))/netPerBlock))
}

// blocksUntilReady returns the number of blocks to import so that the import ends when the
// target is ready for them.
func (e *estimator) blocksUntilReady(c *Candidate, reuse int, wait, start, perBlock float64) int {
	if !e.params.Overlap {
		return int((wait - start) / perBlock)
	}
	perBlockPrefill := block.TokensPerBlock / rate(c)
	return int((wait + e.prefill(c, reuse) - start) / (perBlock + perBlockPrefill))
}

// finish returns the seconds to the first token if the target imports a head and
// prefills the rest.
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
