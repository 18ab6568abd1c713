package medlarattachednode_test

import (
	"flag"
	"os"
	"runtime"
	"strconv"
	"testing"
)

// testsPerCore is the number of parallel tests for each core: they wait most of the time.
const testsPerCore = 3

// TestMain runs more tests at once than there are cores, unless the command line says how many.
func TestMain(m *testing.M) {
	flag.Parse()
	set := false
	flag.Visit(func(f *flag.Flag) { set = set || f.Name == "test.parallel" })
	if !set {
		if err := flag.Set("test.parallel", strconv.Itoa(testsPerCore*runtime.GOMAXPROCS(0))); err != nil {
			panic(err) // the flag exists in each test binary
		}
	}
	os.Exit(m.Run())
}
