package controlbench

import (
	"context"
	"fmt"

	"github.com/bluebellscale/bluebellscale/internal/sleep"
)

// looksDaemons is the number of daemons among which the engines' stewards are spread.
const looksDaemons = 16

// looks measures what a request costs between daemons when its placement weighs more and
// more engines: each needs the view of its steward.
func (b Bench) looks(ctx context.Context) error {
	for _, engines := range []int{4, 12, 24} {
		if err := b.looksOf(ctx, engines); err != nil {
			return err
		}
	}
	return nil
}

func (b Bench) looksOf(ctx context.Context, engines int) error {
	c, err := newCluster(ctx, b.BinDir)
	if err != nil {
		return err
	}
	defer c.close()
	targets, err := c.startTargets(ctx, engines, 0)
	if err != nil {
		return err
	}
	if err := c.apply(ctx, sheets{organisations: organisationRow(benchOrg, benchKey, ""), targets: targets}); err != nil {
		return err
	}
	if err := c.startDaemons(ctx, looksDaemons); err != nil {
		return err
	}
	if err := sleep.For(ctx, settle); err != nil {
		return err
	}
	idle, err := c.observe(ctx, window/2)
	if err != nil {
		return err
	}
	load, err := c.startPrompts(looksDaemons)
	if err != nil {
		return err
	}
	defer load.stop()
	if err := sleep.For(ctx, settle/2); err != nil {
		return err
	}
	busy, err := c.observe(ctx, window)
	if err != nil {
		return err
	}
	perDaemon := busy.requests / looksDaemons
	prefix := fmt.Sprintf("looks_engines_%d", engines)
	b.line(prefix+"_requests_s", busy.requests)
	b.line(prefix+"_request_peer_bytes", (busy.peerBytes-idle.peerBytes)/perDaemon)
	b.line(prefix+"_request_cpu_ms", 10*(busy.cpuMean-idle.cpuMean)/perDaemon)
	return nil
}
