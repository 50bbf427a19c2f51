package controlbench

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// settle lets leases, places and connections come to rest after a start.
	settle = 5 * time.Second
	window = 5 * time.Second
)

// Bench runs the measurements.
type Bench struct {
	BinDir string    // directory of the programs
	Out    io.Writer // gets the lines
}

// Names are the names of the measurements, in their order.
func Names() []string { return []string{"fleet", "inforce", "targets", "table", "looks", "relay"} }

// Run runs one part.
func (b Bench) Run(ctx context.Context, part string) error {
	run, ok := map[string]func(context.Context) error{
		"fleet":   b.fleet,
		"inforce": b.inForce,
		"targets": b.targets,
		"table":   b.table,
		"looks":   b.looks,
		"relay":   b.relay,
	}[part]
	if !ok {
		return errors.Newf("no part %q; allowed: %v", part, Names())
	}
	return errors.Wrap(run(ctx), part)
}

func (b Bench) line(name string, value float64) { fmt.Fprintf(b.Out, "%s=%.4g\n", name, value) }

func (b Bench) lines(prefix string, s span) {
	b.line(prefix+"_kv_reads_s", s.reads)
	b.line(prefix+"_kv_writes_s", s.writes)
	b.line(prefix+"_kv_watches_s", s.watches)
	b.line(prefix+"_kv_bytes_s", s.kvBytes)
	b.line(prefix+"_cpu_pct_mean", s.cpuMean)
	b.line(prefix+"_cpu_pct_max", s.cpuMax)
	b.line(prefix+"_rss_mb_max", s.residentMax)
	b.line(prefix+"_peer_bytes_s", s.peerBytes)
	b.line(prefix+"_requests_s", s.requests)
}
