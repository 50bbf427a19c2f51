package controlbench

import (
	"context"
	"fmt"
	"strings"

	"github.com/bluebellscale/bluebellscale/internal/sleep"
)

// targets measures one daemon that coordinates all targets, for several numbers of
// targets. The slope is the cost of a target for its coordinator. In the last run the
// engines report that they are loading weights, which makes the fleet controller read the
// state of every engine at each poll interval.
func (b Bench) targets(ctx context.Context) error {
	for _, n := range []int{0, 20, 100, 400} {
		if err := b.measureTargets(ctx, n, false); err != nil {
			return err
		}
	}
	return b.measureTargets(ctx, 400, true)
}

func (b Bench) measureTargets(ctx context.Context, n int, loading bool) error {
	c, err := newCluster(ctx, b.BinDir)
	if err != nil {
		return err
	}
	defer c.close()
	e, err := startEngines(n, loading)
	if err != nil {
		return err
	}
	defer e.close()
	var rows strings.Builder
	for i := range n {
		rows.WriteString(engineRow(fmt.Sprintf("engine-%04d", i), e.addresses[i], 8))
	}
	if err := c.apply(ctx, sheets{organisations: organisationRow(benchOrg, benchKey, ""), targets: rows.String()}); err != nil {
		return err
	}
	if err := c.startDaemons(ctx, 1); err != nil {
		return err
	}
	if err := sleep.For(ctx, settleTime); err != nil {
		return err
	}
	requestsBefore := e.requests.Load()
	s, err := c.observe(ctx, windowLength)
	if err != nil {
		return err
	}
	prefix := fmt.Sprintf("targets_%d", n)
	if loading {
		prefix += "_rollout"
	}
	b.printValue(prefix+"_cpu_pct", s.cpuMean)
	b.printValue(prefix+"_rss_mb", s.residentMax)
	b.printValue(prefix+"_questions_s", float64(e.requests.Load()-requestsBefore)/windowLength.Seconds())
	return nil
}
