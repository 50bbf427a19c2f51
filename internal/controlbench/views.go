package controlbench

import (
	"context"
	"fmt"

	"github.com/bluebellscale/bluebellscale/internal/sleep"
)

// viewDaemons is the number of daemons that share the coordination of the engines.
const viewDaemons = 16

// targetViews measures the traffic between daemons and the CPU time per request for
// several numbers of candidate engines. The placement of a request reads the view of each
// candidate from the coordinator of that engine.
func (b Bench) targetViews(ctx context.Context) error {
	for _, engines := range []int{4, 12, 24} {
		if err := b.measureTargetViews(ctx, engines); err != nil {
			return err
		}
	}
	return nil
}

func (b Bench) measureTargetViews(ctx context.Context, engines int) error {
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
	if err := c.startDaemons(ctx, viewDaemons); err != nil {
		return err
	}
	if err := sleep.For(ctx, settleTime); err != nil {
		return err
	}
	idle, err := c.observe(ctx, windowLength/2)
	if err != nil {
		return err
	}
	load, err := c.startPromptLoad(viewDaemons)
	if err != nil {
		return err
	}
	defer load.stop()
	if err := sleep.For(ctx, settleTime/2); err != nil {
		return err
	}
	loaded, err := c.observe(ctx, windowLength)
	if err != nil {
		return err
	}
	perDaemon := loaded.requests / viewDaemons
	prefix := fmt.Sprintf("looks_engines_%d", engines)
	b.printValue(prefix+"_requests_s", loaded.requests)
	b.printValue(prefix+"_request_peer_bytes", (loaded.peerBytes-idle.peerBytes)/perDaemon)
	b.printValue(prefix+"_request_cpu_ms", 10*(loaded.cpuMean-idle.cpuMean)/perDaemon)
	return nil
}
