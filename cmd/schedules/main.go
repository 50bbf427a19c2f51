// Command schedules runs randomised fault schedules and prints their results. It exits with
// status 1 if an effect was doubled, an answer lost, or an accepted fact reverted.
package main

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"time"

	"github.com/urfave/cli/v2"

	"github.com/bluebellscale/bluebellscale/internal/schedules"
)

func main() {
	app := &cli.App{
		Name:  "schedules",
		Usage: "run randomised fault schedules",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first seed"},
			&cli.IntFlag{Name: "count", Value: 3000, Usage: "number of schedules per scenario"},
			&cli.IntFlag{Name: "workers", Value: max(1, runtime.NumCPU()/2), Usage: "number of schedules that run concurrently"},
		},
		Action: func(c *cli.Context) error {
			return run(registry(), c.Uint64("seed"), c.Int("count"), c.Int("workers"))
		},
	}
	if err := app.Run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(registry *schedules.Registry, first uint64, count, workers int) error {
	start := time.Now()
	var combined schedules.Result
	for _, name := range registry.Names() {
		r := registry.Run(name, first, count, workers)
		report(r)
		combined.Merge(r)
	}
	s := combined.Total
	fmt.Printf("schedules=%d\ndoubled=%d\nlost=%d\nreverted=%d\n", combined.Schedules, s.Doubled, s.Lost, s.Reverted)
	fmt.Printf("seeds=%d..%d\nseconds=%.1f\n", first, first+uint64(count)-1, time.Since(start).Seconds())
	if s.Failed() {
		return cli.Exit("schedules: effects were doubled, answers lost, or accepted facts reverted", 1)
	}
	return nil
}

func report(r schedules.Result) {
	s := r.Total
	fmt.Printf("%s: schedules=%d doubled=%d lost=%d reverted=%d calls=%d faults=%d in_doubt=%d in_doubt_not_run=%d\n",
		r.Name, r.Schedules, s.Doubled, s.Lost, s.Reverted, s.Calls, s.Faults, s.InDoubt, s.InDoubtNotRun)
	if len(r.FailedSeeds) > 0 {
		fmt.Printf("%s: failed seeds %v, the first:\n%s\n", r.Name, r.FailedSeeds, strings.Join(s.FailureLog, "\n"))
	}
}
