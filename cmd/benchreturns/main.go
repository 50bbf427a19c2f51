// Command benchreturns measures contexts that return after eviction in running daemons
// with stand-ins of engines and stores around them: both profiles against daemons that
// have no stores, so that the least loaded target computes everything again. All
// clusters of all seeds run side by side in this process, in real time.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
)

// variant is one way to run the daemons.
type variant struct {
	name    string
	profile string
	stores  int
}

const naive = 0 // index of the variant that the others are compared with

func variants() []variant {
	return []variant{
		{name: "naive", profile: "atlas"},
		{name: "atlas", profile: "atlas", stores: storeCount},
		{name: "fonografos", profile: "fonografos", stores: storeCount},
	}
}

var seeds = []int64{1, 2, 3}

func main() {
	speed := flag.Float64("speed", 1.25, "bytes that the links carry, as a multiple of what returns ask for")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, *speed); err != nil {
		fmt.Fprintln(os.Stderr, "benchreturns:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, speed float64) error {
	all := variants()
	results := make([][]outcome, len(seeds)) // by seed, then variant
	failures := make(chan error, len(seeds)*len(all))
	var runs sync.WaitGroup
	for i, seed := range seeds {
		results[i] = make([]outcome, len(all))
		for j, v := range all {
			runs.Go(func() {
				out, err := measure(ctx, v, seed, speed)
				results[i][j] = out
				failures <- errors.Wrapf(err, "%s, seed %d", v.name, seed)
			})
		}
	}
	runs.Wait()
	for range cap(failures) {
		if err := <-failures; err != nil {
			return err
		}
	}
	report(all, results)
	return nil
}

// measure runs the load against one cluster.
func measure(ctx context.Context, v variant, seed int64, speed float64) (outcome, error) {
	c := newCluster(speed)
	defer c.close()
	if err := c.start(ctx, v); err != nil {
		return outcome{}, err
	}
	return drive(ctx, c.addresses(), seed)
}

func report(all []variant, results [][]outcome) {
	for j, v := range all {
		var ratios, shares []float64
		for i, seed := range seeds {
			own, base := results[i][j], results[i][naive]
			ratio := own.p95.Seconds() / base.p95.Seconds()
			ratios, shares = append(ratios, ratio), append(shares, own.recomputed)
			fmt.Printf("seed=%d variant=%s returns=%d failed=%d returns_ttft_p50_ms=%d returns_ttft_p95_ms=%d "+
				"returns_ttft_p95_ratio=%.3f returns_recomputed_share=%.3f\n", seed, v.name, own.returns, own.failed,
				own.p50.Milliseconds(), own.p95.Milliseconds(), ratio, own.recomputed)
		}
		fmt.Printf("median variant=%s returns_ttft_p95_ratio=%.3f returns_recomputed_share=%.3f\n",
			v.name, median(ratios), median(shares))
	}
}

func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}
