// Package testseed sets the same seed for randomized tests in each run, so that CI results
// are reproducible. Tests that use rapid import it for its side effect.
//
// With FRESH_SEEDS set, each run uses new seeds; make seeds uses this to search for new
// failures. A seed that reproduces a failure becomes a test case of its own.
package testseed

import (
	"flag"
	"os"

	_ "pgregory.net/rapid" // defines the flag
)

// fixedSeed is the seed of ordinary runs. Its value is arbitrary.
const fixedSeed = "20261202"

func init() {
	if os.Getenv("FRESH_SEEDS") != "" {
		return
	}
	if err := flag.Set("rapid.seed", fixedSeed); err != nil {
		panic(err) // rapid no longer defines the flag
	}
}
