// Package medlarseed runs the random tests of a package from a fixed seed, so that
// every run gives the same verdict. The flags -rapid.seed and -rapid.checks go
// before it.
package medlarseed

import (
	"flag"
	"strconv"
	"testing"
)

// seed is where the random tests start.
const seed = "20261203"

// Run runs the tests of a package with a number of drawn cases for each random
// test, and returns the exit code.
func Run(m *testing.M, checks int) int {
	flag.Parse()
	for name, value := range map[string]string{"rapid.checks": strconv.Itoa(checks), "rapid.seed": seed} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	return m.Run()
}
