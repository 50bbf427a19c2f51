// Command benchreturns measures requests that return to a context after its eviction, with
// real daemons and stand-ins of engines and stores. It compares both placement profiles
// with daemons that have no stores, where the least loaded target recomputes the complete
// prompt. The clusters of all variants and seeds run concurrently in this process, in real
// time.
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

// variant is one configuration of the daemons.
type variant struct {
	name    string
	profile string
	stores  int
}

const baseline = 0 // index in variants() of the variant that the others are compared with

func variants() []variant {
	return []variant{
		{name: "naive", profile: "atlas"},
		{name: "atlas", profile: "atlas", stores: storeCount},
		{name: "fonografos", profile: "fonografos", stores: storeCount},
	}
}

var seeds = []int64{1, 2, 3}

func main() {
	speed := flag.Float64("speed", 1.25, "bandwidth of the store links, as a multiple of the demand of returns")
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
	printReport(all, results)
	return nil
}

// measure starts a cluster, runs the load against it and returns the outcome.
func measure(ctx context.Context, v variant, seed int64, speed float64) (outcome, error) {
	c := newCluster(speed)
	defer c.close()
	if err := c.start(ctx, v); err != nil {
		return outcome{}, err
	}
	return drive(ctx, c.addresses(), seed)
}

func printReport(all []variant, results [][]outcome) {
	for j, v := range all {
		var ratios, shares []float64
		for i, seed := range seeds {
			result, base := results[i][j], results[i][baseline]
			ratio := result.p95.Seconds() / base.p95.Seconds()
			ratios, shares = append(ratios, ratio), append(shares, result.recomputed)
			fmt.Printf("seed=%d variant=%s returns=%d failed=%d returns_ttft_p50_ms=%d returns_ttft_p95_ms=%d "+
				"returns_ttft_p95_ratio=%.3f returns_recomputed_share=%.3f\n", seed, v.name, result.returns, result.failed,
				result.p50.Milliseconds(), result.p95.Milliseconds(), ratio, result.recomputed)
		}
		fmt.Printf("median variant=%s returns_ttft_p95_ratio=%.3f returns_recomputed_share=%.3f\n",
			v.name, median(ratios), median(shares))
	}
}

func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}
