package placement

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/request"

	_ "github.com/bluebellscale/bluebellscale/internal/testseed" // the same seeds in each run
)

const testBytesPerToken = 128 << 10

// TestChoose parses candidates and copies, one per line, and prints the plan.
func TestChoose(t *testing.T) {
	datadriven.Walk(t, "testdata/choose", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			p := Atlas()
			if td.HasArg("fonografos") {
				p = Fonografos()
			}
			p.Overlap = !td.HasArg("serial")
			p.Restrictions = Restrictions{
				NoReuse:  td.HasArg("no-reuse"),
				NoImport: td.HasArg("no-import"),
				NoSplit:  td.HasArg("no-split"),
				NoQueue:  td.HasArg("no-queue"),
			}
			r := Request{Tokens: 20000, BytesPerToken: testBytesPerToken, Version: "v1"}
			td.MaybeScanArgs(t, "tokens", &r.Tokens)
			var deadline int
			td.MaybeScanArgs(t, "deadline", &deadline)
			r.Deadline = time.Duration(deadline) * time.Millisecond
			candidates, copies := parseInput(t, td.Input)
			return formatPlan(Choose(p, r, candidates, copies))
		})
	})
}

// parseInput parses lines such as "target t1 queued=4000 resident=10 leaving" and
// "copy s1 blocks=312 rate=3e9 queued=1e9 down".
func parseInput(t *testing.T, input string) ([]Candidate, []Copy) {
	var candidates []Candidate
	var copies []Copy
	for line := range strings.Lines(input) {
		words := strings.Fields(line)
		args := map[string]float64{}
		for _, w := range words[2:] {
			key, value, _ := strings.Cut(w, "=")
			n, err := strconv.ParseFloat(value, 64)
			if err != nil && value != "" {
				t.Fatal(err)
			}
			args[key] = n
		}
		has := func(key string) bool { _, ok := args[key]; return ok }
		if words[0] == "copy" {
			copies = append(copies, Copy{
				Store: request.StoreID(words[1]), Blocks: int(args["blocks"]), TierBytesPerSec: args["disk"],
				Link: LinkState{BytesPerSec: args["rate"], QueuedBytes: int64(args["queued"]), Down: has("down")},
			})
			continue
		}
		version := request.Version("v1")
		if has("v2") {
			version = "v2"
		}
		candidates = append(candidates, Candidate{
			ID: request.TargetID(words[1]), Version: version, PrefillRate: args["rate"],
			QueuedPrefillTokens: int(args["queued"]), ResidentBlocks: int(args["resident"]),
			Running: int(args["running"]), MaxRunning: int(args["max"]), Waiting: int(args["waiting"]),
			Unconfirmed: has("unsure"), Down: has("down"), Leaving: has("leaving"),
		})
	}
	return candidates, copies
}

func formatPlan(p Plan) string {
	if !p.Found {
		return "no target\n"
	}
	var b strings.Builder
	b.WriteString(formatOption(p.Option))
	if p.ImportDeadline > 0 {
		fmt.Fprintf(&b, " give-up=%dms", p.ImportDeadline.Milliseconds())
	}
	if p.MissesDeadline {
		b.WriteString(" late")
	}
	b.WriteString("\n")
	for _, o := range p.Alternatives {
		fmt.Fprintf(&b, "  then %s\n", formatOption(o))
	}
	return b.String()
}

func formatOption(o Option) string {
	s := fmt.Sprintf("%s %s expected=%dms recomputed=%d", o.Target, o.Kind, o.Expected.Milliseconds(), o.Recomputed)
	if o.ReuseBlocks > 0 {
		s += fmt.Sprintf(" reuse=%d", o.ReuseBlocks)
	}
	if o.ImportBlocks > 0 {
		s += fmt.Sprintf(" import=%d from %s in %dms", o.ImportBlocks, o.Store, o.ImportTime.Milliseconds())
	}
	return s
}

func drawInput(t *rapid.T) (Params, Request, []Candidate, []Copy) {
	p := rapid.SampledFrom([]Params{Atlas(), Fonografos()}).Draw(t, "profile")
	p.Overlap = rapid.Bool().Draw(t, "overlap")
	r := Request{Tokens: rapid.IntRange(1, 6000).Draw(t, "tokens"), BytesPerToken: testBytesPerToken}
	candidates := make([]Candidate, rapid.IntRange(1, 5).Draw(t, "targets"))
	for i := range candidates {
		candidates[i] = Candidate{
			ID:                  request.TargetID(fmt.Sprint("t", i)),
			QueuedPrefillTokens: rapid.IntRange(0, 40000).Draw(t, "queued"),
			ResidentBlocks:      rapid.IntRange(0, 120).Draw(t, "resident"),
			PrefillRate:         rapid.Float64Range(500, 20000).Draw(t, "rate"),
			Down:                rapid.IntRange(0, 5).Draw(t, "down") == 0,
		}
	}
	copies := make([]Copy, rapid.IntRange(0, 2).Draw(t, "copies"))
	for i := range copies {
		copies[i] = Copy{
			Store:  request.StoreID(fmt.Sprint("s", i)),
			Blocks: rapid.IntRange(1, 120).Draw(t, "blocks"),
			Link: LinkState{
				BytesPerSec: rapid.Float64Range(1e7, 1e10).Draw(t, "link"),
				QueuedBytes: rapid.Int64Range(0, 20e9).Draw(t, "link queue"),
				Down:        rapid.IntRange(0, 5).Draw(t, "store down") == 0,
			},
		}
	}
	return p, r, candidates, copies
}

