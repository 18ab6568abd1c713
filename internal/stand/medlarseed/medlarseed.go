// Package medlarseed runs the property-based tests of a package with a fixed seed, so
// that every run gives the same result. The flags -rapid.seed and -rapid.checks take
// precedence over its values.
package medlarseed

import (
	"flag"
	"strconv"
	"testing"
)

// seed is the default of -rapid.seed.
const seed = "20261203"

// Run runs the tests of a package with a number of generated cases for each property,
// and returns the exit code.
func Run(m *testing.M, checks int) int {
	flag.Parse()
	for name, value := range map[string]string{"rapid.checks": strconv.Itoa(checks), "rapid.seed": seed} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	return m.Run()
}
