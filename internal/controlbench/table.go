package controlbench

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/sleep"
)

const (
	tableDaemons = 3
	tableEdits   = 20
	editGap      = 200 * time.Millisecond
)

// table measures what the size of the table costs daemons in memory, and what one
// changed row costs each of them.
func (b Bench) table(ctx context.Context) error {
	for _, organisations := range []int{350, 3_500, 35_000} {
		if err := b.tableOf(ctx, organisations); err != nil {
			return err
		}
	}
	return nil
}

func (b Bench) tableOf(ctx context.Context, organisations int) error {
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
	if err := sleep.For(ctx, settle); err != nil {
		return err
	}
	idle, err := c.observe(ctx, window)
	if err != nil {
		return err
	}
	prefix := fmt.Sprintf("table_%d", organisations)
	b.lines(prefix+"_idle", idle)
	return b.tableEdits(ctx, c, prefix, idle)
}

// tableEdits changes rows one after another and prints the cost of each above that of
// idle daemons. The daemons are not asked for the table meanwhile: the answers would
// count as bytes between them.
func (b Bench) tableEdits(ctx context.Context, c *cluster, prefix string, idle span) error {
	before, err := c.sample(ctx)
	if err != nil {
		return err
	}
	for i := range tableEdits {
		if _, err := c.edit(ctx, fmt.Sprintf("org-%05d", i*17), 100+i); err != nil {
			return err
		}
		if err := sleep.For(ctx, editGap); err != nil {
			return err
		}
	}
	// The metrics of a daemon are a second old.
	if err := sleep.For(ctx, 2*time.Second); err != nil {
		return err
	}
	after, err := c.sample(ctx)
	if err != nil {
		return err
	}
	used := between(before, after)
	perEdit := after.at.Sub(before.at).Seconds() / tableEdits
	b.line(prefix+"_edit_cpu_ms", 10*(used.cpuMean-idle.cpuMean)*perEdit)
	b.line(prefix+"_edit_peer_bytes", (used.peerBytes-idle.peerBytes)*perEdit)
	b.line(prefix+"_edit_rss_mb_max", used.residentMax)
	return nil
}
