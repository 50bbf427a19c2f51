// Package testseed gives random tests the same seed in each run, so that CI's verdict does
// not depend on luck. Tests that use rapid import it for its effect.
//
// With FRESH_SEEDS set, the seeds are new in each run: make seeds looks for new failures.
// A seed that is found stays in its test as a case of its own.
package testseed

import (
	"flag"
	"os"

	_ "pgregory.net/rapid" // defines the flag
)

// fixed is the seed of ordinary runs; any other would do.
const fixed = "20261202"

func init() {
	if os.Getenv("FRESH_SEEDS") != "" {
		return
	}
	if err := flag.Set("rapid.seed", fixed); err != nil {
		panic(err) // rapid defines the flag, or has changed
	}
}
