package policysim

import (
	"encoding/binary"
	"fmt"
	"math/rand"
	"slices"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Load configures the prompts of a trace.
type Load struct {
	Contexts        int
	ReturnGap       time.Duration // mean time between two visits of a context
	RegularShare    float64       // share of contexts that return at regular intervals
	MaxRegularError time.Duration // maximum deviation of a regular return
	MaxOtherError   float64       // maximum deviation of other returns, relative to the gap
	MinTokens       int
	MaxTokens       int
	QuickContexts   int // additional contexts that return within seconds
	MaxGrowthBlocks int // maximum growth of a prompt between two visits
	Until           time.Duration
}

// visit is one prompt.
type visit struct {
	at     time.Duration
	ctx    *contextTrace
	blocks int // blocks of this prompt
	before int // blocks of the context's previous prompt, or 0 for its first visit
}

// contextTrace is a context and the chain of its longest prompt.
type contextTrace struct {
	scope block.Scope
	chain []block.Hash
}

// Trace holds all prompts of a run, in order of time.
type Trace struct {
	visits []visit
	load   Load
}

const (
	organisations = 10
	quickGap      = 10 * time.Second
)

// NewTrace generates the trace of a load. The seed determines it.
func NewTrace(seed int64, load Load) *Trace {
	r := rand.New(rand.NewSource(seed))
	t := &Trace{load: load}
	for i := range load.Contexts + load.QuickContexts {
		t.addContext(r, i)
	}
	slices.SortStableFunc(t.visits, func(a, b visit) int { return int(a.at - b.at) })
	return t
}

// addContext adds all visits of one context. First visits are spread over one gap.
func (t *Trace) addContext(r *rand.Rand, i int) {
	l := t.load
	tokens := l.MinTokens + r.Intn(l.MaxTokens-l.MinTokens+1)
	blocks := tokens / block.TokensPerBlock
	gap := time.Duration(float64(l.ReturnGap) * (0.5 + r.Float64()))
	if i >= l.Contexts {
		gap = quickGap
	}
	regular := r.Float64() < l.RegularShare
	at := time.Duration(r.Float64() * float64(l.ReturnGap))
	ctx := &contextTrace{scope: block.Scope{
		Org:     request.OrgID(fmt.Sprint("org-", i%organisations)),
		Model:   "model",
		Version: "v1",
	}}
	before := 0
	for at < l.Until {
		t.visits = append(t.visits, visit{at: at, ctx: ctx, blocks: blocks, before: before})
		before = blocks
		blocks += 1 + r.Intn(l.MaxGrowthBlocks)
		jitter := (2*r.Float64() - 1) * l.MaxOtherError * float64(gap)
		if regular {
			jitter = (2*r.Float64() - 1) * float64(l.MaxRegularError)
		}
		at += gap + time.Duration(jitter)
	}
	ctx.chain = uniqueChain(i, before)
}

// uniqueChain returns a chain that shares no block with the chain of another id.
func uniqueChain(id, blocks int) []block.Hash {
	chain := make([]block.Hash, blocks)
	for i := range chain {
		binary.LittleEndian.PutUint64(chain[i][:], uint64(id)+1)
		binary.LittleEndian.PutUint64(chain[i][8:], uint64(i)+1)
	}
	return chain
}

// countReturns returns the number of returning prompts at or after the given time.
func (t *Trace) countReturns(from time.Duration) int {
	n := 0
	for _, v := range t.visits {
		if v.at >= from && v.before > 0 {
			n++
		}
	}
	return n
}

// returningTokensPerSecond returns how many tokens of previous prompts return per second, from
// the given time to the end of the trace.
func (t *Trace) returningTokensPerSecond(from time.Duration) float64 {
	asked := 0
	for _, v := range t.visits {
		if v.at >= from {
			asked += v.before * block.TokensPerBlock
		}
	}
	return float64(asked) / (t.load.Until - from).Seconds()
}
