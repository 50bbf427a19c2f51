package policysim

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/placement"
	"github.com/bluebellscale/bluebellscale/internal/policy/retention"
)

const (
	mainSpeed   = 1.25 // links, relative to the bytes that returns ask for
	measureFrom = 900 * time.Second
	until       = 1400 * time.Second
)

// BenchLoad returns the trace's shape: five prompts a second, contexts of about 20,000
// tokens that return after 300 s, ten times as long as accelerator memory keeps them.
func BenchLoad() Load {
	return Load{
		Contexts:        1500,
		ReturnGap:       300 * time.Second,
		RegularShare:    0.3,
		MaxRegularError: 3 * time.Second,
		MaxOtherError:   0.3,
		MinTokens:       10_000,
		MaxTokens:       30_000,
		MaxGrowthBlocks: 8,
		Until:           until,
	}
}

// BenchConfig returns the fleet of the bench.
func BenchConfig(seed int64, profile placement.Params) Config {
	return Config{
		Seed:          seed,
		Targets:       20,
		Stores:        2,
		PrefillRate:   8000,
		BytesPerToken: 128 << 10,
		TargetBlocks:  2400,
		LinkSpeed:     mainSpeed,
		DiskSpeed:     0.5,
		StoreMemory:   0.7,
		StoreDisk:     0.7,
		EventLag:      time.Second,
		EventLoss:     0.01,
		MeasureFrom:   measureFrom,
		Placement:     profile,
		Retention:     retention.DefaultParams(),
	}
}

// Bench prints all figures of the placement and retention policies.
type Bench struct {
	Out    io.Writer
	Seeds  []int64
	traces []*Trace // by seed
	naive  []Result // by seed
	points []chan string
	slots  chan struct{}
}

// workers is how many runs are played side by side.
const workers = 4

type profile struct {
	name   string
	params placement.Params
}

func profiles() []profile {
	return []profile{{"atlas", placement.Atlas()}, {"fonografos", placement.Fonografos()}}
}

// Run plays all parts of the bench.
func (b *Bench) Run() {
	b.slots = make(chan struct{}, workers)
	b.load(BenchLoad())
	b.goals()
	b.switches(mainSpeed, toggles())
	b.switches(0.5, linkToggles())
	b.sweep()
	b.slowLink()
	b.print()
	b.conversations()
	b.print()
}

// load makes the traces and plays them with the naive twin.
func (b *Bench) load(l Load) {
	b.traces = make([]*Trace, len(b.Seeds))
	for i, seed := range b.Seeds {
		b.traces[i] = NewTrace(seed, l)
	}
	b.naive = b.each(profiles()[0], mainSpeed, func(c *Config) { c.Disabled.Restore = true })
}

// each plays one setting with every seed. Runs share nothing, so they go side by side
// and their results do not depend on it.
func (b *Bench) each(p profile, speed float64, apply func(*Config)) []Result {
	results := make([]Result, len(b.Seeds))
	var wait sync.WaitGroup
	for i, seed := range b.Seeds {
		wait.Go(func() {
			c := BenchConfig(seed, p.params)
			c.LinkSpeed = speed
			apply(&c)
			b.slots <- struct{}{}
			results[i] = Run(c, b.traces[i])
			<-b.slots
		})
	}
	wait.Wait()
	return results
}

// goals prints the ratios against naive for each seed and the median.
func (b *Bench) goals() {
	atlas := b.each(profiles()[0], mainSpeed, func(*Config) {})
	fonografos := b.each(profiles()[1], mainSpeed, func(*Config) {})
	var ttft, recompute []float64
	for i, seed := range b.Seeds {
		n, a, f := &b.naive[i], &atlas[i], &fonografos[i]
		ttft = append(ttft, p95(a)/p95(n))
		recompute = append(recompute, f.RecomputedShare()/n.RecomputedShare())
		fmt.Fprintf(b.Out, "naive      seed=%d %s\n", seed, describe(n))
		fmt.Fprintf(b.Out, "atlas      seed=%d %s\n", seed, describe(a))
		fmt.Fprintf(b.Out, "fonografos seed=%d %s\n", seed, describe(f))
		fmt.Fprintf(b.Out, "seed=%d atlas_ttft_p95_ratio=%.3f\n", seed, ttft[i])
		fmt.Fprintf(b.Out, "seed=%d fonografos_recompute_ratio=%.3f\n", seed, recompute[i])
	}
	fmt.Fprintf(b.Out, "median atlas_ttft_p95_ratio=%.3f\n", median(ttft))
	fmt.Fprintf(b.Out, "median fonografos_recompute_ratio=%.3f\n", median(recompute))
}

// toggle is one decision switched off.
type toggle struct {
	name  string
	apply func(*Config)
}

func toggles() []toggle {
	return append(linkToggles(), []toggle{
		{"no-reuse", func(c *Config) { c.Placement.Restrictions.NoReuse = true }},
		{"no-import", func(c *Config) { c.Placement.Restrictions.NoImport = true }},
		{"no-demotion", func(c *Config) { c.Disabled.Demotion = true }},
		{"no-promotion", func(c *Config) { c.Disabled.Promotion = true }},
		{"no-prefetch", func(c *Config) { c.Disabled.Prefetch = true }},
		{"no-return-time", func(c *Config) { c.Disabled.ReturnTime = true }},
		{"no-events", func(c *Config) { c.Disabled.Events = true }},
	}...)
}

