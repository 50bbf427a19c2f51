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
	defaultLinkSpeed = 1.25 // see Config.LinkSpeed
	measureFrom      = 900 * time.Second
	traceEnd         = 1400 * time.Second
)

// BenchLoad returns the load of the benchmark: five prompts per second, with contexts of about
// 20,000 tokens that return after 300 s, which is ten times as long as accelerator memory
// retains them.
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
		Until:           traceEnd,
	}
}

// BenchConfig returns the fleet and policy parameters of the benchmark.
func BenchConfig(seed int64, profile placement.Params) Config {
	return Config{
		Seed:          seed,
		Targets:       20,
		Stores:        2,
		PrefillRate:   8000,
		BytesPerToken: 128 << 10,
		TargetBlocks:  2400,
		LinkSpeed:     defaultLinkSpeed,
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

// Bench runs the benchmark of the placement and retention policies and prints its results.
type Bench struct {
	Out    io.Writer
	Seeds  []int64
	traces []*Trace // indexed like Seeds
	naive  []Result // indexed like Seeds
	points []chan string
	slots  chan struct{}
}

// workers is the number of runs that execute concurrently.
const workers = 4

type profile struct {
	name   string
	params placement.Params
}

func profiles() []profile {
	return []profile{{"atlas", placement.Atlas()}, {"fonografos", placement.Fonografos()}}
}

// Run runs all parts of the benchmark.
func (b *Bench) Run() {
	b.slots = make(chan struct{}, workers)
	b.prepareTraces(BenchLoad())
	b.compareToNaive()
	b.runToggles(defaultLinkSpeed, toggles())
	b.runToggles(0.5, linkToggles())
	b.sweepLinkSpeeds()
	b.slowLink()
	b.print()
	b.quickReturns()
	b.print()
}

// prepareTraces generates the traces and runs them with naive placement.
func (b *Bench) prepareTraces(l Load) {
	b.traces = make([]*Trace, len(b.Seeds))
	for i, seed := range b.Seeds {
		b.traces[i] = NewTrace(seed, l)
	}
	b.naive = b.runSeeds(profiles()[0], defaultLinkSpeed, func(c *Config) { c.Disabled.Restore = true })
}

// runSeeds runs one configuration with every seed. Runs share no state, hence their results
// do not depend on concurrency.
func (b *Bench) runSeeds(p profile, speed float64, apply func(*Config)) []Result {
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

// compareToNaive prints the ratios to naive placement for each seed, and their medians.
func (b *Bench) compareToNaive() {
	atlas := b.runSeeds(profiles()[0], defaultLinkSpeed, func(*Config) {})
	fonografos := b.runSeeds(profiles()[1], defaultLinkSpeed, func(*Config) {})
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

// toggle is a named change of the configuration, mostly one that disables a decision.
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

// linkToggles returns the toggles that matter when link bandwidth is scarce.
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

// runToggles prints the results with each toggle applied.
func (b *Bench) runToggles(speed float64, off []toggle) {
	for _, p := range profiles() {
		for _, t := range off {
			b.addPoint(t.name, p, speed, t.apply)
		}
	}
}

// sweepLinkSpeeds prints the results of both profiles over link speeds, with the lower bound of
// the recomputed share that each speed allows. It runs each once with prompts sent after their
// import and once with prompts sent during their import.
func (b *Bench) sweepLinkSpeeds() {
	for _, speed := range []float64{0.25, 0.5, 1, 2} {
		for _, p := range profiles() {
			bound := fmt.Sprintf("bound=%.2f", max(0, 1-speed))
			b.addPoint("sweep "+bound, p, speed, func(*Config) {})
			b.addPoint("overlap "+bound, p, speed, func(c *Config) { c.Placement.Overlap = true })
		}
	}
}

// slowLink prints the results when the link of one store is slower by a factor of 10 or 10,000
// for 200 s.
func (b *Bench) slowLink() {
	for _, factor := range []float64{10, 10000} {
		slow := func(c *Config) {
			c.SlowFrom, c.SlowUntil, c.SlowFactor = measureFrom+100*time.Second, measureFrom+300*time.Second, factor
		}
		name := fmt.Sprintf("link/%.0f ", factor)
		for _, p := range profiles() {
			b.addPoint(name+"all-on", p, defaultLinkSpeed, slow)
			b.addPoint(name+"no-give-up", p, defaultLinkSpeed, func(c *Config) { slow(c); c.Disabled.ImportDeadline = true })
			b.addPoint(name+"no-overdue", p, defaultLinkSpeed, func(c *Config) { slow(c); c.Disabled.Overdue = true })
		}
	}
}

// quickReturns prints the effect of reuse when some contexts return within seconds, before
// they are evicted.
func (b *Bench) quickReturns() {
	load := BenchLoad()
	load.QuickContexts = 15
	b.prepareTraces(load)
	for _, p := range profiles() {
		b.addPoint("quick all-on", p, defaultLinkSpeed, func(*Config) {})
		b.addPoint("quick no-reuse", p, defaultLinkSpeed, func(c *Config) { c.Placement.Restrictions.NoReuse = true })
	}
}

// addPoint starts the runs of one configuration and queues their line for print.
func (b *Bench) addPoint(name string, p profile, speed float64, apply func(*Config)) {
	line := make(chan string, 1)
	b.points = append(b.points, line)
	go func() { line <- b.summary(name, p, speed, b.runSeeds(p, speed, apply)) }()
}

// print writes the lines of all points in the order of the addPoint calls.
func (b *Bench) print() {
	for _, line := range b.points {
		fmt.Fprint(b.Out, <-line)
	}
	b.points = nil
}

// summary formats the medians and the worst seed of one configuration.
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

// quantile returns the q-quantile of values in seconds.
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
