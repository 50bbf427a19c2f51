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
			&cli.DurationFlag{Name: "time", Value: defaultScenario().length, Usage: "simulated time of a run"},
		},
		Action: run,
	}
	if err := app.Run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(c *cli.Context) error {
	sc := defaultScenario()
	sc.length = c.Duration("time")
	var ours, naive []float64
	for _, seed := range c.Int64Slice("seed") {
		o := compare(sc, seed, newStewards)
		n := compare(sc, seed, newNaive)
		fmt.Printf("seed=%d quiet_p95_ratio=%.3f off_ms=%.0f on_ms=%.0f loud_tokens_per_s=%.0f quiet_unanswered=%d naive_quiet_p95_ratio=%.3f naive_on_ms=%.0f naive_quiet_unanswered=%d\n",
			seed, o.ratio(), o.off.p95(), o.on.p95(), o.on.loudRate(sc), o.on.unanswered, n.ratio(), n.on.p95(), n.on.unanswered)
		ours = append(ours, o.ratio())
		naive = append(naive, n.ratio())
	}
	fmt.Printf("quiet_p95_ratio=%.3f naive_quiet_p95_ratio=%.3f median of %d seeds\n", median(ours), median(naive), len(ours))
	return nil
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}
