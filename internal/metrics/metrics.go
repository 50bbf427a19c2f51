// Package metrics creates the metrics of a process and serves them in the Prometheus text format.
package metrics

import (
	"io"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often recorded values are reported to the endpoint.
const reportInterval = time.Second

// New returns the root scope, the handler of the metrics endpoint, and a closer that stops reporting.
func New() (tally.Scope, http.Handler, io.Closer) {
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "bluebellscale",
		CachedReporter:         reporter,
		Separator:              prometheus.DefaultSeparator,
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return scope, reporter.HTTPHandler(), closer
}

// LatencyBuckets are the histogram buckets for request latencies. They are fine-grained around the
// latency objectives of 150 to 600 ms.
var LatencyBuckets = tally.DurationBuckets{
	10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	150 * time.Millisecond, 250 * time.Millisecond, 400 * time.Millisecond, 600 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second, 15 * time.Second,
}
