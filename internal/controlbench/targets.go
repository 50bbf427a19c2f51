package controlbench

import (
	"context"
	"fmt"
	"strings"

	"github.com/bluebellscale/bluebellscale/internal/sleep"
)

// targets measures one daemon that is the steward of all targets, at several numbers of
// them: the slope is what a target costs its steward. In the last run the engines seem
// to load weights, so that the fleet's duty reads all of them at every poll interval.
func (b Bench) targets(ctx context.Context) error {
	for _, n := range []int{0, 20, 100, 400} {
		if err := b.targetsOf(ctx, n, false); err != nil {
			return err
		}
	}
	return b.targetsOf(ctx, 400, true)
}

func (b Bench) targetsOf(ctx context.Context, n int, loading bool) error {
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
	if err := sleep.For(ctx, settle); err != nil {
		return err
	}
	asked := e.asked.Load()
	s, err := c.observe(ctx, window)
	if err != nil {
		return err
	}
	prefix := fmt.Sprintf("targets_%d", n)
	if loading {
		prefix += "_rollout"
	}
	b.line(prefix+"_cpu_pct", s.cpuMean)
	b.line(prefix+"_rss_mb", s.residentMax)
	b.line(prefix+"_questions_s", float64(e.asked.Load()-asked)/window.Seconds())
	return nil
}
