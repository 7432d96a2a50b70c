// Package rapidtest fixes the settings of rapid, so that property tests run the
// same cases each time.
package rapidtest

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// seed is the seed unless the command line sets one.
const seed = "20261203"

// Main implements TestMain: it calls Fix, runs the tests and exits.
func Main(m *testing.M, checks int) {
	Fix(checks)
	os.Exit(m.Run())
}

// Fix sets the seed of rapid and the number of checks per test, and disables the
// files in which rapid saves failed cases. Flags on the command line take
// precedence. The test binary must import rapid.
func Fix(checks int) {
	flag.Parse()
	fixed := map[string]string{"rapid.seed": seed, "rapid.checks": strconv.Itoa(checks), "rapid.nofailfile": "true"}
	flag.Visit(func(f *flag.Flag) { delete(fixed, f.Name) })
	for name, value := range fixed {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
