// Command benchfair measures what a loud organisation costs the quiet ones: the 95th
// percentile of their time to first token with the loud one on, divided by the same
// with it off. It drives the real admission and fair queue through a small simulation
// of targets, beside a naive version, and prints each seed and the median.
package main

import (
	"fmt"
	"os"
	"slices"

	"github.com/urfave/cli/v2"
)

func main() {
	app := &cli.App{
		Name:  "benchfair",
		Usage: "measure what a loud organisation costs the quiet ones",
		Flags: []cli.Flag{
			&cli.Int64SliceFlag{Name: "seed", Value: cli.NewInt64Slice(1, 2, 3), Usage: "seed of a run"},
			&cli.DurationFlag{Name: "time", Value: shortPrompts().length, Usage: "simulated time of a run"},
		},
		Action: run,
	}
	if err := app.Run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(c *cli.Context) error {
	for _, sc := range []scenario{returns(), outputs(), shortPrompts()} {
		sc.length = c.Duration("time")
		var ours, naive []float64
		for _, seed := range c.Int64Slice("seed") {
			o := compare(sc, seed, newStewards(nothing))
			n := compare(sc, seed, newNaive)
			report(sc, seed, o, n)
			ours = append(ours, o.ratio())
			naive = append(naive, n.ratio())
		}
		fmt.Printf("%s quiet_p95_ratio=%.3f naive_quiet_p95_ratio=%.1f seeds=%d (median)\n",
			sc.name, median(ours), median(naive), len(ours))
		for _, d := range []decision{priority, reserve} {
			var ratios []float64
			for _, seed := range c.Int64Slice("seed") {
				ratios = append(ratios, compare(sc, seed, newStewards(d)).ratio())
			}
			fmt.Printf("%s without=%s quiet_p95_ratio=%.3f each=%.3f\n", sc.name, d, median(ratios), ratios)
		}
	}
	return nil
}

func report(sc scenario, seed int64, o, n pair) {
	fmt.Printf("%s seed=%d quiet_p95_ratio=%.3f off_ms=%.0f on_ms=%.0f unanswered=%d loud_tokens_per_s=%.0f",
		sc.name, seed, o.ratio(), o.off.p95(), o.on.p95(), o.on.unanswered, o.on.loudRate(sc))
	fmt.Printf(" naive_quiet_p95_ratio=%.1f naive_on_ms=%.0f naive_unanswered=%d\n",
		n.ratio(), n.on.p95(), n.on.unanswered)
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}
