// Command benchpolicy compares the placement and retention policies with naive placement on the
// same trace, and prints the effect of disabling each decision.
package main

import (
	"os"

	"github.com/bluebellscale/bluebellscale/internal/policysim"
)

func main() {
	bench := policysim.Bench{Out: os.Stdout, Seeds: []int64{1, 2, 3}}
	bench.Run()
	policysim.BenchScaling(os.Stdout)
}
