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

// Load shapes a trace.
type Load struct {
	Contexts        int
	ReturnGap       time.Duration // mean time between two visits of a context
	RegularShare    float64       // share of contexts that return on time
	MaxRegularError time.Duration // how far a regular return is off, at most
	MaxOtherError   float64       // how far another return is off, relative to the gap, at most
	MinTokens       int
	MaxTokens       int
	QuickContexts   int // contexts on top that return within seconds
	MaxGrowthBlocks int // blocks that a prompt grows by between visits, at most
	Until           time.Duration
}

// visit is one prompt.
type visit struct {
	at     time.Duration
	ctx    *contextTrace
	blocks int // of this prompt
	before int // of this context's prompt before; zero: first visit
}

// contextTrace is one context with the chain of its longest prompt.
type contextTrace struct {
	scope block.Scope
	chain []block.Hash
}

// Trace is all prompts of a run in order of time.
type Trace struct {
	visits []visit
	load   Load
}

const (
	organisations = 10
	quickGap      = 10 * time.Second
)

// NewTrace returns the trace of a seed.
func NewTrace(seed int64, load Load) *Trace {
	r := rand.New(rand.NewSource(seed))
	t := &Trace{load: load}
	for i := range load.Contexts + load.QuickContexts {
		t.addContext(r, i)
	}
	slices.SortStableFunc(t.visits, func(a, b visit) int { return int(a.at - b.at) })
	return t
}

// addContext adds all visits of one context; first visits are spread over one gap.
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
		wobble := (2*r.Float64() - 1) * l.MaxOtherError * float64(gap)
		if regular {
			wobble = (2*r.Float64() - 1) * float64(l.MaxRegularError)
		}
		at += gap + time.Duration(wobble)
	}
	ctx.chain = chainOf(i, before)
}

// chainOf returns a chain that no other context shares.
func chainOf(id, blocks int) []block.Hash {
	chain := make([]block.Hash, blocks)
	for i := range chain {
		binary.LittleEndian.PutUint64(chain[i][:], uint64(id)+1)
		binary.LittleEndian.PutUint64(chain[i][8:], uint64(i)+1)
	}
	return chain
}

// returns counts the returns from a time on.
func (t *Trace) returns(from time.Duration) int {
	n := 0
	for _, v := range t.visits {
		if v.at >= from && v.before > 0 {
			n++
		}
	}
	return n
}

// askedPerSecond returns the tokens of earlier prompts that returns ask for, a second.
func (t *Trace) askedPerSecond(from time.Duration) float64 {
	asked := 0
	for _, v := range t.visits {
		if v.at >= from {
			asked += v.before * block.TokensPerBlock
		}
	}
	return float64(asked) / (t.load.Until - from).Seconds()
}
