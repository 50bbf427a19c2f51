// Command schedules runs randomised fault schedules and prints what they found. It
// exits with 1 if anything was doubled, lost or reverted.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"strings"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/schedules"
)

func main() {
	first := flag.Uint64("seed", 1, "first seed")
	count := flag.Int("count", 3000, "schedules of each scenario")
	workers := flag.Int("workers", max(1, runtime.NumCPU()/2), "schedules at a time")
	flag.Parse()
	os.Exit(run(schedules.NewRegistry(), *first, *count, *workers))
}

func run(registry *schedules.Registry, first uint64, count, workers int) int {
	start := time.Now()
	var total schedules.Outcome
	schedulesRun := 0
	for _, name := range registry.Names() {
		r := registry.Run(name, first, count, workers)
		report(r, first)
		schedulesRun += r.Schedules
		total.Doubled += r.Sum.Doubled
		total.Lost += r.Sum.Lost
		total.Reverted += r.Sum.Reverted
	}
	fmt.Printf("schedules=%d\n", schedulesRun)
	fmt.Printf("doubled=%d\n", total.Doubled)
	fmt.Printf("lost=%d\n", total.Lost)
	fmt.Printf("reverted=%d\n", total.Reverted)
	fmt.Printf("seeds=%d..%d\n", first, first+uint64(count)-1)
	fmt.Printf("seconds=%.1f\n", time.Since(start).Seconds())
	if total.Failed() {
		return 1
	}
	return 0
}

func report(r schedules.Result, first uint64) {
	s := r.Sum
	fmt.Printf("%s: schedules=%d doubled=%d lost=%d reverted=%d calls=%d faults=%d in_doubt=%d in_doubt_not_run=%d\n",
		r.Name, r.Schedules, s.Doubled, s.Lost, s.Reverted, s.Calls, s.Faults, s.InDoubt, s.Wasted)
	if len(r.Failed) > 0 {
		fmt.Printf("%s: failed seeds %v, the first:\n%s\n", r.Name, r.Failed, strings.Join(s.Story, "\n"))
	}
}