// linkToggles are those that matter when links are short.
func linkToggles() []toggle {
	return []toggle{
		{"all-on", func(*Config) {}},
		{"no-link-queue", func(c *Config) { c.Placement.Restrictions.NoQueue = true }},
		{"no-budget", func(c *Config) { c.Disabled.Budget = true }},
		{"import-always", func(c *Config) {
			c.Placement.Restrictions = placement.Restrictions{NoReuse: true, NoSplit: true, NoQueue: true}
			c.Placement.RecomputeWeight = 1
			c.Disabled.ImportDeadline = true
		}},
		{"overlap", func(c *Config) { c.Placement.Overlap = true }},
		{"serial", func(c *Config) { c.Placement.Overlap = false }},
		{"overlap no-split", func(c *Config) { c.Placement.Overlap, c.Placement.Restrictions.NoSplit = true, true }},
	}
}

// switches prints what each decision gives.
func (b *Bench) switches(speed float64, off []toggle) {
	for _, p := range profiles() {
		for _, t := range off {
			b.point(t.name, p, speed, t.apply)
		}
	}
}

// sweep prints both profiles over link speeds, with the bound that the links allow, for
// prompts that are sent after their import and for those that are sent during it.
func (b *Bench) sweep() {
	for _, speed := range []float64{0.25, 0.5, 1, 2} {
		for _, p := range profiles() {
			bound := fmt.Sprintf("bound=%.2f", max(0, 1-speed))
			b.point("sweep "+bound, p, speed, func(*Config) {})
			b.point("overlap "+bound, p, speed, func(c *Config) { c.Placement.Overlap = true })
		}
	}
}

// slowLink prints what callers see when one store's link carries a tenth, or next to
// nothing, for a while.
func (b *Bench) slowLink() {
	for _, factor := range []float64{10, 10000} {
		slow := func(c *Config) {
			c.SlowFrom, c.SlowUntil, c.SlowFactor = measureFrom+100*time.Second, measureFrom+300*time.Second, factor
		}
		name := fmt.Sprintf("link/%.0f ", factor)
		for _, p := range profiles() {
			b.point(name+"all-on", p, mainSpeed, slow)
			b.point(name+"no-give-up", p, mainSpeed, func(c *Config) { slow(c); c.Disabled.ImportDeadline = true })
			b.point(name+"no-overdue", p, mainSpeed, func(c *Config) { slow(c); c.Disabled.Overdue = true })
		}
	}
}

// conversations prints the decisions that matter when some contexts return within
// seconds, before they are evicted.
func (b *Bench) conversations() {
	load := BenchLoad()
	load.QuickContexts = 15
	b.load(load)
	for _, p := range profiles() {
		b.point("quick all-on", p, mainSpeed, func(*Config) {})
		b.point("quick no-reuse", p, mainSpeed, func(c *Config) { c.Placement.Restrictions.NoReuse = true })
	}
}

// point plays one setting and hands its line to print.
func (b *Bench) point(name string, p profile, speed float64, apply func(*Config)) {
	line := make(chan string, 1)
	b.points = append(b.points, line)
	go func() { line <- b.summary(name, p, speed, b.each(p, speed, apply)) }()
}

// print writes the lines of all points in the order in which they were asked for.
func (b *Bench) print() {
	for _, line := range b.points {
		fmt.Fprint(b.Out, <-line)
	}
	b.points = nil
}

// summary returns the medians and the worst seed of one setting.
func (b *Bench) summary(name string, p profile, speed float64, results []Result) string {
	var ratios, shares, p50s, p95s, use []float64
	unanswered := 0
	for i, r := range results {
		ratios = append(ratios, p95(&r)/p95(&b.naive[i]))
		shares = append(shares, r.RecomputedShare())
		p50s = append(p50s, quantile(r.TTFT, 0.5))
		p95s = append(p95s, p95(&r))
		use = append(use, float64(r.LinkBytes)/r.LinkCapacity)
		unanswered += r.Unanswered
	}
	return fmt.Sprintf("%-21s %-10s speed=%.2f ttft_p50=%.2fs ttft_p95=%.2fs p95_ratio=%.3f (worst %.3f) recomputed=%.3f (worst %.3f) link_use=%.2f unanswered=%d\n",
		name, p.name, speed, median(p50s), median(p95s), median(ratios), slices.Max(ratios), median(shares), slices.Max(shares), median(use), unanswered)
}

func describe(r *Result) string {
	return fmt.Sprintf("returns=%d ttft_p50=%.2fs ttft_p95=%.2fs recomputed=%.3f link_use=%.2f prefetched=%.2f exported=%.2f given_up=%d plans=%v wrong=%d",
		len(r.TTFT), quantile(r.TTFT, 0.5), p95(r), r.RecomputedShare(), float64(r.LinkBytes)/max(1, r.LinkCapacity),
		float64(r.BackgroundBytes[0])/max(1, r.LinkCapacity), float64(r.BackgroundBytes[1])/max(1, r.LinkCapacity), r.TimedOutImports, r.PlanKinds, r.ResidenceMismatches)
}

func p95(r *Result) float64 { return quantile(r.TTFT, 0.95) }

// quantile returns seconds.
func quantile(values []time.Duration, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[int(q*float64(len(sorted)-1))].Seconds()
}

func median(values []float64) float64 {
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}
