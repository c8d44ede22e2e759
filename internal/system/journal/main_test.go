package journal

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that each run gives the
// same result, and runs 1,000 cases of them. The flags of rapid override both.
func TestMain(m *testing.M) {
	flag.Parse()
	setDefaultFlag("rapid.seed", "0", "1")
	setDefaultFlag("rapid.checks", "100", "1000")
	os.Exit(m.Run())
}

func setDefaultFlag(name, from, to string) {
	f := flag.Lookup(name)
	if f.Value.String() != from {
		return
	}
	if err := f.Value.Set(to); err != nil {
		panic(err)
	}
}
