package fairshare

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests, so that every run tests the same
// inputs. The flag -rapid.seed selects another seed.
func TestMain(m *testing.M) {
	flag.Parse()
	seed := flag.Lookup("rapid.seed").Value
	if seed.String() == "0" {
		_ = seed.Set("1")
	}
	os.Exit(m.Run())
}
