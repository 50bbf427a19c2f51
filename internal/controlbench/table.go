package controlbench

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/sleep"
)

const (
	tableDaemons       = 3
	measuredTableEdits = 20
	editInterval       = 200 * time.Millisecond
)

// table measures the memory of daemons for several table sizes, and the CPU time and
// traffic of one changed row.
func (b Bench) table(ctx context.Context) error {
	for _, organisations := range []int{350, 3_500, 35_000} {
		if err := b.measureTable(ctx, organisations); err != nil {
			return err
		}
	}
	return nil
}

func (b Bench) measureTable(ctx context.Context, organisations int) error {
	c, err := newCluster(ctx, b.BinDir)
	if err != nil {
		return err
	}
	defer c.close()
	var rows strings.Builder
	for i := range organisations {
		rows.WriteString(organisationRow(fmt.Sprintf("org-%05d", i), fmt.Sprint("key-", i), ""))
	}
	if err := c.apply(ctx, sheets{organisations: rows.String()}); err != nil {
		return err
	}
	if err := c.startDaemons(ctx, tableDaemons); err != nil {
		return err
	}
	if err := sleep.For(ctx, settleTime); err != nil {
		return err
	}
	idle, err := c.observe(ctx, windowLength)
	if err != nil {
		return err
	}
	prefix := fmt.Sprintf("table_%d", organisations)
	b.printRates(prefix+"_idle", idle)
	return b.measureTableEdits(ctx, c, prefix, idle)
}

// measureTableEdits changes rows one after another and prints the cost per edit beyond the
// cost of idle daemons. It does not poll the daemons for their tables meanwhile, because
// the responses would count as traffic between daemons.
func (b Bench) measureTableEdits(ctx context.Context, c *cluster, prefix string, idle rates) error {
	before, err := c.sample(ctx)
	if err != nil {
		return err
	}
	for i := range measuredTableEdits {
		if _, err := c.setWeight(ctx, fmt.Sprintf("org-%05d", i*17), 100+i); err != nil {
			return err
		}
		if err := sleep.For(ctx, editInterval); err != nil {
			return err
		}
	}
	// Daemons update their metrics once a second.
	if err := sleep.For(ctx, 2*time.Second); err != nil {
		return err
	}
	after, err := c.sample(ctx)
	if err != nil {
		return err
	}
	used := ratesBetween(before, after)
	perEdit := after.at.Sub(before.at).Seconds() / measuredTableEdits
	b.printValue(prefix+"_edit_cpu_ms", 10*(used.cpuMean-idle.cpuMean)*perEdit)
	b.printValue(prefix+"_edit_peer_bytes", (used.peerBytes-idle.peerBytes)*perEdit)
	b.printValue(prefix+"_edit_rss_mb_max", used.residentMax)
	return nil
}
