// Command benchpolicy prints what the placement and retention policies give, against
// naive placement on the same trace and with each decision switched off.
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
