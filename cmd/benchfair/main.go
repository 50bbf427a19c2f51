// Command benchfair measures the effect of an organisation with high load (the loud one) on
// organisations with low load (the quiet ones): the 95th percentile of the quiet ones' time
// to first token with the load of the loud one, divided by the percentile without it. It
// runs the production admission and fair queue against a simulation of targets, compares
// them with a naive load balancer, and prints the result of each seed and the median.
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
		Usage: "measure the effect of a loud organisation on quiet ones",
		Flags: []cli.Flag{
			&cli.Int64SliceFlag{Name: "seed", Value: cli.NewInt64Slice(1, 2, 3), Usage: "seed of a run; may be repeated"},
			&cli.DurationFlag{Name: "time", Value: shortPrompts().duration, Usage: "simulated duration of a run"},
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
		sc.duration = c.Duration("time")
		var ownRatios, naiveRatios []float64
		for _, seed := range c.Int64Slice("seed") {
			o := compare(sc, seed, coordinatorsWithout(noMechanism))
			n := compare(sc, seed, newNaive)
			report(sc, seed, o, n)
			ownRatios = append(ownRatios, o.ratio())
			naiveRatios = append(naiveRatios, n.ratio())
		}
		fmt.Printf("%s quiet_p95_ratio=%.3f naive_quiet_p95_ratio=%.1f seeds=%d (median)\n",
			sc.name, median(ownRatios), median(naiveRatios), len(ownRatios))
		for _, m := range []mechanism{enginePriority, slotReserve} {
			var ratios []float64
			for _, seed := range c.Int64Slice("seed") {
				ratios = append(ratios, compare(sc, seed, coordinatorsWithout(m)).ratio())
			}
			fmt.Printf("%s without=%s quiet_p95_ratio=%.3f each=%.3f\n", sc.name, m, median(ratios), ratios)
		}
	}
	return nil
}

func report(sc scenario, seed int64, o, n comparison) {
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