// TestChooseFindsTheBestOfAll compares Choose with an exhaustive search. Choose evaluates
// only the few heads at which the minimum can lie; the search evaluates every head of
// every copy on every target. Both must find the same best score.
func TestChooseFindsTheBestOfAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, r, candidates, copies := drawInput(t)
		plan := Choose(p, r, candidates, copies)
		best := exhaustive(p, r, candidates, copies)
		if math.IsInf(best, 1) != !plan.Found {
			t.Fatalf("found %t, exhaustive search %v", plan.Found, best)
		}
		if plan.Found && math.Abs(plan.Score-best) > 1e-6*(1+best) {
			t.Fatalf("score %v of %+v, exhaustive search %v", plan.Score, plan.Option, best)
		}
	})
}

func exhaustive(p Params, r Request, candidates []Candidate, copies []Copy) float64 {
	best := math.Inf(1)
	importLimit := math.Inf(1)
	for _, c := range candidates {
		if !c.Down {
			importLimit = min(importLimit, p.MaxImportSlowdown*(float64(c.QueuedPrefillTokens)+float64(r.Tokens))/c.PrefillRate)
		}
	}
	for _, c := range candidates {
		if c.Down {
			continue
		}
		wait := float64(c.QueuedPrefillTokens) / c.PrefillRate
		reuse := min(c.ResidentBlocks, r.Tokens/block.TokensPerBlock)
		finish := func(head int, importEnd float64) float64 {
			tail := float64(max(1, r.Tokens-head*block.TokensPerBlock))
			if p.Overlap {
				return max(wait+tail/c.PrefillRate, importEnd)
			}
			return max(wait, importEnd) + tail/c.PrefillRate
		}
		score := func(head int, importEnd float64) float64 {
			tail := float64(max(1, r.Tokens-head*block.TokensPerBlock))
			return finish(head, importEnd) + p.RecomputeWeight*tail + p.LinkWeight*float64(head-reuse)*block.TokensPerBlock*testBytesPerToken
		}
		best = min(best, score(reuse, 0))
		for _, s := range copies {
			if s.Link.Down {
				continue
			}
			for head := reuse + 1; head <= min(s.Blocks, r.Tokens/block.TokensPerBlock); head++ {
				bytes := float64(s.Link.QueuedBytes) + float64(head-reuse)*block.TokensPerBlock*testBytesPerToken
				end := p.ImportLatency.Seconds() + bytes/s.Link.BytesPerSec
				if end <= importLimit && finish(head, end) <= importLimit {
					best = min(best, score(head, end))
				}
			}
		}
	}
	return best
}

// TestImportQueueStaysBounded sends the prompts of 200 callers that return at the same
// time. If every prompt with a copy is imported, all imports join the same store's queue,
// and the last caller waits for minutes although an idle target could prefill its context
// in seconds. No import may end later than MaxImportSlowdown allows, relative to the time
// that the best target needs to prefill.
func TestImportQueueStaysBounded(t *testing.T) {
	naive := Atlas()
	naive.Restrictions = Restrictions{NoSplit: true, NoQueue: true}
	for _, ours := range []Params{Atlas(), Fonografos()} {
		naiveQueue, oursQueue := int64(0), int64(0)
		var naiveWorst, oursWorst time.Duration
		for range 200 {
			queue, end := joinQueue(naive, naiveQueue)
			naiveQueue, naiveWorst = queue, max(naiveWorst, end)
			queue, end = joinQueue(ours, oursQueue)
			oursQueue, oursWorst = queue, max(oursWorst, end)
		}
		const prefillAll = 2500 * time.Millisecond
		if naiveWorst < 100*time.Second {
			t.Fatalf("the naive choice should grow the queue without bound, but its worst import ends after %v", naiveWorst)
		}
		if oursWorst > time.Duration(float64(prefillAll)*ours.MaxImportSlowdown)+time.Millisecond {
			t.Fatalf("worst import ends after %v", oursWorst)
		}
	}
}

// joinQueue places one 20,000-token prompt and returns the link's queue after it and
// the time at which its import ends.
func joinQueue(p Params, queue int64) (int64, time.Duration) {
	const linkRate = 3e9
	plan := Choose(p, Request{Tokens: 20000, BytesPerToken: testBytesPerToken},
		[]Candidate{{ID: "t1", PrefillRate: 8000}},
		[]Copy{{Store: "s1", Blocks: 312, Link: LinkState{BytesPerSec: linkRate, QueuedBytes: queue}}})
	if plan.LinkBytes == 0 {
		return queue, 0
	}
	queue += plan.LinkBytes
	return queue, duration(float64(queue) / linkRate)
}

func BenchmarkChoose(b *testing.B) {
	for _, targets := range []int{20, 200, 1300} {
		b.Run(strconv.Itoa(targets), func(b *testing.B) {
			candidates := make([]Candidate, targets)
			for i := range candidates {
				candidates[i] = Candidate{ID: request.TargetID(fmt.Sprint("t", i)), QueuedPrefillTokens: i * 7919 % 30000, PrefillRate: 8000}
			}
			copies := []Copy{
				{Store: "s1", Blocks: 312, Link: LinkState{BytesPerSec: 3e9, QueuedBytes: 1e9}},
				{Store: "s2", Blocks: 200, Link: LinkState{BytesPerSec: 3e9}},
			}
			r := Request{Tokens: 20000, BytesPerToken: testBytesPerToken}
			b.ReportAllocs()
			for b.Loop() {
				Choose(Atlas(), r, candidates, copies)
			}
		})
	}
}
