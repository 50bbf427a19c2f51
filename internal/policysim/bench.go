package policysim

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/placement"
	"github.com/bluebellscale/bluebellscale/internal/policy/retention"
)

const (
	mainSpeed   = 1.25 // links, relative to the bytes that returns ask for
	measureFrom = 1200 * time.Second
	until       = 2000 * time.Second
)

// BenchLoad returns the trace's shape: five prompts a second, contexts of about 20,000
// tokens that return after 400 s, ten times as long as accelerator memory keeps them.
func BenchLoad() Load {
	return Load{
		Contexts:     2000,
		Gap:          400 * time.Second,
		RegularShare: 0.3,
		RegularError: 3 * time.Second,
		OtherError:   0.3,
		MinTokens:    10_000,
		MaxTokens:    30_000,
		GrowBlocks:   8,
		Until:        until,
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
		TargetBlocks:  3125,
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
	Out   io.Writer
	Seeds []int64
}

type profile struct {
	name   string
	params placement.Params
}

func profiles() []profile {
	return []profile{{"atlas", placement.Atlas()}, {"fonografos", placement.Fonografos()}}
}

// Run plays all parts of the bench.
func (b *Bench) Run() {
	traces := map[int64]*Trace{}
	naive := map[int64]Result{}
	for _, seed := range b.Seeds {
		traces[seed] = NewTrace(seed, BenchLoad())
		c := BenchConfig(seed, placement.Atlas())
		c.Off.Restore = true
		naive[seed] = Run(c, traces[seed])
	}
	b.goals(traces, naive)
	b.switches(traces, naive)
	b.sweep(traces, naive)
}

// goals prints the ratios against naive for each seed and the median.
func (b *Bench) goals(traces map[int64]*Trace, naive map[int64]Result) {
	var ttft, recompute []float64
	for _, seed := range b.Seeds {
		n := naive[seed]
		fmt.Fprintf(b.Out, "naive seed=%d %s\n", seed, describe(&n))
		for _, p := range profiles() {
			r := Run(BenchConfig(seed, p.params), traces[seed])
			fmt.Fprintf(b.Out, "%s seed=%d speed=%.2f %s\n", p.name, seed, mainSpeed, describe(&r))
			if p.name == "atlas" {
				ttft = append(ttft, p95(&r)/p95(&n))
				fmt.Fprintf(b.Out, "seed=%d atlas_ttft_p95_ratio=%.3f\n", seed, p95(&r)/p95(&n))
				continue
			}
			recompute = append(recompute, r.RecomputedShare()/n.RecomputedShare())
			fmt.Fprintf(b.Out, "seed=%d fonografos_recompute_ratio=%.3f\n", seed, r.RecomputedShare()/n.RecomputedShare())
		}
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
	return []toggle{
		{"all-on", func(*Config) {}},
		{"no-reuse", func(c *Config) { c.Placement.Ways.NoReuse = true }},
		{"no-split", func(c *Config) { c.Placement.Ways.NoSplit = true }},
		{"no-link-queue", func(c *Config) { c.Placement.Ways.NoQueue = true }},
		{"no-import", func(c *Config) { c.Placement.Ways.NoImport = true }},
		{"no-demotion", func(c *Config) { c.Off.Demotion = true }},
		{"no-promotion", func(c *Config) { c.Off.Promotion = true }},
		{"no-prefetch", func(c *Config) { c.Off.Prefetch = true }},
		{"no-budget", func(c *Config) { c.Off.Budget = true }},
		{"no-return-time", func(c *Config) { c.Off.ReturnTime = true }},
		{"no-give-up", func(c *Config) { c.Off.GiveUp = true }},
		{"no-events", func(c *Config) { c.Off.Events = true }},
	}
}

// switches prints what each decision gives, at the speed of the goals and at half the
// bytes asked for, as the median over the seeds.
func (b *Bench) switches(traces map[int64]*Trace, naive map[int64]Result) {
	for _, speed := range []float64{mainSpeed, 0.5} {
		for _, p := range profiles() {
			for _, off := range toggles() {
				b.point(off.name, p, speed, off.apply, traces, naive)
			}
		}
	}
}

// sweep prints both profiles over link speeds, with the bound that the links allow.
func (b *Bench) sweep(traces map[int64]*Trace, naive map[int64]Result) {
	for _, speed := range []float64{0.25, 0.5, 1, 2} {
		for _, p := range profiles() {
			b.point(fmt.Sprintf("sweep bound=%.2f", max(0, 1-speed)), p, speed, func(*Config) {}, traces, naive)
		}
	}
}

// point prints the medians and the worst seed of one setting.
func (b *Bench) point(name string, p profile, speed float64, apply func(*Config), traces map[int64]*Trace, naive map[int64]Result) {
	var ratios, shares, p50s, p95s, use []float64
	for _, seed := range b.Seeds {
		c := BenchConfig(seed, p.params)
		c.LinkSpeed = speed
		apply(&c)
		r := Run(c, traces[seed])
		n := naive[seed]
		ratios = append(ratios, p95(&r)/p95(&n))
		shares = append(shares, r.RecomputedShare())
		p50s = append(p50s, quantile(r.TTFT, 0.5))
		p95s = append(p95s, p95(&r))
		use = append(use, float64(r.LinkBytes)/r.LinkCapacity)
	}
	fmt.Fprintf(b.Out, "%-18s %-10s speed=%.2f ttft_p50=%.2fs ttft_p95=%.2fs p95_ratio=%.3f (worst %.3f) recomputed=%.3f (worst %.3f) link_use=%.2f\n",
		name, p.name, speed, median(p50s), median(p95s), median(ratios), slices.Max(ratios), median(shares), slices.Max(shares), median(use))
}

func describe(r *Result) string {
	return fmt.Sprintf("returns=%d ttft_p50=%.2fs ttft_p95=%.2fs recomputed=%.3f link_use=%.2f given_up=%d plans=%v wrong=%d",
		len(r.TTFT), quantile(r.TTFT, 0.5), p95(r), r.RecomputedShare(), float64(r.LinkBytes)/max(1, r.LinkCapacity), r.GivenUp, r.Kinds, r.WrongResidence)
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
